package stall

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A stall must be part of the total at once, also before the look that counts it, and only
// once afterwards.
func TestTotalContainsAStallThatHasJustEnded(t *testing.T) {
	c := qt.New(t)
	before := Total()
	defer look(time.Time{})
	look(time.Now().Add(-2 * time.Second))
	got := Total() - before
	c.Check(got >= 2*time.Second && got < 3*time.Second, qt.IsTrue, qt.Commentf("%v", got))
	counted := look(time.Now().Add(time.Minute))
	c.Check(counted >= got, qt.IsTrue)
	c.Check(Total()-before, qt.Equals, counted)
	Add(time.Second)
	c.Check(Total()-before, qt.Equals, counted+time.Second)
}

// Without a watch nothing may count as a stall, however long the process runs.
func TestNothingIsMeasuredAfterTheWatch(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	Watch(ctx, func(time.Duration) {})
	before := Total()
	<-time.After(tickInterval + 2*minStall)
	c.Check(Total(), qt.Equals, before)
}
