package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/laburnumloft/laburnumloft/core/limits"
	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
	"github.com/laburnumloft/laburnumloft/node/lib/stall"
)

// maxServersTried limits how many servers may refuse a request before the
// gateway refuses it.
const maxServersTried = 3

// place chooses a server. If none is available, it waits for one up to
// placement.MaxWait.
func (g *Gateway) place(ctx context.Context, req *request) (placement.Choice, Reason) {
	started, stalledBefore := time.Now(), stall.Total()
	remaining := req.deadline.Sub(started)
	// queued is set while the request counts as waiting for a limited server.
	queued := false
	// waiting is set while the request counts as waiting for a place, yielded once a hedge
	// was ended for it.
	waiting, yielded := false, false
	// lastMiss is the reason of the last decision that holds for this request. There is
	// none if others tried first all the time.
	lastMiss := placement.AllFull
	defer func() {
		if queued {
			g.leaveLimitedQueue(req.service)
		}
		if waiting {
			g.leaveWaiting(req.service)
		}
		g.leaveQueue(req)
	}()
	for {
		if verdict, found := g.quarantined(req.identity); found {
			req.verdict = verdict
			return placement.Choice{}, ReasonQuarantined
		}
		now := bootclock.Now()
		g.updateEntriesView(now)
		choice, miss, changed := g.choose(req, now)
		if miss != notItsTurn {
			req.exclusions, lastMiss = choice.Exclusions, miss
		}
		if miss == placement.Found && choice.NeedsPermit {
			permit, ok := g.acquirePermit(ctx, choice.Server.Instance())
			if !ok {
				g.releaseServer(choice, placement.Canceled)
				g.cfg.Log.Event("request_moved", "request", req.call.RequestID, "server", choice.Server.ID, "reason", "no_permit")
				continue
			}
			choice.Permit = permit
		}
		if miss == placement.Found {
			return choice, ""
		}
		if req.isHedge {
			return placement.Choice{}, missReason(lastMiss, req)
		}
		// What arrived during a stall of this process is read only after it.
		waited := time.Since(started) - (stall.Total() - stalledBefore)
		remainingWait := g.maxWait(req, miss, remaining) - waited
		if miss != placement.NoHome && miss != placement.TooLarge && !req.nobodyResumes() {
			remainingWait = max(remainingWait, time.Until(req.placeBy))
		}
		if miss == placement.Limited {
			if !queued {
				remainingWait -= g.joinLimitedQueue(req.service)
				queued = true
			}
			if choice.AvailableIn >= remainingWait {
				req.availableIn = choice.AvailableIn
				return placement.Choice{}, ReasonLimited
			}
			remainingWait = max(choice.AvailableIn, minPause)
		}
		if remainingWait <= 0 {
			return placement.Choice{}, missReason(lastMiss, req)
		}
		if !waiting && (miss == placement.AllFull || miss == notItsTurn) {
			g.joinWaiting(req.service)
			waiting = true
		}
		if !yielded && miss == placement.AllFull {
			yielded = g.endHedgeFor(req)
		}
		if choice.PauseEndsIn > 0 {
			// No message announces the end of a pause.
			remainingWait = min(remainingWait, max(choice.PauseEndsIn, minPause))
		}
		timeout := time.NewTimer(remainingWait)
		select {
		case <-changed:
		case <-timeout.C:
			g.recordElapsedPause(req)
		case <-ctx.Done():
			timeout.Stop()
			return placement.Choice{}, g.reasonForDone(ctx, req)
		}
		timeout.Stop()
	}
}

// nobodyResumes reports whether the rest of a begun stream is known to find no server: those
// of its service were sent it or take no more requests. Where only one server was sent it,
// the one that broke off, it may come back as a new instance.
func (r *request) nobodyResumes() bool {
	return len(r.tried) > 1 && r.exclusions.AllForGood()
}

// query returns what the request asks of a server.
func (r *request) query() placement.Query {
	tried := r.tried
	if len(r.only) > 0 {
		tried = nil
	}
	reserve := r.reserve
	if r.isHedge {
		reserve = max(reserve, hedgeReserve)
	}
	return placement.Query{
		Service: r.service, Model: r.model, Tried: tried, Only: r.only, SpareCapacityOnly: r.pastTarget, Regions: r.regions, Tokens: r.tokens,
		MaxTokens: r.maxTokens, Reserve: reserve, Resumes: r.resumes(),
	}
}

// resumes reports whether the request goes on with a stream that its caller has in part.
func (r *request) resumes() bool { return r.call.Resumes || r.begun || !r.placeBy.IsZero() }

// joinLimitedQueue counts a request that waits for a limited server, and returns how
// long the requests that wait already will take.
func (g *Gateway) joinLimitedQueue(service string) time.Duration {
	m := g.membership()
	g.mu.Lock()
	defer g.mu.Unlock()
	ahead := g.limitedWaiting[service]
	g.limitedWaiting[service]++
	rate := g.fleet.LimitedRate(service) / float64(max(m.Live, 1))
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

func (g *Gateway) leaveLimitedQueue(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limitedWaiting[service]--; g.limitedWaiting[service] <= 0 {
		delete(g.limitedWaiting, service)
	}
}

func missReason(miss placement.Miss, req *request) Reason {
	if len(req.tried) > 0 {
		return ReasonRefusedByAll
	}
	switch miss {
	case placement.AllFull:
		return ReasonAllFull
	case placement.NoWeights:
		return ReasonNoWeights
	case placement.NoHome:
		return ReasonNoHome
	case placement.AllCold:
		return ReasonCold
	case placement.TooLarge:
		return ReasonTooLarge
	default:
		return ReasonNoServer
	}
}

// reasonForDone returns the reason for which the request's context is done.
func (g *Gateway) reasonForDone(ctx context.Context, req *request) Reason {
	if req.in.Context().Err() != nil {
		return ReasonClientLeft
	}
	if errors.Is(context.Cause(ctx), errStopping) {
		return ReasonStopping
	}
	if req.runCount() > 0 {
		return ReasonTimeout
	}
	return ReasonDeadline
}

// consumeRetry takes one retry from the retry budget, if it allows one.
func (g *Gateway) consumeRetry(req *request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.TryRetry(limits.RetryKey{Service: req.service})
}

// recordFirstAttempt credits the retry budget with a request's first attempt.
func (g *Gateway) recordFirstAttempt(req *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.RecordAttempt(limits.RetryKey{Service: req.service})
}

// runCount returns how many attempts are in flight or may have run.
func (r *request) runCount() int {
	if r.runs == nil {
		return 0
	}
	return int(r.runs.Load())
}

// mayRerun reports whether a request that may have run may be sent to another
// server.
func (r *request) mayRerun() bool {
	return r.route.Retryable() && r.runCount() < max(r.route.MaxAttempts, 1)
}

// hasTimeToRerun reports whether enough time is left for another attempt.
func (r *request) hasTimeToRerun() bool { return time.Until(r.deadline) >= r.route.Target/4 }

// urgency maps the priority to the engine's scale, on which 5 is the default.
// Requests past their target are served after all others, because one answer on
// time is worth several late ones.
func (r *request) urgency() int {
	u := min(max(r.priority+2, 0), 6)
	if r.pastTarget {
		u = 8
	}
	return u
}

func (g *Gateway) releaseServer(choice placement.Choice, outcome placement.Outcome) {
	now := bootclock.Now()
	g.mu.Lock()
	g.fleet.Done(now, choice.Handle, outcome)
	returnsCold := outcome == placement.Refused && g.fleet.HasCold(now)
	if outcome == placement.Shed || outcome == placement.ResumeShed {
		attempts.Add("shed", 1)
	}
	g.notifyWaiters()
	g.mu.Unlock()
	if returnsCold {
		g.setEntriesView()
	}
}
