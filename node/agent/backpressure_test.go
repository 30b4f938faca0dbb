package agent

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/laburnumloft/laburnumloft/core/limits"
	"github.com/laburnumloft/laburnumloft/core/operation"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// An operation that the backend server does not take must not be sent, so that it is
// reported as not run.
func TestOperationsRespectTheBackendServer(t *testing.T) {
	for _, test := range []struct {
		name, header, value string
		status              int
	}{
		{"limit", wire.RateLimitHeader, "0.4", http.StatusOK},
		{"leaving", wire.LeavingHeader, "1", http.StatusOK},
		{"quiet time", wire.RetryAfterHeader, "20", http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var arrivals atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				arrivals.Add(1)
				w.Header().Set(test.header, test.value)
				w.WriteHeader(test.status)
			}))
			defer server.Close()
			backend := newOperationBackend(server.URL, newBackendGate(server.URL, hclog.NewNullLogger()))
			first := backend.send(c.Context(), "", wire.Fence{}, "open", []byte("{}"))
			c.Assert(first.Outcome, qt.Not(qt.Equals), operation.OutcomeNotRun)
			for range 5 {
				began := time.Now()
				result := backend.send(c.Context(), "", wire.Fence{}, "open", []byte("{}"))
				c.Check(result.Outcome, qt.Equals, operation.OutcomeNotRun)
				c.Check(time.Since(began) < 2*maxPermitWait, qt.IsTrue)
			}
			c.Check(arrivals.Load(), qt.Equals, int32(1))
		})
	}
}

// A server that no longer says that it is leaving, in an answer to a later request, is
// another instance and gets requests again.
func TestNextInstanceOfALeavingServer(t *testing.T) {
	c := qt.New(t)
	gate := newBackendGate("http://engine", hclog.NewNullLogger())
	answer := func(leaving string) *http.Response {
		resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
		if leaving != "" {
			resp.Header.Set(wire.LeavingHeader, leaving)
		}
		return resp
	}
	before := time.Now()
	gate.observe(answer("1"), before)
	c.Check(gate.wait(time.Now()) < 0, qt.IsTrue)
	gate.observe(answer(""), before)
	c.Check(gate.wait(time.Now()) < 0, qt.IsTrue, qt.Commentf("an answer to an earlier request ended the leaving"))
	gate.observe(answer(""), time.Now())
	c.Check(gate.wait(time.Now()), qt.Equals, time.Duration(0))
}

// Looking whether a limited server takes a request must not use up its permits: load
// reports and the queue look many times a second.
func TestLookingUsesNoPermit(t *testing.T) {
	c := qt.New(t)
	gate := newBackendGate("http://engine", hclog.NewNullLogger())
	now := bootclock.Now()
	gate.observe(&http.Response{StatusCode: http.StatusOK, Header: http.Header{http.CanonicalHeaderKey(wire.RateLimitHeader): {"1"}}}, now)
	const look, requests = 50 * time.Millisecond, 1100 * time.Millisecond
	refused := 0
	for sent := range 10 {
		for end := now.Add(requests); now.Before(end); now = now.Add(look) {
			gate.wait(now)
		}
		if !gate.take(now) {
			refused++
			t.Logf("request %d refused, %v after the one before", sent, requests)
		}
	}
	c.Assert(refused, qt.Equals, 0)
}

// Requests that end while their server wants none must not count as refused.
func TestEndsOfRequestsAreNotRefusals(t *testing.T) {
	c := qt.New(t)
	gate := newBackendGate("http://engine", hclog.NewNullLogger())
	header := http.Header{http.CanonicalHeaderKey(wire.RetryAfterHeader): {"20"}}
	gate.observe(&http.Response{StatusCode: http.StatusServiceUnavailable, Header: header}, bootclock.Now())
	a := newAdmission(gate)
	defer a.stop()
	refused := func() string {
		if v := agentBackpressure.Get("refused"); v != nil {
			return v.String()
		}
		return "0"
	}
	before := refused()
	a.handle(time.Now(), admissionEvent{leave: 7})
	c.Assert(refused(), qt.Equals, before)
	reply := make(chan *wire.Error, 1)
	a.handle(time.Now(), admissionEvent{item: &limits.Item{ID: 8}, reply: reply})
	c.Assert((<-reply).Kind, qt.Equals, wire.ErrorUnavailable)
	c.Assert(refused(), qt.Not(qt.Equals), before)
}
