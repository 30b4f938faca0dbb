package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/laburnumloft/laburnumloft/core/routing"
	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/options"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// TestQueueOfAnAgentIsNoSilence guards against an answer that is given up because the wait in
// the agent's queue and the silence of the engine, each in its bound, add up to the stall
// timeout.
func TestQueueOfAnAgentIsNoSilence(t *testing.T) {
	c := qt.New(t)
	const queued, silent = 900 * time.Millisecond, 1500 * time.Millisecond
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-time.After(queued + silent)
		id := r.Header.Get(requestIDHeader)
		_, _ = fmt.Fprintf(w, `{"request_id":%q,"start":{"request_id":%q,"version":"v1"}}`+"\n", id, id)
		_, _ = fmt.Fprintf(w, `{"request_id":%q,"end":{"request_id":%q,"version":"v1"}}`+"\n", id, id)
	}))
	defer agent.Close()
	e := New(Config{ID: "entry", StallTimeout: options.MinStallTimeout, Logger: hclog.NewNullLogger()})
	call := &call{id: "r", service: settings.Service{Name: "s"}, deadline: time.Now().Add(time.Minute)}
	answer := httptest.NewRecorder()
	failure := e.stream(c.Context(), call, e.dispatcher.placement(call),
		grant{address: strings.TrimPrefix(agent.URL, "http://")}, newAnswerSink(answer, call, time.Now()))
	c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%+v", failure))
	c.Check(answer.Code, qt.Equals, http.StatusOK)
}

// silentAgent answers a request with one token, after a silence before the first frame and
// after another one before the last.
func silentAgent(c *qt.C, first, last time.Duration) string {
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The server sees the end of a connection only once the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(requestIDHeader)
		pause := func(d time.Duration) {
			select {
			case <-time.After(d):
			case <-r.Context().Done():
			}
		}
		pause(first)
		_, _ = fmt.Fprintf(w, `{"request_id":%q,"start":{"request_id":%q,"version":"v1"}}`+"\n", id, id)
		_ = http.NewResponseController(w).Flush()
		pause(last)
		_, _ = fmt.Fprintf(w, `{"request_id":%q,"end":{"request_id":%q,"version":"v1"}}`+"\n", id, id)
	}))
	c.Cleanup(agent.Close)
	return strings.TrimPrefix(agent.URL, "http://")
}

// askSilent sends a request to an agent that is a member in a state, from an entry with a
// short stall timeout.
func askSilent(c *qt.C, address string, state rpc.AgentState, deadline time.Duration) (*wire.Error, *placement, time.Duration) {
	e := New(Config{ID: "entry", StallTimeout: 100 * time.Millisecond, Logger: hclog.NewNullLogger()})
	e.members.snapshot.Store(&memberSnapshot{reports: []*rpc.MemberReport{{Id: "agent", State: state}}})
	began := time.Now()
	call := &call{id: "r", service: settings.Service{Name: "s"}, deadline: began.Add(deadline)}
	ctx, cancel := context.WithDeadline(c.Context(), call.deadline)
	defer cancel()
	p := e.dispatcher.placement(call)
	failure := e.stream(ctx, call, p, grant{agent: "agent", address: address}, newAnswerSink(httptest.NewRecorder(), call, began))
	if failure != nil {
		result := resultOf(ctx, failure, 1, p.silent.Load())
		c.Check(result, qt.Equals, routing.Failed)
	}
	return failure, p, time.Since(began)
}

// TestSilentAgentIsNotGivenUp guards against an answer that is ended before its deadline
// because its agent is silent for longer than the stall timeout and goes on.
func TestSilentAgentIsNotGivenUp(t *testing.T) {
	for name, silences := range map[string][2]time.Duration{
		"before the first frame": {3500 * time.Millisecond, 0},
		"between frames":         {0, 2500 * time.Millisecond},
	} {
		for _, state := range []rpc.AgentState{rpc.AgentState_SERVING, rpc.AgentState_LEAVING, rpc.AgentState_SUSPECTED} {
			t.Run(fmt.Sprint(name, " ", state), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				failure, _, _ := askSilent(c, silentAgent(c, silences[0], silences[1]), state, time.Minute)
				c.Check(failure == nil, qt.IsTrue, qt.Commentf("%+v", failure))
			})
		}
	}
}

// TestAgentThatIsGoneIsGivenUp guards against an answer that waits for its deadline although
// its agent is gone, and against a stalled backend server that is never set aside.
func TestAgentThatIsGoneIsGivenUp(t *testing.T) {
	for name, first := range map[string]time.Duration{"before the first frame": time.Minute, "between frames": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			failure, _, took := askSilent(c, silentAgent(c, first, time.Minute), rpc.AgentState_GONE, time.Minute)
			c.Assert(failure, qt.IsNotNil)
			c.Check(failure.Kind, qt.Equals, wire.ErrorTimeout)
			c.Check(failure.Run, qt.Equals, wire.RunUnknown)
			c.Check(took < 5*time.Second, qt.IsTrue, qt.Commentf("after %v", took))
		})
	}
	t.Run("deadline", func(t *testing.T) {
		t.Parallel()
		c := qt.New(t)
		failure, p, _ := askSilent(c, silentAgent(c, 0, time.Minute), rpc.AgentState_SERVING, time.Second)
		c.Assert(failure, qt.IsNotNil)
		c.Check(failure.Kind, qt.Equals, wire.ErrorTimeout)
		c.Check(p.silent.Load(), qt.IsTrue)
	})
}
