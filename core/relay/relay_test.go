package relay

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Readers of one region must not depend on the order of views, must pass over
// entries that are cut off, and must never be none.
func TestReaders(t *testing.T) {
	c := qt.New(t)
	entries := []Entry{{ID: "c", Region: "r"}, {ID: "a", Region: "r", Cut: true}, {ID: "b", Region: "r"}, {ID: "d", Region: "r"}, {ID: "0", Region: "s"}}
	c.Assert(Readers("r", entries, 2), qt.DeepEquals, []string{"b", "c"})
	c.Assert(Readers("s", entries, 2), qt.DeepEquals, []string{"0"})
	c.Assert(Readers("none", entries, 2), qt.HasLen, 0)
	for i := range entries {
		entries[i].Cut = true
	}
	c.Assert(Readers("r", entries, 2), qt.DeepEquals, []string{"a", "b"})
	// A member that is also heard counts once.
	c.Assert(Readers("r", append(entries, entries[1]), 2), qt.DeepEquals, []string{"a", "b"})
}
