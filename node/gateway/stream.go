package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/laburnumloft/laburnumloft/core/eventstream"
	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/quarantine"
)

// readBuffer is a buffer size in bytes that holds several events.
const readBuffer = 8 << 10

// stream is the state of one caller's stream across all attempts.
type stream struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	sequence   *eventstream.Sequence
	// headerSent means that the caller was sent a header.
	headerSent bool
	events     int64
	// lastAttempt is the attempt that failed last; nil if there was none.
	lastAttempt *exchange
}

// serveStream forwards complete events as they arrive. When an engine fails, a
// resumable stream continues on another engine within the same answer.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, req *request) {
	g.recordFirstAttempt(req)
	s := &stream{w: w, controller: http.NewResponseController(w), sequence: eventstream.NewSequence(req.call.LastEvent, req.call.Resumes)}
	for {
		choice, reason := g.place(ctx, req)
		if reason != "" {
			g.endStream(s, req, reason)
			return
		}
		e := g.tryStream(ctx, req, choice, s)
		reason, retry := g.decideAfterStream(ctx, req, e, s)
		s.lastAttempt = e
		if retry {
			continue
		}
		if reason != "" {
			g.endStream(s, req, reason)
			return
		}
		g.recordAnswered(req, choice, e.resp.StatusCode, s.events)
		g.recordLength(req, s.events)
		return
	}
}

// endStream ends a stream that can't be completed. If its header was sent, it
// aborts the connection, so that the stream does not look complete.
func (g *Gateway) endStream(s *stream, req *request, reason Reason) {
	if !s.headerSent {
		g.refuse(s.w, req, reason)
		return
	}
	outcomes.Add("stream_cut_"+string(reason), 1)
	last, _ := s.sequence.Last()
	args := []any{
		"request", req.call.RequestID, "reason", string(reason), "events", s.events, "last_event", last,
		"service", req.service, "offers", len(req.tried), "runs", req.runs, "ms", time.Since(req.start).Milliseconds(),
		"configuration", req.configVersion, "left_ms", time.Until(req.deadline).Milliseconds(),
	}
	if e := s.lastAttempt; e != nil {
		args = append(args, "server", e.choice.Server.ID, "ended_by", e.endedBy(), "silent_ms", e.silence().Milliseconds())
	}
	g.cfg.Log.Event("stream_cut", args...)
	panic(http.ErrAbortHandler)
}

// tryStream makes one attempt and forwards its events to the caller.
func (g *Gateway) tryStream(ctx context.Context, req *request, choice placement.Choice, s *stream) *exchange {
	req.tried = append(req.tried, choice.Server.ID)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, end := beginAttempt(ctx, req.body.size(), g.logReset(req, choice))
	defer end()
	watch := g.watchProgress(req, choice, func() { cancel(errNoProgress) })
	defer watch.stop()
	info := AttemptInfo{}
	info.LastEvent, info.Resumes = s.sequence.Last()
	waiting := g.addWaiting(req.identity, func() { cancel(errQuarantined) })
	defer g.removeWaiting(waiting)
	e := g.send(ctx, req, choice, info)
	// A part of an answer speaks for the parts of the prompt, only a whole one for the
	// request itself: engines may crash late in an answer.
	e.onSound = func() { g.recordSound(req, quarantine.Request{Parts: req.identity.Parts}, e.firstEventAt) }
	if e.err == nil && e.resp.StatusCode == http.StatusOK {
		e.err = s.forward(e, watch, func() { g.removeWaiting(waiting) })
	}
	switch {
	case e.err == nil && e.events > 0:
		e.recordSound()
		g.recordSound(req, quarantine.Request{Whole: req.identity.Whole}, e.firstEventAt)
	case e.err != nil && waiting.verdict.Load() != nil:
		e.err, req.verdict = errQuarantined, *waiting.verdict.Load()
	case e.err != nil && watch.cancelled.Load():
		e.err = errNoProgress
	case e.err != nil && ctx.Err() == nil:
		beginning := e.resp != nil && e.resp.StatusCode == http.StatusOK && e.events == 0
		g.checkCrash(req, e, !beginning)
	}
	if e.mayHaveRun() {
		req.runs++
	}
	outcome := e.outcome()
	if e.err != nil && (errors.Is(req.in.Context().Err(), context.Canceled) || watch.outdated.Load() && errors.Is(e.err, errNoProgress) || errors.Is(e.err, errQuarantined)) {
		outcome = placement.Canceled
	}
	g.releaseServer(choice, outcome)
	return e
}

// forward copies complete events to the caller until the engine ends the stream.
// It calls onFirst at the first event.
func (s *stream) forward(e *exchange, watch *progressWatch, onFirst func()) error {
	resp := e.resp
	defer func() { _ = resp.Body.Close() }()
	var split eventstream.Splitter
	buffer := make([]byte, readBuffer)
	for {
		n, readErr := resp.Body.Read(buffer)
		if n > 0 {
			split.Write(buffer[:n])
			before := e.events
			forwarded, err := s.forwardEvents(e, &split)
			if before == 0 && e.events > 0 {
				onFirst()
			}
			if err != nil {
				return err
			}
			if forwarded {
				watch.handleEvent()
			}
		}
		if errors.Is(readErr, io.EOF) {
			if split.Buffered() > 0 {
				return io.ErrUnexpectedEOF
			}
			if e.events == 0 && endsWithConnection(resp) {
				return errEmptyStream
			}
			s.sendHeader(resp)
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// endsWithConnection reports whether only the end of the connection ends an answer,
// because it has neither a length nor chunks.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

func (s *stream) forwardEvents(e *exchange, split *eventstream.Splitter) (forwarded bool, err error) {
	for {
		event, ok, err := split.Next()
		if err != nil {
			return forwarded, err
		}
		if !ok {
			break
		}
		e.recordEvent()
		forward, err := s.sequence.Accept(event.ID)
		if err != nil {
			return forwarded, err
		}
		if !forward {
			continue
		}
		s.sendHeader(e.resp)
		if _, err := s.w.Write(event.Raw); err != nil {
			return forwarded, err
		}
		s.events++
		forwarded = true
	}
	if forwarded {
		return true, s.controller.Flush()
	}
	return false, nil
}

// sendHeader sends the caller the engine's header, unless one was already sent.
func (s *stream) sendHeader(resp *http.Response) {
	if s.headerSent {
		return
	}
	s.headerSent = true
	copyHeader(s.w.Header(), resp.Header)
	s.w.WriteHeader(resp.StatusCode)
}

// decideAfterStream decides what follows an attempt, like decideAfterBuffered.
func (g *Gateway) decideAfterStream(ctx context.Context, req *request, e *exchange, s *stream) (reason Reason, retry bool) {
	if reason, retry, failed := g.decideAfterFailure(ctx, req, e); failed {
		return reason, retry
	}
	if e.resp.StatusCode == http.StatusOK {
		return "", false
	}
	return g.handleStreamError(req, e, s)
}

// handleStreamError handles an engine's answer other than 200: it tries another
// engine or forwards the answer.
func (g *Gateway) handleStreamError(req *request, e *exchange, s *stream) (reason Reason, retry bool) {
	body, release, err := g.readAnswer(e.resp)
	defer release()
	g.logAttempt(req, e, "errored")
	if e.resp.StatusCode >= http.StatusInternalServerError {
		if _, retry := g.allowRerun(req, ReasonBroken); retry {
			return "", true
		}
	}
	if err != nil || !e.answer.Signed || s.headerSent {
		return ReasonBroken, false
	}
	copyHeader(s.w.Header(), e.resp.Header)
	s.headerSent = true
	s.w.WriteHeader(e.resp.StatusCode)
	g.logUnwritten(req, body.writeTo(s.w))
	return "", false
}
