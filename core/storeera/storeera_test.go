package storeera

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against reading on from an offset of an era that has ended: each change of
// the number must give an era that differs from all before.
func TestErasAreToldApart(t *testing.T) {
	c := qt.New(t)
	var tracker Tracker
	sent := tracker.Current()
	first := tracker.Observe(sent, "0")
	c.Assert(first.Event, qt.Equals, First)
	c.Assert(first.Era.Restored(), qt.IsFalse)
	c.Assert(tracker.Observe(first.Era, "0"), qt.Equals, Answer{Era: first.Era, Usable: true})
	second := tracker.Observe(first.Era, "1")
	c.Assert(second.Event, qt.Equals, Advanced)
	c.Assert(second.Era.Restored(), qt.IsTrue)
	c.Assert(second.Era == first.Era, qt.IsFalse)
	// A request that was sent before may have been answered in the old era.
	late := tracker.Observe(first.Era, "0")
	c.Assert(late.Usable, qt.IsFalse)
	c.Assert(late.Event, qt.Equals, Overtaken)
	c.Assert(tracker.Current(), qt.Equals, second.Era)
	// One that was sent afterwards shows that the number fell.
	back := tracker.Observe(second.Era, "0")
	c.Assert(back.Event, qt.Equals, WentBack)
	c.Assert(back.Usable, qt.IsTrue)
	c.Assert(back.Era == first.Era, qt.IsFalse, qt.Commentf("a number that returns is another era"))
	again := tracker.Observe(back.Era, "1")
	c.Assert(again.Era == second.Era, qt.IsFalse)
}

// Answers without a usable number must not end the reading, be logged once, and not
// hide the next era.
func TestAnswersWithoutANumber(t *testing.T) {
	c := qt.New(t)
	for _, value := range []string{"", "x", "-1", "1.5", "99999999999999999999"} {
		var tracker Tracker
		known := tracker.Observe(tracker.Current(), "3").Era
		want := Unreadable
		if value == "" {
			want = Missing
		}
		c.Assert(tracker.Observe(known, value), qt.Equals, Answer{Era: known, Usable: true, Event: want})
		c.Assert(tracker.Observe(known, value), qt.Equals, Answer{Era: known, Usable: true}, qt.Commentf("logged again"))
		c.Assert(tracker.Observe(known, "3").Event, qt.Equals, Readable)
		tracker.Observe(known, value)
		c.Assert(tracker.Observe(known, "4").Event, qt.Equals, Advanced)
		c.Assert(tracker.Observe(known, value).Usable, qt.IsFalse, qt.Commentf("sent in an era that has ended"))
	}
	// A store that has never named its era is read as before.
	var tracker Tracker
	c.Assert(tracker.Observe(Era{}, ""), qt.Equals, Answer{Usable: true, Event: Missing})
	c.Assert(tracker.Observe(Era{}, ""), qt.Equals, Answer{Usable: true})
	// One that begins to name it may have been restored meanwhile.
	named := tracker.Observe(Era{}, "1")
	c.Assert(named.Event, qt.Equals, Advanced)
	c.Assert(named.Usable, qt.IsTrue)
	c.Assert(tracker.Observe(Era{}, "").Usable, qt.IsFalse)
}

// In any order of answers of a store whose era only rises, no answer of an earlier era
// may be used after one of a later era, and the tracker must end in the last era.
func TestAnswersInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type request struct {
			sentIn Era
			number int64
		}
		var tracker Tracker
		var store, newest int64
		var open []request
		for range 60 {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				store += rapid.Int64Range(1, 2).Draw(t, "restores")
			case 1:
				// Answered now, received later.
				open = append(open, request{tracker.Current(), store})
			default:
				if len(open) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "received")
				r := open[i]
				open = append(open[:i], open[i+1:]...)
				answer := tracker.Observe(r.sentIn, []string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"}[min(r.number, 9)])
				r.number = min(r.number, 9)
				if answer.Usable != (r.number >= newest) {
					t.Fatalf("answer of era %d used: %v, newest era %d", r.number, answer.Usable, newest)
				}
				newest = max(newest, r.number)
				if tracker.Current().Number != newest {
					t.Fatalf("current era %v, want %d", tracker.Current(), newest)
				}
			}
		}
	})
}
