//go:build soak

package operation

import (
	"testing"

	"pgregory.net/rapid"
)

// soakOperations is the number of operations that the soak run must reach.
const soakOperations = 100_000

// TestSoakOperations guards against rare orders of events that the short
// randomised run misses. It needs -rapid.checks=1000 or more.
func TestSoakOperations(t *testing.T) {
	counts := map[faultKind]*tally{}
	rapid.Check(t, func(t *rapid.T) { runWorld(t, counts) })
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
		t.Errorf("%d operations were run, %d are required", total, soakOperations)
	}
}
