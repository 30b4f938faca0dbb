package silence

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestChecksFollowTheSilence guards against a check of a silence that has ended, and against
// a silence that is looked at only once.
func TestChecksFollowTheSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var checks atomic.Int64
		w := Start(10*time.Second, time.Second, 2*time.Second, func() { checks.Add(1) })
		after := func(d time.Duration, want int64) {
			time.Sleep(d)
			synctest.Wait()
			c.Check(checks.Load(), qt.Equals, want)
		}
		after(10900*time.Millisecond, 0)
		after(200*time.Millisecond, 1)
		after(2*time.Second, 2)
		w.Restart()
		after(9900*time.Millisecond, 2)
		after(200*time.Millisecond, 3)
		w.Stop()
		after(time.Minute, 3)
		w.Restart()
		after(11*time.Second, 4)
		w.Stop()
	})
}
