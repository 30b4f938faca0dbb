package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/laburnumloft/laburnumloft/node/lib/silence"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// Bounds of an answer to a caller.
const (
	// callerWriteTimeout bounds one write to a caller that does not read.
	callerWriteTimeout = 30 * time.Second
	// maxAnswerBytes bounds an answer that is not streamed.
	maxAnswerBytes = 4 << 20
	// agentQueueWait is how long a request may wait in an agent's queue, which is no silence
	// of its backend server.
	agentQueueWait = time.Second
	// goneCheckInterval is the time between two looks whether a silent agent is gone.
	goneCheckInterval = time.Second
)

// Causes of a broken answer.
var (
	errGone     = errors.New("agent is silent and gone from the members")
	errCrossed  = errors.New("agent sent the answer of another request")
	errParts    = errors.New("agent sent a frame that is not exactly one of start, token, end and error")
	errTooLarge = errors.New("answer is too large for one body; use stream")
)

// stream sends the request to one agent and copies its frames into the
// sink. A failure with run not_run means that the backend server certainly
// didn't see the request.
func (e *Entry) stream(ctx context.Context, c *call, p *placement, g grant, sink *answerSink) *wire.Error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := e.watchSilence(p, g, cancel)
	defer watch.Stop()
	resp, err := e.post(ctx, c, g)
	if err != nil {
		return upstreamError(ctx, err, isDial(err))
	}
	defer resp.Body.Close()
	lines := wire.NewLineReader(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return e.refusalOf(c, g, resp.StatusCode, lines)
	}
	frames := frameCheck{id: c.id}
	for {
		var frame wire.Frame
		if err := lines.Next(&frame); err != nil {
			return upstreamError(ctx, err, false)
		}
		// A caller that reads slowly is no silence of the agent.
		watch.Stop()
		p.silent.Store(false)
		if err := frames.check(frame); err != nil {
			entryRequests.Add("crossed_frames", 1)
			return upstreamError(ctx, err, false)
		}
		if load := frameLoad(frame); load != nil {
			e.dispatcher.measured(p, g, *load)
			e.members.observeLoad(ctx, g.agent, load.Running, load.Queued)
		}
		switch {
		case frame.Error != nil:
			return &wire.Error{Kind: frame.Error.Kind, Message: frame.Error.Message, Run: wire.RunUnknown}
		case frame.End != nil:
			sink.end(*frame.End)
			return nil
		}
		if err := sink.frame(frame, !lines.More()); err != nil {
			return &wire.Error{Kind: wire.ErrorCancelled, Message: err.Error(), Run: wire.RunUnknown}
		}
		watch.Restart()
	}
}

// watchSilence ends an answer when its agent is silent and gone from the members. A silence
// alone ends none before its deadline: nobody else can go on with the answer.
func (e *Entry) watchSilence(p *placement, g grant, cancel context.CancelCauseFunc) *silence.Watch {
	wasGone := false
	return silence.Start(e.stallTimeout(), agentQueueWait, goneCheckInterval, func() {
		p.silent.Store(true)
		isGone := e.members.isGone(g.agent)
		// After a pause of this process all members look gone until their reports are read.
		if isGone && wasGone {
			cancel(errGone)
		}
		wasGone = isGone
	})
}

// post sends the request. The transport may repeat it only when it wrote
// nothing, which is safe.
func (e *Entry) post(ctx context.Context, c *call, g grant) (*http.Response, error) {
	encoded, err := json.Marshal(wire.AgentRequest{
		RequestID: c.id, Workspace: c.params.Workspace, Service: c.service.Name, Version: g.version,
		Prompt: c.request.Prompt, MaxTokens: c.request.MaxTokens, Priority: c.request.Priority,
		DeadlineMS: max(1, time.Until(c.deadline).Milliseconds()),
	})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.address+"/agent/v1/requests", bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(requestIDHeader, c.id)
	return e.client.Do(req)
}

// refusalOf reads an agent's refusal. Only a refusal that names this request
// and says not_run counts as not run.
func (e *Entry) refusalOf(c *call, g grant, status int, lines *wire.LineReader) *wire.Error {
	var body wire.ErrorBody
	if err := lines.Next(&body); err != nil {
		return &wire.Error{Kind: wire.ErrorUpstream, Message: fmt.Sprintf("agent answered with status %d", status), Run: wire.RunUnknown}
	}
	failure := body.Error
	if failure.RequestID != c.id || failure.Run != wire.RunNotRun {
		failure.Run = wire.RunUnknown
	}
	if failure.Load != nil {
		e.dispatcher.loadOf(c.service.Name, g, *failure.Load)
		failure.Load = nil
	}
	return &failure
}

func frameLoad(f wire.Frame) *wire.Load {
	switch {
	case f.Start != nil:
		return f.Start.Load
	case f.End != nil:
		return f.End.Load
	default:
		return nil
	}
}

// isDial reports whether the connection could not be opened, so that
// nothing was sent.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// upstreamError translates a failed exchange with an agent.
func upstreamError(ctx context.Context, err error, notRun bool) *wire.Error {
	failure := &wire.Error{Kind: wire.ErrorUpstream, Message: err.Error(), Run: wire.RunUnknown}
	if notRun {
		failure.Run, failure.RetryAfterMS, failure.Kind = wire.RunNotRun, jittered(time.Second), wire.ErrorUnavailable
	}
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return failure
	case errors.Is(cause, errCancelled), errors.Is(cause, context.Canceled):
		failure.Kind = wire.ErrorCancelled
	default:
		failure.Kind = wire.ErrorTimeout
	}
	failure.Message = cause.Error()
	return failure
}

// frameCheck checks that frames are those of one whole answer from the one
// version that the start frame names.
type frameCheck struct {
	id, version string
	started     bool
	next        int
}

// check refuses frames of another request or version, and frames that are
// missing, repeated or out of order.
func (f *frameCheck) check(frame wire.Frame) error {
	if frame.RequestID != f.id {
		return errCrossed
	}
	if parts(frame) != 1 {
		return errParts
	}
	switch {
	case frame.Error != nil:
		return nil
	case frame.Start != nil:
		if f.started || frame.Start.RequestID != f.id || frame.Start.Version == "" {
			return errCrossed
		}
		f.started, f.version = true, frame.Start.Version
	case frame.Token != nil:
		if !f.started || frame.Token.Index != f.next {
			return errCrossed
		}
		f.next++
	case frame.End != nil:
		if !f.started || frame.End.RequestID != f.id || frame.End.Version != f.version || frame.End.Tokens != f.next {
			return errCrossed
		}
	}
	return nil
}

// parts counts what a frame holds. A frame with several parts would be
// checked as one and used as another.
func parts(frame wire.Frame) int {
	n := 0
	for _, set := range [...]bool{frame.Start != nil, frame.Token != nil, frame.End != nil, frame.Error != nil} {
		if set {
			n++
		}
	}
	return n
}

// answerSink writes an answer to the caller, as server-sent events or as
// one JSON body.
type answerSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	stream  bool
	started bool
	id      string
	text    strings.Builder
	buffer  bytes.Buffer
	arrived time.Time
	tokens  int
}

func newAnswerSink(w http.ResponseWriter, c *call, arrived time.Time) *answerSink {
	return &answerSink{w: w, control: http.NewResponseController(w), stream: c.request.Stream, id: c.id, arrived: arrived}
}

// begun reports whether anything of an answer came.
func (s *answerSink) begun() bool { return s.started || s.tokens > 0 }

// frame passes on a start or a token. Without flush it may wait for the next
// one. An error means that the caller can't take it.
func (s *answerSink) frame(f wire.Frame, flush bool) error {
	if f.Start != nil {
		if !s.stream {
			return nil
		}
		return s.event("start", wire.Start{RequestID: f.Start.RequestID, Version: f.Start.Version}, flush)
	}
	if s.tokens == 0 {
		entryFirstToken.Observe(time.Since(s.arrived))
	}
	s.tokens++
	entryTokens.Add(1)
	if s.stream {
		return s.event("token", f.Token, flush)
	}
	if s.text.Len()+len(f.Token.Text) > maxAnswerBytes {
		return errTooLarge
	}
	s.text.WriteString(f.Token.Text)
	return nil
}

func (s *answerSink) end(end wire.End) {
	end.Load = nil
	if s.stream {
		_ = s.event("end", end, true)
		return
	}
	s.deadline()
	wire.WriteJSON(s.w, http.StatusOK, wire.Answer{
		RequestID: s.id, Version: end.Version, Text: s.text.String(), Tokens: end.Tokens, End: true,
	})
}

func (s *answerSink) fail(failure wire.Error) {
	failure.Load = nil
	if s.started {
		_ = s.event("error", failure, true)
		return
	}
	s.deadline()
	wire.WriteError(s.w, failure)
}

// deadline bounds the next write, so that a caller that stops reading frees
// its place at the engine.
func (s *answerSink) deadline() {
	_ = s.control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
}

// event writes one server-sent event. It blocks while the
// caller's connection takes no more, which slows the agent and the engine.
func (s *answerSink) event(name string, data any, flush bool) error {
	if !s.started {
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.started = true
	}
	encoded, err := json.Marshal(data)
	if err != nil {
		return err
	}
	s.buffer.Reset()
	s.buffer.WriteString("event: ")
	s.buffer.WriteString(name)
	s.buffer.WriteString("\ndata: ")
	s.buffer.Write(encoded)
	s.buffer.WriteString("\n\n")
	s.deadline()
	if _, err := s.w.Write(s.buffer.Bytes()); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return s.control.Flush()
}

func (e *Entry) stallTimeout() time.Duration {
	if e.cfg.StallTimeout > 0 {
		return e.cfg.StallTimeout
	}
	return DefaultStallTimeout
}
