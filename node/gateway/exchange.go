package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/prompt"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade", "Expect", "Content-Length",
}

// exchange is the result of one attempt at one server.
type exchange struct {
	choice placement.Choice
	resp   *http.Response
	answer Answer
	// sent means that bytes of the request may have reached the server.
	sent bool
	// resumes means that the request resumed a stream.
	resumes  bool
	err      error
	duration time.Duration
	// events is the number of stream events received; firstEventAt is when the
	// first one arrived, zero if there was none.
	events       int64
	firstEventAt time.Time
	lastEventAt  time.Time
	// endedAt is when the attempt ended.
	endedAt time.Time
	// crash is what a connection attempt after the exchange told about the engine.
	crash engineState
	// onSound is called once when the answer counts as sound; nil afterwards.
	onSound func()
}

// answered reports whether the server has given a whole answer that is no failure.
func (e *exchange) answered() bool {
	return e.err == nil && !e.answer.NotRun && !e.answer.Misdirected && e.answer.Signed && e.resp.StatusCode < http.StatusInternalServerError
}

// mayHaveRun reports whether the server may have run the request.
func (e *exchange) mayHaveRun() bool {
	if !e.sent {
		return false
	}
	return e.err != nil || !e.answer.NotRun && !e.answer.Misdirected
}

// outcome returns the attempt's outcome for the server's health tracking.
func (e *exchange) outcome() placement.Outcome {
	switch {
	case errors.Is(e.err, errPermitExpired), errors.Is(e.err, errNotAllowed):
		return placement.Canceled
	case !e.sent && errors.Is(e.err, syscall.ECONNREFUSED):
		return placement.Refused
	case !e.sent:
		return placement.Unreachable
	case e.err != nil:
		return placement.Broken
	case e.answer.Misdirected:
		return placement.Misdirected
	case e.answer.NotRun && e.resumes:
		return placement.ResumeShed
	case e.answer.NotRun:
		return placement.Shed
	case e.resp.StatusCode >= http.StatusInternalServerError:
		return placement.Errored
	default:
		return placement.Succeeded
	}
}

// send sends the request to the chosen server and reads the answer's header.
func (g *Gateway) send(ctx context.Context, req *request, choice placement.Choice, info AttemptInfo) *exchange {
	e := &exchange{choice: choice, resumes: info.Resumes}
	var connected atomic.Bool
	ctx = context.WithValue(ctx, permitKey{}, choice.Permit)
	ctx = context.WithValue(ctx, connectKey{}, newConnecting(ctx, g, req, choice))
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	out := &http.Request{
		Method: req.in.Method, Host: req.in.Host, Header: req.in.Header.Clone(),
		URL: serverURL(req.in, choice.Server.Address), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	for _, name := range hopByHopHeaders {
		out.Header.Del(name)
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		// An empty value stops net/http from adding its default User-Agent.
		out.Header["User-Agent"] = []string{""}
	}
	info.Timeout = time.Until(req.deadline)
	info.InstanceID = choice.Server.ID
	info.Workspace = req.workspace
	info.Urgency = req.urgency()
	g.cfg.Codec.Prepare(out.Header, info)
	if size := req.body.size(); size > 0 {
		// GetBody stays unset so that net/http cannot resend the body.
		out.Body = io.NopCloser(req.body.reader())
		out.ContentLength = int64(size)
	}
	started, sentAt := time.Now(), bootclock.Now()
	e.resp, e.err = g.client.RoundTrip(out.WithContext(ctx))
	e.duration = time.Since(started)
	e.sent = connected.Load()
	if e.err != nil {
		return e
	}
	e.answer = g.cfg.Codec.Answer(e.resp)
	if e.answer.RequestID != "" && e.answer.RequestID != req.call.RequestID {
		_ = e.resp.Body.Close()
		e.err = errWrongRequestID
	} else if e.resp.StatusCode < http.StatusOK {
		_ = e.resp.Body.Close()
		e.err = errNoFinalStatus
	} else if e.resp.StatusCode/100 == 2 && (!e.answer.Signed || e.answer.RequestID == "" || e.resp.Header.Get("Content-Encoding") != "") {
		_ = e.resp.Body.Close()
		e.err = errInvalidHeader
	} else if !e.answer.Misdirected {
		g.observeSignals(req, choice.Server, e.answer.Signals, sentAt)
	}
	return e
}

// logReset returns the function that logs when the connection of a cancelled attempt
// was reset. Together with caller_left it tells which part of the way was late.
func (g *Gateway) logReset(req *request, choice placement.Choice) func(cause error, since time.Duration) {
	return func(cause error, since time.Duration) {
		g.cfg.Log.Event("server_connection_reset", "request", req.call.RequestID, "server", choice.Server.ID, "cause", cause.Error(), "after_ms", since.Milliseconds())
	}
}

// logAttempt logs a failed attempt with its cause and the data of the placement.
func (g *Gateway) logAttempt(req *request, e *exchange, result string) {
	status := 0
	if e.resp != nil {
		status = e.resp.StatusCode
	}
	cause := ""
	if e.err != nil {
		cause = e.err.Error()
	}
	g.cfg.Log.Event("attempt_failed", "request", req.call.RequestID, "server", e.choice.Server.ID, "result", result,
		"status", status, "cause", cause, "load", e.choice.Load, "report_age_ms", e.choice.ReportAge.Milliseconds(),
		"weights", e.choice.Version, "ms", e.duration.Milliseconds(),
		"events", e.events, "writing_ms", e.writingTime().Milliseconds(), "silent_ms", e.silence().Milliseconds(), "ended_by", e.endedBy(), "engine", string(e.crash), "parts", prompt.Summary(req.call.PromptParts), "whole", req.identity.WholeID())
}

// recordEvent records an event of the server's stream.
func (e *exchange) recordEvent() {
	e.lastEventAt = time.Now()
	if e.events == 0 {
		e.firstEventAt = e.lastEventAt
	}
	e.events++
	if e.writingTime() >= soundAfter {
		e.recordSound()
	}
}

// recordSound calls onSound, the first time.
func (e *exchange) recordSound() {
	if e.onSound != nil {
		e.onSound()
		e.onSound = nil
	}
}

// writingTime is how long the server has been sending events; 0 if it sent none.
func (e *exchange) writingTime() time.Duration {
	if e.firstEventAt.IsZero() {
		return 0
	}
	return e.until().Sub(e.firstEventAt)
}

// until is the end of the attempt, or now.
func (e *exchange) until() time.Time {
	if e.endedAt.IsZero() {
		return time.Now()
	}
	return e.endedAt
}

// silence is the time from the server's last event to the end of the attempt; 0 if it sent
// none.
func (e *exchange) silence() time.Duration {
	if e.lastEventAt.IsZero() {
		return 0
	}
	return e.until().Sub(e.lastEventAt)
}

// endedBy tells who ended a failed attempt, this entry or the server.
func (e *exchange) endedBy() string {
	ownErrors := []error{
		context.Canceled, context.DeadlineExceeded, errSuperseded, errYielded, errOutdated, errQuarantined, errPermitExpired,
		errAnswerTooLarge, errSlowConnect, errConnectTimeout, errNotAllowed,
	}
	for _, own := range ownErrors {
		if errors.Is(e.err, own) {
			return "entry"
		}
	}
	return "server"
}

// copyHeader copies a server's header without its hop-by-hop fields. Those of dst stay: an
// answer during a planned stop ends its connection.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if !slices.Contains(hopByHopHeaders, name) {
			dst[name] = values
		}
	}
}
