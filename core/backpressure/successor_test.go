package backpressure

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// What a server has named since its start is its own, also if its record came later. It was
// forgotten with the record.
func TestSucceedKeepsWhatWasSaidSinceTheStart(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	earlier, later := Server{ID: "s", Born: 1}, Server{ID: "s", Born: 2}
	for _, test := range []struct {
		name     string
		started  time.Time
		standing Standing
		limited  bool
	}{{"said since the start", now.Add(-time.Second), Paused, true}, {"said before the start", now.Add(time.Second), Free, false}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			tr := NewTracker()
			tr.Observe(earlier, Signals{Limit: LimitNamed, Rate: 5, QuietFor: 10 * time.Second, Leaving: true}, now, now)
			tr.Succeed(later, test.started, now.Add(2*time.Second))
			standing, until := tr.Standing(later, now.Add(2*time.Second))
			c.Check(standing, qt.Equals, test.standing)
			if standing == Paused {
				c.Check(until, qt.Equals, now.Add(10*time.Second))
			}
			_, limited := tr.Limit(later)
			c.Check(limited, qt.Equals, test.limited)
			c.Check(tr.Succeed(earlier, test.started, now), qt.HasLen, 0)
			// A limit that the later instance names stays when its record changes once more,
			// whatever the clocks say.
			tr.Observe(later, Signals{Limit: LimitNamed, Rate: 3}, now, now)
			tr.Succeed(later, now.Add(time.Hour), now.Add(2*time.Second))
			rate, _ := tr.Limit(later)
			c.Check(rate, qt.Equals, 3.0)
		})
	}
}
