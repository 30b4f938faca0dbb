package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the weights and engines of sites/tromba-serrana (SYSTEM.md, its example of a
// configuration).
const (
	modelName    = "m0"
	llmService   = "tutors"
	pieces       = 48
	pieceBytes   = 49152
	layers       = 16
	engineSlots  = 16
	originMbps   = 15.0
	sideMbps     = 9.4
	warm         = 300 * time.Millisecond
	versionMS    = 8000
	engineCount  = 16
	streamEvents = 20
	eventPause   = 60 * time.Millisecond
)

// pieceOf returns a piece of a version.
func pieceOf(version int64, number int) []byte {
	seed := sha256.Sum256(fmt.Appendf(nil, "%d/%d", version, number))
	data := make([]byte, pieceBytes)
	_, _ = rand.NewChaCha8(seed).Read(data)
	return data
}

// origin serves manifests and pieces at the rate of its link, which all callers share.
type origin struct {
	f    *fleet
	mu   sync.Mutex
	free time.Time
	// spoilNext makes the next list of digests of version 2 a spoilt one. answers counts all
	// answers.
	spoilNext bool
	answers   int
}

// spoil overwrites the last digest of an encoded manifest, and the comma before it, with blanks.
func spoil(manifest []byte) []byte {
	end := bytes.LastIndexByte(manifest, ']')
	begin := bytes.LastIndexByte(manifest[:end], ',')
	for i := begin; i < end; i++ {
		manifest[i] = ' '
	}
	return manifest
}

// send writes data at the rate of the link.
func (o *origin) send(w http.ResponseWriter, data []byte) {
	o.mu.Lock()
	o.answers++
	start := time.Now()
	if o.free.After(start) {
		start = o.free
	}
	o.free = start.Add(time.Duration(float64(len(data)) * 8 / (originMbps * 1e6) * float64(time.Second)))
	until := o.free
	o.mu.Unlock()
	time.Sleep(time.Until(until))
	_, _ = w.Write(data)
}

func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.ParseInt(q(r, "version"), 10, 64)
	if version == 0 {
		version = 1
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/manifest/"):
		var digests []string
		for n := range pieces {
			sum := sha256.Sum256(pieceOf(version, n))
			digests = append(digests, hex.EncodeToString(sum[:]))
		}
		w.Header().Set("Content-Type", "application/json")
		data, _ := json.Marshal(struct {
			Model      string   `json:"model"`
			Version    int64    `json:"version"`
			ChunkBytes int      `json:"chunkBytes"`
			Layers     int      `json:"layers"`
			Digests    []string `json:"digests"`
		}{modelName, version, pieceBytes, layers, digests})
		o.mu.Lock()
		spoilt := o.spoilNext && version == 2
		o.spoilNext = o.spoilNext && !spoilt
		o.mu.Unlock()
		if spoilt {
			data = spoil(data)
			o.f.log("spoilt   the list of digests of version 2 for %s: the last one of %d is blank", r.RemoteAddr, pieces)
		}
		o.send(w, data)
	case strings.HasPrefix(r.URL.Path, "/v1/piece/"):
		number, _ := strconv.Atoi(q(r, "number"))
		o.send(w, pieceOf(version, number))
	default:
		http.NotFound(w, r)
	}
}

// begin is the begin of a request at an engine.
type begin struct {
	at      time.Time
	version int64
}

// engine is a model engine: it streams events, stages pieces and loads them by an order.
type engine struct {
	f            *fleet
	id, address  string
	zone         string
	born         int64
	mu           sync.Mutex
	version      int64
	busy         bool
	cut          chan struct{}
	running, seq int
	staged       map[int][]byte
	begins       map[string]begin
	// loadedBadly means that a piece of the weights was missing or of another version when they
	// were taken; badBegins counts the requests that began on such weights.
	loadedBadly   bool
	badBegins     int
	recordsSeq    int
	recordChanged chan struct{}
	// comments makes the engine send a comment between events, as servers do that keep a
	// connection alive.
	comments bool
}

func (f *fleet) startOrigin() error {
	l, err := net.Listen("tcp4", f.net+".3:8006")
	if err != nil {
		return err
	}
	f.origin = &origin{f: f}
	server := &http.Server{Handler: f.origin}
	go func() { _ = server.Serve(l) }()
	return nil
}

// startEngine starts an engine on a side machine, which holds version 1.
func (f *fleet) startEngine(n int, zone string) (*engine, error) {
	ip := fmt.Sprintf("%s.%d", f.net, 50+n)
	e := &engine{f: f, id: fmt.Sprintf("i-tutors-%d", n), address: ip + ":8001", zone: zone, born: time.Now().UnixMilli(), version: 1,
		cut: make(chan struct{}), staged: map[int][]byte{}, begins: map[string]begin{}, recordChanged: make(chan struct{}, 1)}
	for p := range pieces {
		e.staged[p] = pieceOf(1, p)
	}
	l, err := net.Listen("tcp4", e.address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: e}
	go func() { _ = server.Serve(l) }()
	f.engines = append(f.engines, e)
	go func() {
		for {
			e.beat()
			select {
			case <-time.After(1200 * time.Millisecond):
			case <-e.recordChanged:
			case <-f.stop:
				return
			}
		}
	}()
	return e, nil
}

// weights returns what the engine says of its weights. The caller holds mu.
func (e *engine) weights() map[string]any {
	out := map[string]any{"phase": "both", "born": e.born, "models": []any{}}
	if e.version > 0 {
		out["models"] = []any{map[string]any{"name": modelName, "version": e.version, "adapters": []any{}}}
		out["layers"] = []any{map[string]any{"from": 0, "target": layers, "version": e.version}}
	}
	return out
}

func (e *engine) beat() {
	e.mu.Lock()
	e.recordsSeq++
	value := e.weights()
	value["service"], value["address"], value["zone"], value["version"] = llmService, e.address, e.zone, "v1"
	value["slots"], value["state"], value["coldRemainingMs"], value["seq"] = engineSlots, "ready", 0, e.recordsSeq
	e.mu.Unlock()
	e.f.store.put("keyed.servers", e.id, value)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/report":
		e.mu.Lock()
		value := e.weights()
		value["busy"], value["seq"], value["queued"], value["running"] = e.busy, e.seq, 0, e.running
		value["kvUsed"], value["kvTotal"], value["handles"], value["pace"] = 0, 317000*layers, 0, 1.0
		e.mu.Unlock()
		writeJSON(w, value)
	case r.URL.Path == "/v1/order":
		e.serveOrder(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/stage-put/"):
		number, _ := strconv.Atoi(q(r, "number"))
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.staged[number] = data
		e.mu.Unlock()
	case strings.HasPrefix(r.URL.Path, "/v1/stage-get/"):
		e.serveStaged(w, r)
	case r.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", e.id)
	default:
		e.serveStream(w, r)
	}
}

func (e *engine) serveStaged(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if q(r, "number") == "" {
		held := []int{}
		for n := range e.staged {
			held = append(held, n)
		}
		slices.Sort(held)
		writeJSON(w, map[string]any{"held": held})
		return
	}
	number, _ := strconv.Atoi(q(r, "number"))
	data, ok := e.staged[number]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Op      string `json:"op"`
		Model   string `json:"model"`
		Version int64  `json:"version"`
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
	e.loadedBadly = false
	for n := range pieces {
		if !bytes.Equal(e.staged[n], pieceOf(order.Version, n)) {
			e.loadedBadly = true
			e.f.log("WHOLE    %s loads version %d with a wrong piece %d", e.id, order.Version, n)
		}
	}
	e.seq++
	e.busy = true
	e.version = 0
	close(e.cut)
	e.cut = make(chan struct{})
	e.f.log("order    %s begins to load version %d", e.id, order.Version)
	time.AfterFunc(warm, func() {
		e.mu.Lock()
		e.busy, e.version = false, order.Version
		e.mu.Unlock()
		e.f.log("loaded   %s has version %d", e.id, order.Version)
		select {
		case e.recordChanged <- struct{}{}:
		default:
		}
	})
	w.WriteHeader(http.StatusAccepted)
}

func (e *engine) serveStream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	wrongVersion := r.Header.Get("X-Expected-Version") != "" && r.Header.Get("X-Expected-Version") != strconv.FormatInt(e.version, 10)
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != e.id || wrongVersion {
		e.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.version == 0 || e.running >= engineSlots {
		e.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	version, cut := e.version, e.cut
	e.running++
	e.begins[id] = begin{time.Now(), version}
	if e.loadedBadly {
		e.badBegins++
	}
	e.mu.Unlock()
	e.f.log("begin    %s at %s on version %d", id, e.id, version)
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(version, 10))
	w.Header().Set("X-Response-Signature", "sig-"+id)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := from + 1; n <= streamEvents; n++ {
		select {
		case <-time.After(eventPause):
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
		if e.comments && n > from+1 && n%5 == 0 {
			_, _ = io.WriteString(w, ": keep-alive\n\n")
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token of version %d\n\n", n, version); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// startAgent starts the agent beside an engine.
func (f *fleet) startAgent(n int, zone, region string) error {
	ip := fmt.Sprintf("%s.%d", f.net, 50+n)
	settings := strings.Replace(f.settingsOf(fmt.Sprintf("side-%s-%d", zone, n), "agent", "side", ip, zone, region, "{}", "{cpuShare: 0.48, cores: 1, memoryMb: 152, maxFds: 2048, linkMbps: 9.4, diskMb: 0}"), "serves: [\"edge\", \"control\", \"directory\"]", "serves: [\"side\"]", 1)
	settings += fmt.Sprintf("app: %q\nservice: %q\n", ip+":8001", llmService)
	return f.startProcess("laburnum-agent", fmt.Sprintf("agent-%d", n), settings, &process{})
}

// startProcess starts a program of deploy/system.toml with a settings file.
func (f *fleet) startProcess(program, name, settings string, p *process) error {
	path := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	args, err := command(program)
	if err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return err
	}
	p.Cmd = exec.Command(filepath.Join(root(), "target", args[0]), args[1:]...)
	p.Dir, p.Stdout, p.Stderr = root(), out, out
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LABURNUMLOFT_CONFIG=" + path}
	// The process ends with this one, however that ends.
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := p.Start(); err != nil {
		return err
	}
	f.processes = append(f.processes, p)
	return nil
}
