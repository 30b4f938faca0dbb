package relay

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The readers of a region must not depend on the order of the entries. Entries
// that do not reach the store must not be selected unless no entry reaches it,
// because a region must always have a reader.
func TestStoreReaders(t *testing.T) {
	c := qt.New(t)
	entries := []Entry{{ID: "c", Region: "r"}, {ID: "a", Region: "r", StoreUnreachable: true}, {ID: "b", Region: "r"}, {ID: "d", Region: "r"}, {ID: "0", Region: "s"}}
	c.Assert(StoreReaders("r", entries, 2), qt.DeepEquals, []string{"b", "c"})
	c.Assert(StoreReaders("s", entries, 2), qt.DeepEquals, []string{"0"})
	c.Assert(StoreReaders("none", entries, 2), qt.HasLen, 0)
	for i := range entries {
		entries[i].StoreUnreachable = true
	}
	c.Assert(StoreReaders("r", entries, 2), qt.DeepEquals, []string{"a", "b"})
	// An entry that is listed twice counts once.
	c.Assert(StoreReaders("r", append(entries, entries[1]), 2), qt.DeepEquals, []string{"a", "b"})
}

// Readers that are silent must be replaced before they count as dead, but not by a whole
// region at once.
func TestSilentReadersAreReplaced(t *testing.T) {
	c := qt.New(t)
	var entries []Entry
	for i := range 12 {
		entries = append(entries, Entry{ID: fmt.Sprintf("%02d", i), Region: "r"})
	}
	c.Assert(StoreReaders("r", entries, 2), qt.DeepEquals, []string{"00", "01"})
	entries[0].Silent = true
	c.Assert(StoreReaders("r", entries, 2), qt.DeepEquals, []string{"00", "01", "02"})
	entries[1].Silent, entries[3].Silent, entries[5].Silent = true, true, true
	c.Assert(StoreReaders("r", entries, 2), qt.DeepEquals, []string{"00", "01", "02", "03", "04"})
	for i := range entries {
		entries[i].Silent = true
	}
	c.Assert(StoreReaders("r", entries, 2), qt.HasLen, 2+maxSilentReaders)
	c.Assert(StoreReaders("r", entries[:3], 2), qt.HasLen, 3)
}
