package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/lifecycle"
	"github.com/laburnumloft/laburnumloft/node/lib/telemetry"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// defaultDeadline bounds a request that names no deadline.
const defaultDeadline = 2 * time.Minute

// requestIDHeader carries the id of a request in both directions.
const requestIDHeader = lifecycle.RequestIDHeader

// maxAttempts bounds how many agents are asked after answers of not_run.
const maxAttempts = 3

func (e *Entry) handleRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(requestIDHeader)
	w.Header().Set(requestIDHeader, id)
	var body wire.Request
	if failure := wire.ReadJSON(r, e.cfg.MaxBodyBytes, &body); failure != nil {
		failure.RequestID = id
		wire.WriteError(w, *failure)
		return
	}
	deadline := defaultDeadline
	if body.DeadlineMS > 0 {
		deadline = min(deadline, time.Duration(body.DeadlineMS)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadline)
	defer cancel()
	sink := newAnswerSink(w, body.Stream, id)
	if failure := e.route(ctx, r, id, body, sink); failure != nil {
		failure.RequestID = id
		sink.fail(*failure)
	}
}

// route sends the request to one agent and copies its frames into the sink.
func (e *Entry) route(ctx context.Context, r *http.Request, id string, body wire.Request, sink *answerSink) *wire.Error {
	workspace, service := r.PathValue("workspace"), r.PathValue("service")
	state, _, _ := e.settings.current()
	svc, _, ok := state.Service(service)
	if !ok || svc.Kind != settings.KindEngine || !state.MayUse(workspace, service) {
		return &wire.Error{Kind: wire.ErrorNotFound, Message: fmt.Sprintf("workspace %q has no engine service %q", workspace, service)}
	}
	agents := e.members.serving(service, svc.Version)
	if len(agents) == 0 {
		return &wire.Error{Kind: wire.ErrorUnavailable, Message: "no backend server serves the version yet", RetryAfterMS: 1000}
	}
	req := wire.AgentRequest{
		RequestID: id, Workspace: workspace, Service: service, Version: svc.Version,
		Prompt: body.Prompt, MaxTokens: body.MaxTokens, Priority: body.Priority,
	}
	var failure *wire.Error
	first := rand.IntN(len(agents))
	for i := range min(len(agents), maxAttempts) {
		if failure = e.attempt(ctx, agents[(first+i)%len(agents)], req, sink); failure == nil || failure.Run != wire.RunNotRun {
			return failure
		}
	}
	return failure
}

// attempt sends the request to one agent.
func (e *Entry) attempt(ctx context.Context, agent *rpc.MemberReport, req wire.AgentRequest, sink *answerSink) *wire.Error {
	ctx, span := telemetry.Span(ctx, "entry.agent_request")
	err := e.stream(ctx, agent, req, sink)
	telemetry.EndSpan(span, err)
	var refused *net.OpError
	switch failure, ok := err.(*wire.Error); {
	case err == nil:
		return nil
	case ok:
		return failure
	case errors.As(err, &refused) && refused.Op == "dial":
		// The agent was not reached.
		return &wire.Error{Kind: wire.ErrorUnavailable, Message: err.Error(), Run: wire.RunNotRun}
	}
	return &wire.Error{Kind: wire.ErrorUpstream, Message: err.Error(), Run: wire.RunUnknown}
}

func (e *Entry) stream(ctx context.Context, agent *rpc.MemberReport, body wire.AgentRequest, sink *answerSink) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+agent.GetAddress()+"/agent/v1/requests", bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(requestIDHeader, body.RequestID)
	resp, err := e.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	decoder := json.NewDecoder(resp.Body)
	if resp.StatusCode != http.StatusOK {
		var failure wire.ErrorBody
		if err := decoder.Decode(&failure); err != nil {
			return fmt.Errorf("agent status %d", resp.StatusCode)
		}
		return &failure.Error
	}
	for {
		var frame wire.Frame
		if err := decoder.Decode(&frame); err != nil {
			return fmt.Errorf("answer was cut: %w", err)
		}
		switch {
		case frame.Error != nil:
			return frame.Error
		case frame.End != nil:
			e.members.observeLoad(ctx, agent.GetId(), frame.End.Running, frame.End.Queued)
			sink.end(*frame.End)
			return nil
		default:
			sink.frame(frame)
		}
	}
}

// answerSink writes an answer to the caller, as server-sent events or as
// one JSON body.
type answerSink struct {
	w       http.ResponseWriter
	stream  bool
	started bool
	id      string
	version string
	text    strings.Builder
}

func newAnswerSink(w http.ResponseWriter, stream bool, id string) *answerSink {
	return &answerSink{w: w, stream: stream, id: id}
}

func (s *answerSink) frame(f wire.Frame) {
	switch {
	case f.Start != nil:
		s.version = f.Start.Version
		if s.stream {
			s.event("start", f.Start)
		}
	case f.Token != nil && s.stream:
		s.event("token", f.Token)
	case f.Token != nil:
		s.text.WriteString(f.Token.Text)
	}
}

func (s *answerSink) end(end wire.End) {
	if s.stream {
		s.event("end", end)
		return
	}
	wire.WriteJSON(s.w, http.StatusOK, wire.Answer{
		RequestID: s.id, Version: end.Version, Text: s.text.String(), Tokens: end.Tokens, End: true,
	})
}

func (s *answerSink) fail(failure wire.Error) {
	if s.started {
		s.event("error", failure)
		return
	}
	wire.WriteError(s.w, failure)
}

// event writes one server-sent event. A failed write shows as a cancelled
// request context.
func (s *answerSink) event(name string, data any) {
	if !s.started {
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.started = true
	}
	encoded, _ := json.Marshal(data)
	_, _ = fmt.Fprintf(s.w, "event: %s\ndata: %s\n\n", name, encoded)
	_ = http.NewResponseController(s.w).Flush()
}
