//go:build soak

package routing

import (
	"testing"

	"pgregory.net/rapid"
)

// TestPoolSoak checks the same properties as TestPoolProperties with as many runs
// as the flags set.
func TestPoolSoak(t *testing.T) { rapid.Check(t, checkPool) }
