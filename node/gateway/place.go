package gateway

import (
	"context"
	"time"

	"github.com/laburnumloft/laburnumloft/core/limits"
	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

// maxOffers bounds the servers that refuse one request before the gateway does.
const maxOffers = 3

// place chooses a server, and waits for one within the hold time.
func (g *Gateway) place(ctx context.Context, req *request) (placement.Choice, Reason) {
	begun := time.Now()
	left := req.deadline.Sub(begun)
	for {
		g.mu.Lock()
		choice, miss := g.fleet.Choose(bootclock.Now(), placement.Query{
			Service: req.service, Model: req.model, Tried: req.offers, SpareCapacityOnly: req.late,
		})
		changed := g.changed
		g.mu.Unlock()
		if miss == placement.Found {
			return choice, ""
		}
		hold := placement.MaxWait(miss, req.late, req.route.Target, left) - time.Since(begun)
		if hold <= 0 {
			return placement.Choice{}, missReason(miss, req)
		}
		timeout := time.NewTimer(hold)
		select {
		case <-changed:
		case <-timeout.C:
		case <-ctx.Done():
			timeout.Stop()
			return placement.Choice{}, g.ended(ctx, req)
		}
		timeout.Stop()
	}
}

func missReason(miss placement.Miss, req *request) Reason {
	switch {
	case len(req.offers) > 0:
		return ReasonRefusedByAll
	case miss == placement.AllFull:
		return ReasonAllFull
	case miss == placement.NoWeights:
		return ReasonNoWeights
	default:
		return ReasonNoServer
	}
}

// ended tells why a request's context is done.
func (g *Gateway) ended(ctx context.Context, req *request) Reason {
	if req.in.Context().Err() != nil {
		return ReasonClientLeft
	}
	if req.runs > 0 {
		return ReasonTimeout
	}
	return ReasonLateDeadline
}

// mayRepeat takes one repeat from the retry budget.
func (g *Gateway) mayRepeat(req *request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.TryRetry(limits.RetryKey{Service: req.service})
}

// first earns the retry budget of a request's first offer.
func (g *Gateway) first(req *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.RecordAttempt(limits.RetryKey{Service: req.service})
}

// mayRunAgain reports whether a request that may have run may be sent to
// another server.
func (r *request) mayRunAgain() bool { return r.mayRunAgainAfter(0) }

// mayRunAgainAfter reports it for the time after so many more runs.
func (r *request) mayRunAgainAfter(runs int) bool {
	return r.route.Retryable() && r.runs+runs < max(r.route.MaxAttempts, 1)
}

// urgency maps the priority to the engine's scale, on which 5 is usual.
// Callers whose target has passed go behind the others: an answer on time is
// worth several late ones.
func (r *request) urgency() int {
	u := min(max(r.priority+2, 0), 6)
	if r.late {
		u = 8
	}
	return u
}

func (g *Gateway) release(choice placement.Choice, outcome placement.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.Done(bootclock.Now(), choice.Handle, outcome)
	if outcome == placement.Shed {
		attempts.Add("shed", 1)
	}
	g.wake()
}
