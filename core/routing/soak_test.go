//go:build soak

package routing

import (
	"testing"

	"pgregory.net/rapid"
)

// TestPoolSoak runs the pool's properties as long as the flags say.
func TestPoolSoak(t *testing.T) { rapid.Check(t, checkPool) }
