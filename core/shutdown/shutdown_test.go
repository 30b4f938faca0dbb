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
		if p.AcceptUntil().After(p.ExitBy()) && grace > exitReserve*acceptDivisor || p.AnswerBy().After(p.ExitBy()) || p.ExitBy().After(begun.Add(grace)) {
			t.Fatalf("grace %v: accept until %v, answer by %v, exit by %v", grace, p.AcceptUntil(), p.AnswerBy(), p.ExitBy())
		}
		if p.Takes(now, deadline) && deadline.After(begun.Add(grace-exitReserve)) {
			t.Fatalf("grace %v: a request taken after %v may last %v", grace, now.Sub(begun), deadline.Sub(now))
		}
	})
}

// Short requests are taken for as long as callers need to switch to other processes.
func TestShortRequestsAreTakenAtFirst(t *testing.T) {
	c := qt.New(t)
	begun := time.Unix(1000, 0)
	p := NewPlan(begun, 8*time.Second)
	at := func(after, lasts time.Duration) bool { return p.Takes(begun.Add(after), begun.Add(after+lasts)) }
	c.Check(at(2400*time.Millisecond, 600*time.Millisecond), qt.IsTrue)
	c.Check(at(2600*time.Millisecond, 600*time.Millisecond), qt.IsFalse)
	c.Check(at(1400*time.Millisecond, 6*time.Second), qt.IsTrue)
	c.Check(at(1600*time.Millisecond, 6*time.Second), qt.IsFalse)
}
