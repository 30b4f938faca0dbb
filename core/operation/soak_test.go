//go:build soak

package operation

import (
	"testing"

	"pgregory.net/rapid"
)

// soakOperations is the minimum number of operations of a soak run.
const soakOperations = 100_000

// TestSoakOperations guards against failures in rare sequences of events that
// the short randomised test misses. It needs -rapid.checks=1000 or more.
func TestSoakOperations(t *testing.T) {
	counts := map[faultKind]*outcomeCounts{}
	rapid.Check(t, func(t *rapid.T) { runSimulation(t, counts) })
	total := 0
	for _, kind := range faultKinds {
		c := counts[kind]
		if c == nil {
			continue
		}
		total += c.operations
		t.Logf("%-16s operations %6d executed %6d unknown %6d (%.1f%%)",
			kind, c.operations, c.executed, c.unknown, 100*float64(c.unknown)/float64(c.operations))
	}
	if total < soakOperations {
		t.Errorf("soak run made %d operations, want at least %d", total, soakOperations)
	}
}
