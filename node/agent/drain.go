package agent

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/node/lib/callerconn"
	"github.com/laburnumloft/laburnumloft/node/lib/lifecycle"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// ErrCut is returned when a forced stop cut requests in flight.
var ErrCut = eris.New("stop was forced with requests in flight")

// closeTimeout bounds the end of idle connections after the drain.
const closeTimeout = 3 * time.Second

// lastLook is the time to see whether operations are in flight.
const lastLook = 100 * time.Millisecond

// health is the answer of GET /v1/health.
type health struct {
	Ready   bool   `json:"ready"`
	Leaving bool   `json:"leaving"`
	Version string `json:"version,omitempty"`
	// Problem is why the agent does not get on to the intended version.
	Problem string `json:"problem,omitempty"`
}

func (a *Agent) handleHealth(w http.ResponseWriter, _ *http.Request) {
	a.state.mu.Lock()
	serving := a.state.versionState == "serving"
	version, problem := a.state.version, a.state.problem
	a.state.mu.Unlock()
	leaving := a.tracker.Leaving()
	h := health{Ready: serving && !leaving, Leaving: leaving, Version: version, Problem: problem}
	status := http.StatusOK
	if !h.Ready {
		status = http.StatusServiceUnavailable
	}
	wire.WriteJSON(w, status, h)
}

// isWork tells the requests that a leaving agent must not start. Weights stay
// available to peers, and tickets can be read, until the end.
func isWork(r *http.Request) bool {
	return r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/agent/")
}

// isOperation tells the calls that are counted as in flight but pass while
// the agent is leaving: the ticket table refuses new ones itself and still
// tells recorded outcomes.
func isOperation(r *http.Request) bool {
	return strings.HasPrefix(r.URL.Path, rpc.OperationsPathPrefix)
}

// refuse answers a late arrival, so that the entry goes on to another agent.
func refuse(w http.ResponseWriter, r *http.Request) {
	wire.WriteError(w, wire.Error{
		Kind: wire.ErrorLeaving, Message: "this agent is leaving",
		RequestID: r.Header.Get(lifecycle.RequestIDHeader), Run: wire.RunNotRun,
	})
}

// shutdown lets everything in flight end, then closes the server. The report
// of leaving goes out first.
func (a *Agent) shutdown(force context.Context, server *http.Server) error {
	a.tracker.StartLeaving()
	a.state.leave()
	a.logger.Info("agent is leaving", "in_flight", len(a.tracker.InFlight()))
	ctx, cancel := context.WithTimeout(force, a.cfg.DrainTimeout)
	defer cancel()
	if !a.tracker.Drain(ctx) {
		cut := a.tracker.InFlight()
		a.logger.Error("stop was forced; requests were cut", "request_ids", cut)
		return errors.Join(eris.Wrapf(ErrCut, "%d requests", len(cut)), server.Close())
	}
	if err := a.drainOperations(ctx); err != nil {
		a.logger.Error("stop was forced; operations were cut")
		return errors.Join(ErrCut, err, server.Close())
	}
	ctx, cancelClose := context.WithTimeout(ctx, closeTimeout)
	defer cancelClose()
	if callerconn.Shutdown(ctx, server) != nil {
		// Only transfers to peers are left; they fetch from others.
		_ = server.Close()
	}
	a.logger.Info("agent stopped; nothing was cut")
	return nil
}

// drainOperations waits for the operations in flight. It looks at them even if
// ctx has ended, because a stop with nothing in flight is no forced one.
func (a *Agent) drainOperations(ctx context.Context) error {
	if ctx.Err() == nil {
		return a.operations.drain(ctx)
	}
	last, cancel := context.WithTimeout(context.Background(), lastLook)
	defer cancel()
	return a.operations.drain(last)
}
