package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/laburnumloft/laburnumloft/core/operation"
	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// Retries of idempotent calls. One call in ten may be repeated, with a small
// reserve for bursts, so that retries can't multiply an overload.
const (
	retryDeposit = 0.1
	retryReserve = 10.0
)

// maxSeenKeys bounds the keys that an entry remembers to have been sent here.
const maxSeenKeys = 16_384

// callState is what the one-shot calls of one entry share.
type callState struct {
	mu     sync.Mutex
	budget float64
	seen   map[string]bool
	order  []string
}

func newCallState() *callState {
	return &callState{budget: retryReserve, seen: map[string]bool{}}
}

func (s *callState) deposit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget = min(s.budget+retryDeposit, retryReserve)
}

func (s *callState) mayRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.budget < 1 {
		return false
	}
	s.budget--
	return true
}

// note records a key and reports whether it was sent here before.
func (s *callState) note(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen[key] {
		return true
	}
	s.seen[key] = true
	s.order = append(s.order, key)
	if len(s.order) > maxSeenKeys {
		delete(s.seen, s.order[0])
		s.order = s.order[1:]
	}
	return false
}

// keyedCall is a one-shot call of a method that must not be repeated.
type keyedCall struct {
	workspace, service, key string
	method                  settings.Method
	body                    []byte
	// firstUse says that the key was never sent before and is not sent again
	// before this call is answered.
	firstUse bool
}

func (e *Entry) handleCall(w http.ResponseWriter, r *http.Request) {
	workspace, service := r.PathValue("workspace"), r.PathValue("service")
	svc, failure := e.plainService(workspace, service)
	if failure != nil {
		wire.WriteError(w, *failure)
		return
	}
	method, failure := findMethod(svc, r.PathValue("method"))
	if failure != nil {
		wire.WriteError(w, *failure)
		return
	}
	body, failure := e.readCallBody(r)
	if failure != nil {
		wire.WriteError(w, *failure)
		return
	}
	if method.Idempotent {
		writeTicket(w, func() (*rpc.Ticket, *wire.Error) {
			return e.callIdempotent(r.Context(), workspace, service, method, body)
		})
		return
	}
	key := r.Header.Get(wire.KeyHeader)
	if _, ok := operation.KeyIssuedMS(key); !ok {
		wire.WriteError(w, wire.Error{
			Kind:    wire.ErrorBadRequest,
			Message: "method is not idempotent; " + wire.KeyHeader + " must be a UUID of version 7 in lower case",
		})
		return
	}
	seen := e.calls.note(workspace + "/" + service + "/" + key)
	call := keyedCall{
		workspace: workspace, service: service, key: key, method: method, body: body,
		firstUse: r.Header.Get(wire.FirstUseHeader) == "true" && !seen,
	}
	writeTicket(w, func() (*rpc.Ticket, *wire.Error) { return e.callKeyed(r.Context(), call) })
}

func (e *Entry) readCallBody(r *http.Request) ([]byte, *wire.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, e.cfg.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &wire.Error{Kind: wire.ErrorTooLarge, Message: "body is too large"}
	}
	if err != nil || !json.Valid(body) {
		return nil, &wire.Error{Kind: wire.ErrorBadRequest, Message: "body is not JSON"}
	}
	return body, nil
}

// callIdempotent calls agents of the service until one gives an answer or
// the retry budget is used up.
func (e *Entry) callIdempotent(ctx context.Context, workspace, service string, method settings.Method, body []byte) (*rpc.Ticket, *wire.Error) {
	agents := e.plainAgents(workspace, service)
	e.calls.deposit()
	failure := &wire.Error{Kind: wire.ErrorUnavailable, Message: "no agent serves the service", RetryAfterMS: 1000}
	for attempt, agent := range agents[:min(len(agents), agentAttempts)] {
		if attempt > 0 && !e.calls.mayRetry() {
			break
		}
		answer, err := e.operations(agent).Call(ctx, &rpc.CallRequest{Method: method.Name, Body: body})
		if err != nil {
			failure = &wire.Error{Kind: wire.ErrorUpstream, Message: err.Error(), Run: wire.RunUnknown}
			continue
		}
		if failure = outcomeError(answer); failure == nil {
			return answer, nil
		}
	}
	return nil, failure
}

// callKeyed runs the ticket that the first claim of the key names.
func (e *Entry) callKeyed(ctx context.Context, call keyedCall) (*rpc.Ticket, *wire.Error) {
	steps := &operation.Call{Request: callDigest(call.method.Name, call.body), FirstUse: call.firstUse}
	claim, state, _, _ := e.claims.lookup(call.workspace, call.service, call.key)
	step := steps.Begin(claim, state)
	if step == operation.StepReserve {
		step = e.reserveFor(ctx, call, steps)
	}
	if step == operation.StepClaim {
		step = steps.HandleClaimRead(e.settle(ctx, wire.ClaimRecord{
			Workspace: call.workspace, Service: call.service, Key: call.key, Ticket: steps.Ticket(), Request: steps.Request,
		}))
	}
	if step == operation.StepCancel {
		step = e.cancelFor(ctx, steps)
	}
	if step == operation.StepRefuse {
		return nil, keyedRefusal(steps)
	}
	if unused := steps.UnusedTicket(); unused != "" {
		// The reservation expires by itself if this cancel fails.
		_, _ = e.cancel(ctx, unused)
	}
	answer, failure := e.run(ctx, steps.Ticket(), call.method, call.body)
	if failure != nil && failure.Run == "" {
		// The claim stands, so a call with the same key may run the ticket.
		failure.Run = wire.RunUnknown
	}
	return answer, failure
}

func (e *Entry) reserveFor(ctx context.Context, call keyedCall, steps *operation.Call) operation.Step {
	own, failure := e.reserve(ctx, call.workspace, call.service)
	if failure != nil {
		return steps.HandleReserveFailed()
	}
	return steps.HandleReserved(own.GetTicket())
}

// cancelFor cancels the ticket of a claim that did not settle, also if the
// caller has gone.
func (e *Entry) cancelFor(ctx context.Context, steps *operation.Call) operation.Step {
	answer, failure := e.cancel(context.WithoutCancel(ctx), steps.Ticket())
	if failure == nil && answer.GetOutcome() == rpc.Outcome_NOT_RUN {
		return steps.HandleCancelled(operation.OutcomeNotRun)
	}
	return steps.HandleCancelled(operation.OutcomeUnknown)
}

// keyedRefusal returns the error of a keyed call that was refused.
func keyedRefusal(steps *operation.Call) *wire.Error {
	outcome, reason := steps.Refusal()
	refused := &wire.Error{Kind: wire.ErrorUnavailable, Run: wire.RunStatus(outcome.String())}
	switch reason {
	case operation.ReasonNoAgent:
		refused.Message, refused.RetryAfterMS = "no agent of the service takes reservations", 1000
	case operation.ReasonClaimUnconfirmed:
		refused.Message, refused.RetryAfterMS = "claim did not settle in the log", 1000
	case operation.ReasonKeyUnknown:
		refused.Kind = wire.ErrorConflict
		refused.Message = "key is older than the claims that are still known; its operation may have run"
	case operation.ReasonRequestMismatch:
		refused.Kind = wire.ErrorConflict
		refused.Message = "key was used with another method or body"
	}
	return refused
}

// callDigest identifies a method and body in a claim.
func callDigest(method string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(method + "\n"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}
