package rollout

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A list of digests must be read again when a piece arrives twice with the same bytes, not
// because of bytes that became corrupt on the way, and not all the time.
func TestListDoubt(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	var d ListDoubt
	for i := range 2 * maxMismatches {
		c.Check(d.RecordMismatch(3, fmt.Sprint("corrupt ", i), now), qt.IsFalse)
	}
	c.Check(len(d.mismatches) <= maxMismatches, qt.IsTrue)
	c.Check(d.RecordMismatch(4, "same", now), qt.IsFalse)
	c.Check(d.RecordMismatch(5, "same", now), qt.IsFalse)
	c.Check(d.RecordMismatch(4, "same", now), qt.IsTrue)
	c.Check(d.RecordMismatch(4, "same", now.Add(doubtInterval/2)), qt.IsFalse)
	c.Check(d.RecordMismatch(4, "same", now.Add(doubtInterval)), qt.IsTrue)
}
