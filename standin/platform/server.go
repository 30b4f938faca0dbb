package platform

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Events is how many events a stream has, eventPause the time between two.
const (
	Events     = 6
	eventPause = 15 * time.Millisecond
)

// Server is one backend server. With a model it is an engine with staged
// weights; without, a plain service.
type Server struct {
	id, model string

	mu      sync.Mutex
	born    int64
	version int64
	busy    bool
	seq     int
	running int
	staged  map[int][]byte
	// rottenAt is when staged pieces turned bad.
	rottenAt map[int]time.Time
	// loseEvery breaks the connection after every so many-th request has run,
	// cutEvery breaks streams in the middle, shedEvery refuses; 0 never.
	loseEvery, cutEvery, shedEvery int
	served                         int
	runs                           map[string]int
	broken                         []string
	// onDeadlyPart crashes the engine's machine; nil means that it can't.
	onDeadlyPart func()
	distress     Distress
	arrivals     []Arrival
	agentCalls   []Arrival
	// report replaces the load report if it is set.
	report []byte
	load   Load
	pause  gate
}

// DeadlyPart is the part of a prompt under which engines crash as soon as they
// have begun to answer it.
const DeadlyPart = "dead"

// OnDeadlyPart sets what crashes the engine. The function must end its connections
// and close its port.
func (s *Server) OnDeadlyPart(crash func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onDeadlyPart = crash
}

// NewServer returns a server. Engines hold version 1, loaded and staged.
func NewServer(id, model string) *Server {
	s := &Server{id: id, model: model, born: time.Now().UnixMilli(), staged: map[int][]byte{}, rottenAt: map[int]time.Time{}, runs: map[string]int{}}
	if model != "" {
		s.version = 1
		for n := range Pieces {
			s.staged[n] = Piece(1, n)
		}
	}
	return s
}

// Distress is what a server in need says in its answers. Empty fields are not sent.
type Distress struct {
	// Limit and Leaving are the values of the headers in all answers.
	Limit, Leaving []string
	// Refuse makes the server refuse all requests, with RetryAfter if it is set.
	Refuse     bool
	RetryAfter string
	// RefuseAgent makes an engine refuse the calls of its agent, with RetryAfter.
	RefuseAgent bool
}

// SetReport makes the server answer with these bytes instead of its load report; nil
// ends that.
func (s *Server) SetReport(report []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report = report
}

// Arrival is a request that reached a server for its own instance.
type Arrival struct {
	ID string
	At time.Time
	// RetryAfter is set if the request was refused with this time to return.
	RetryAfter string
}

// SetDistress sets what the server says from now on.
func (s *Server) SetDistress(d Distress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.distress = d
}

// Arrivals returns the requests that reached the server, in order. Load reports,
// orders and misdirected requests don't count.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// AgentCalls returns the calls of the agent that reached the engine, in order.
func (s *Server) AgentCalls() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.agentCalls...)
}

// refusesAgent adds what the server says to an answer, and refuses calls of an agent
// if it has to.
func (s *Server) refusesAgent(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeDistress(w.Header())
	if s.model == "" || !strings.HasPrefix(r.URL.Path, "/v1/") {
		return false
	}
	call := Arrival{ID: r.URL.Path, At: time.Now()}
	if s.distress.RefuseAgent {
		call.RetryAfter = s.distress.RetryAfter
		w.Header().Set("Retry-After", call.RetryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	s.agentCalls = append(s.agentCalls, call)
	return s.distress.RefuseAgent
}

// writeDistress adds the headers of a server in need to an answer.
func (s *Server) writeDistress(h http.Header) {
	for _, value := range s.distress.Limit {
		h.Add("Server-Limit", value)
	}
	for _, value := range s.distress.Leaving {
		h.Add("Server-Leaving", value)
	}
}

// SetFaults sets the faults: every so many-th request loses its answer, is cut
// or is refused.
func (s *Server) SetFaults(loseEvery, cutEvery, shedEvery int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseEvery, s.cutEvery, s.shedEvery = loseEvery, cutEvery, shedEvery
}

// Crash forgets the weights; what is staged stays.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.born, s.busy = 0, time.Now().UnixMilli(), false
}

// Rot turns a staged piece bad.
func (s *Server) Rot(number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staged[number] = []byte("rotten")
	if s.rottenAt[number].IsZero() {
		s.rottenAt[number] = time.Now()
	}
}

// Version returns the loaded version.
func (s *Server) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Runs returns how often each request ran here.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for id, n := range s.runs {
		out[id] = n
	}
	return out
}

// Broken returns what went against the platform's rules at this server.
func (s *Server) Broken() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.broken...)
}

// Beat returns the server's record in the registry.
func (s *Server) Beat(service, address, zone string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	beat := map[string]any{"service": service, "address": address, "zone": zone, "slots": 16, "state": "ready", "seq": s.seq, "born": s.born}
	if s.model != "" {
		beat["phase"], beat["models"] = "both", s.models()
	}
	return beat
}

func (s *Server) models() []map[string]any {
	if s.version == 0 {
		return []map[string]any{}
	}
	return []map[string]any{{"name": s.model, "version": s.version}}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.pause.wait(r.Context())
	if s.refusesAgent(w, r) {
		return
	}
	switch {
	case r.URL.Path == "/v1/report" && s.model != "":
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.report != nil {
			// A caller that left asks again.
			_, _ = w.Write(s.report)
			return
		}
		writeJSON(w, map[string]any{"phase": "both", "models": s.models(), "busy": s.busy, "seq": s.seq, "running": s.running, "queued": 0, "pace": 1.0, "born": s.born})
	case strings.HasPrefix(r.URL.Path, "/v1/stage-"):
		s.serveStaged(w, r)
	case r.URL.Path == "/v1/order":
		s.serveOrder(w, r)
	default:
		s.serveRequest(w, r)
	}
}

func (s *Server) serveStaged(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.Atoi(r.URL.Query().Get("number"))
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method == http.MethodPut:
		s.staged[number] = body
		delete(s.rottenAt, number)
	case err != nil:
		held := []int{}
		for n := range s.staged {
			held = append(held, n)
		}
		writeJSON(w, map[string]any{"held": held})
	case s.staged[number] == nil:
		w.WriteHeader(http.StatusNotFound)
	default:
		// A caller that left asks again.
		_, _ = w.Write(s.staged[number])
	}
}

// rotGrace is the time before a load order within which the platform's rules allow
// a staged piece to turn bad unnoticed: an agent can only read the pieces back and
// then order.
const rotGrace = 3 * time.Second

// loadTime is how long an engine loads.
const loadTime = 100 * time.Millisecond

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Op      string `json:"op"`
		Version int64  `json:"version"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Op != "start" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy || s.version > order.Version {
		w.WriteHeader(http.StatusConflict)
		return
	}
	for n := range Pieces {
		at := s.rottenAt[n]
		if allowed := !at.IsZero() && time.Since(at) < rotGrace; !allowed && string(s.staged[n]) != string(Piece(order.Version, n)) {
			s.broken = append(s.broken, fmt.Sprintf("%s: version %d ordered with a wrong piece %d", s.id, order.Version, n))
		}
	}
	s.busy, s.version = true, 0
	s.seq++
	born := s.born
	time.AfterFunc(loadTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.born == born {
			s.busy, s.version = false, order.Version
		}
	})
	w.WriteHeader(http.StatusAccepted)
}

// serveRequest runs a caller's request.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.served++
	every := func(n int) bool { return n > 0 && s.served%n == 0 }
	lose, cut, shed := every(s.loseEvery), every(s.cutEvery), every(s.shedEvery) || s.distress.Refuse
	arrival := Arrival{ID: id, At: time.Now()}
	if s.distress.Refuse && s.distress.RetryAfter != "" {
		arrival.RetryAfter = s.distress.RetryAfter
		w.Header().Set("Retry-After", arrival.RetryAfter)
	}
	s.arrivals = append(s.arrivals, arrival)
	load := s.load
	full := load.Places > 0 && s.running >= load.Places
	if shed || full || s.model != "" && (s.version == 0 || s.busy) {
		s.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.Header.Get("X-Credential") != "" {
		s.broken = append(s.broken, s.id+": a key was passed on")
	}
	s.runs[id]++
	s.running++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", "sig")
	if s.model == "" {
		s.work(r.Context(), load.AnswerTime)
		_, _ = fmt.Fprintf(w, "answer to %s: %s", id, body)
		return
	}
	s.stream(w, r, id, cut, load)
}

// work lets a time pass, during which the server may stand still.
func (s *Server) work(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
	s.pause.wait(ctx)
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, id string, cut bool, load Load) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	flush := http.NewResponseController(w)
	s.mu.Lock()
	crash := s.onDeadlyPart
	s.mu.Unlock()
	if crash != nil && strings.Contains(r.Header.Get("X-Prompt-Prefix"), DeadlyPart+":") {
		_ = flush.Flush()
		crash()
		panic(http.ErrAbortHandler)
	}
	last, pause := cmp.Or(load.Events, Events), cmp.Or(load.EventTime, eventPause)
	for n := first; n <= last; n++ {
		if cut && n == last-1 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", n)
			_ = flush.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id); err != nil || flush.Flush() != nil {
			return
		}
		if s.work(r.Context(), pause); r.Context().Err() != nil {
			return
		}
	}
}
