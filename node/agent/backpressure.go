package agent

import (
	"context"
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/backpressure"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// maxPermitWait is how long a request waits here until the backend server takes it. One
// that would wait longer goes back to the entry at once, which has other agents.
const maxPermitWait = 100 * time.Millisecond

var agentBackpressure = expvar.NewMap("agent_backpressure_total")

// backendGate keeps requests away from a backend server in need. All requests to the
// server pass through its agent, which therefore needs no permits from others.
type backendGate struct {
	logger hclog.Logger

	mu      sync.Mutex
	tracker *backpressure.Tracker
	// server is the current instance. An answer to a later request that no longer says
	// that the server is leaving shows that another instance has started.
	server    backpressure.Server
	leavingAt time.Time
}

// soleMembership is the membership of an agent, which shares its server with nobody.
var soleMembership = backpressure.Membership{Self: "agent", Candidates: map[string]time.Duration{"agent": 0}, Live: 1, Known: 1}

func newBackendGate(url string, logger hclog.Logger) *backendGate {
	return &backendGate{logger: logger, tracker: backpressure.NewTracker(), server: backpressure.Server{ID: url, Born: 1}}
}

// observe records what an answer says about the backend server.
func (g *backendGate) observe(resp *http.Response, sentAt time.Time) {
	signals := wire.DecodeSignals(resp)
	if len(signals.Unreadable) > 0 {
		agentBackpressure.Add("unreadable", int64(len(signals.Unreadable)))
		g.logger.Warn("unreadable header of the backend server", "values", signals.Unreadable)
	}
	now := bootclock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if signals.Leaving && g.leavingAt.IsZero() {
		g.leavingAt = now
	}
	if !signals.Leaving && !g.leavingAt.IsZero() && sentAt.After(g.leavingAt) {
		g.server.Born++
		g.leavingAt = time.Time{}
		g.logger.Info("backend server is no longer leaving")
	}
	for _, c := range g.tracker.Observe(g.server, signals, sentAt, now) {
		agentBackpressure.Add(string(c.Kind), 1)
		g.logger.Info("backend server in need", "change", string(c.Kind), "limit", c.Rate, "quiet_ms", c.QuietFor.Milliseconds())
	}
}

// wait returns the time until the backend server takes the next request: 0 if it takes
// one now, and a negative time if it is leaving. It uses no permit.
func (g *backendGate) wait(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	standing, until := g.tracker.Standing(g.server, now)
	switch standing {
	case backpressure.Leaving:
		return -1
	case backpressure.Paused:
		return max(until.Sub(now), 1)
	case backpressure.PermitNeeded:
		return g.tracker.Available(g.server, now)
	default:
		return 0
	}
}

// take uses the permit for one request. It reports false if the server takes none now.
func (g *backendGate) take(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	standing, _ := g.tracker.Standing(g.server, now)
	if standing == backpressure.PermitNeeded {
		g.tracker.Ask(g.server, soleMembership, now)
		standing, _ = g.tracker.Standing(g.server, now)
	}
	if standing == backpressure.Leaving || standing == backpressure.Paused {
		return false
	}
	_, ok := g.tracker.TakePermit(g.server, now)
	return ok
}

// await takes a permit, for which it waits up to maxPermitWait.
func (g *backendGate) await(ctx context.Context) bool {
	deadline := bootclock.Now().Add(maxPermitWait)
	for {
		now := bootclock.Now()
		if g.take(now) {
			return true
		}
		wait := g.wait(now)
		if wait < 0 || now.Add(wait).After(deadline) {
			return false
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return false
		}
	}
}

// refusal returns the error of a request that the backend server does not take in time,
// or nil if it does.
func (g *backendGate) refusal() *wire.Error {
	wait := g.wait(bootclock.Now())
	switch {
	case wait < 0:
		return &wire.Error{Kind: wire.ErrorLeaving, Message: "backend server is leaving"}
	case wait > maxPermitWait:
		agentBackpressure.Add("refused", 1)
		return &wire.Error{Kind: wire.ErrorUnavailable, Message: "backend server limits its rate or wants no requests", RetryAfterMS: wait.Milliseconds() + 1}
	default:
		return nil
	}
}

// pausedMS returns for how many milliseconds entries should send no requests.
func (g *backendGate) pausedMS() int64 {
	wait := g.wait(bootclock.Now())
	if wait < 0 {
		return leavingPause.Milliseconds()
	}
	return wait.Milliseconds()
}

// leavingPause is how long entries send no requests to the agent of a server that is
// leaving, until they try again: another instance may have started.
const leavingPause = 10 * time.Second

// errNoFinalStatus means that a backend server may have run the request, as after a connection
// that breaks.
var errNoFinalStatus = eris.New("the status of the backend server's answer, under 200, does not end a request")

// signalTransport reports the answers of a backend server to its gate. What a server sends
// under a status that ends no request is none.
type signalTransport struct {
	http.RoundTripper
	gate *backendGate
}

// RoundTrip implements http.RoundTripper.
func (t signalTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	sentAt := bootclock.Now()
	resp, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode < http.StatusOK {
		_ = resp.Body.Close()
		return nil, errNoFinalStatus
	}
	t.gate.observe(resp, sentAt)
	return resp, nil
}
