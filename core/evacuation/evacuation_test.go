package evacuation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func notice(evacuated bool, offset int64) Notice {
	return Notice{Zone: "z", Evacuated: evacuated, Offset: offset}
}

// Records arrive over several ways, twice and in any order. The newest must win in all
// of them, or a zone would stay open or closed at some entries.
func TestOrderOfArrivalDoesNotMatter(t *testing.T) {
	c := qt.New(t)
	records := []Notice{notice(true, 3), notice(false, 5), notice(true, 8)}
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 0, 2, 0, 1}, {2, 2, 0}} {
		z := NewZones()
		for _, i := range order {
			z.Adopt(records[i], start)
		}
		c.Check(z.Evacuated("z"), qt.IsTrue, qt.Commentf("%v", order))
		z.Adopt(notice(false, 9), start)
		c.Check(z.Evacuated("z"), qt.IsFalse, qt.Commentf("%v", order))
	}
}

// Two entries disagree because one was silent during the change. The one that knows the
// end must repeat it, also long after, as soon as it hears the other.
func TestEntryThatMissedTheEndIsTold(t *testing.T) {
	c := qt.New(t)
	informed, silent := NewZones(), NewZones()
	for _, z := range []*Zones{informed, silent} {
		z.Adopt(notice(true, 3), start)
	}
	informed.Adopt(notice(false, 5), start)
	now := start.Add(time.Hour)
	c.Assert(informed.Notices(now), qt.HasLen, 0)
	for _, n := range silent.Notices(now) {
		informed.Adopt(n, now)
	}
	for _, n := range informed.Notices(now) {
		silent.Adopt(n, now)
	}
	c.Assert(silent.Evacuated("z"), qt.IsFalse)
	c.Assert(informed.Evacuated("z"), qt.IsFalse)
}

// A snapshot of the store says which zones are evacuated: a reader that missed the end
// must find it, but not in a copy of the store, which may lack a newer record.
func TestSnapshots(t *testing.T) {
	c := qt.New(t)
	z := NewZones()
	z.Adopt(notice(true, 3), start)
	changes := z.AdoptSnapshot(nil, 0, 7, false, start)
	c.Assert(changes, qt.DeepEquals, []Change{{Zone: "z", Offset: 7}})
	// The store gives the next record the offset after the last one.
	z.Adopt(notice(true, 8), start)
	c.Assert(z.Evacuated("z"), qt.IsTrue)

	c.Assert(z.AdoptSnapshot(nil, 1, 6, true, start), qt.HasLen, 0)
	c.Assert(z.Evacuated("z"), qt.IsTrue)
	c.Assert(z.Expire(start.Add(restoreGracePeriod-time.Millisecond)), qt.HasLen, 0)
	again := Notice{Zone: "z", Evacuated: true, Era: 1, Offset: 6}
	z.Adopt(again, start.Add(time.Second))
	c.Assert(z.Expire(start.Add(time.Minute)), qt.HasLen, 0)
	c.Assert(z.Evacuated("z"), qt.IsTrue)

	z.AdoptSnapshot(nil, 2, 4, true, start)
	c.Assert(z.Expire(start.Add(restoreGracePeriod)), qt.HasLen, 1)
	c.Assert(z.Evacuated("z"), qt.IsFalse)
}

// Records of other writers must not fill the memory, nor open a zone.
func TestOddRecords(t *testing.T) {
	c := qt.New(t)
	z := NewZones()
	z.Adopt(notice(true, 3), start)
	z.Adopt(Notice{Evacuated: true, Offset: 4}, start)
	z.Adopt(Notice{Zone: string(make([]byte, maxZoneBytes+1)), Evacuated: true, Offset: 4}, start)
	for i := range 2 * maxZones {
		z.Adopt(Notice{Zone: string(rune('a' + i)), Evacuated: true, Offset: int64(i)}, start)
	}
	c.Assert(z.Evacuated("z"), qt.IsTrue)
	c.Assert(len(z.Names()) <= maxZones, qt.IsTrue)
}
