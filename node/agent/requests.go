package agent

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/laburnumloft/laburnumloft/core/limits"
	"github.com/laburnumloft/laburnumloft/node/lib/silence"
	"github.com/laburnumloft/laburnumloft/node/lib/telemetry"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// Bounds of one request.
const (
	maxRequestTokens = 8192
	defaultTokens    = 16
	defaultDeadline  = 2 * time.Minute
	// DefaultStallTimeout is how long a backend server may make no progress
	// on an answer until the agent looks whether it still runs the version.
	DefaultStallTimeout = 15 * time.Second
	// writeTimeout bounds one write to an entry that does not read.
	writeTimeout = 30 * time.Second
	// lostCheckInterval is the time between two looks whether a silent backend server
	// still runs the version.
	lostCheckInterval = time.Second
)

var (
	agentRequests   = expvar.NewMap("agent_requests_total")
	agentRefusals   = expvar.NewMap("agent_refusals_total")
	agentTokens     = expvar.NewInt("agent_tokens_total")
	agentFirstToken = telemetry.NewHistogram("agent_first_token_milliseconds")
)

// handleRequest serves POST /agent/v1/requests.
func (a *Agent) handleRequest(w http.ResponseWriter, r *http.Request) {
	var req wire.AgentRequest
	if failure := wire.ReadJSON(r, maxRequestBytes, &req); failure != nil {
		a.refuse(w, req.RequestID, *failure)
		return
	}
	if failure := checkRequest(&req); failure != nil {
		a.refuse(w, req.RequestID, *failure)
		return
	}
	// The entry's view of versions lags during a rollout. The request gets the
	// version that is served now, which the answer's start frame names.
	version, admitted := a.state.admit()
	if !admitted {
		a.refuse(w, req.RequestID, wire.Error{Kind: wire.ErrorUnavailable, Message: "no version is served here"})
		return
	}
	req.Version = version
	// The count taken by admit covers the wait in the queue as well: neither a
	// planned stop nor a load of another version begins before it is released.
	defer a.state.release()
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(req.DeadlineMS)*time.Millisecond)
	defer cancel()
	turn, failure := a.admission.enter(ctx, a.item(req))
	if failure != nil {
		a.refuse(w, req.RequestID, *failure)
		return
	}
	served := 0
	defer func() { turn.leave(served) }()
	if !a.state.runs(req.Version) {
		a.refuse(w, req.RequestID, wire.Error{Kind: wire.ErrorUnavailable, Message: "engine lost the version while the request waited"})
		return
	}
	ctx, span := telemetry.Span(ctx, "agent.generate")
	served, err := a.generate(ctx, w, req)
	telemetry.EndSpan(span, err)
}

func checkRequest(req *wire.AgentRequest) *wire.Error {
	switch {
	case req.RequestID == "":
		return &wire.Error{Kind: wire.ErrorBadRequest, Message: "request_id is required"}
	case req.MaxTokens < 0 || req.MaxTokens > maxRequestTokens:
		return &wire.Error{Kind: wire.ErrorBadRequest, Message: fmt.Sprintf("max_tokens must be 0 to %d", maxRequestTokens)}
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultTokens
	}
	if req.DeadlineMS <= 0 {
		req.DeadlineMS = defaultDeadline.Milliseconds()
	}
	return nil
}

// item describes the request to the fair queue.
func (a *Agent) item(req wire.AgentRequest) limits.Item {
	state, _ := a.state.current()
	params, _ := state.Workspace(req.Workspace)
	return limits.Item{
		Workspace: req.Workspace, Weight: params.Share, Cost: req.MaxTokens, Priority: req.Priority,
		Deadline: time.Now().Add(time.Duration(req.DeadlineMS) * time.Millisecond),
	}
}

// refuse answers a request that did not reach the backend server.
func (a *Agent) refuse(w http.ResponseWriter, id string, failure wire.Error) {
	failure.RequestID, failure.Run = id, wire.RunNotRun
	failure.Load = a.admission.load()
	agentRefusals.Add(string(failure.Kind), 1)
	wire.WriteError(w, failure)
}

// errStalled is the cause of a request that made no progress and can make none.
var errStalled = errors.New("backend server made no progress and no longer runs the version")

// generate copies the engine's tokens to the entry as they come. Nothing is
// buffered beyond one frame, so an entry that reads slowly slows the engine.
// It returns the number of tokens that the engine produced.
func (a *Agent) generate(ctx context.Context, w http.ResponseWriter, req wire.AgentRequest) (int, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := a.watchSilence(req.Version, cancel)
	defer watch.Stop()
	resp, err := a.engine.generate(ctx, req)
	if err != nil {
		return 0, a.failBeforeStart(ctx, w, req, err)
	}
	defer resp.Body.Close()
	answer := &answer{agent: a, ctx: ctx, w: w, req: req, watch: watch, lines: wire.NewLineReader(resp.Body)}
	err = answer.copy()
	if err != nil {
		// Closing the connection cancels too, but an engine behind a slow
		// link learns of it later.
		a.cancels.Push(context.WithoutCancel(ctx), req.RequestID)
		answer.fail(err)
		agentRequests.Add("failed", 1)
		return answer.tokens, err
	}
	agentRequests.Add("completed", 1)
	return answer.tokens, nil
}

// failBeforeStart answers a request that the engine did not start.
func (a *Agent) failBeforeStart(ctx context.Context, w http.ResponseWriter, req wire.AgentRequest, err error) error {
	var refused *wire.Error
	if errors.As(err, &refused) {
		// The request may come back, so a cancel order that the engine gets late would
		// end its next run.
		a.refuse(w, req.RequestID, wire.Error{Kind: refused.Kind, Message: refused.Message, RetryAfterMS: jittered(refused.RetryAfterMS)})
		return err
	}
	a.cancels.Push(ctx, req.RequestID)
	agentRequests.Add("failed", 1)
	kind := wire.ErrorUpstream
	if cause := context.Cause(ctx); cause != nil {
		err, kind = cause, wire.ErrorTimeout
	}
	wire.WriteError(w, wire.Error{
		Kind: kind, Message: "backend server: " + err.Error(), RequestID: req.RequestID, Run: wire.RunUnknown,
	})
	return err
}

// watchSilence ends an answer when its backend server is silent and no longer runs the
// version. A silence alone ends none before its deadline: nobody else can go on with the
// answer.
func (a *Agent) watchSilence(version string, cancel context.CancelCauseFunc) *silence.Watch {
	return silence.Start(a.stallTimeout(), 0, lostCheckInterval, func() {
		if !a.state.runs(version) {
			cancel(errStalled)
		}
	})
}

func (a *Agent) stallTimeout() time.Duration {
	if a.cfg.StallTimeout > 0 {
		return a.cfg.StallTimeout
	}
	return DefaultStallTimeout
}

// jittered spreads retries of callers that were refused together.
func jittered(ms int64) int64 {
	return ms + rand.Int64N(ms/2+1)
}

// answer is one answer on its way from the engine to the entry.
type answer struct {
	agent  *Agent
	ctx    context.Context
	w      http.ResponseWriter
	req    wire.AgentRequest
	watch  *silence.Watch
	lines  *wire.LineReader
	frames *json.Encoder
	tokens int
}

// copy passes frames on until the engine's last one. Everything that the
// engine states is checked against the request, so that an answer that is
// late, crossed, cut or of another version ends in an error.
func (s *answer) copy() error {
	s.frames = json.NewEncoder(s.w)
	begun := time.Now()
	last := begun
	start := &wire.Start{RequestID: s.req.RequestID, Version: s.req.Version, Load: s.agent.admission.load()}
	if err := s.write(wire.Frame{Start: start}, true); err != nil {
		return err
	}
	for {
		var frame wire.GenerateFrame
		if err := s.lines.Next(&frame); err != nil {
			if cause := context.Cause(s.ctx); cause != nil {
				return cause
			}
			return err
		}
		// An entry that reads slowly is no stall of the engine.
		s.watch.Stop()
		if err := s.check(frame); err != nil {
			return err
		}
		if frame.End != nil {
			return s.end(*frame.End)
		}
		now := time.Now()
		if s.tokens == 0 {
			agentFirstToken.Observe(now.Sub(begun))
		} else {
			s.agent.admission.observe(now.Sub(last))
		}
		last = now
		token := &wire.Token{Index: s.tokens, Text: *frame.Token}
		if err := s.write(wire.Frame{Token: token}, !s.lines.More()); err != nil {
			return err
		}
		s.tokens++
		s.watch.Restart()
	}
}

// check refuses frames that don't belong to the request.
func (s *answer) check(frame wire.GenerateFrame) error {
	switch {
	case frame.RequestID != "" && frame.RequestID != s.req.RequestID:
		agentRequests.Add("crossed", 1)
		return errors.New("engine sent the answer of another request")
	case frame.Error != "":
		return errors.New("engine failed: " + frame.Error)
	case frame.End != nil && frame.End.Version != s.req.Version:
		agentRequests.Add("wrong_version", 1)
		return fmt.Errorf("engine answered with version %q instead of %q", frame.End.Version, s.req.Version)
	case frame.End != nil && frame.End.Tokens != s.tokens:
		return fmt.Errorf("engine counts %d tokens, %d arrived", frame.End.Tokens, s.tokens)
	case (frame.End == nil) == (frame.Token == nil):
		return errors.New("engine sent a frame that is not exactly one of token and end")
	case frame.Token != nil && s.tokens >= s.req.MaxTokens:
		return errors.New("engine sent more tokens than asked for")
	}
	return nil
}

func (s *answer) end(end wire.GenerateEnd) error {
	agentTokens.Add(int64(s.tokens))
	return s.write(wire.Frame{End: &wire.End{
		RequestID: s.req.RequestID, Version: end.Version, Tokens: end.Tokens, Finish: "stop", Load: s.agent.admission.load(),
	}}, false)
}

// write sends one frame. The deadline bounds how long a connection that
// takes no data holds a place at the engine.
func (s *answer) write(frame wire.Frame, flush bool) error {
	frame.RequestID = s.req.RequestID
	control := http.NewResponseController(s.w)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := s.frames.Encode(frame); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return control.Flush()
}

// fail ends the answer with an error, which the entry never takes for a
// whole answer.
func (s *answer) fail(err error) {
	kind := wire.ErrorUpstream
	switch {
	case errors.Is(err, errStalled), errors.Is(err, context.DeadlineExceeded):
		kind = wire.ErrorTimeout
	case errors.Is(err, context.Canceled):
		kind = wire.ErrorCancelled
	}
	_ = s.write(wire.Frame{Error: &wire.Error{
		Kind: kind, Message: err.Error(), RequestID: s.req.RequestID, Run: wire.RunUnknown, Load: s.agent.admission.load(),
	}}, false)
}
