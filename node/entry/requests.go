package entry

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/core/routing"
	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/lifecycle"
	"github.com/laburnumloft/laburnumloft/node/lib/telemetry"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// Bounds of one request.
const (
	defaultDeadline  = 2 * time.Minute
	maxDeadline      = 10 * time.Minute
	maxPromptBytes   = 512 << 10
	maxRequestTokens = 8192
	defaultTokens    = 16
	maxPriority      = 9
	// maxOpenRequests bounds the requests that one entry holds, waiting ones
	// included.
	maxOpenRequests = 4096
	// maxAttempts bounds how many agents one request is offered to.
	maxAttempts = 4
	// affinityBytes is how much of a prompt decides on affinity.
	affinityBytes = 256
	// DefaultStallTimeout is how long an agent may be silent on an answer until the entry
	// looks whether it is gone.
	DefaultStallTimeout = 20 * time.Second
)

// requestIDHeader carries the id of a request in both directions.
const requestIDHeader = lifecycle.RequestIDHeader

var (
	entryRequests    = expvar.NewMap("entry_requests_total")
	entryRefusals    = expvar.NewMap("entry_refusals_total")
	entryRetries     = expvar.NewInt("entry_retries_total")
	entryTokens      = expvar.NewInt("entry_tokens_total")
	entryOpen        = expvar.NewInt("entry_open_requests")
	entryFirstToken  = telemetry.NewHistogram("entry_first_token_milliseconds")
	entryRequestTime = telemetry.NewHistogram("entry_request_milliseconds")
)

// errCancelled is the cause of a request that DELETE ended.
var errCancelled = errors.New("request was cancelled")

// openRequests are the requests that this entry serves at the moment.
type openRequests struct {
	mu      sync.Mutex
	cancels map[string]context.CancelCauseFunc
}

func newOpenRequests() *openRequests {
	return &openRequests{cancels: map[string]context.CancelCauseFunc{}}
}

// add reports whether there was room.
func (o *openRequests) add(id string, cancel context.CancelCauseFunc) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.cancels) >= maxOpenRequests {
		return false
	}
	o.cancels[id] = cancel
	entryOpen.Add(1)
	return true
}

func (o *openRequests) remove(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.cancels, id)
	entryOpen.Add(-1)
}

func (o *openRequests) cancel(id string) bool {
	o.mu.Lock()
	cancel := o.cancels[id]
	o.mu.Unlock()
	if cancel == nil {
		return false
	}
	cancel(errCancelled)
	return true
}

// share returns the used share of the bound on open requests.
func (o *openRequests) share() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return float64(len(o.cancels)) / maxOpenRequests
}

// handleRequest serves POST /v1/workspaces/{w}/services/{s}/requests.
func (e *Entry) handleRequest(w http.ResponseWriter, r *http.Request) {
	begun := time.Now()
	id := r.Header.Get(requestIDHeader)
	w.Header().Set(requestIDHeader, id)
	call, failure := e.prepare(r, id)
	if failure != nil {
		refuse(w, id, *failure)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	ctx, stop := context.WithDeadline(ctx, call.deadline)
	defer stop()
	if !e.open.add(id, cancel) {
		refuse(w, id, wire.Error{Kind: wire.ErrorOverloaded, Message: "entry holds too many requests", RetryAfterMS: jittered(time.Second)})
		return
	}
	defer e.open.remove(id)
	sink := newAnswerSink(w, call, begun)
	if failure := e.serveCall(ctx, call, sink); failure != nil {
		failure.RequestID = id
		countFailure(failure)
		sink.fail(*failure)
		return
	}
	entryRequests.Add("completed", 1)
	entryRequestTime.Observe(time.Since(begun))
}

// call is a checked request and where it may go.
type call struct {
	id       string
	request  wire.Request
	service  settings.Service
	params   settings.Parameters
	deadline time.Time
}

// prepare reads and checks a request.
func (e *Entry) prepare(r *http.Request, id string) (*call, *wire.Error) {
	workspace, service := r.PathValue("workspace"), r.PathValue("service")
	state, _, _ := e.settings.current()
	svc, _, ok := state.Service(service)
	if !ok || svc.Kind != settings.KindEngine || !state.MayUse(workspace, service) {
		return nil, &wire.Error{Kind: wire.ErrorNotFound, Message: fmt.Sprintf("workspace %q has no engine service %q", clip(workspace), clip(service))}
	}
	c := &call{id: id, service: svc}
	c.params, _ = state.Workspace(workspace)
	if failure := wire.ReadJSON(r, e.cfg.MaxBodyBytes, &c.request); failure != nil {
		return nil, failure
	}
	if failure := checkRequest(&c.request); failure != nil {
		return nil, failure
	}
	c.deadline = time.Now().Add(time.Duration(c.request.DeadlineMS) * time.Millisecond)
	return c, nil
}

// clip bounds what an error message repeats of a path.
func clip(s string) string {
	const most = 64
	return s[:min(len(s), most)]
}

// checkRequest refuses what is out of range and fills in defaults.
func checkRequest(r *wire.Request) *wire.Error {
	bad := func(format string, args ...any) *wire.Error {
		return &wire.Error{Kind: wire.ErrorBadRequest, Message: fmt.Sprintf(format, args...)}
	}
	switch {
	case len(r.Prompt) > maxPromptBytes:
		return &wire.Error{Kind: wire.ErrorTooLarge, Message: fmt.Sprintf("prompt exceeds %d bytes", maxPromptBytes)}
	case r.MaxTokens < 0 || r.MaxTokens > maxRequestTokens:
		return bad("max_tokens is %d, allowed are 0 to %d", r.MaxTokens, maxRequestTokens)
	case r.Priority < 0 || r.Priority > maxPriority:
		return bad("priority is %d, allowed are 0 to %d", r.Priority, maxPriority)
	case r.DeadlineMS < 0 || r.DeadlineMS > maxDeadline.Milliseconds():
		return bad("deadline_ms is %d, allowed are 0 to %d", r.DeadlineMS, maxDeadline.Milliseconds())
	}
	if r.MaxTokens == 0 {
		r.MaxTokens = defaultTokens
	}
	if r.DeadlineMS == 0 {
		r.DeadlineMS = defaultDeadline.Milliseconds()
	}
	return nil
}

// refuse answers a request that no backend server saw.
func refuse(w http.ResponseWriter, id string, failure wire.Error) {
	failure.RequestID, failure.Run = id, wire.RunNotRun
	countFailure(&failure)
	wire.WriteError(w, failure)
}

func countFailure(failure *wire.Error) {
	if failure.Run == wire.RunNotRun {
		entryRequests.Add("refused", 1)
		entryRefusals.Add(string(failure.Kind), 1)
		return
	}
	entryRequests.Add("failed", 1)
}

func jittered(d time.Duration) int64 {
	ms := d.Milliseconds()
	return ms + rand.Int64N(ms/2+1)
}

// serveCall offers the request to agents until one answers. It goes on to
// another agent only while the request certainly did not run and nothing of
// an answer came, and only within the retry budget.
func (e *Entry) serveCall(ctx context.Context, c *call, sink *answerSink) *wire.Error {
	p := e.dispatcher.placement(c)
	for attempt := 1; ; attempt++ {
		grant, failure := e.dispatcher.place(ctx, p)
		if failure != nil {
			return failure
		}
		failure = e.ask(ctx, c, p, grant, sink)
		result := routing.Succeeded
		if failure != nil {
			result = resultOf(ctx, failure, sink.tokens, p.silent.Load())
		}
		again := failure != nil && failure.Run == wire.RunNotRun && !sink.begun() && attempt < maxAttempts && ctx.Err() == nil
		if !again {
			e.dispatcher.finish(p, grant, result, sink.tokens)
			return failure
		}
		p.last, p.retry = failure, true
		p.refusedBy, p.refusedAs = grant.handle, result
		entryRetries.Add(1)
	}
}

// ask sends the request to one agent within a span of its own.
func (e *Entry) ask(ctx context.Context, c *call, p *placement, g grant, sink *answerSink) *wire.Error {
	spanCtx, span := telemetry.Span(ctx, "entry.agent_request")
	failure := e.stream(spanCtx, c, p, g, sink)
	if failure == nil {
		telemetry.EndSpan(span, nil)
		return nil
	}
	telemetry.EndSpan(span, failure)
	return failure
}

// resultOf says what a failure tells about the backend server. A deadline
// that passes without a token, or in a silence, counts against it: otherwise a
// stalled backend server would never be set aside.
func resultOf(ctx context.Context, failure *wire.Error, tokens int, silent bool) routing.Result {
	switch {
	case failure.Kind == wire.ErrorOverloaded, failure.Kind == wire.ErrorLeaving:
		return routing.Refused
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && (tokens == 0 || silent):
		return routing.Failed
	case ctx.Err() != nil, failure.Kind == wire.ErrorCancelled:
		return routing.Abandoned
	default:
		return routing.Failed
	}
}

// handleCancel serves DELETE /v1/requests/{id}.
func (e *Entry) handleCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !e.open.cancel(id) {
		wire.WriteError(w, wire.Error{Kind: wire.ErrorNotFound, Message: "this entry serves no such request", RequestID: clip(id)})
		return
	}
	wire.WriteJSON(w, http.StatusOK, map[string]any{"request_id": id, "cancelled": true})
}

// servingAgents returns the agents that serve the service in any version.
func (e *Entry) servingAgents(service string) []*rpc.MemberReport {
	var agents []*rpc.MemberReport
	seen := map[string]bool{}
	for _, r := range e.members.all() {
		if r.GetService() != service || r.GetState() != rpc.AgentState_SERVING || seen[r.GetVersion()] {
			continue
		}
		seen[r.GetVersion()] = true
		agents = append(agents, e.members.serving(service, r.GetVersion())...)
	}
	return agents
}
