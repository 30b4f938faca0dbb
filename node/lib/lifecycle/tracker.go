package lifecycle

import (
	"cmp"
	"context"
	"expvar"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
)

// RequestIDHeader is the header with the request id between callers, entries and
// agents.
const RequestIDHeader = "Request-Id"

// GracePeriod is how long a leaving process keeps answering new requests, with
// refusals, even if no request is in flight. Callers and entries may keep using
// its address for that long.
const GracePeriod = 3 * time.Second

// workTotal counts the requests that were begun and those that were refused
// because the process is leaving.
var workTotal = expvar.NewMap("work_total")

// Tracker tracks the requests in flight and whether the process is leaving.
type Tracker struct {
	mu             sync.Mutex
	inFlight       map[string]int
	leaving        bool
	leavingSince   time.Time
	becameIdle     chan struct{}
	leavingStarted chan struct{}
}

// NewTracker returns a tracker with no requests in flight.
func NewTracker() *Tracker {
	return &Tracker{inFlight: map[string]int{}, becameIdle: make(chan struct{}), leavingStarted: make(chan struct{})}
}

// StartLeaving marks the process as leaving, after which Begin refuses requests. Only the
// first call has an effect.
func (t *Tracker) StartLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		return
	}
	t.leaving, t.leavingSince = true, time.Now()
	close(t.leavingStarted)
}

// LeavingStarted returns a channel that is closed when the process starts leaving.
func (t *Tracker) LeavingStarted() <-chan struct{} {
	return t.leavingStarted
}

// Leaving reports whether the process is leaving.
func (t *Tracker) Leaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving
}

// Begin adds a request to those in flight and returns true. If the process is
// leaving, it returns false instead.
func (t *Tracker) Begin(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		workTotal.Add("refused", 1)
		return false
	}
	workTotal.Add("begun", 1)
	t.inFlight[id]++
	return true
}

// End removes a request from those in flight.
func (t *Tracker) End(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight[id]--; t.inFlight[id] == 0 {
		delete(t.inFlight, id)
	}
	if len(t.inFlight) == 0 {
		close(t.becameIdle)
		t.becameIdle = make(chan struct{})
	}
}

// InFlight returns the ids of the requests in flight, sorted.
func (t *Tracker) InFlight() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make([]string, 0, len(t.inFlight))
	for id := range t.inFlight {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Drain waits until GracePeriod has passed since StartLeaving and no request is in
// flight. It returns false if ctx ends while requests are in flight.
func (t *Tracker) Drain(ctx context.Context) bool {
	t.mu.Lock()
	since := t.leavingSince
	t.mu.Unlock()
	timer := time.NewTimer(time.Until(since.Add(GracePeriod)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	for {
		t.mu.Lock()
		idle, becameIdle := len(t.inFlight) == 0, t.becameIdle
		t.mu.Unlock()
		if idle {
			return true
		}
		select {
		case <-becameIdle:
		case <-ctx.Done():
			return false
		}
	}
}

// Count returns a handler that tracks the requests for which isCounted returns
// true while next handles them. It never refuses a request.
func (t *Tracker) Count(next http.Handler, isCounted func(*http.Request) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !isCounted(r) {
			next.ServeHTTP(w, r)
			return
		}
		id := cmp.Or(r.Header.Get(RequestIDHeader), r.URL.Path)
		t.mu.Lock()
		t.inFlight[id]++
		t.mu.Unlock()
		defer t.End(id)
		next.ServeHTTP(w, r)
	})
}

// Track returns a handler that tracks the requests for which isTracked returns
// true and sets their request id header if it is missing. If the process is
// leaving, refuse answers the request.
func (t *Tracker) Track(next http.Handler, isTracked func(*http.Request) bool, refuse http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !isTracked(r) {
			next.ServeHTTP(w, r)
			return
		}
		id := r.Header.Get(RequestIDHeader)
		if id == "" {
			id = uuid.NewString()
			r.Header.Set(RequestIDHeader, id)
		}
		if !t.Begin(id) {
			// A connection kept alive would be broken when the process exits.
			w.Header().Set("Connection", "close")
			refuse(w, r)
			return
		}
		defer t.End(id)
		next.ServeHTTP(w, r)
	})
}
