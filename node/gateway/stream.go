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

// stream is the state of one caller's stream across all attempts. The race's mutex protects
// it, and only the chain that leads writes to the caller.
type stream struct {
	*race
	w          http.ResponseWriter
	controller *http.ResponseController
	sequence   *eventstream.Sequence
	// headerSent means that the caller was sent a header.
	headerSent bool
	events     int64
	// lastEventAt is when the last event was forwarded.
	lastEventAt time.Time
}

// eventRun splits and checks the events of one attempt.
type eventRun struct {
	split eventstream.Splitter
	ids   *eventstream.Run
}

// serveStream forwards complete events as they arrive. When an engine fails, a
// resumable stream continues on another engine within the same answer.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, req *request) {
	g.recordFirstAttempt(req)
	s := &stream{
		race: &race{}, w: w, controller: http.NewResponseController(w),
		sequence: eventstream.NewSequence(req.call.LastEvent, req.call.Resumes),
	}
	r := g.newChain(ctx, req, s.race, s).run(g.place)
	defer r.release()
	switch {
	case r.reason != "":
		g.endStream(s, req, r)
	case r.e.resp.StatusCode != http.StatusOK:
		g.writeAnswer(w, req, r.e, r.body)
	default:
		g.recordAnswered(req, r.e.choice, http.StatusOK, s.events)
		g.recordLength(req, s.events)
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
		"service", req.service, "offers", len(req.tried), "runs", req.runCount(), "ms", time.Since(req.start).Milliseconds(),
		"configuration", req.configVersion, "left_ms", time.Until(req.deadline).Milliseconds(),
	}
	if e := r.e; e != nil {
		args = append(args, "server", e.choice.Server.ID, "ended_by", e.endedBy(), "silent_ms", e.silence().Milliseconds())
	}
	g.cfg.Log.Event("stream_cut", args...)
	panic(http.ErrAbortHandler)
}

// watch implements exchanger.
func (s *stream) watch(req *request, choice placement.Choice) *progressWatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	callerSince := req.start
	if s.lastEventAt.After(callerSince) {
		callerSince = s.lastEventAt
	}
	return newStreamWatch(req, choice, callerSince)
}

// exchange implements exchanger.
func (s *stream) exchange(ctx context.Context, end context.CancelCauseFunc, c *chain, choice placement.Choice, watch *progressWatch) result {
	g, req := c.g, c.req
	info := AttemptInfo{}
	info.LastEvent, info.Resumes = s.position()
	waiting := g.addWaiting(req.identity, func() { end(errQuarantined) })
	defer g.removeWaiting(waiting)
	r := result{e: g.send(ctx, req, choice, info), release: releaseNothing}
	e := r.e
	// A part of an answer speaks for the parts of the prompt, only a whole one for the
	// request itself: engines may crash late in an answer.
	e.onSound = func() { g.recordSound(req, quarantine.Request{Parts: req.identity.Parts}, e.firstEventAt) }
	switch {
	case e.err != nil:
	case e.resp.StatusCode == http.StatusOK:
		s.setAnswering(c)
		if req.isHedge {
			e.resp.Body = &heldBody{ReadCloser: e.resp.Body, canFallBack: func() bool { return s.isBeside(c) }}
		}
		e.err = s.forward(e, c, watch, func() { g.removeWaiting(waiting) })
	case !e.answer.NotRun && !e.answer.Misdirected:
		r.body, r.release, e.err = g.readAnswer(e.resp)
	}
	switch verdict := waiting.verdict.Load(); {
	case e.err == nil && e.events > 0:
		e.recordSound()
		g.recordSound(req, quarantine.Request{Whole: req.identity.Whole}, e.firstEventAt)
	case e.err != nil && verdict != nil:
		e.err, req.verdict = errQuarantined, *verdict
	}
	return r
}

// accepts implements exchanger. After the first event there is only the stream's own end.
func (s *stream) accepts(e *exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.headerSent || e.resp.StatusCode == http.StatusOK
}

// prepareNext implements exchanger. The rest of a begun stream can't be refused any more, so
// that it waits for a server as long as its caller does.
func (s *stream) prepareNext(req *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.headerSent {
		req.placeBy = s.lastEventAt.Add(takeoverAfter(req.route))
	}
}

// hasBegun implements exchanger.
func (s *stream) hasBegun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headerSent
}

// position returns the last event that the caller has, from which an attempt resumes.
func (s *stream) position() (last int64, resumes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sequence.Last()
}

// newRun returns the check of an attempt's event ids.
func (s *stream) newRun() *eventstream.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sequence.NewRun()
}

// forward copies complete events to the caller until the engine ends the stream.
// It calls onFirst at the first event.
func (s *stream) forward(e *exchange, c *chain, watch *progressWatch, onFirst func()) error {
	resp := e.resp
	defer func() { _ = resp.Body.Close() }()
	run := eventRun{ids: s.newRun()}
	buffer := make([]byte, readBuffer)
	for {
		n, readErr := resp.Body.Read(buffer)
		if n > 0 {
			run.split.Write(buffer[:n])
			before := e.events
			forwarded, err := s.forwardEvents(e, c, watch, &run)
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
			if run.split.Buffered() > 0 {
				return io.ErrUnexpectedEOF
			}
			if err := run.ids.End(); err != nil {
				return err
			}
			if e.events == 0 && endsWithConnection(resp) {
				return errEmptyStream
			}
			return s.complete(resp, c)
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

// complete ends the stream if no other chain leads.
func (s *stream) complete(resp *http.Response, c *chain) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.finishLocked(c) {
		return errSuperseded
	}
	s.sendHeader(resp)
	return nil
}

// forwardEvents forwards the complete events that have arrived. Those before an error reach
// the caller, too, even if the error ends its connection.
func (s *stream) forwardEvents(e *exchange, c *chain, watch *progressWatch, run *eventRun) (forwarded bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	forwarded, err = s.writeEvents(e, c, watch, run)
	if forwarded {
		if flushErr := s.controller.Flush(); err == nil {
			err = flushErr
		}
	}
	return forwarded, err
}

// writeEvents writes the complete events that have arrived. With the first one this chain
// leads. The caller holds mu.
func (s *stream) writeEvents(e *exchange, c *chain, watch *progressWatch, run *eventRun) (written bool, err error) {
	for {
		event, ok, err := run.split.Next()
		if err != nil {
			return written, err
		}
		if !ok {
			return written, nil
		}
		if c.lost.Load() {
			return written, errSuperseded
		}
		e.recordEvent()
		forward, err := run.ids.Accept(event.ID)
		if err != nil {
			return written, err
		}
		if !forward {
			continue
		}
		s.leadLocked(c)
		watch.pause()
		if now := time.Now(); now.After(c.req.deadline) && c.ctx.Err() == nil {
			// The limit of watchCaller may have passed while this process was stalled. Without a
			// stall the context has ended, and a caller that reads slowly gets no more time.
			setWriteDeadline(s.w, c.req, now.Add(lastWriteTimeout))
		}
		s.sendHeader(e.resp)
		if _, err := s.w.Write(event.Raw); err != nil {
			return written, err
		}
		s.events++
		s.lastEventAt = time.Now()
		written = true
	}
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
