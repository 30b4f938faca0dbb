package storeera

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Our own records must be checked once an era, by entries that read the store only,
// after a delay, and again a bounded number of times if that was not possible.
func TestChecksOncePerEra(t *testing.T) {
	c := qt.New(t)
	var checks Checks
	now := time.Now()
	c.Assert(checks.Due(now, restored(0), true, 0), qt.IsFalse)
	c.Assert(checks.Due(now.Add(time.Hour), restored(0), true, 0), qt.IsFalse, qt.Commentf("nothing was lost"))
	c.Assert(checks.Due(now, restored(1), false, 0), qt.IsFalse)
	c.Assert(checks.Due(now, restored(1), true, 1), qt.IsFalse)
	c.Assert(checks.Due(now.Add(maxCheckDelay-1), restored(1), true, 0), qt.IsFalse)
	now = now.Add(maxCheckDelay)
	c.Assert(checks.Due(now, restored(1), true, 0), qt.IsTrue)
	checks.RecordCheck(now, true, 0)
	c.Assert(checks.Due(now.Add(time.Hour), restored(1), true, 0), qt.IsFalse)
	c.Assert(checks.Due(now, restored(2), true, 0), qt.IsFalse)
	made := 0
	for range 10 * maxChecks {
		now = now.Add(minCheckDelay)
		if checks.Due(now, restored(2), true, 0) {
			checks.RecordCheck(now, false, 0)
			made++
		}
	}
	c.Assert(made, qt.Equals, maxChecks)
}
