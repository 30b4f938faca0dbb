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

// stream is the state of one caller's stream across all attempts. The mutex of the contest
// protects it, and only the run that has won writes to the caller.
type stream struct {
	contest
	w          http.ResponseWriter
	controller *http.ResponseController
	sequence   *eventstream.Sequence
	// headerSent means that the caller was sent a header.
	headerSent bool
	events     int64
	// lastEventAt is when the last event was forwarded.
	lastEventAt time.Time
}

// serveStream forwards complete events as they arrive. When an engine fails, a
// resumable stream continues on another engine within the same answer.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, req *request) {
	g.recordFirstAttempt(req)
	s := &stream{w: w, controller: http.NewResponseController(w), sequence: eventstream.NewSequence(req.call.LastEvent, req.call.Resumes)}
	r := g.runStream(ctx, req, s, g.place)
	if r.reason != "" {
		g.endStream(s, req, r)
		return
	}
	g.recordAnswered(req, r.e.choice, r.e.resp.StatusCode, s.events)
	g.recordLength(req, s.events)
}

// placer chooses the server of an attempt.
type placer func(ctx context.Context, req *request) (placement.Choice, Reason)

// runStream makes attempts until one completes the stream, another run wins or no further
// attempt is allowed. first chooses the server of the first one.
func (g *Gateway) runStream(requestCtx context.Context, req *request, s *stream, first placer) (r result) {
	ctx, cancel := context.WithCancelCause(requestCtx)
	defer cancel(nil)
	run := s.enter(cancel)
	defer s.leave(run)
	for place := first; ; place = g.place {
		choice, reason := place(ctx, req)
		if reason != "" {
			r.reason = reason
			return r
		}
		runsBefore := req.runs
		e, hedged := g.tryStream(ctx, requestCtx, req, choice, s, run)
		r.e = e
		if e.settled() {
			return r
		}
		if hedged != nil {
			s.leave(run)
			hedged.await(req, runsBefore)
			if hedged.result.reason == "" || s.hasLost(run) {
				g.logAttempt(req, e, "superseded")
				req.verdict = hedged.req.verdict
				return hedged.result
			}
			s.reenter(run)
		}
		if s.hasLost(run) {
			g.logAttempt(req, e, "superseded")
			r.reason = ReasonBroken
			return r
		}
		reason, retry := g.decideAfterStream(ctx, req, e, s, run)
		if !retry {
			r.reason = reason
			return r
		}
		req.placeBy = s.placeBy(req)
	}
}

// endStream ends a stream that can't be completed. If its header was sent, it
// aborts the connection, so that the stream does not look complete.
func (g *Gateway) endStream(s *stream, req *request, r result) {
	reason := r.reason
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
	if e := r.e; e != nil {
		args = append(args, "server", e.choice.Server.ID, "ended_by", e.endedBy(), "silent_ms", e.silence().Milliseconds())
	}
	g.cfg.Log.Event("stream_cut", args...)
	panic(http.ErrAbortHandler)
}

// tryStream makes one attempt and forwards its events to the caller. While its engine is
// silent, other runs may begin beside it; the last of them is returned.
func (g *Gateway) tryStream(ctx, requestCtx context.Context, req *request, choice placement.Choice, s *stream, run *contestant) (*exchange, *hedge) {
	req.tried = append(req.tried, choice.Server.ID)
	beside := newHedges(req, func(other *request) result { return g.runStream(requestCtx, other, s, g.placeHedge) })
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, end := beginAttempt(ctx, req.body.size(), g.logReset(req, choice))
	defer end()
	watch := newStreamWatch(req, choice)
	watch.onSuspect = func() { g.recordSilence(choice) }
	watch.onSilence = func(silent time.Duration) { g.hedge(beside, choice, silent) }
	watch.onOutdated = func(silent time.Duration) {
		g.logSilence(req, choice, silent, alternative{}, "outdated")
		cancel(errOutdated)
	}
	watch.start()
	defer watch.stop()
	info := AttemptInfo{}
	info.LastEvent, info.Resumes = s.position()
	waiting := g.addWaiting(req.identity, func() { cancel(errQuarantined) })
	defer g.removeWaiting(waiting)
	e := g.send(ctx, req, choice, info)
	// A part of an answer speaks for the parts of the prompt, only a whole one for the
	// request itself: engines may crash late in an answer.
	e.onSound = func() { g.recordSound(req, quarantine.Request{Parts: req.identity.Parts}, e.firstEventAt) }
	if e.err == nil && e.resp.StatusCode == http.StatusOK {
		e.err = s.forward(e, run, watch, func() { g.removeWaiting(waiting) })
	}
	switch {
	case e.err == nil && e.events > 0:
		e.recordSound()
		g.recordSound(req, quarantine.Request{Whole: req.identity.Whole}, e.firstEventAt)
	case e.err != nil && waiting.verdict.Load() != nil:
		e.err, req.verdict = errQuarantined, *waiting.verdict.Load()
	case e.err != nil && s.hasLost(run):
		e.err = errSuperseded
	case e.err != nil && watch.outdated.Load():
		e.err = errOutdated
	case e.err != nil && ctx.Err() == nil:
		beginning := e.resp != nil && e.resp.StatusCode == http.StatusOK && e.events == 0
		g.checkCrash(req, e, !beginning)
	}
	if e.mayHaveRun() {
		req.runs++
	}
	outcome := e.outcome()
	if e.err != nil && (errors.Is(req.in.Context().Err(), context.Canceled) || endedByEntry(e.err)) {
		outcome = placement.Canceled
	}
	g.releaseServer(choice, outcome)
	return e, beside.close()
}

// endedByEntry reports whether an attempt failed for a reason that says nothing about its
// server.
func endedByEntry(err error) bool {
	return errors.Is(err, errOutdated) || errors.Is(err, errQuarantined) || errors.Is(err, errSuperseded)
}

// placeBy returns until when the rest of a begun stream may wait for a server. It can't be
// refused any more, so that it waits as long as its caller does.
func (s *stream) placeBy(req *request) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.headerSent {
		return time.Time{}
	}
	return s.lastEventAt.Add(takeoverAfter(req.route))
}

// position returns the last event that the caller has, from which an attempt resumes.
func (s *stream) position() (last int64, resumes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sequence.Last()
}

// forward copies complete events to the caller until the engine ends the stream.
// It calls onFirst at the first event.
func (s *stream) forward(e *exchange, run *contestant, watch *progressWatch, onFirst func()) error {
	resp := e.resp
	defer func() { _ = resp.Body.Close() }()
	var split eventstream.Splitter
	buffer := make([]byte, readBuffer)
	for {
		n, readErr := resp.Body.Read(buffer)
		if n > 0 {
			split.Write(buffer[:n])
			before := e.events
			forwarded, err := s.forwardEvents(e, run, watch, &split)
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
			return s.complete(resp, run)
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

// complete ends the stream if no other run has won.
func (s *stream) complete(resp *http.Response, run *contestant) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.winLocked(run) {
		return errSuperseded
	}
	s.sendHeader(resp)
	return nil
}

// forwardEvents forwards the complete events that have arrived. The first one wins the
// stream for this run.
func (s *stream) forwardEvents(e *exchange, run *contestant, watch *progressWatch, split *eventstream.Splitter) (forwarded bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		event, ok, err := split.Next()
		if err != nil {
			return forwarded, err
		}
		if !ok {
			break
		}
		if run.lost {
			return forwarded, errSuperseded
		}
		e.recordEvent()
		forward, err := s.sequence.Accept(event.ID)
		if err != nil {
			return forwarded, err
		}
		if !forward {
			continue
		}
		s.winLocked(run)
		watch.pause()
		s.sendHeader(e.resp)
		if _, err := s.w.Write(event.Raw); err != nil {
			return forwarded, err
		}
		s.events++
		s.lastEventAt = time.Now()
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
func (g *Gateway) decideAfterStream(ctx context.Context, req *request, e *exchange, s *stream, run *contestant) (reason Reason, retry bool) {
	if reason, retry, failed := g.decideAfterFailure(ctx, req, e); failed {
		if reason == ReasonBroken && s.isAlone(run) && g.returnToSilent(req) {
			return "", true
		}
		return reason, retry
	}
	return g.handleStreamError(req, e, s, run)
}

// returnToSilent makes a request whose last server has broken off return to those that it
// left because they were silent, once. That is no further server of the request.
func (g *Gateway) returnToSilent(req *request) bool {
	if req.mayRerun() || len(req.left) == 0 || time.Until(req.deadline) < req.route.Target/4 || !g.consumeRetry(req) {
		return false
	}
	req.only, req.left = req.left, nil
	return true
}

// handleStreamError handles an engine's answer other than 200: it tries another
// engine or forwards the answer.
func (g *Gateway) handleStreamError(req *request, e *exchange, s *stream, run *contestant) (reason Reason, retry bool) {
	body, release, err := g.readAnswer(e.resp)
	defer release()
	g.logAttempt(req, e, "errored")
	if e.resp.StatusCode >= http.StatusInternalServerError {
		if _, retry := g.allowRerun(req, ReasonBroken); retry {
			return "", true
		}
	}
	// A run beside this one may still get an answer with events.
	if err != nil || !e.answer.Signed || !s.isAlone(run) || s.headerSent {
		return ReasonBroken, false
	}
	copyHeader(s.w.Header(), e.resp.Header)
	s.headerSent = true
	s.w.WriteHeader(e.resp.StatusCode)
	g.logUnwritten(req, body.writeTo(s.w))
	return "", false
}
