package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/core/limits"
	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
	"github.com/laburnumloft/laburnumloft/node/lib/stall"
)

// hedge is a chain beside an attempt whose server is silent.
type hedge struct {
	all    *hedges
	chain  *chain
	done   chan struct{}
	result result
}

// hedges are the chains beside one attempt, one at a time.
type hedges struct {
	chain *chain

	mu sync.Mutex
	// closed means that the attempt is over.
	closed bool
	// next is the request as the next hedge begins with it, with what earlier hedges tried.
	next request
	last *hedge
}

// newHedges prepares the hedges of a chain's attempt that is about to begin.
func newHedges(c *chain) *hedges {
	h := &hedges{chain: c, next: *c.req}
	h.next.waiter = nil
	h.next.tried = slices.Clone(c.req.tried)
	h.next.isHedge = true
	return h
}

// mayStart reports whether a hedge may begin. None may once one has led: the chain returns
// the result of the last hedge. The caller holds mu.
func (h *hedges) mayStart() bool {
	return !h.closed && !h.chain.lost.Load() && !h.isRunning()
}

// prepare returns the request of a hedge, or false if none may begin. If no further server
// may get the request, it may return to those that were superseded.
func (h *hedges) prepare() (*request, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.mayStart() {
		return nil, false
	}
	req := h.next
	req.begun = h.chain.exchanger.hasBegun()
	req.tried = slices.DeleteFunc(slices.Clone(req.tried), h.chain.race.mayReturnTo)
	enough := len(req.tried) >= maxServersTried
	if enough || !req.mayRerun() {
		req.only = h.chain.race.supersededServers()
	}
	return &req, !enough || len(req.only) > 0
}

// start begins a hedge with a prepared request, unless the attempt is over.
func (h *hedges) start(req *request) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.mayStart() {
		return false
	}
	c, g := h.chain, h.chain.g
	started := &hedge{all: h, chain: g.newChain(c.requestCtx, req, c.race, c.exchanger), done: make(chan struct{})}
	h.last = started
	go func() {
		started.result = started.chain.run(g.placeHedge)
		h.mu.Lock()
		h.next.tried = req.tried
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
// request.
func (h *hedge) await(req *request) {
	<-h.done
	h.all.mu.Lock()
	defer h.all.mu.Unlock()
	req.tried = h.all.next.tried
}

// hedge starts a chain beside an attempt whose server has been silent, if there is what
// that needs. first means that it is the first look in this silence.
func (g *Gateway) hedge(beside *hedges, choice placement.Choice, silent time.Duration, first bool) {
	req, ok := beside.prepare()
	if !ok {
		return
	}
	a, decision := g.findAlternative(req), "kept"
	if a.usable() && beside.start(req) {
		decision = "hedged"
	}
	if first || decision == "hedged" {
		g.logSilence(beside.chain.req, choice, silent, decision, "runs_left", a.runsLeft, "retry", a.retry, "server_free", a.server)
	}
}

// alternative is what a chain beside a silent server needs.
type alternative struct {
	// runsLeft means that the request may run once more, retry that the retry budget
	// holds a retry, and server that a server could take the request now and no other one
	// waits for a place.
	runsLeft, retry, server bool
}

func (a alternative) usable() bool { return a.runsLeft && a.retry && a.server }

// findAlternative looks for a server beside those that a request was sent to.
func (g *Gateway) findAlternative(req *request) alternative {
	g.mu.Lock()
	defer g.mu.Unlock()
	return alternative{
		runsLeft: req.mayRerun() || len(req.only) > 0, retry: g.budget.CanRetry(limits.RetryKey{Service: req.service}),
		server: g.places.waiting[req.service] == 0 && g.fleet.CanServe(bootclock.Now(), req.query()),
	}
}

// placeHedge chooses a server for the first attempt of a hedge. The retry is taken from
// the budget once there is a place, so that none is spent without an attempt.
func (g *Gateway) placeHedge(ctx context.Context, req *request) (placement.Choice, Reason) {
	choice, reason := g.place(ctx, req)
	if reason == "" && (!req.hasTimeToRerun() || !g.consumeRetry(req)) {
		g.releaseServer(choice, placement.Canceled)
		reason = ReasonRetryBudget
	}
	if reason != "" {
		g.cfg.Log.Event("hedge_ended", "request", req.call.RequestID, "service", req.service, "reason", string(reason))
	}
	return choice, reason
}

// logSilence logs what was decided on a silent attempt, and on what grounds.
func (g *Gateway) logSilence(req *request, choice placement.Choice, silent time.Duration, decision string, grounds ...any) {
	attempts.Add("silent_"+decision, 1)
	g.cfg.Log.Event("attempt_silent", append([]any{
		"request", req.call.RequestID, "service", req.service, "server", choice.Server.ID,
		"silent_ms", silent.Milliseconds(), "decision", decision, "stalled_ms", stall.Total().Milliseconds(),
	}, grounds...)...)
}

// recordSilence records that a server is silent on an attempt that goes on, endSilence that
// it isn't any more.
func (g *Gateway) recordSilence(choice placement.Choice) {
	attempts.Add("silent", 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.RecordSilence(choice.Handle)
}

func (g *Gateway) endSilence(choice placement.Choice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.EndSilence(choice.Handle)
	g.notifyWaiters()
}
