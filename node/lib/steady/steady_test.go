package steady

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// An age must contain a suspension, which the monotonic clock leaves out.
func TestAgesContainSuspensions(t *testing.T) {
	c := qt.New(t)
	at := Now()
	Suspended(5 * time.Second)
	age := Since(at)
	c.Assert(age >= 5*time.Second && age < 10*time.Second, qt.IsTrue, qt.Commentf("%v", age))
	c.Assert(uncounted() >= 0, qt.IsTrue)
}
