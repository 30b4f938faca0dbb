package logera

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A position of a later era must be higher than all of the eras before, and the
// positions of a log that was never restored must be its offsets.
func TestPositionsRiseWithTheEra(t *testing.T) {
	c := qt.New(t)
	c.Assert(Position(0, 17), qt.Equals, int64(17))
	c.Assert(Position(1, 1) > Position(0, 1<<offsetBits-1), qt.IsTrue)
	for _, era := range []int64{0, 1, 1000} {
		for _, offset := range []int64{0, 1, 1<<offsetBits - 1} {
			gotEra, gotOffset := Split(Position(era, offset))
			c.Assert([2]int64{gotEra, gotOffset}, qt.Equals, [2]int64{era, offset})
		}
	}
}
