package bootclock

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Since must include suspensions, which the monotonic clock does not count.
func TestAgesContainSuspensions(t *testing.T) {
	c := qt.New(t)
	at := Now()
	AddSuspension(5 * time.Second)
	age := Since(at)
	c.Assert(age >= 5*time.Second && age < 10*time.Second, qt.IsTrue, qt.Commentf("age: %v", age))
	c.Assert(totalSuspension() >= 0, qt.IsTrue)
}
