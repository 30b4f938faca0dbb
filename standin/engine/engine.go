// Package engine is a stand-in for a model engine.
package engine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// Limits of the stand-in.
const (
	maxBodyBytes        = 2 << 20
	defaultMaxTokens    = 16
	defaultMaxBatch     = 256
	defaultMaxQueue     = 1024
	defaultPrefillBytes = 256
	defaultTokenTime    = 5 * time.Millisecond
)

// Config sets the behaviour of the engine.
type Config struct {
	// TokenTime is the time between two tokens of one request.
	TokenTime time.Duration
	// Capacity is the tokens per second of all requests together; 0 means
	// no bound.
	Capacity float64
	// MaxBatch bounds the requests that run at once, MaxQueue those that
	// wait; 0 means a default.
	MaxBatch, MaxQueue int
	// CacheBlocks bounds the prefix cache in blocks of 64 bytes.
	CacheBlocks int
	// PrefillBytes is how much of a prompt that is not in the prefix cache
	// one step reads; 0 means a default.
	PrefillBytes int
	// TokenBytes pads the text of a token to this size.
	TokenBytes int
	// LoadLag is how old the reported load may be.
	LoadLag time.Duration
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
}

// Engine is a model engine that generates numbered tokens.
type Engine struct {
	cfg    Config
	mu     sync.Mutex
	status wire.EngineStatus
	batch  []*sequence
	queue  []*sequence
	cache  *prefixCache
	faults GenerateFaults
	stats  GenerateStats
	// stepping says that a goroutine runs the batch.
	stepping bool
	loadAt   time.Time
	// need is what the engine says in its answers; accepted are the times of the
	// requests that reached it.
	need     Need
	accepted []time.Time
}

// New returns an engine without a version.
func New(cfg Config) *Engine {
	cfg.MaxBatch = cmp.Or(cfg.MaxBatch, defaultMaxBatch)
	cfg.MaxQueue = cmp.Or(cfg.MaxQueue, defaultMaxQueue)
	cfg.PrefillBytes = cmp.Or(cfg.PrefillBytes, defaultPrefillBytes)
	cfg.TokenTime = cmp.Or(cfg.TokenTime, defaultTokenTime)
	return &Engine{cfg: cfg, status: wire.EngineStatus{State: wire.EngineEmpty}, cache: newPrefixCache(cfg.CacheBlocks)}
}

// Handler returns the HTTP interface of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/load", e.handleLoad)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		wire.WriteJSON(w, http.StatusOK, e.Status())
	})
	e.addGenerate(mux)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.refuses(w, r) {
			mux.ServeHTTP(w, r)
		}
	})
}

// Need is what an engine in need says in its answers. Empty fields are not sent.
type Need struct {
	RateLimit, Leaving string
	// RetryAfter makes the engine refuse requests with this time to return.
	RetryAfter string
}

// SetNeed sets what the engine says from now on.
func (e *Engine) SetNeed(n Need) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.need = n
}

// Arrivals returns the times of the requests for answers that reached the engine.
func (e *Engine) Arrivals() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.accepted...)
}

// refuses adds what the engine says to an answer, and refuses a request if it has to.
func (e *Engine) refuses(w http.ResponseWriter, r *http.Request) bool {
	e.mu.Lock()
	need := e.need
	if r.URL.Path == "/v1/generate" {
		e.accepted = append(e.accepted, time.Now())
	}
	e.mu.Unlock()
	for name, value := range map[string]string{wire.RateLimitHeader: need.RateLimit, wire.LeavingHeader: need.Leaving} {
		if value != "" {
			w.Header().Set(name, value)
		}
	}
	if need.RetryAfter == "" || r.URL.Path != "/v1/generate" {
		return false
	}
	w.Header().Set(wire.RetryAfterHeader, need.RetryAfter)
	wire.WriteError(w, wire.Error{Kind: wire.ErrorUnavailable, Message: "the engine wants no requests", Run: wire.RunNotRun})
	return true
}

// Status returns the state of the engine.
func (e *Engine) Status() wire.EngineStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.Sub(e.loadAt) >= e.cfg.LoadLag {
		e.loadAt = now
		e.status.Running, e.status.Queued = len(e.batch), len(e.queue)
	}
	return e.status
}

func (e *Engine) handleLoad(w http.ResponseWriter, r *http.Request) {
	var order wire.LoadOrder
	if failure := wire.ReadJSON(r, maxBodyBytes, &order); failure != nil {
		wire.WriteError(w, *failure)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFence && older(order.Fence, e.status.Fence) {
		wire.WriteError(w, wire.Error{Kind: wire.ErrorConflict, Message: "fencing number is old"})
		return
	}
	// A repeated order for the loaded version must not disturb requests.
	held := e.status.State == wire.EngineReady && e.status.Model == order.Model && e.status.Version == order.Version && e.status.Digest == order.Digest
	e.status.Fence = order.Fence
	if !held {
		e.status.State = wire.EngineLoading
		go e.load(order)
	}
	w.WriteHeader(http.StatusAccepted)
}

func older(a, b wire.Fence) bool {
	if a.Offset != b.Offset {
		return a.Offset < b.Offset
	}
	return a.StartMS < b.StartMS
}

// Restart drops the version, as a restarted engine process would.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status = wire.EngineStatus{State: wire.EngineEmpty}
}

// load reads the version and reports the digest of the bytes that it read.
func (e *Engine) load(order wire.LoadOrder) {
	digest, err := read(order.Source)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.status.Fence != order.Fence {
		return
	}
	if err != nil || digest != order.Digest {
		e.status.State = wire.EngineFailed
		return
	}
	e.status.State = wire.EngineReady
	e.status.Model, e.status.Version, e.status.Digest = order.Model, order.Version, digest
}

func read(source string) (digest string, err error) {
	resp, err := http.Get(source)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	hash := sha256.New()
	if _, err := io.Copy(hash, resp.Body); err != nil {
		return "", err
	}
	return hex.EncodeToString(hash.Sum(nil)), nil
}
