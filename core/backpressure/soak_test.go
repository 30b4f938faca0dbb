//go:build soak

package backpressure

import "testing"

// soakSeeds is the number of seeds of each fault in a long run.
const soakSeeds = 30

// TestLimitSoak runs the faults of TestLimitHoldsDuringFaults with many seeds.
func TestLimitSoak(t *testing.T) { limitHoldsDuringFaults(t, soakSeeds) }
