//go:build soak

package limits

import (
	"testing"

	"pgregory.net/rapid"
)

// TestQueueSoak checks the same properties as TestQueueProperties, in as many
// runs as -rapid.checks says.
func TestQueueSoak(t *testing.T) { rapid.Check(t, checkQueueProperties) }
