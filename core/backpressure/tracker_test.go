package backpressure

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func limitOf(values ...string) (s Signals) {
	s.ParseRate("Limit", values)
	return s
}

// Values that are no number, negative, huge or repeated must neither count as a limit
// nor withdraw one, and are reported.
func TestUnreadableSignals(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		values     []string
		limit      LimitSignal
		rate       float64
		unreadable int
	}{
		{nil, LimitAbsent, 0, 0},
		{[]string{"1.7"}, LimitNamed, 1.7, 0},
		{[]string{"0"}, LimitNamed, 0, 0},
		{[]string{""}, LimitUnreadable, 0, 1},
		{[]string{"many"}, LimitUnreadable, 0, 1},
		{[]string{"-1"}, LimitUnreadable, 0, 1},
		{[]string{"NaN"}, LimitUnreadable, 0, 1},
		{[]string{"+Inf"}, LimitUnreadable, 0, 1},
		{[]string{"1e300"}, LimitUnreadable, 0, 1},
		{[]string{"5", "2"}, LimitNamed, 2, 1},
		{[]string{"5", "x"}, LimitNamed, 5, 1},
	} {
		s := limitOf(test.values...)
		c.Check(s.Limit, qt.Equals, test.limit, qt.Commentf("%q", test.values))
		c.Check(s.Rate, qt.Equals, test.rate, qt.Commentf("%q", test.values))
		c.Check(s.Unreadable, qt.HasLen, test.unreadable, qt.Commentf("%q", test.values))
	}
	var s Signals
	s.ParseQuiet("Retry", []string{"-1", "soon", "NaN", "1e12"})
	c.Check(s.QuietFor, qt.Equals, maxQuiet)
	c.Check(s.Unreadable, qt.HasLen, 4)
	s = Signals{}
	s.ParseLeaving("Leaving", []string{"yes"})
	c.Check(s.Leaving, qt.IsFalse)
	c.Check(s.Unreadable, qt.HasLen, 1)
	s.ParseLeaving("Leaving", []string{"1", "1"})
	c.Check(s.Leaving, qt.IsTrue)
}

func standing(t *Tracker, server Server, now time.Time) Standing {
	s, _ := t.Standing(server, now)
	return s
}

// An answer without a limit ends it only if the server got the request after it had
// last named the limit; an unreadable value does not end it.
func TestOldAnswersDoNotWithdrawALimit(t *testing.T) {
	c := qt.New(t)
	tracker, server := NewTracker(), Server{ID: "a", Born: 1}
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	c.Check(tracker.Observe(server, limitOf("2"), at(0), at(50)), qt.HasLen, 1)
	c.Check(tracker.Observe(server, Signals{}, at(40), at(60)), qt.HasLen, 0)
	c.Check(tracker.Observe(server, limitOf("?"), at(70), at(80)), qt.HasLen, 0)
	c.Check(standing(tracker, server, at(90)), qt.Equals, PermitNeeded)
	changes := tracker.Observe(server, Signals{}, at(70), at(90))
	c.Assert(changes, qt.HasLen, 1)
	c.Check(changes[0].Kind, qt.Equals, LimitWithdrawn)
	c.Check(standing(tracker, server, at(90)), qt.Equals, Free)
}

// A server that leaves stays excluded while its record comes and goes; its next
// instance is not.
func TestSignalsHoldForOneInstance(t *testing.T) {
	c := qt.New(t)
	tracker, server := NewTracker(), Server{ID: "a", Born: 1}
	tracker.Observe(server, Signals{Leaving: true, QuietFor: time.Minute, Limit: LimitNamed, Rate: 1}, epoch, epoch)
	c.Check(standing(tracker, server, epoch.Add(5*time.Minute)), qt.Equals, Leaving)
	c.Check(standing(tracker, Server{ID: "a", Born: 2}, epoch), qt.Equals, Free)
}

// A quiet time pauses only this entry and ends by itself; a shorter one that follows
// does not end it earlier.
func TestQuietTime(t *testing.T) {
	c := qt.New(t)
	tracker, server := NewTracker(), Server{ID: "a"}
	c.Check(tracker.Observe(server, Signals{QuietFor: 5 * time.Second}, epoch, epoch), qt.HasLen, 1)
	c.Check(tracker.Observe(server, Signals{QuietFor: time.Second}, epoch, epoch.Add(time.Second)), qt.HasLen, 0)
	s, until := tracker.Standing(server, epoch.Add(4*time.Second))
	c.Check(s, qt.Equals, Paused)
	c.Check(until, qt.Equals, epoch.Add(5*time.Second))
	c.Check(standing(tracker, server, epoch.Add(5*time.Second)), qt.Equals, Free)
	c.Check(tracker.Notices(Membership{Self: "e"}, epoch), qt.HasLen, 0)
	c.Check(tracker.Len(), qt.Equals, 1)
	tracker.Notices(Membership{Self: "e"}, epoch.Add(5*time.Second))
	c.Check(tracker.Len(), qt.Equals, 0, qt.Commentf("a server that is no longer in need slows down decisions"))
}

// A process that was stopped or delayed must not use a permit that has expired.
func TestPermitExpires(t *testing.T) {
	c := qt.New(t)
	tracker, server := NewTracker(), Server{ID: "a"}
	m := Membership{Self: "e", Candidates: map[string]time.Duration{"e": 0}, Live: 1, Known: 1}
	tracker.Observe(server, limitOf("1"), epoch, epoch)
	tracker.Ask(server, m, epoch)
	now := epoch.Add(3 * time.Second)
	tracker.Ask(server, m, now)
	permit, ok := tracker.TakePermit(server, now)
	c.Assert(ok, qt.IsTrue)
	c.Check(permit.Valid(now.Add(permitValidity-1)), qt.IsTrue)
	c.Check(permit.Valid(now.Add(permitValidity)), qt.IsFalse)
	later := now.Add(2 * time.Second)
	tracker.Ask(server, m, later)
	c.Check(standing(tracker, server, later.Add(permitValidity)), qt.Not(qt.Equals), PermitHeld)
}

// Refused callers of a limited service return one after the other, at the rate of the
// servers; those that can't wait take no place.
func TestReturnsFollowTheLimits(t *testing.T) {
	c := qt.New(t)
	var r Returns
	const horizon = 3 * time.Second
	reserve := func() time.Duration { return r.Reserve("s", 2, time.Second, horizon, epoch) }
	for _, want := range []time.Duration{1000, 1500, 2000, 2500, 3000, 3500, 3500} {
		c.Check(reserve(), qt.Equals, want*time.Millisecond)
	}
	c.Check(r.Reserve("other", 2, 0, horizon, epoch), qt.Equals, time.Duration(0))
}
