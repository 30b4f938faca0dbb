package gateway

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/route"
	"github.com/laburnumloft/laburnumloft/node/lib/stall"
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

// A stall of this process must not count as time in which a request waited for a server: what
// arrived meanwhile may tell of a place, and was read only after the request had been refused.
func TestOwnStallIsNoWaitForAServer(t *testing.T) {
	c := qt.New(t)
	s := newServer(c, answerWith(http.StatusOK))
	r := newTestGateway(c)
	req := &request{
		in: r.request(c, http.MethodPost, "/order/1", "x"), service: "svc", route: &route.Route{Target: time.Second},
		deadline: time.Now().Add(2 * time.Second),
	}
	// The wait of 0.2 s ends in a stall of a second, after which the server becomes known.
	time.AfterFunc(100*time.Millisecond, func() { stall.Add(time.Second) })
	defer stall.Add(-time.Second)
	time.AfterFunc(300*time.Millisecond, func() { r.addServer("s", s.URL, nil) })
	choice, reason := r.place(c.Context(), req)
	c.Check(reason, qt.Equals, Reason(""))
	c.Check(choice.Server.ID, qt.Equals, "s")
}
