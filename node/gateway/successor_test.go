package gateway

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/placement"
)

// A server that starts again under its id may refuse for a time before its record names its
// start. That time must not be forgotten when the record comes: the server got 3 to 5 requests
// from one entry in it. What the server said before it ended must not bind its successor.
func TestPauseOfARestartedServerOutlivesItsRecord(t *testing.T) {
	for _, test := range []struct {
		name string
		// startedAfter is when the new instance started, after the refusal.
		startedAfter time.Duration
		arrivals     int
	}{{"refused by the new instance", -time.Second, 1}, {"refused by the old instance", 20 * time.Millisecond, 2}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newServer(c, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Wait", "30")
				notRun(w, r)
			}, answerWith(http.StatusOK))
			r := newTestGateway(c)
			put := func(born time.Time) {
				r.PutServer(serverAt(s, "s0", born.UnixMilli()))
			}
			put(time.Now().Add(-time.Minute))
			c.Assert(r.post("/order/1"), qt.Equals, http.StatusServiceUnavailable)
			refused := time.Now()
			<-time.After(max(0, test.startedAfter) + 20*time.Millisecond)
			put(refused.Add(test.startedAfter))
			r.post("/order/2")
			c.Check(s.count(), qt.Equals, test.arrivals)
			choice, _ := r.fleet.Choose(time.Now(), placement.Query{Service: "svc"})
			c.Check(choice.Server.ID == "", qt.Equals, test.arrivals == 1)
		})
	}
}
