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

// hedgeTargets is how many times the target an idempotent request waits before
// it goes to another server. Half of the deadline is left then.
const hedgeTargets = 2

// serveWhole serves a request whose answer is returned in one piece: nothing
// is forwarded before the whole answer is here, so that a broken one can be
// asked for again or told as a failure.
func (g *Gateway) serveWhole(ctx context.Context, w http.ResponseWriter, req *request) {
	g.first(req)
	for {
		choice, reason := g.place(ctx, req)
		if reason != "" {
			g.refuse(w, req, reason)
			return
		}
		e, body, release := g.tryWhole(ctx, req, choice)
		reason, again := g.afterWhole(ctx, req, e)
		switch {
		case again:
		case reason != "":
			g.refuse(w, req, reason)
		default:
			g.answerWhole(w, req, e, body)
		}
		release()
		if !again {
			return
		}
	}
}

// tryWhole makes one attempt and reads the answer's body, whose memory free
// releases.
func (g *Gateway) tryWhole(ctx context.Context, req *request, choice placement.Choice) (e *exchange, body answerBody, free func()) {
	req.offers = append(req.offers, choice.Server.ID)
	if req.mayRunAgain() && req.runs+1 < req.route.MaxAttempts {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, max(hedgeTargets*req.route.Target, time.Until(req.deadline)/2))
		defer cancel()
	}
	e, free = g.send(ctx, req, choice, Offer{}), func() {}
	if e.err == nil {
		body, free, e.err = g.readWhole(e.resp)
	}
	if e.ran() {
		req.runs++
	}
	outcome := e.outcome()
	if e.err != nil && errors.Is(req.in.Context().Err(), context.Canceled) {
		outcome = placement.Canceled
	}
	g.release(choice, outcome)
	return e, body, free
}

// afterWhole decides what follows an attempt: the answer (no reason), another
// attempt, or the end.
func (g *Gateway) afterWhole(ctx context.Context, req *request, e *exchange) (reason Reason, again bool) {
	if reason, again, failed := g.afterFailure(ctx, req, e); failed {
		return reason, again
	}
	if e.resp.StatusCode >= http.StatusInternalServerError && req.route.Kind == route.Safe {
		g.logAttempt(req, e, "errored")
		if _, again := g.rerun(req, ReasonBroken); again {
			return "", true
		}
	}
	if !e.answer.Signed {
		return ReasonBroken, false
	}
	return "", false
}

// afterFailure decides what follows an attempt that brought no answer of the
// server's application; failed is false if it brought one.
func (g *Gateway) afterFailure(ctx context.Context, req *request, e *exchange) (reason Reason, again, failed bool) {
	switch {
	case ctx.Err() != nil && e.err != nil:
		g.logAttempt(req, e, "ended")
		return g.ended(ctx, req), false, true
	case !e.sent:
		g.logAttempt(req, e, "unreachable")
		reason, again = g.repeat(req, ReasonNoServer)
	case e.err != nil:
		g.logAttempt(req, e, "broken")
		reason, again = g.rerun(req, ReasonBroken)
	case e.answer.NotRun || e.answer.Misdirected:
		g.logAttempt(req, e, "not_run")
		// Nothing of a body that refuses is of use.
		_ = e.resp.Body.Close()
		reason, again = g.repeat(req, ReasonRefusedByAll)
	default:
		return "", false, false
	}
	return reason, again, true
}

// repeat allows another offer of a request that has not run.
func (g *Gateway) repeat(req *request, last Reason) (Reason, bool) {
	if len(req.offers) >= maxOffers {
		return last, false
	}
	if !g.mayRepeat(req) {
		return ReasonBudget, false
	}
	return "", true
}

// rerun allows another run of an idempotent request.
func (g *Gateway) rerun(req *request, last Reason) (Reason, bool) {
	if !req.mayRunAgain() || time.Until(req.deadline) < req.route.Target/4 || !g.mayRepeat(req) {
		return last, false
	}
	return "", true
}

func (g *Gateway) answerWhole(w http.ResponseWriter, req *request, e *exchange, body answerBody) {
	copyHeader(w.Header(), e.resp.Header)
	if req.in.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(body.size()))
	}
	w.WriteHeader(e.resp.StatusCode)
	body.writeTo(w)
	g.ok(req, e.choice, e.resp.StatusCode, 0)
}

// ok records an answer that came from a server.
func (g *Gateway) ok(req *request, choice placement.Choice, status int, events int64) {
	outcomes.Add("answered", 1)
	observe(req, time.Since(req.start))
	g.cfg.Log.Routine("request_answered", req.call.RequestID, "status", status, "server", choice.Server.ID,
		"service", req.service, "workspace", req.workspace, "configuration", req.config, "load", choice.Load,
		"report_age_ms", choice.ReportAge.Milliseconds(), "weights", choice.Version, "runs", req.runs,
		"events", events, "ms", time.Since(req.start).Milliseconds())
}
