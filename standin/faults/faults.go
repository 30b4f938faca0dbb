// Package faults adds switchable faults to a stand-in's HTTP interface.
package faults

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// maxBodyBytes bounds a switch request.
const maxBodyBytes = 64 << 10

// pollInterval is how often a stalled request looks whether it may go on.
const pollInterval = 10 * time.Millisecond

// Switches are the faults of one stand-in. The zero value has none.
type Switches struct {
	// Method and PathPrefix limit the faults to matching requests.
	Method     string `json:"method,omitempty"`
	PathPrefix string `json:"path_prefix,omitempty"`
	// Down answers every request with status 503.
	Down bool `json:"down,omitempty"`
	// Stall holds every request until the switch is cleared.
	Stall bool `json:"stall,omitempty"`
	// DelayMS delays every request in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// LoseAnswers lets this many requests take effect and then closes their
	// connections without an answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
}

// Injector holds the switches in force.
type Injector struct {
	mu       sync.Mutex
	switches Switches
}

// Set replaces the switches.
func (i *Injector) Set(s Switches) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.switches = s
}

// take returns the switches that apply to the request and consumes one lost
// answer.
func (i *Injector) take(r *http.Request) Switches {
	i.mu.Lock()
	defer i.mu.Unlock()
	s := i.switches
	if s.Method != "" && s.Method != r.Method || !strings.HasPrefix(r.URL.Path, s.PathPrefix) {
		return Switches{}
	}
	if s.LoseAnswers > 0 {
		i.switches.LoseAnswers--
	}
	return s
}

// Wrap adds the faults and POST /faults to a handler.
func (i *Injector) Wrap(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var s Switches
		if failure := wire.ReadJSON(r, maxBodyBytes, &s); failure != nil {
			wire.WriteError(w, *failure)
			return
		}
		i.Set(s)
		wire.WriteJSON(w, http.StatusOK, s)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { i.serve(next, w, r) })
	return mux
}

func (i *Injector) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	s := i.take(r)
	if !i.hold(r, s) {
		return
	}
	switch {
	case s.Down:
		wire.WriteError(w, wire.Error{Kind: wire.ErrorUnavailable, Message: "fault: service is down"})
	case s.LoseAnswers > 0:
		next.ServeHTTP(&discard{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	default:
		next.ServeHTTP(w, r)
	}
}

// hold delays the request and reports whether its client is still there.
func (i *Injector) hold(r *http.Request, s Switches) bool {
	if s.DelayMS > 0 && !wait(r, time.Duration(s.DelayMS)*time.Millisecond) {
		return false
	}
	for stalled := s.Stall; stalled; {
		if !wait(r, pollInterval) {
			return false
		}
		i.mu.Lock()
		stalled = i.switches.Stall
		i.mu.Unlock()
	}
	return true
}

func wait(r *http.Request, d time.Duration) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

// discard takes the answer of a request whose answer is lost.
type discard struct {
	header http.Header
}

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}
