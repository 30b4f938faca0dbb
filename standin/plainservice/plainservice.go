// Package plainservice is a stand-in for a plain service, whose calls have
// effects that can be counted.
package plainservice

import (
	"io"
	"net/http"
	"sync"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// maxBodyBytes bounds a call's body.
const maxBodyBytes = 2 << 20

// Execution is one call that took effect.
type Execution struct {
	Method string `json:"method"`
	Ticket string `json:"ticket"`
	Fence  string `json:"fence"`
	Body   string `json:"body"`
}

// Service records the calls that it executed.
type Service struct {
	mu         sync.Mutex
	executions []Execution
}

// New returns a service without executions.
func New() *Service {
	return &Service{executions: []Execution{}}
}

// Executions returns the calls that took effect, in order.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution{}, s.executions...)
}

// Handler returns the HTTP interface of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/call/{method}", s.handleCall)
	mux.HandleFunc("GET /v1/executions", func(w http.ResponseWriter, _ *http.Request) {
		wire.WriteJSON(w, http.StatusOK, s.Executions())
	})
	return mux
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		wire.WriteError(w, wire.Error{Kind: wire.ErrorBadRequest, Message: "body can't be read"})
		return
	}
	s.mu.Lock()
	s.executions = append(s.executions, Execution{
		Method: r.PathValue("method"), Ticket: r.Header.Get("Operation-Ticket"),
		Fence: r.Header.Get("Operation-Fence"), Body: string(body),
	})
	count := len(s.executions)
	s.mu.Unlock()
	wire.WriteJSON(w, http.StatusOK, map[string]int{"executions": count})
}
