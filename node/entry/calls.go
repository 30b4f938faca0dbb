package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
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
	// firstUse says that no call with this key can have been made before.
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
		writeTicket(w, func() (*rpc.Ticket, *wire.Error) { return e.callIdempotent(r.Context(), service, method, body) })
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
func (e *Entry) callIdempotent(ctx context.Context, service string, method settings.Method, body []byte) (*rpc.Ticket, *wire.Error) {
	agents := e.members.serving(service, "")
	rand.Shuffle(len(agents), func(i, j int) { agents[i], agents[j] = agents[j], agents[i] })
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
	request := callDigest(call.method.Name, call.body)
	claim, verdict, _, _ := e.claims.lookup(call.workspace, call.service, call.key)
	switch verdict {
	case operation.VerdictUnvouched:
		return nil, unvouchedKey()
	case operation.VerdictUnbound:
		own, failure := e.reserve(ctx, call.workspace, call.service)
		if failure != nil {
			failure.Run = call.refusal()
			return nil, failure
		}
		claim, verdict = e.settle(ctx, wire.ClaimRecord{
			Workspace: call.workspace, Service: call.service, Key: call.key, Ticket: own.GetTicket(), Request: request,
		})
		if verdict != operation.VerdictBound {
			return e.abandon(ctx, call, own.GetTicket(), verdict)
		}
		if claim.Ticket != own.GetTicket() {
			// The reservation expires by itself if this cancel fails.
			_, _ = e.cancel(ctx, own.GetTicket())
		}
	}
	if claim.Request != request {
		return nil, &wire.Error{
			Kind: wire.ErrorConflict, Message: "key was used with another method or body", Run: wire.RunUnknown,
		}
	}
	answer, failure := e.run(ctx, claim.Ticket, call.method, call.body)
	if failure != nil && failure.Run == "" {
		// The claim stands, so a call with the same key may run the ticket.
		failure.Run = wire.RunUnknown
	}
	return answer, failure
}

// abandon gives up a claim that did not settle or that binds nothing. The
// claim may stand in the log all the same and another entry may take it up,
// so only the agent's word that the ticket is cancelled makes it harmless.
func (e *Entry) abandon(ctx context.Context, call keyedCall, ticket string, verdict operation.Verdict) (*rpc.Ticket, *wire.Error) {
	answer, failure := e.cancel(context.WithoutCancel(ctx), ticket)
	if verdict == operation.VerdictUnvouched {
		return nil, unvouchedKey()
	}
	refused := &wire.Error{
		Kind: wire.ErrorUnavailable, RetryAfterMS: 1000, Run: wire.RunUnknown,
		Message: "claim did not settle in the log; repeat the call with the same key",
	}
	if failure == nil && answer.GetOutcome() == rpc.Outcome_NOT_RUN {
		refused.Run = call.refusal()
	}
	return nil, refused
}

// refusal is the run status of a call that can't have run itself. An earlier
// call with the same key may have run at any entry.
func (c *keyedCall) refusal() wire.RunStatus {
	if c.firstUse {
		return wire.RunNotRun
	}
	return wire.RunUnknown
}

func unvouchedKey() *wire.Error {
	return &wire.Error{
		Kind: wire.ErrorConflict, Run: wire.RunUnknown,
		Message: "key is older than the claims that are still known; its operation may have run",
	}
}

// callDigest identifies a method and body in a claim.
func callDigest(method string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(method + "\n"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}
