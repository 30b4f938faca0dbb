package gateway

import (
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/eventstream"
	"github.com/laburnumloft/laburnumloft/core/placement"
)

const twoEvents = "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n"

// Events that arrive in one read with the failure that ends their run must reach the caller:
// its connection was closed without a byte, though its events were in hand.
func TestEventsBeforeAFailureReachTheCaller(t *testing.T) {
	tooLong := make([]byte, eventstream.MaxEventBytes+1)
	for _, test := range []struct{ name, rest string }{
		{"event without an id", "data: t3\n\n"},
		{"id that is no number", "id: three\n\n"},
		{"event that is too long", string(tooLong)},
	} {
		for _, path := range []string{"/stream/1", "/once/1"} {
			t.Run(test.name+path, func(t *testing.T) {
				c := qt.New(t)
				var arrivals atomic.Int32
				r := newTestGateway(c)
				r.PutServer(placement.Server{ID: "s0", Address: newUnframedServer(c, &arrivals, unframedEvents(2, test.rest, closed)), Service: "svc", Zone: "z"})
				got := r.call(c, path, "request")
				c.Check(got.status, qt.Equals, 200)
				c.Check(got.body, qt.Equals, twoEvents)
				c.Check(got.err, qt.IsNotNil, qt.Commentf("a broken stream looks whole"))
			})
		}
	}
}
