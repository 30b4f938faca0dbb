package agent

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// TestRefusedRequestIsNotCancelled guards against a cancel order that is sent late to a
// silent engine and ends a request that came back after its refusal.
func TestRefusedRequestIsNotCancelled(t *testing.T) {
	c := qt.New(t)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		wire.WriteError(w, wire.Error{Kind: wire.ErrorOverloaded, Run: wire.RunNotRun, RetryAfterMS: 1000})
	}))
	defer engine.Close()
	a := New(Config{BackendURL: engine.URL, Logger: hclog.NewNullLogger()})
	answer := httptest.NewRecorder()
	_, err := a.generate(c.Context(), answer, wire.AgentRequest{RequestID: "r", MaxTokens: 1})
	c.Assert(err, qt.IsNotNil)
	c.Assert(answer.Code, qt.Equals, http.StatusTooManyRequests)
	c.Check(a.cancels.Items(), qt.HasLen, 0)
}

// plainSettings are settings of a plain service with one method.
func plainSettings(offset int64) *rpc.SettingsState {
	state := settings.NewState()
	state.Templates["t"] = settings.Revision[settings.Template]{Document: settings.Template{
		Name: "t", Services: []settings.Service{{Name: "saklar", Kind: settings.KindPlain, Methods: []settings.Method{{Name: "open"}}}},
	}}
	state.Offset = offset
	data, digest := state.Encode()
	return &rpc.SettingsState{Offset: offset, Digest: digest, State: data}
}

// TestOperationOfASilentServerRunsOnce guards against an operation that is given up or run
// twice because its server is silent and goes on, whatever happens meanwhile.
func TestOperationOfASilentServerRunsOnce(t *testing.T) {
	meanwhile := map[string]func(a *Agent, leave context.CancelFunc){
		"nothing":            func(*Agent, context.CancelFunc) {},
		"planned stop":       func(a *Agent, _ context.CancelFunc) { a.state.leave() },
		"change of settings": func(a *Agent, _ context.CancelFunc) { _ = a.receiveSettings("entry", plainSettings(8)) },
		"caller asks again":  func(_ *Agent, leave context.CancelFunc) { leave() },
	}
	var all sync.WaitGroup
	for name, change := range meanwhile {
		for _, silence := range []time.Duration{500, 1000, 1500, 2000, 3000} {
			all.Go(func() {
				t.Run(fmt.Sprint(name, " ", silence), func(t *testing.T) {
					checkSilentOperation(qt.New(t), silence*time.Millisecond, change)
				})
			})
		}
	}
	all.Wait()
}

func checkSilentOperation(c *qt.C, silence time.Duration, change func(a *Agent, leave context.CancelFunc)) {
	var arrivals atomic.Int32
	arrived := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		arrived <- struct{}{}
		select {
		case <-time.After(silence):
		case <-r.Context().Done():
		}
	}))
	defer server.Close()
	a := New(Config{ID: "agent-1", Service: "saklar", Kind: settings.KindPlain, BackendURL: server.URL, Logger: hclog.NewNullLogger()})
	c.Assert(a.receiveSettings("entry", plainSettings(7)), qt.IsNil)
	a.openSettingsGate()
	go a.operations.run(c.Context())
	reserved, err := a.operations.Reserve(c.Context(), &rpc.ReserveRequest{Service: "saklar", RequestId: "r"})
	c.Assert(err, qt.IsNil)
	run := &rpc.RunRequest{Ticket: reserved.GetTicket(), Method: "open", Body: []byte("{}")}
	first, leave := context.WithCancel(c.Context())
	defer leave()
	ended := make(chan *rpc.Ticket, 1)
	go func() {
		ticket, err := a.operations.Run(first, run)
		if err != nil {
			ticket, err = a.operations.Run(c.Context(), run)
		}
		c.Check(err, qt.IsNil)
		ended <- ticket
	}()
	<-arrived
	change(a, leave)
	c.Check((<-ended).GetOutcome(), qt.Equals, rpc.Outcome_COMPLETED)
	c.Check(a.operations.drain(c.Context()), qt.IsNil)
	c.Check(arrivals.Load(), qt.Equals, int32(1))
}

// versionGate is an admission gate of a backend server that runs a version, or has lost it.
type versionGate struct{ lost bool }

func (versionGate) admit() (string, bool) { return "v1", true }
func (g versionGate) runs(string) bool    { return !g.lost }
func (versionGate) release()              {}

// TestSilentEngineIsNotGivenUp guards against an answer that is ended before its deadline
// because its engine is silent for longer than the stall timeout and goes on, and against
// one that waits for an engine that has lost the version.
func TestSilentEngineIsNotGivenUp(t *testing.T) {
	for name, silences := range map[string][2]time.Duration{
		"before the header": {time.Second, 0},
		"between tokens":    {0, time.Second},
	} {
		for _, lost := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/lost=%t", name, lost), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					pause := func(d time.Duration) {
						select {
						case <-time.After(d):
						case <-r.Context().Done():
						}
					}
					pause(silences[0])
					_, _ = fmt.Fprintln(w, `{"request_id":"r","token":"t"}`)
					_ = http.NewResponseController(w).Flush()
					pause(silences[1])
					_, _ = fmt.Fprintln(w, `{"request_id":"r","end":{"version":"v1","tokens":1}}`)
				}))
				defer engine.Close()
				a := New(Config{BackendURL: engine.URL, StallTimeout: 100 * time.Millisecond, Logger: hclog.NewNullLogger()})
				a.state.gate = versionGate{lost}
				tokens, err := a.generate(c.Context(), httptest.NewRecorder(), wire.AgentRequest{RequestID: "r", Version: "v1", MaxTokens: 1})
				if lost {
					c.Check(err, qt.Equals, errStalled)
					return
				}
				c.Check(err, qt.IsNil)
				c.Check(tokens, qt.Equals, 1)
			})
		}
	}
}
