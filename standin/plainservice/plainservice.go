// Package plainservice is a stand-in for a plain service, whose calls have
// effects that can be counted.
package plainservice

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// Limits of the stand-in.
const (
	maxBodyBytes = 2 << 20
	holdInterval = 5 * time.Millisecond
)

// Execution is one call that took effect.
type Execution struct {
	Method string `json:"method"`
	Ticket string `json:"ticket"`
	Fence  string `json:"fence"`
	Body   string `json:"body"`
	// Key is the idempotency key that reached the service, which should be
	// empty.
	Key string `json:"key,omitempty"`
	// RemoteAddress tells the connections of two calls apart.
	RemoteAddress string `json:"remote_address"`
}

// Switches are the faults of the service's calls.
type Switches struct {
	// HoldBefore and HoldAfter hold calls before and after their effect until
	// the switch is cleared, even if the client has gone.
	HoldBefore bool `json:"hold_before,omitempty"`
	HoldAfter  bool `json:"hold_after,omitempty"`
	// DelayBeforeMS and DelayAfterMS delay calls in milliseconds.
	DelayBeforeMS int64 `json:"delay_before_ms,omitempty"`
	DelayAfterMS  int64 `json:"delay_after_ms,omitempty"`
	// LoseAnswer closes the connection after the effect.
	LoseAnswer bool `json:"lose_answer,omitempty"`
	// Fail answers with status 422 and without effect.
	Fail bool `json:"fail,omitempty"`
	// CloseReused closes a connection that carries its second call, after
	// the effect and without an answer.
	CloseReused bool `json:"close_reused,omitempty"`
	// ChecksFence refuses calls with an older fencing number than the newest
	// one seen.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// AnswerTicket replaces the ticket that answers name.
	AnswerTicket string `json:"answer_ticket,omitempty"`
	// AnswerBytes is the size of the answers; 0 means the usual answer.
	AnswerBytes int `json:"answer_bytes,omitempty"`
	// Redirect answers with a redirect to the same path and without effect.
	Redirect bool `json:"redirect,omitempty"`
}

// Counts are the calls that reached the service.
type Counts struct {
	Arrived  int `json:"arrived"`
	Executed int `json:"executed"`
}

// Service records the calls that it executed.
type Service struct {
	mu          sync.Mutex
	switches    Switches
	arrived     int
	executions  []Execution
	connections map[string]bool
	fence       wire.Fence
}

// New returns a service without executions.
func New() *Service {
	return &Service{executions: []Execution{}, connections: map[string]bool{}}
}

// Set replaces the switches.
func (s *Service) Set(switches Switches) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = switches
}

// Executions returns the calls that took effect, in order.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution{}, s.executions...)
}

// Counts returns the numbers of calls.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{Arrived: s.arrived, Executed: len(s.executions)}
}

// Handler returns the HTTP interface of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/call/{method}", s.handleCall)
	mux.HandleFunc("GET /v1/executions", func(w http.ResponseWriter, _ *http.Request) {
		wire.WriteJSON(w, http.StatusOK, s.Executions())
	})
	mux.HandleFunc("GET /v1/counts", func(w http.ResponseWriter, _ *http.Request) {
		wire.WriteJSON(w, http.StatusOK, s.Counts())
	})
	mux.HandleFunc("POST /v1/switches", func(w http.ResponseWriter, r *http.Request) {
		var switches Switches
		if failure := wire.ReadJSON(r, maxBodyBytes, &switches); failure != nil {
			wire.WriteError(w, *failure)
			return
		}
		s.Set(switches)
		wire.WriteJSON(w, http.StatusOK, switches)
	})
	return mux
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		wire.WriteError(w, wire.Error{Kind: wire.ErrorBadRequest, Message: "body can't be read"})
		return
	}
	reused := s.arrive(r)
	switches := s.hold(func(f Switches) (bool, int64) { return f.HoldBefore, f.DelayBeforeMS })
	switch {
	case switches.Fail:
		wire.WriteJSON(w, http.StatusUnprocessableEntity, map[string]string{"error": "refused by the service"})
		return
	case switches.Redirect:
		http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
		return
	}
	count, fresh := s.execute(r, string(body))
	if !fresh {
		wire.WriteJSON(w, http.StatusPreconditionFailed, map[string]string{"error": "old fencing number"})
		return
	}
	s.hold(func(f Switches) (bool, int64) { return f.HoldAfter, f.DelayAfterMS })
	if switches.LoseAnswer || switches.CloseReused && reused {
		panic(http.ErrAbortHandler)
	}
	answer(w, r, switches, count)
}

func answer(w http.ResponseWriter, r *http.Request, switches Switches, count int) {
	ticket := r.Header.Get(wire.TicketHeader)
	if switches.AnswerTicket != "" {
		ticket = switches.AnswerTicket
	}
	w.Header().Set(wire.TicketHeader, ticket)
	if switches.AnswerBytes > 0 {
		wire.WriteJSON(w, http.StatusOK, strings.Repeat("a", switches.AnswerBytes))
		return
	}
	wire.WriteJSON(w, http.StatusOK, map[string]any{"executions": count, "ticket": r.Header.Get(wire.TicketHeader)})
}

// arrive counts a call and reports whether its connection was used before.
func (s *Service) arrive(r *http.Request) (reused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrived++
	reused = s.connections[r.RemoteAddr]
	s.connections[r.RemoteAddr] = true
	return reused
}

// hold waits as the switches say and returns them.
func (s *Service) hold(fault func(Switches) (held bool, delayMS int64)) Switches {
	s.mu.Lock()
	switches := s.switches
	s.mu.Unlock()
	held, delayMS := fault(switches)
	if delayMS > 0 {
		<-time.After(time.Duration(delayMS) * time.Millisecond)
	}
	for held {
		<-time.After(holdInterval)
		s.mu.Lock()
		switches = s.switches
		s.mu.Unlock()
		held, _ = fault(switches)
	}
	return switches
}

// execute records an effect unless the call's fencing number is old.
func (s *Service) execute(r *http.Request, body string) (count int, fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fence := parseFence(r.Header.Get(wire.FenceHeader))
	if older(fence, s.fence) && s.switches.ChecksFence {
		return 0, false
	}
	if older(s.fence, fence) {
		s.fence = fence
	}
	s.executions = append(s.executions, Execution{
		Method: r.PathValue("method"), Ticket: r.Header.Get(wire.TicketHeader), Fence: r.Header.Get(wire.FenceHeader),
		Body: body, Key: r.Header.Get(wire.KeyHeader), RemoteAddress: r.RemoteAddr,
	})
	return len(s.executions), true
}

func older(a, b wire.Fence) bool {
	return a.Offset < b.Offset || a.Offset == b.Offset && a.StartMS < b.StartMS
}

func parseFence(text string) wire.Fence {
	offset, start, _ := strings.Cut(text, ".")
	var fence wire.Fence
	fence.Offset, _ = strconv.ParseInt(offset, 10, 64)
	fence.StartMS, _ = strconv.ParseInt(start, 10, 64)
	return fence
}
