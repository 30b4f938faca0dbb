package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

// Requests behind one that found no server must be refused for the same reason, with a
// time to return that holds, and not as if they had waited for a place.
func TestRequestsBehindAMissHaveItsReason(t *testing.T) {
	for _, test := range []struct {
		reason Reason
		signal []string
	}{
		{reason: ReasonNoServer},
		{reason: ReasonLimited, signal: []string{"Wait", "60"}},
	} {
		t.Run(string(test.reason), func(t *testing.T) {
			c := qt.New(t)
			var servers []*server
			if test.signal != nil {
				servers = append(servers, newServer(c, saying(notRun, test.signal...)))
			}
			r := newTestGateway(c, servers...)
			r.cfg.OrderedWaiting = true
			for answer, tries := "", 0; !strings.Contains(answer, string(test.reason)); tries++ {
				c.Assert(tries < 1000, qt.IsTrue)
				// A server that refused is first set aside for a moment.
				_, answer, _ = r.do(c, http.MethodPost, "/read/1", "x")
			}
			cfg := configuration(2)
			cfg.Routes[1].Target = 5 * time.Second
			c.Assert(r.Configure(cfg, "test"), qt.IsTrue)
			first := &request{service: "svc", route: &cfg.Routes[1], priority: -1, deadline: time.Now().Add(time.Second)}
			waiting := func() int {
				r.mu.Lock()
				defer r.mu.Unlock()
				return r.queue("svc").Len()
			}
			r.mu.Lock()
			first.waiter = r.queue("svc").Join(first.waitingRequest())
			r.mu.Unlock()
			answer := make(chan string, 1)
			go func() {
				_, body, _ := r.do(c, http.MethodPost, "/read/1", "x")
				answer <- body
			}()
			for tries := 0; waiting() < 2; tries++ {
				c.Assert(tries < 1000, qt.IsTrue)
				<-time.After(time.Millisecond)
			}
			r.choose(first, bootclock.Now())
			c.Check(<-answer, qt.Contains, string(test.reason))
		})
	}
}
