package engine

import (
	"encoding/json"
	"net/http"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// GenerateFaults are the faults of generated answers. They are set by
// POST /faults/generate; the zero value has none.
type GenerateFaults struct {
	// TokenDelayMS makes every step this much longer.
	TokenDelayMS int64 `json:"token_delay_ms,omitempty"`
	// StallAfter stops each answer after this many tokens without closing it.
	StallAfter int `json:"stall_after,omitempty"`
	// FailAfter ends each answer with an error after this many tokens.
	FailAfter int `json:"fail_after,omitempty"`
	// CutAfter closes the connection after this many tokens.
	CutAfter int `json:"cut_after,omitempty"`
	// Cross gives each request the tokens of another one.
	Cross bool `json:"cross,omitempty"`
	// Unlabelled leaves the request id out of the frames.
	Unlabelled bool `json:"unlabelled,omitempty"`
	// Version replaces the version in the last frame.
	Version string `json:"version,omitempty"`
}

// GenerateStats counts what happened to generated answers.
type GenerateStats struct {
	// CacheHits and CacheMisses count blocks of prompts.
	CacheHits   int `json:"cache_hits"`
	CacheMisses int `json:"cache_misses"`
	Cancelled   int `json:"cancelled"`
	// Paused counts tokens that waited for a slow reader.
	Paused   int `json:"paused"`
	Finished int `json:"finished"`
	Tokens   int `json:"tokens"`
}

// SetFaults replaces the faults of generated answers.
func (e *Engine) SetFaults(f GenerateFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Stats returns the counts so far.
func (e *Engine) Stats() GenerateStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.CacheHits, s.CacheMisses = e.cache.hits, e.cache.misses
	return s
}

func (e *Engine) addGenerate(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/generate", e.handleGenerate)
	mux.HandleFunc("POST /v1/cancel", e.handleCancel)
	mux.HandleFunc("GET /v1/stats", func(w http.ResponseWriter, _ *http.Request) {
		wire.WriteJSON(w, http.StatusOK, e.Stats())
	})
	mux.HandleFunc("POST /faults/generate", func(w http.ResponseWriter, r *http.Request) {
		var f GenerateFaults
		if failure := wire.ReadJSON(r, maxBodyBytes, &f); failure != nil {
			wire.WriteError(w, *failure)
			return
		}
		e.SetFaults(f)
		wire.WriteJSON(w, http.StatusOK, f)
	})
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	var req wire.CancelRequest
	if failure := wire.ReadJSON(r, maxBodyBytes, &req); failure != nil {
		wire.WriteError(w, *failure)
		return
	}
	wire.WriteJSON(w, http.StatusOK, map[string]bool{"cancelled": e.cancel(req.RequestID)})
}

func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var req wire.GenerateRequest
	if failure := wire.ReadJSON(r, maxBodyBytes, &req); failure != nil {
		wire.WriteError(w, *failure)
		return
	}
	s, ok := e.admit(req)
	if !ok {
		wire.WriteError(w, wire.Error{Kind: wire.ErrorOverloaded, Message: "no version is loaded, or batch and queue are full", RetryAfterMS: 1000, Run: wire.RunNotRun})
		return
	}
	defer e.cancel(req.RequestID)
	frames := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	_ = flush.Flush()
	for sent := 0; ; sent++ {
		select {
		case <-r.Context().Done():
			return
		case out, open := <-s.out:
			if !open || !e.send(frames, s, out, sent) {
				return
			}
		}
		if len(s.out) == 0 {
			_ = flush.Flush()
		}
	}
}

// send writes one frame and reports whether the answer goes on.
func (e *Engine) send(frames *json.Encoder, s *sequence, out output, sent int) bool {
	e.mu.Lock()
	faults, version := e.faults, s.version
	e.stats.Tokens++
	if out.end {
		e.stats.Finished++
		e.stats.Tokens--
	}
	e.mu.Unlock()
	frame := wire.GenerateFrame{RequestID: out.owner}
	if faults.Unlabelled {
		frame.RequestID = ""
	}
	switch {
	case faults.CutAfter > 0 && sent >= faults.CutAfter:
		panic(http.ErrAbortHandler)
	case faults.FailAfter > 0 && sent >= faults.FailAfter:
		frame.Error = "fault: generation failed"
	case out.end:
		frame.End = &wire.GenerateEnd{Tokens: s.count, Version: version}
		if faults.Version != "" {
			frame.End.Version = faults.Version
		}
	default:
		frame.Token = &out.text
	}
	return frames.Encode(frame) == nil && frame.Token != nil
}
