package gateway

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/route"
)

// A deadline that passed during a stall of this process must leave time to read what arrived
// meanwhile, and then end the request.
func TestDeadlineAfterAStallLeavesTimeToRead(t *testing.T) {
	c := qt.New(t)
	ended := make(chan time.Time, 1)
	began := time.Now()
	stop := atDeadline(&request{deadline: began.Add(-time.Second)}, func() { ended <- time.Now() })
	at := <-ended
	stop()
	c.Check(at.Sub(began) >= unreadTime, qt.IsTrue, qt.Commentf("%v", at.Sub(began)))

	stop = atDeadline(&request{deadline: time.Now().Add(-time.Second)}, func() { ended <- time.Now() })
	stop()
	<-time.After(2 * unreadTime)
	c.Check(ended, qt.HasLen, 0)
}

// In the time that a request is given after a stall nothing may be sent for it any more: its
// caller may have left, and a server would be told of no time left.
func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	c := qt.New(t)
	s := newServer(c, answerWith(http.StatusOK))
	r := newTestGateway(c, s)
	req := &request{
		in: r.request(c, http.MethodPost, "/order/1", "x"), service: "svc", route: &route.Route{Target: time.Second},
		deadline: time.Now().Add(-time.Millisecond),
	}
	got := r.newChain(c.Context(), req, &race{}, buffered{}).run(r.place)
	c.Check(got.reason, qt.Equals, ReasonDeadline)
	c.Check(s.count(), qt.Equals, 0)
}
