package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/laburnumloft/laburnumloft/core/eventstream"
	"github.com/laburnumloft/laburnumloft/core/placement"
)

// readBuffer holds several events, in bytes.
const readBuffer = 8 << 10

// stream is the state of one caller's stream over its attempts.
type stream struct {
	w        http.ResponseWriter
	flush    *http.ResponseController
	sequence *eventstream.Sequence
	// begun says that the header and an event were sent to the caller.
	begun  bool
	events int64
}

// serveStream forwards whole events as they arrive. When an engine fails, a
// resumable stream goes on at another one within the same answer.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, req *request) {
	g.first(req)
	s := &stream{w: w, flush: http.NewResponseController(w), sequence: eventstream.NewSequence(req.call.LastEvent, req.call.Resumes)}
	for {
		choice, reason := g.place(ctx, req)
		if reason != "" {
			g.endStream(s, req, reason)
			return
		}
		e := g.tryStream(ctx, req, choice, s)
		reason, again := g.afterStream(ctx, req, e, s)
		if again {
			continue
		}
		if reason != "" {
			g.endStream(s, req, reason)
			return
		}
		g.ok(req, choice, e.resp.StatusCode, s.events)
		return
	}
}

// endStream ends a stream that can't be completed. One that has begun is cut,
// so that it does not look complete.
func (g *Gateway) endStream(s *stream, req *request, reason Reason) {
	if !s.begun {
		g.refuse(s.w, req, reason)
		return
	}
	outcomes.Add("stream_cut_"+string(reason), 1)
	last, _ := s.sequence.Last()
	g.cfg.Log.Event("stream_cut", "request", req.call.RequestID, "reason", string(reason), "events", s.events, "last_event", last,
		"service", req.service, "offers", len(req.offers), "runs", req.runs, "ms", time.Since(req.start).Milliseconds())
	panic(http.ErrAbortHandler)
}

// tryStream makes one attempt and forwards its events.
func (g *Gateway) tryStream(ctx context.Context, req *request, choice placement.Choice, s *stream) *exchange {
	req.offers = append(req.offers, choice.Server.ID)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := g.watchProgress(req, choice, cancel)
	defer watch.stop()
	offer := Offer{}
	offer.LastEvent, offer.Resumes = s.sequence.Last()
	e := g.send(ctx, req, choice, offer)
	if e.err == nil && e.resp.StatusCode == http.StatusOK {
		e.err = s.forward(e.resp, watch)
	}
	if e.err != nil && watch.stalled.Load() {
		e.err = errNoProgress
	}
	if e.ran() {
		req.runs++
	}
	outcome := e.outcome()
	if e.err != nil && (errors.Is(req.in.Context().Err(), context.Canceled) || watch.outdated.Load() && errors.Is(e.err, errNoProgress)) {
		outcome = placement.Canceled
	}
	g.release(choice, outcome)
	return e
}

// forward copies whole events to the caller until the engine ends the stream.
func (s *stream) forward(resp *http.Response, watch *progress) error {
	defer func() { _ = resp.Body.Close() }()
	var split eventstream.Splitter
	buffer := make([]byte, readBuffer)
	for {
		n, readErr := resp.Body.Read(buffer)
		if n > 0 {
			split.Write(buffer[:n])
			forwarded, err := s.forwardEvents(resp, &split)
			if err != nil {
				return err
			}
			if forwarded {
				watch.event()
			}
		}
		if errors.Is(readErr, io.EOF) {
			if split.Buffered() > 0 {
				return io.ErrUnexpectedEOF
			}
			s.begin(resp)
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

func (s *stream) forwardEvents(resp *http.Response, split *eventstream.Splitter) (forwarded bool, err error) {
	for {
		event, ok, err := split.Next()
		if err != nil {
			return forwarded, err
		}
		if !ok {
			break
		}
		forward, err := s.sequence.Accept(event.ID)
		if err != nil {
			return forwarded, err
		}
		if !forward {
			continue
		}
		s.begin(resp)
		if _, err := s.w.Write(event.Raw); err != nil {
			return forwarded, err
		}
		s.events++
		forwarded = true
	}
	if forwarded {
		return true, s.flush.Flush()
	}
	return false, nil
}

// begin sends the header of the first engine that made an event.
func (s *stream) begin(resp *http.Response) {
	if s.begun {
		return
	}
	s.begun = true
	copyHeader(s.w.Header(), resp.Header)
	s.w.WriteHeader(resp.StatusCode)
}

// afterStream decides what follows an attempt, as afterWhole does.
func (g *Gateway) afterStream(ctx context.Context, req *request, e *exchange, s *stream) (reason Reason, again bool) {
	if reason, again, failed := g.afterFailure(ctx, req, e); failed {
		return reason, again
	}
	if e.resp.StatusCode == http.StatusOK {
		return "", false
	}
	return g.failedStream(req, e, s)
}

// failedStream passes an engine's own failure on, or tries another engine.
func (g *Gateway) failedStream(req *request, e *exchange, s *stream) (reason Reason, again bool) {
	body, release, err := g.readWhole(e.resp)
	defer release()
	g.logAttempt(req, e, "errored")
	if e.resp.StatusCode >= http.StatusInternalServerError {
		if _, again := g.rerun(req, ReasonBroken); again {
			return "", true
		}
	}
	if err != nil || !e.answer.Signed || s.begun {
		return ReasonBroken, false
	}
	copyHeader(s.w.Header(), e.resp.Header)
	s.begun = true
	s.w.WriteHeader(e.resp.StatusCode)
	body.writeTo(s.w)
	return "", false
}
