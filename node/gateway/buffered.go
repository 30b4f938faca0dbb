package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/laburnumloft/laburnumloft/core/placement"
)

// hedgeAfterTargets is how long a server may take for an answer that another one may
// give as well, as a multiple of the route's target, until the other one is tried beside it.
// The time is at least half of what remains until the deadline.
const hedgeAfterTargets = 2

// buffered makes exchanges whose answers are buffered: nothing is forwarded before the
// answer is complete, so that a broken answer leads to a retry or to an error status.
type buffered struct{}

// serveBuffered serves a request whose answer is buffered.
func (g *Gateway) serveBuffered(ctx context.Context, w http.ResponseWriter, req *request) {
	g.recordFirstAttempt(req)
	r := g.newChain(ctx, req, &race{}, buffered{}).run(g.place)
	defer r.release()
	if r.reason != "" {
		g.refuse(w, req, r.reason)
		return
	}
	g.writeAnswer(w, req, r.e, r.body)
}

// watch implements exchanger.
func (buffered) watch(req *request, _ placement.Choice) *progressWatch {
	if !req.route.Retryable() {
		return nil
	}
	after := max(hedgeAfterTargets*req.route.Target, time.Until(req.deadline)/2)
	return &progressWatch{suspectFirst: after, hedgeAfterStart: after, lookInterval: hedgeLookInterval}
}

// exchange implements exchanger.
func (buffered) exchange(ctx context.Context, _ context.CancelCauseFunc, c *chain, choice placement.Choice, _ *progressWatch) result {
	r := result{e: c.g.send(ctx, c.req, choice, AttemptInfo{}), release: releaseNothing}
	e := r.e
	if e.err == nil {
		r.body, r.release, e.err = c.g.readAnswer(e.resp)
	}
	if e.err == nil && e.outcome() == placement.Succeeded {
		c.g.recordSound(c.req, c.req.identity, time.Now().Add(-e.duration))
	}
	return r
}

// accepts implements exchanger.
func (buffered) accepts(*exchange) bool { return true }

// prepareNext implements exchanger.
func (buffered) prepareNext(*request) {}

// hasBegun implements exchanger.
func (buffered) hasBegun() bool { return false }

// decideAfterAttempt decides what follows an attempt that has not answered the request: the
// server's own failure (no reason), another attempt (retry), or a refusal with the reason.
func (g *Gateway) decideAfterAttempt(ctx context.Context, req *request, e *exchange) (reason Reason, retry bool) {
	if reason, retry, failed := g.decideAfterFailure(ctx, req, e); failed {
		return reason, retry
	}
	if e.resp.StatusCode >= http.StatusInternalServerError && req.route.Retryable() {
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
	case errors.Is(e.err, errNotAllowed):
		g.logAttempt(req, e, "not_allowed")
		retry = true
	case errors.Is(e.err, errPermitExpired):
		// Nothing reached the server, so that it may be tried again.
		g.logAttempt(req, e, "permit_expired")
		req.tried = req.tried[:len(req.tried)-1]
		retry = true
	case errors.Is(e.err, errSlowConnect):
		// The bound on servers tried is for servers that refuse.
		g.logAttempt(req, e, "unreachable")
		if !g.consumeRetry(req) {
			return ReasonRetryBudget, false, true
		}
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
	if !req.mayRerun() || !req.hasTimeToRerun() || !g.consumeRetry(req) {
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
		"report_age_ms", choice.ReportAge.Milliseconds(), "weights", choice.Version, "runs", req.runCount(),
		"events", events, "ms", time.Since(req.start).Milliseconds())
}
