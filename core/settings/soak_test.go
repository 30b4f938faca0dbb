//go:build soak

package settings_test

import (
	"testing"

	"pgregory.net/rapid"
)

// TestSettingsSoak guards against rare interleavings that TestRandomRuns
// does not reach in a normal run.
func TestSettingsSoak(t *testing.T) { rapid.Check(t, checkRun) }
