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

// attemptTimeoutTargets is the timeout of an attempt that a rerun may follow, as
// a multiple of the route's target. The timeout is at least half of the time that
// remains until the deadline.
const attemptTimeoutTargets = 2

// serveBuffered serves a request whose answer is buffered: nothing is forwarded
// before the answer is complete, so that a broken answer leads to a retry or to
// an error status.
func (g *Gateway) serveBuffered(ctx context.Context, w http.ResponseWriter, req *request) {
	g.recordFirstAttempt(req)
	for {
		choice, reason := g.place(ctx, req)
		if reason != "" {
			g.refuse(w, req, reason)
			return
		}
		e, body, release := g.tryBuffered(ctx, req, choice)
		reason, retry := g.decideAfterBuffered(ctx, req, e)
		switch {
		case retry:
		case reason != "":
			g.refuse(w, req, reason)
		default:
			g.writeAnswer(w, req, e, body)
		}
		release()
		if !retry {
			return
		}
	}
}

// tryBuffered makes one attempt and reads the answer's body. The caller must
// call release when it no longer needs the body.
func (g *Gateway) tryBuffered(ctx context.Context, req *request, choice placement.Choice) (e *exchange, body blocks, release func()) {
	req.tried = append(req.tried, choice.Server.ID)
	if req.mayRerun() && req.runs+1 < req.route.MaxAttempts {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, max(attemptTimeoutTargets*req.route.Target, time.Until(req.deadline)/2))
		defer cancel()
	}
	ctx, end := beginAttempt(ctx, req.body.size(), g.logReset(req, choice))
	defer end()
	e, release = g.send(ctx, req, choice, AttemptInfo{}), func() {}
	if e.err == nil {
		body, release, e.err = g.readAnswer(e.resp)
	}
	switch {
	case e.err == nil && e.outcome() == placement.Succeeded:
		g.recordSound(req, req.identity, time.Now().Add(-e.duration))
	case e.err != nil && ctx.Err() == nil:
		g.checkCrash(req, e, false)
	}
	if e.mayHaveRun() {
		req.runs++
	}
	outcome := e.outcome()
	if e.err != nil && errors.Is(req.in.Context().Err(), context.Canceled) {
		outcome = placement.Canceled
	}
	g.releaseServer(choice, outcome)
	return e, body, release
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
