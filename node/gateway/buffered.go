package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/route"
)

// hedgeAfterTargets is how long a server may take for an answer that another one may
// give as well, as a multiple of the route's target, until the other one is tried beside it.
// The time is at least half of what remains until the deadline.
const hedgeAfterTargets = 2

// serveBuffered serves a request whose answer is buffered: nothing is forwarded
// before the answer is complete, so that a broken answer leads to a retry or to
// an error status.
func (g *Gateway) serveBuffered(ctx context.Context, w http.ResponseWriter, req *request) {
	g.recordFirstAttempt(req)
	r := g.runBuffered(ctx, req, &contest{}, g.place)
	defer r.release()
	if r.reason != "" {
		g.refuse(w, req, r.reason)
		return
	}
	g.writeAnswer(w, req, r.e, r.body)
}

// runBuffered makes attempts until one has an answer, another run wins or no further
// attempt is allowed. first chooses the server of the first one.
func (g *Gateway) runBuffered(requestCtx context.Context, req *request, c *contest, first placer) result {
	ctx, cancel := context.WithCancelCause(requestCtx)
	defer cancel(nil)
	run := c.enter(cancel)
	defer c.leave(run)
	for place := first; ; place = g.place {
		choice, reason := place(ctx, req)
		if reason != "" {
			return result{reason: reason, release: releaseNothing}
		}
		runsBefore := req.runs
		r, hedged := g.tryBuffered(ctx, requestCtx, req, choice, c, run)
		if r.e.answered() && c.win(run) {
			return r
		}
		if hedged != nil {
			c.leave(run)
			hedged.await(req, runsBefore)
			if hedged.result.reason == "" || c.hasLost(run) {
				g.logAttempt(req, r.e, "superseded")
				req.verdict = hedged.req.verdict
				r.release()
				return hedged.result
			}
			c.reenter(run)
		}
		if c.hasLost(run) {
			g.logAttempt(req, r.e, "superseded")
			return r.failed(ReasonBroken)
		}
		reason, retry := g.decideAfterBuffered(ctx, req, r.e)
		switch {
		case retry:
			r.release()
		case reason != "":
			return r.failed(reason)
		case !c.isAlone(run):
			// The run beside this one may still get an answer that is no failure.
			return r.failed(ReasonBroken)
		default:
			return r
		}
	}
}

// failed returns the result without its body, for a reason.
func (r result) failed(reason Reason) result {
	r.release()
	return result{e: r.e, reason: reason, release: releaseNothing}
}

func releaseNothing() {}

// tryBuffered makes one attempt and reads the answer's body. While its server gives no
// answer, other runs may begin beside it; the last of them is returned.
func (g *Gateway) tryBuffered(ctx, requestCtx context.Context, req *request, choice placement.Choice, c *contest, run *contestant) (result, *hedge) {
	req.tried = append(req.tried, choice.Server.ID)
	beside := newHedges(req, func(other *request) result { return g.runBuffered(requestCtx, other, c, g.placeHedge) })
	if beside.next.mayRerun() {
		after := max(hedgeAfterTargets*req.route.Target, time.Until(req.deadline)/2)
		watch := &progressWatch{firstTimeout: after, pauseTimeout: max(req.route.Target, minHedgeInterval), deadline: req.deadline}
		watch.onSuspect = func() { g.recordSilence(choice) }
		watch.onSilence = func(silent time.Duration) { g.hedge(beside, choice, silent) }
		watch.start()
		defer watch.stop()
	}
	ctx, end := beginAttempt(ctx, req.body.size(), g.logReset(req, choice))
	defer end()
	r := result{e: g.send(ctx, req, choice, AttemptInfo{}), release: releaseNothing}
	e := r.e
	if e.err == nil {
		r.body, r.release, e.err = g.readAnswer(e.resp)
	}
	switch {
	case e.err == nil && e.outcome() == placement.Succeeded:
		g.recordSound(req, req.identity, time.Now().Add(-e.duration))
	case e.err != nil && c.hasLost(run):
		e.err = errSuperseded
	case e.err != nil && ctx.Err() == nil:
		g.checkCrash(req, e, false)
	}
	if e.mayHaveRun() {
		req.runs++
	}
	outcome := e.outcome()
	if e.err != nil && (errors.Is(req.in.Context().Err(), context.Canceled) || endedByEntry(e.err)) {
		outcome = placement.Canceled
	}
	g.releaseServer(choice, outcome)
	return r, beside.close()
}

// decideAfterBuffered decides what follows an attempt: the answer (no reason),
// another attempt (retry), or a refusal with the reason.
func (g *Gateway) decideAfterBuffered(ctx context.Context, req *request, e *exchange) (reason Reason, retry bool) {
	if reason, retry, failed := g.decideAfterFailure(ctx, req, e); failed {
		return reason, retry
	}
	if e.resp.StatusCode >= http.StatusInternalServerError && req.route.Kind == route.Safe {
		g.logAttempt(req, e, "errored")
		if _, retry := g.allowRerun(req, ReasonBroken); retry {
			return "", true
		}
	}
	if !e.answer.Signed {
		return ReasonBroken, false
	}
	return "", false
}

// decideAfterFailure decides what follows an attempt without an answer from the
// server's application; failed is false if there was such an answer.
func (g *Gateway) decideAfterFailure(ctx context.Context, req *request, e *exchange) (reason Reason, retry, failed bool) {
	switch {
	case ctx.Err() != nil && e.err != nil:
		g.logAttempt(req, e, "ended")
		return g.reasonForDone(ctx, req), false, true
	case errors.Is(e.err, errQuarantined):
		g.logAttempt(req, e, "quarantined")
		return ReasonQuarantined, false, true
	case errors.Is(e.err, errPermitExpired):
		// Nothing reached the server, so that it may be tried again.
		g.logAttempt(req, e, "permit_expired")
		req.tried = req.tried[:len(req.tried)-1]
		retry = true
	case !e.sent:
		g.logAttempt(req, e, "unreachable")
		reason, retry = g.allowRetry(req, ReasonNoServer)
	case e.err != nil:
		g.logAttempt(req, e, "broken")
		if verdict, found := g.quarantined(req.identity); found {
			req.verdict = verdict
			return ReasonQuarantined, false, true
		}
		reason, retry = g.allowRerun(req, ReasonBroken)
	case e.answer.NotRun || e.answer.Misdirected:
		g.logAttempt(req, e, "not_run")
		// The body of a refusal is not needed.
		_ = e.resp.Body.Close()
		reason, retry = g.allowRetry(req, ReasonRefusedByAll)
	default:
		return "", false, false
	}
	return reason, retry, true
}

// allowRetry decides whether a request that has not run is sent to another
// server, and takes a retry from the budget if so.
func (g *Gateway) allowRetry(req *request, fallback Reason) (Reason, bool) {
	if len(req.tried) >= maxServersTried {
		return fallback, false
	}
	if !g.consumeRetry(req) {
		return ReasonRetryBudget, false
	}
	return "", true
}

// allowRerun decides whether an idempotent request that may have run is sent to
// another server, and takes a retry from the budget if so.
func (g *Gateway) allowRerun(req *request, fallback Reason) (Reason, bool) {
	if !req.mayRerun() || time.Until(req.deadline) < req.route.Target/4 || !g.consumeRetry(req) {
		return fallback, false
	}
	return "", true
}

func (g *Gateway) writeAnswer(w http.ResponseWriter, req *request, e *exchange, body blocks) {
	copyHeader(w.Header(), e.resp.Header)
	if req.in.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(body.size()))
	}
	w.WriteHeader(e.resp.StatusCode)
	g.logUnwritten(req, body.writeTo(w))
	g.recordAnswered(req, e.choice, e.resp.StatusCode, 0)
}

// recordAnswered counts and logs a request that a server answered.
func (g *Gateway) recordAnswered(req *request, choice placement.Choice, status int, events int64) {
	outcomes.Add("answered", 1)
	recordLatency(req, time.Since(req.start))
	g.cfg.Log.Routine("request_answered", req.call.RequestID, "status", status, "server", choice.Server.ID,
		"service", req.service, "workspace", req.workspace, "configuration", req.configVersion, "load", choice.Load,
		"report_age_ms", choice.ReportAge.Milliseconds(), "weights", choice.Version, "runs", req.runs,
		"events", events, "ms", time.Since(req.start).Milliseconds())
}
