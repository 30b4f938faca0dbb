package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// In a region with enough entries, collectors must not also be readers of the
// store. They must be ready, so that an entry that shuts down is replaced at
// once.
func TestCollectors(t *testing.T) {
	c := qt.New(t)
	entries := []Entry{
		{ID: "a", Region: "r", Ready: true},
		{ID: "b", Region: "r", Ready: true},
		{ID: "c", Region: "r", Ready: true},
		{ID: "d", Region: "r", Ready: true},
		{ID: "e", Region: "r"},
		{ID: "z", Region: "s", Ready: true},
	}
	c.Assert(Collectors("r", entries), qt.DeepEquals, []string{"d", "c"})
	c.Assert(StoreReaders("r", entries, 2), qt.DeepEquals, []string{"a", "b"})
	c.Assert(Collectors("s", entries), qt.DeepEquals, []string{"z"})
	c.Assert(Collectors("none", entries), qt.HasLen, 0)
	// A region that has just started has no ready entry, but needs a collector
	// for the hellos of other regions.
	c.Assert(Collectors("t", []Entry{{ID: "t1", Region: "t"}}), qt.DeepEquals, []string{"t1"})
	// An entry that is listed twice counts once.
	c.Assert(Collectors("r", append(entries, entries[3])), qt.DeepEquals, []string{"d", "c"})
}

// A collector that has fallen silent must expire before its reports and hellos
// count as lost, and the number of collectors in use must stay bounded.
func TestCollectorTracker(t *testing.T) {
	c := qt.New(t)
	var tracker CollectorTracker
	now := time.Now()
	c.Assert(tracker.Active(now), qt.HasLen, 0)
	tracker.Record("a", now)
	tracker.Record("b", now.Add(time.Second))
	c.Assert(tracker.Active(now.Add(time.Second)), qt.DeepEquals, []string{"b", "a"})
	c.Assert(tracker.Active(now.Add(2*time.Second)), qt.DeepEquals, []string{"b"})
	c.Assert(tracker.Active(now.Add(3*time.Second)), qt.HasLen, 0)
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		tracker.Record(id, now)
	}
	c.Assert(tracker.Active(now), qt.HasLen, maxActiveCollectors)
}
