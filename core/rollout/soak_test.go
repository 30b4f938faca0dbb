//go:build soak

package rollout_test

import (
	"testing"

	"pgregory.net/rapid"
)

// TestVersionStateSoak guards against the same failures as TestVersionState.
// The flag -rapid.checks sets the number of runs.
func TestVersionStateSoak(t *testing.T) {
	rapid.Check(t, checkVersionState)
}
