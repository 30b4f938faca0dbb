// Package engine is a stand-in for a model engine.
package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// Limits of the stand-in.
const (
	maxBodyBytes     = 2 << 20
	defaultMaxTokens = 16
)

// Config sets the behaviour of the engine.
type Config struct {
	// TokenTime is the time between two tokens.
	TokenTime time.Duration
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
}

// Engine is a model engine that generates numbered tokens.
type Engine struct {
	cfg    Config
	mu     sync.Mutex
	status wire.EngineStatus
}

// New returns an engine without a version.
func New(cfg Config) *Engine {
	return &Engine{cfg: cfg, status: wire.EngineStatus{State: wire.EngineEmpty}}
}

// Handler returns the HTTP interface of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/load", e.handleLoad)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		wire.WriteJSON(w, http.StatusOK, e.Status())
	})
	mux.HandleFunc("POST /v1/generate", e.handleGenerate)
	return mux
}

// Status returns the state of the engine.
func (e *Engine) Status() wire.EngineStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
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

func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var req wire.GenerateRequest
	if failure := wire.ReadJSON(r, maxBodyBytes, &req); failure != nil {
		wire.WriteError(w, *failure)
		return
	}
	e.mu.Lock()
	version, ready := e.status.Version, e.status.State == wire.EngineReady
	if ready {
		e.status.Running++
	}
	e.mu.Unlock()
	if !ready {
		wire.WriteError(w, wire.Error{Kind: wire.ErrorUnavailable, Message: "no version is loaded"})
		return
	}
	defer func() {
		e.mu.Lock()
		e.status.Running--
		e.mu.Unlock()
	}()
	count := req.MaxTokens
	if count <= 0 {
		count = defaultMaxTokens
	}
	frames := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	for i := range count {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.cfg.TokenTime):
		}
		// The version is read for each token, as an engine would answer from
		// the weights that are loaded at that moment.
		version = e.Status().Version
		text := fmt.Sprintf("%s-%d ", version, i)
		_ = frames.Encode(wire.GenerateFrame{Token: &text})
		_ = flush.Flush()
	}
	_ = frames.Encode(wire.GenerateFrame{End: &wire.GenerateEnd{Tokens: count, Version: version}})
}
