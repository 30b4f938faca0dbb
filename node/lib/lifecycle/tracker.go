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

// RequestIDHeader carries the id of a request between callers, entries and
// agents.
const RequestIDHeader = "Request-Id"

// Grace is how long a leaving process goes on to answer late arrivals, even
// when nothing is in flight. Callers and entries may hold its address as long.
const Grace = 3 * time.Second

// workTotal counts the requests that were begun and those that were refused
// because the process was leaving.
var workTotal = expvar.NewMap("work_total")

// Tracker knows the requests in flight and whether the process is leaving.
type Tracker struct {
	mu       sync.Mutex
	inFlight map[string]int
	leaving  bool
	since    time.Time
	changed  chan struct{}
	left     chan struct{}
}

// NewTracker returns a tracker without requests.
func NewTracker() *Tracker {
	return &Tracker{inFlight: map[string]int{}, changed: make(chan struct{}), left: make(chan struct{})}
}

// Leave makes Begin refuse from now on. Only the first call has an effect.
func (t *Tracker) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		return
	}
	t.leaving, t.since = true, time.Now()
	close(t.left)
}

// Left is closed once the process is leaving.
func (t *Tracker) Left() <-chan struct{} {
	return t.left
}

// Leaving reports whether the process is leaving.
func (t *Tracker) Leaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving
}

// Begin counts a request in, unless the process is leaving.
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

// End counts a request out.
func (t *Tracker) End(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight[id]--; t.inFlight[id] == 0 {
		delete(t.inFlight, id)
	}
	if len(t.inFlight) == 0 {
		close(t.changed)
		t.changed = make(chan struct{})
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

// Drain waits until nothing is in flight and Grace has passed since Leave.
// It reports false if ctx ended before.
func (t *Tracker) Drain(ctx context.Context) bool {
	t.mu.Lock()
	since := t.since
	t.mu.Unlock()
	timer := time.NewTimer(time.Until(since.Add(Grace)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	for {
		t.mu.Lock()
		idle, changed := len(t.inFlight) == 0, t.changed
		t.mu.Unlock()
		if idle {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// Count counts requests for which isCounted holds in and out of the tracker
// and refuses none.
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

// Track counts requests for which isWork holds in and out of the tracker, and
// gives each an id in its header. refuse answers those that come too late.
func (t *Tracker) Track(next http.Handler, isWork func(*http.Request) bool, refuse http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !isWork(r) {
			next.ServeHTTP(w, r)
			return
		}
		id := r.Header.Get(RequestIDHeader)
		if id == "" {
			id = uuid.NewString()
			r.Header.Set(RequestIDHeader, id)
		}
		if !t.Begin(id) {
			// A connection that is kept alive would be cut by the exit.
			w.Header().Set("Connection", "close")
			refuse(w, r)
			return
		}
		defer t.End(id)
		next.ServeHTTP(w, r)
	})
}
