package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sizes and times of the small deployments' sheets.
const (
	chunks      = 48
	chunkBytes  = 49152
	layers      = 16
	slots       = 16
	queueLength = 32
	warmTime    = 300 * time.Millisecond
	firstToken  = 70 * time.Millisecond
	eventPause  = 46 * time.Millisecond
	events      = 14
	reportLag   = 200 * time.Millisecond
	beatEvery   = 1200 * time.Millisecond
)

// piece returns the true bytes of a piece.
func piece(version int64, number int) []byte {
	r := rand.New(rand.NewPCG(uint64(version), uint64(number)))
	b := make([]byte, chunkBytes)
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return b
}

var pieceCache sync.Map

func cachedPiece(version int64, number int) []byte {
	key := [2]int64{version, int64(number)}
	if b, ok := pieceCache.Load(key); ok {
		return b.([]byte)
	}
	b := piece(version, number)
	pieceCache.Store(key, b)
	return b
}

func digestOf(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// Engine is a stand-in of a model engine.
type Engine struct {
	f       *Fleet
	id      string
	address string
	zone    string
	service string

	mu       sync.Mutex
	server   *http.Server
	up       bool
	starts   int
	born     int64
	version  int64
	busy     bool
	seq      int
	running  int
	queued   int
	slotFree chan struct{}
	staged   map[int][]byte
	rottenAt map[int]time.Time
	// spoilt lists the pieces that were wrong when the last order was accepted, without
	// those that had turned bad within the last 3 s.
	spoilt []int
	// stageTime is how long a call for a staged piece takes.
	stageTime time.Duration
	// headerFirst sends the header of an answer before its first event is ready, not
	// together with it.
	headerFirst bool
	// eventFirst calls onRun after the first event has left, not before.
	eventFirst bool
	// onStagedRead is called after a staged piece was read back.
	onStagedRead func(e *Engine, number int)
	// onRun is called when a request begins to run; it returns true if the engine
	// crashes under it.
	onRun   func(e *Engine, r *http.Request) bool
	crashes int
}

func newEngine(f *Fleet, i int, address, zone string) *Engine {
	e := &Engine{f: f, id: fmt.Sprintf("i-%04x", 0x3000+i), address: address, zone: zone, service: modelService, rottenAt: map[int]time.Time{}, staged: map[int][]byte{}, headerFirst: true}
	e.version = 1
	for n := range chunks {
		e.staged[n] = cachedPiece(1, n)
	}
	return e
}

// start opens the engine's port as a new incarnation.
func (e *Engine) start() error {
	listener, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born, e.busy, e.running, e.queued, e.seq = time.Now().UnixMilli(), false, 0, 0, 0
	if e.starts++; e.starts > 1 {
		// Each start is a new incarnation with a new id.
		e.id = fmt.Sprintf("%s%d", strings.SplitN(e.id, "x", 2)[0]+"x", e.starts)
	}
	e.slotFree = make(chan struct{}, slots)
	e.up = true
	server := &http.Server{Handler: e}
	e.server = server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// stop ends the engine at once. Its record lapses after three heartbeats.
func (e *Engine) stop(power bool) {
	e.mu.Lock()
	server, id := e.server, e.id
	e.up, e.version, e.busy = false, 0, false
	if power {
		e.staged, e.rottenAt = map[int][]byte{}, map[int]time.Time{}
	}
	e.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
	time.AfterFunc(3*beatEvery, func() {
		e.mu.Lock()
		again := e.up && e.id == id
		e.mu.Unlock()
		if !again {
			e.f.store.Put("keyed.servers", id, nil)
		}
	})
}

// crash ends the engine and starts it again after a time.
func (e *Engine) crash(down time.Duration) {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.crashes++
	e.mu.Unlock()
	e.f.note("engine_crashed", "engine", e.address)
	e.f.mu.Lock()
	e.f.crashTimes = append(e.f.crashTimes, time.Now())
	e.f.mu.Unlock()
	e.stop(false)
	time.AfterFunc(down, func() {
		if err := e.start(); err != nil {
			e.f.note("engine_not_started", "engine", e.address, "cause", err.Error())
			return
		}
		e.beat()
	})
}

// beat writes the engine's record in the registry.
func (e *Engine) beat() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	record := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": slots, "state": "ready",
		"coldRemainingMs": 0, "seq": e.seq, "born": e.born, "phase": "both", "models": e.models(), "layers": e.layers(),
	}
	id := e.id
	e.mu.Unlock()
	e.f.store.Put("keyed.servers", id, record)
}

func (e *Engine) models() []any {
	if e.version == 0 {
		return []any{}
	}
	return []any{map[string]any{"name": modelName, "version": e.version, "adapters": []any{}}}
}

func (e *Engine) layers() []any {
	if e.version == 0 {
		return []any{}
	}
	return []any{map[string]any{"from": 0, "target": layers, "version": e.version}}
}

func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	own, _, _ := net.SplitHostPort(e.address)
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", e.id)
	case r.URL.Path == "/v1/report":
		e.mu.Lock()
		report := map[string]any{
			"phase": "both", "models": e.models(), "layers": e.layers(), "busy": e.busy, "seq": e.seq, "queued": e.queued, "running": e.running,
			"kvUsed": 1000 * e.running, "kvTotal": 317000, "handles": 0, "pace": 1.0, "born": e.born,
		}
		e.mu.Unlock()
		writeJSON(w, report)
	case strings.HasPrefix(r.URL.Path, "/v1/stage-"):
		if host != own && !sameMachine(host, own) {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		e.serveStaged(w, r)
	case r.URL.Path == "/v1/order":
		e.serveOrder(w, r)
	default:
		e.serveRequest(w, r)
	}
}

// sameMachine reports whether a caller is on the engine's machine: on loopback a process
// that binds no address of its own calls from 127.0.0.1 or from the called address.
func sameMachine(host, own string) bool { return host == "127.0.0.1" || host == own }

func (e *Engine) serveStaged(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.Atoi(r.URL.Query().Get("number"))
	body, readErr := io.ReadAll(r.Body)
	e.mu.Lock()
	delay := e.stageTime
	e.mu.Unlock()
	time.Sleep(delay)
	e.mu.Lock()
	if r.Method == http.MethodPut {
		if readErr == nil {
			e.staged[number] = body
			delete(e.rottenAt, number)
		}
		e.mu.Unlock()
		return
	}
	if err != nil {
		held := []int{}
		for n := range e.staged {
			held = append(held, n)
		}
		e.mu.Unlock()
		writeJSON(w, map[string]any{"held": held})
		return
	}
	data, hook := e.staged[number], e.onStagedRead
	e.mu.Unlock()
	if data == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
	if hook != nil {
		hook(e, number)
	}
}

// rot turns a staged piece bad.
func (e *Engine) rot(number int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.staged[number] == nil {
		return
	}
	bad := append([]byte(nil), e.staged[number]...)
	bad[len(bad)/2] ^= 0x5a
	e.staged[number] = bad
	e.rottenAt[number] = time.Now()
	e.f.note("piece_rots", "engine", e.address, "piece", number)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Op       string `json:"op"`
		Version  int64  `json:"version"`
		Strategy string `json:"strategy"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Op != "start" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.busy:
		w.WriteHeader(http.StatusConflict)
		return
	case e.version == order.Version:
		return
	}
	e.spoilt = nil
	for n := range chunks {
		if string(e.staged[n]) == string(cachedPiece(order.Version, n)) {
			continue
		}
		if at, rotten := e.rottenAt[n]; rotten && time.Since(at) < 3*time.Second {
			e.f.note("piece_bad_but_excused", "engine", e.address, "piece", n, "bad_ms", time.Since(at).Milliseconds())
			continue
		}
		e.spoilt = append(e.spoilt, n)
	}
	detail := []any{"engine", e.address, "version", order.Version, "spoilt", fmt.Sprint(e.spoilt)}
	for _, n := range e.spoilt {
		if at, rotten := e.rottenAt[n]; rotten {
			detail = append(detail, fmt.Sprintf("bad_for_ms_%d", n), time.Since(at).Milliseconds())
		}
	}
	e.f.note("order_accepted", detail...)
	e.busy, e.version = true, 0
	e.seq++
	born, version := e.born, order.Version
	time.AfterFunc(warmTime, func() {
		e.mu.Lock()
		if e.born == born && e.up {
			e.busy, e.version = false, version
			e.f.note("loaded", "engine", e.address, "version", version)
		}
		e.mu.Unlock()
		e.beat()
	})
	w.WriteHeader(http.StatusAccepted)
}

func notExecuted(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (e *Engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", e.id)
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != e.id {
		w.Header().Set("At-Server", e.id)
		notExecuted(w, http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	deadline := 10 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	e.f.arrived(e, r)
	e.mu.Lock()
	version, slot := e.version, e.slotFree
	if version == 0 || e.busy || e.queued >= queueLength {
		e.mu.Unlock()
		notExecuted(w, http.StatusServiceUnavailable)
		return
	}
	e.queued++
	e.mu.Unlock()
	ends := time.After(deadline)
	select {
	case slot <- struct{}{}:
	case <-ends:
		e.mu.Lock()
		e.queued--
		e.mu.Unlock()
		notExecuted(w, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		e.mu.Lock()
		e.queued--
		e.mu.Unlock()
		return
	}
	e.mu.Lock()
	e.queued--
	e.running++
	spoilt := e.spoilt
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
		<-slot
	}()
	select {
	case <-time.After(firstToken):
	case <-r.Context().Done():
		return
	}
	e.f.ran(e, id, version, spoilt)
	h := w.Header()
	h.Set("X-Response-Signature", "3e1b."+e.id+"."+id)
	h.Set("X-Weight-Versions", strconv.FormatInt(version, 10))
	h.Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	if e.headerFirst && flush.Flush() != nil {
		return
	}
	if !e.eventFirst && e.onRun != nil && e.onRun(e, r) {
		panic(http.ErrAbortHandler)
	}
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for n := first; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil || flush.Flush() != nil {
			return
		}
		if e.eventFirst && n == first && e.onRun != nil && e.onRun(e, r) {
			panic(http.ErrAbortHandler)
		}
		e.mu.Lock()
		same := e.up && !e.busy
		e.mu.Unlock()
		if !same {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(eventPause):
		case <-r.Context().Done():
			return
		}
	}
}

// Origin is a stand-in of the origin of weights.
type Origin struct {
	f  *Fleet
	mu sync.Mutex
	// newest is the newest named version.
	newest int64
	// manifestAnswer may change an answer with digests, and delay it.
	manifestAnswer func(host string, version int64, digests []string) (delay time.Duration)
	answers        int
}

func (o *Origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	version := o.newest
	if v, err := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64); err == nil {
		version = v
	}
	gone, hook := version < o.newest-1, o.manifestAnswer
	o.answers++
	o.mu.Unlock()
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	switch {
	case gone:
		w.WriteHeader(http.StatusGone)
	case strings.HasPrefix(r.URL.Path, "/v1/manifest/"):
		digests := make([]string, chunks)
		for n := range digests {
			digests[n] = digestOf(cachedPiece(version, n))
		}
		var delay time.Duration
		if hook != nil {
			delay = hook(host, version, digests)
		}
		time.Sleep(delay)
		o.f.note("manifest_answer", "version", version, "to", r.RemoteAddr)
		writeJSON(w, map[string]any{"model": modelName, "version": version, "chunkBytes": chunkBytes, "layers": layers, "digests": digests})
	case strings.HasPrefix(r.URL.Path, "/v1/piece/"):
		number, _ := strconv.Atoi(r.URL.Query().Get("number"))
		_, _ = w.Write(cachedPiece(version, number))
	default:
		http.NotFound(w, r)
	}
}
