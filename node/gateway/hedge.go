package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/core/limits"
	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

// result is how a run of a request ended: the attempt that decided it, nil if there was
// none, and, if that has no answer for the caller, the reason.
type result struct {
	e      *exchange
	reason Reason
	// body is the answer of a buffered request; release must be called when it is no
	// longer needed.
	body    blocks
	release func()
}

// hedge is a run beside an attempt whose server is silent.
type hedge struct {
	all    *hedges
	req    *request
	done   chan struct{}
	result result
}

// hedges are the runs beside one attempt, one at a time.
type hedges struct {
	// run makes the attempts of a hedge.
	run func(req *request) result

	mu sync.Mutex
	// closed means that the attempt is over.
	closed bool
	// next is the request as the next hedge begins with it. It counts the attempt itself as
	// a run, and what earlier hedges tried.
	next request
	last *hedge
}

// newHedges prepares the hedges of an attempt that is about to begin.
func newHedges(req *request, run func(req *request) result) *hedges {
	h := &hedges{run: run, next: *req}
	h.next.waiter, h.next.runs = nil, req.runs+1
	h.next.tried = slices.Clone(req.tried)
	h.next.left = append(slices.Clone(req.left), req.tried[len(req.tried)-1])
	return h
}

// start begins a hedge, unless one is running or the attempt is over.
func (h *hedges) start() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.isRunning() {
		return false
	}
	req := h.next
	req.tried = slices.Clone(req.tried)
	started := &hedge{all: h, req: &req, done: make(chan struct{})}
	h.last = started
	go func() {
		started.result = h.run(started.req)
		h.mu.Lock()
		h.next.tried, h.next.runs = started.req.tried, started.req.runs
		h.mu.Unlock()
		close(started.done)
	}()
	return true
}

// isRunning reports whether a hedge is running. The caller holds mu.
func (h *hedges) isRunning() bool {
	if h.last == nil {
		return false
	}
	select {
	case <-h.last.done:
		return false
	default:
		return true
	}
}

// close allows no more hedges and returns the last one; nil if there was none.
func (h *hedges) close() *hedge {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	return h.last
}

// await waits for a hedge and adds what all hedges of the attempt have tried to its
// request, which counted runsBefore runs before the attempt.
func (h *hedge) await(req *request, runsBefore int) {
	<-h.done
	h.all.mu.Lock()
	defer h.all.mu.Unlock()
	req.tried = h.all.next.tried
	req.runs += h.all.next.runs - runsBefore - 1
}

// hedge starts a run beside an attempt whose server has been silent, if there is what that
// needs.
func (g *Gateway) hedge(beside *hedges, choice placement.Choice, silent time.Duration) {
	beside.mu.Lock()
	busy, req := beside.closed || beside.isRunning(), beside.next
	beside.mu.Unlock()
	if busy {
		return
	}
	a, decision := g.findAlternative(&req), "kept"
	if a.usable() && beside.start() {
		decision = "hedged"
	}
	g.logSilence(&req, choice, silent, a, decision)
}

// alternative is what a run beside a silent one needs.
type alternative struct {
	// runsLeft means that the request may run once more, retry that the retry budget
	// holds a retry, and server that a server could take the request now.
	runsLeft, retry, server bool
}

func (a alternative) usable() bool { return a.runsLeft && a.retry && a.server }

// findAlternative looks for a server beside those that a request was sent to.
func (g *Gateway) findAlternative(req *request) alternative {
	g.mu.Lock()
	defer g.mu.Unlock()
	return alternative{
		runsLeft: req.mayRerun(), retry: g.budget.CanRetry(limits.RetryKey{Service: req.service}),
		server: g.fleet.CanServe(bootclock.Now(), req.query()),
	}
}

// placeHedge chooses a server for the first attempt of a hedge. The retry is taken from
// the budget once there is a place, so that no place is given up for one without a retry.
func (g *Gateway) placeHedge(ctx context.Context, req *request) (placement.Choice, Reason) {
	choice, reason := g.place(ctx, req)
	if reason != "" {
		return choice, reason
	}
	if time.Until(req.deadline) < req.route.Target/4 || !g.consumeRetry(req) {
		g.releaseServer(choice, placement.Canceled)
		return choice, ReasonRetryBudget
	}
	return choice, ""
}

// logSilence logs what was decided on a silent attempt, and on what grounds.
func (g *Gateway) logSilence(req *request, choice placement.Choice, silent time.Duration, a alternative, decision string) {
	attempts.Add("silent_"+decision, 1)
	g.cfg.Log.Event("attempt_silent", "request", req.call.RequestID, "service", req.service, "server", choice.Server.ID,
		"silent_ms", silent.Milliseconds(), "runs_left", a.runsLeft, "retry", a.retry, "server_free", a.server, "decision", decision)
}

// recordSilence records that a server is silent on an attempt that goes on.
func (g *Gateway) recordSilence(choice placement.Choice) {
	attempts.Add("silent", 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.RecordSilence(bootclock.Now(), choice.Handle)
}
