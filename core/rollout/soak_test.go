//go:build soak

package rollout_test

import (
	"testing"

	"pgregory.net/rapid"
)

// TestVersionStateSoak guards against the same failures as TestVersionState
// over the number of runs that -rapid.checks names.
func TestVersionStateSoak(t *testing.T) {
	rapid.Check(t, checkVersionState)
}
