//go:build soak

package settings_test

import (
	"testing"

	"pgregory.net/rapid"
)

// TestSettingsSoak guards against the faults of TestRandomRuns in rare
// sequences that a normal run does not reach.
func TestSettingsSoak(t *testing.T) { rapid.Check(t, runRandomActions) }
