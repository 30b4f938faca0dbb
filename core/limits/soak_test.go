//go:build soak

package limits

import (
	"testing"

	"pgregory.net/rapid"
)

// TestQueueSoak runs the queue's properties as long as the flags say.
func TestQueueSoak(t *testing.T) { rapid.Check(t, checkQueue) }
