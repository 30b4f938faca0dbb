package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/backpressure"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

// saying adds header fields to an answer.
func saying(answer answerFunc, fields ...string) answerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for i := 0; i < len(fields); i += 2 {
			w.Header().Add(fields[i], fields[i+1])
		}
		answer(w, r)
	}
}

// cutAfterHead sends the head of an answer and breaks off.
func cutAfterHead(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signature", "s")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// standing returns what the gateway may do at a test server.
func (r *testGateway) standing(i int) backpressure.Standing {
	r.mu.Lock()
	defer r.mu.Unlock()
	standing, _ := r.pressure.Standing(backpressure.Server{ID: fmt.Sprint("s", i)}, bootclock.Now())
	return standing
}

// What a server says about itself counts in every kind of answer, but not in an answer
// of another server at its address, or one that belongs to another request.
func TestSignalsCountInEveryKindOfAnswer(t *testing.T) {
	for _, test := range []struct {
		name, path string
		answer     answerFunc
		counts     bool
	}{
		{"order", "/order/1", answerWith(200), true},
		{"order, error", "/order/1", answerWith(404), true},
		{"order, server error", "/order/1", answerWith(500), true},
		{"order, refused", "/order/1", notRun, true},
		{"order, broken off", "/order/1", cutAfterHead, true},
		{"read", "/read/1", answerWith(200), true},
		{"read, server error", "/read/1", answerWith(500), true},
		{"stream", "/stream/1", events(2, false), true},
		{"stream, broken off", "/stream/1", events(2, true), true},
		{"stream, refused", "/stream/1", notRun, true},
		{"stream, error", "/stream/1", answerWith(400), true},
		{"non-resumable stream", "/once/1", events(2, false), true},
		{"another server", "/order/1", answerWith(http.StatusMisdirectedRequest), false},
		{"another request", "/order/1", wrongRequestID, false},
	} {
		for _, signal := range []struct {
			name, value string
			want        backpressure.Standing
		}{
			{"Rate", "2", backpressure.PermitNeeded},
			{"Gone-Soon", "1", backpressure.Leaving},
		} {
			t.Run(test.name+" "+signal.name, func(t *testing.T) {
				c := qt.New(t)
				r := newTestGateway(c, newServer(c, saying(test.answer, signal.name, signal.value)))
				// Only what the gateway learns from the answer matters here.
				_, _, _ = r.do(c, http.MethodPost, test.path, "payload")
				want := backpressure.Free
				if test.counts {
					want = signal.want
				}
				c.Check(r.standing(0), qt.Equals, want)
			})
		}
	}
}

// A stream's head tells what the server says; its end may come much later.
func TestSignalsCountFromTheHeadOfAStream(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	r := newTestGateway(c, newServer(c, func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Rate", "2")
		events(1, false)(w, req)
		<-release
	}))
	defer close(release)
	go func() { _, _, _ = r.do(c, http.MethodPost, "/stream/1", "payload") }()
	for r.standing(0) != backpressure.PermitNeeded {
		select {
		case <-time.After(time.Millisecond):
		case <-c.Context().Done():
			return
		}
	}
}

// Unreadable values leave one log line, and requests go on.
func TestUnreadableSignalsAreLogged(t *testing.T) {
	c := qt.New(t)
	s := newServer(c, saying(answerWith(200), "Rate", "-3", "Gone-Soon", "maybe", "Wait", "NaN"))
	r := newTestGateway(c, s)
	go r.cfg.Log.Run(c.Context())
	for range 20 {
		resp, _, err := r.do(c, http.MethodPost, "/order/1", "payload")
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	}
	c.Check(r.standing(0), qt.Equals, backpressure.Free)
	c.Check(s.count(), qt.Equals, 20)
}

// Requests that a limited server can't take in time are refused at once, as not run,
// and their callers are told to return one after the other.
func TestLimitedRequestsAreRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	s := newServer(c, saying(answerWith(200), "Rate", "0.5"))
	r := newTestGateway(c, s)
	_, _, err := r.do(c, http.MethodPost, "/order/0", "payload")
	c.Assert(err, qt.IsNil)
	last := 0.0
	for n := range 5 {
		began := time.Now()
		resp, body, err := r.do(c, http.MethodPost, "/order/1", "payload")
		c.Assert(err, qt.IsNil)
		c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		c.Check(body, qt.Contains, string(ReasonLimited))
		c.Check(time.Since(began) < 100*time.Millisecond, qt.IsTrue)
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		c.Assert(err, qt.IsNil)
		c.Check(after > 1 && after >= last-0.1, qt.IsTrue, qt.Commentf("refusal %d: return after %v s, the one before %v s", n, after, last))
		last = after
	}
	c.Check(s.count(), qt.Equals, 1)
}

// A server that refused with a time to return gets nothing until then, and time in
// which the machine was suspended counts.
func TestQuietTimeEndsDuringASuspension(t *testing.T) {
	c := qt.New(t)
	s := newServer(c, saying(notRun, "Wait", "30"), answerWith(200))
	r := newTestGateway(c, s)
	for range 3 {
		resp, _, err := r.do(c, http.MethodPost, "/order/1", "payload")
		c.Assert(err, qt.IsNil)
		c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	}
	c.Assert(s.count(), qt.Equals, 1)
	bootclock.AddSuspension(31 * time.Second)
	resp, _, err := r.do(c, http.MethodPost, "/order/1", "payload")
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
}

// A permit that expired while the process was stopped or delayed must not send a
// request.
func TestExpiredPermitSendsNothing(t *testing.T) {
	c := qt.New(t)
	s := newServer(c, answerWith(200))
	for _, test := range []struct {
		validFor time.Duration
		sent     bool
	}{{time.Minute, true}, {-time.Millisecond, false}} {
		permit := backpressure.Permit{ValidUntil: bootclock.Now().Add(test.validFor)}
		ctx := context.WithValue(c.Context(), permitKey{}, permit)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL, strings.NewReader(""))
		c.Assert(err, qt.IsNil)
		before := s.count()
		resp, err := newTransport().RoundTrip(req)
		if test.sent {
			c.Assert(err, qt.IsNil)
			_ = resp.Body.Close()
		} else {
			c.Check(err, qt.ErrorIs, errPermitExpired)
		}
		c.Check(s.count() > before, qt.Equals, test.sent)
	}
}

// A server that restarts under its id, or another one at its address, is not bound by
// what the instance before said.
func TestSignalsEndWithTheInstance(t *testing.T) {
	c := qt.New(t)
	s := newServer(c, saying(answerWith(200), "Gone-Soon", "1"), answerWith(200))
	r := newTestGateway(c)
	server := func(id string, born int64) {
		r.PutServer(serverAt(s, id, born))
	}
	server("s0", 1)
	ask := func() int {
		resp, _, err := r.do(c, http.MethodPost, "/order/1", "payload")
		c.Assert(err, qt.IsNil)
		return resp.StatusCode
	}
	c.Check(ask(), qt.Equals, http.StatusOK)
	c.Check(ask(), qt.Equals, http.StatusServiceUnavailable)
	// The record expires and comes back while the instance goes on.
	r.RemoveServer("s0", "expired")
	server("s0", 1)
	c.Check(ask(), qt.Equals, http.StatusServiceUnavailable)
	server("s0", 2)
	c.Check(ask(), qt.Equals, http.StatusOK)
	r.RemoveServer("s0", "gone")
	server("s1", 1)
	c.Check(ask(), qt.Equals, http.StatusOK)
}
