package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Collectors must not be the readers of a region that has enough entries, and
// must be ready, so that an entry that stops hands over at once.
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
	c.Assert(Readers("r", entries, 2), qt.DeepEquals, []string{"a", "b"})
	c.Assert(Collectors("s", entries), qt.DeepEquals, []string{"z"})
	c.Assert(Collectors("none", entries), qt.HasLen, 0)
	// A region that has just started must hear of others as well.
	c.Assert(Collectors("t", []Entry{{ID: "t1", Region: "t"}}), qt.DeepEquals, []string{"t1"})
	// A member that is also heard counts once.
	c.Assert(Collectors("r", append(entries, entries[3])), qt.DeepEquals, []string{"d", "c"})
}

// A collector that is not heard any more must be left before reports and
// hellos are missed, and more than a few must never be told.
func TestHeardCollectors(t *testing.T) {
	c := qt.New(t)
	var h Heard
	now := time.Now()
	c.Assert(h.Lately(now), qt.HasLen, 0)
	h.Saw("a", now)
	h.Saw("b", now.Add(time.Second))
	c.Assert(h.Lately(now.Add(time.Second)), qt.DeepEquals, []string{"b", "a"})
	c.Assert(h.Lately(now.Add(2*time.Second)), qt.DeepEquals, []string{"b"})
	c.Assert(h.Lately(now.Add(3*time.Second)), qt.HasLen, 0)
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		h.Saw(id, now)
	}
	c.Assert(h.Lately(now), qt.HasLen, mostCollectors)
}
