package rollout

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A load order must not be sent on a check that would be older than
// MaxStagedCheckAge when the engine accepts the order.
func TestStagedChecksExpire(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	checks := NewStagedChecks(3)
	c.Assert(checks.Due(start), qt.DeepEquals, []int{0, 1, 2})
	c.Assert(checks.OldestAge(start), qt.Equals, time.Duration(-1))
	for piece := range 3 {
		checks.RecordIntact(piece, start.Add(time.Duration(piece)*time.Second))
	}
	limit := start.Add(MaxStagedCheckAge - LoadOrderTimeout)
	c.Assert(checks.Due(limit), qt.HasLen, 0)
	c.Assert(checks.OldestAge(limit), qt.Equals, 2*time.Second)
	c.Assert(checks.OrderBefore(limit), qt.Equals, start.Add(MaxStagedCheckAge))
	c.Assert(checks.Due(limit.Add(time.Millisecond)), qt.DeepEquals, []int{0})
	c.Assert(checks.Due(limit.Add(time.Second+time.Millisecond)), qt.DeepEquals, []int{0, 1})
	checks.RecordIntact(0, limit)
	c.Assert(checks.OldestAge(limit), qt.Equals, time.Second)
}

// An engine that answers fast must not get more connections than one; a slow one
// gets as many as a pass needs, within the bound.
func TestCheckWorkers(t *testing.T) {
	c := qt.New(t)
	c.Assert(CheckWorkers(48, 5*time.Millisecond), qt.Equals, 1)
	c.Assert(CheckWorkers(48, 100*time.Millisecond), qt.Equals, 10)
	c.Assert(CheckWorkers(48, time.Second), qt.Equals, maxCheckWorkers)
	c.Assert(CheckWorkers(48, 0), qt.Equals, 1)
}
