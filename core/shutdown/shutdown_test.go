package shutdown

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Every request that is taken must have time for its whole deadline before the answers
// are due, whatever the grace period.
func TestTakenRequestsEndWithinTheGracePeriod(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		begun := time.Unix(1000, 0)
		grace := time.Duration(rapid.IntRange(0, 60_000).Draw(t, "grace ms")) * time.Millisecond
		p := NewPlan(begun, grace)
		now := begun.Add(time.Duration(rapid.IntRange(0, 60_000).Draw(t, "after ms")) * time.Millisecond)
		deadline := now.Add(time.Duration(rapid.IntRange(1, 60_000).Draw(t, "deadline ms")) * time.Millisecond)
		if p.AcceptUntil().After(p.ExitBy()) && grace > exitReserve*acceptDivisor || p.KeepUntil().Before(p.AcceptUntil()) || p.KeepUntil().After(p.AnswerBy()) && p.KeepUntil().After(p.AcceptUntil()) || p.AnswerBy().After(p.ExitBy()) || p.ExitBy().After(begun.Add(grace)) {
			t.Fatalf("grace %v: accept until %v, answer by %v, exit by %v", grace, p.AcceptUntil(), p.AnswerBy(), p.ExitBy())
		}
		if p.Takes(now, deadline) && deadline.After(begun.Add(grace-exitReserve)) {
			t.Fatalf("grace %v: a request taken after %v may last %v", grace, now.Sub(begun), deadline.Sub(now))
		}
	})
}

// A request on a kept connection is taken as long as it can end before the last answers are
// due, also after new connections are refused: callers that keep their connections would
// otherwise be refused or lose a request that crosses the close.
func TestRequestsAreTakenWhileTheyCanEnd(t *testing.T) {
	c := qt.New(t)
	begun := time.Unix(1000, 0)
	p := NewPlan(begun, 8*time.Second)
	c.Check(p.AcceptUntil(), qt.Equals, begun.Add(2500*time.Millisecond))
	c.Check(p.KeepUntil(), qt.Equals, begun.Add(7200*time.Millisecond))
	at := func(after, lasts time.Duration) bool { return p.Takes(begun.Add(after), begun.Add(after+lasts)) }
	c.Check(at(2400*time.Millisecond, 600*time.Millisecond), qt.IsTrue)
	c.Check(at(2600*time.Millisecond, 600*time.Millisecond), qt.IsTrue)
	c.Check(at(6900*time.Millisecond, 600*time.Millisecond), qt.IsTrue)
	c.Check(at(6901*time.Millisecond, 600*time.Millisecond), qt.IsFalse)
	c.Check(at(7199*time.Millisecond, 100*time.Millisecond), qt.IsTrue)
	c.Check(at(7200*time.Millisecond, 100*time.Millisecond), qt.IsFalse)
	c.Check(at(1500*time.Millisecond, 6*time.Second), qt.IsTrue)
	c.Check(at(1600*time.Millisecond, 6*time.Second), qt.IsFalse)
}
