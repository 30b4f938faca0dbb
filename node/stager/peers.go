package stager

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/rollout"
)

// Paths that agents serve to each other.
const (
	PiecePath    = "/v1/pieces"
	ManifestPath = "/v1/manifests"
	StatePath    = "/v1/engine"
)

const (
	// pieceTimeout bounds a whole answer: a piece behind a few others.
	pieceTimeout = 1500 * time.Millisecond
	// uploadQueue is how many pieces may wait for a place;
	// the asking agent goes to another one beyond it.
	uploadQueue = 3
	// peerDialTimeout bounds a connection to another agent, whose link may
	// have a queue of several pieces.
	peerDialTimeout = 800 * time.Millisecond
	// peerSetAside is how long an agent that failed isn't asked.
	peerSetAside = time.Second
	// maxPiece bounds a piece in bytes: six on their way at once take a sixth of
	// a machine of 150 MB.
	maxPiece = 4 << 20
	// maxPeerState bounds what an agent says of its engine, in bytes.
	maxPeerState = 4 << 10
)

var errPeerBusy = eris.New("the peer sends enough pieces already")

// peerClient asks other agents.
type peerClient struct {
	client *http.Client

	mu    sync.Mutex
	aside map[string]time.Time
}

func newPeerClient() *peerClient {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	return &peerClient{aside: map[string]time.Time{}, client: &http.Client{
		Timeout:   pieceTimeout,
		Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4, IdleConnTimeout: 5 * time.Second},
	}}
}

type pieceQuery struct {
	Model   string `url:"model"`
	Version int64  `url:"version"`
	Number  int    `url:"number"`
}

func (c *peerClient) piece(ctx context.Context, peer rollout.Peer, q pieceQuery) ([]byte, error) {
	resp, err := c.get(ctx, peer, PiecePath, q)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusTooManyRequests:
		return nil, errPeerBusy
	default:
		return nil, ErrNoPiece
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxPiece))
	if err != nil {
		c.setAside(peer.ID)
		return nil, eris.Wrap(err, "reading a piece of a peer")
	}
	return data, nil
}

// manifest asks a peer for a manifest.
func (c *peerClient) manifest(ctx context.Context, peer rollout.Peer, model string, version int64) (*Manifest, error) {
	resp, err := c.get(ctx, peer, ManifestPath, pieceQuery{Model: model, Version: version})
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, ErrNoPiece
	}
	var m Manifest
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPiece)).Decode(&m); err != nil {
		return nil, eris.Wrap(err, "reading a manifest of a peer")
	}
	return &m, nil
}

func (c *peerClient) get(ctx context.Context, peer rollout.Peer, path string, query any) (*http.Response, error) {
	req, err := sling.New().Base("http://" + peer.Address).Get(path).QueryStruct(query).Request()
	if err != nil {
		return nil, eris.Wrap(err, "building a question to a peer")
	}
	resp, err := c.client.Do(req.WithContext(ctx))
	if err != nil {
		if ctx.Err() == nil {
			c.setAside(peer.ID)
		}
		return nil, eris.Wrap(err, "asking a peer")
	}
	return resp, nil
}

func (c *peerClient) setAside(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aside[id] = time.Now().Add(peerSetAside)
}

func (c *peerClient) isAside(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.aside[id])
}

// peerState is what an agent says of its engine.
type peerState struct {
	Version int64 `json:"version"`
	Down    bool  `json:"down"`
}

// state asks a predecessor how far it is.
func (c *peerClient) state(ctx context.Context, peer rollout.Peer, version int64) rollout.PredecessorState {
	if c.isAside(peer.ID) {
		return rollout.PredecessorUnavailable
	}
	resp, err := c.get(ctx, peer, StatePath, struct{}{})
	if err != nil {
		return rollout.PredecessorUnavailable
	}
	defer func() { _ = resp.Body.Close() }()
	var state peerState
	if json.NewDecoder(io.LimitReader(resp.Body, maxPeerState)).Decode(&state) != nil || state.Down {
		return rollout.PredecessorUnavailable
	}
	if state.Version >= version {
		return rollout.PredecessorDone
	}
	return rollout.PredecessorPending
}

// Handler serves pieces and the engine's state to other agents.
func (s *Stager) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(PiecePath, s.servePiece)
	mux.HandleFunc(ManifestPath, s.serveManifest)
	mux.HandleFunc(StatePath, func(w http.ResponseWriter, _ *http.Request) {
		_, _, state, up := s.known()
		w.Header().Set("Content-Type", "application/json")
		// A peer that left asks again.
		_ = json.NewEncoder(w).Encode(peerState{Version: state.Version, Down: !up})
	})
	return mux
}

// serveManifest serves a manifest in memory; version 0 asks for the newest.
func (s *Stager) serveManifest(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, "version is a whole number", http.StatusBadRequest)
		return
	}
	m := s.store.manifestOf(r.URL.Query().Get("model"), version)
	if m == nil {
		http.Error(w, "the manifest is not here", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A peer that left asks again.
	_ = json.NewEncoder(w).Encode(m)
}

func (s *Stager) servePiece(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	version, err := strconv.ParseInt(q.Get("version"), 10, 64)
	number, err2 := strconv.Atoi(q.Get("number"))
	if err != nil || err2 != nil || number < 0 {
		http.Error(w, "version and number are whole numbers", http.StatusBadRequest)
		return
	}
	model := q.Get("model")
	data := s.piece(r.Context(), model, version, number)
	if data == nil {
		http.Error(w, fmt.Sprintf("piece %d is not here", number), http.StatusNotFound)
		return
	}
	if s.queued.Load() >= uploadQueue || s.link.narrow(time.Now()) {
		http.Error(w, "other pieces wait already", http.StatusTooManyRequests)
		return
	}
	s.upload(r.Context(), w, r.RemoteAddr, data)
}

// uploadChunk is how much is written between two looks at the pace, in bytes.
const uploadChunk = 8 << 10

// upload sends a piece at the pace that leaves room for live answers.
func (s *Stager) upload(ctx context.Context, w http.ResponseWriter, remote string, data []byte) {
	s.queued.Add(1)
	select {
	case s.uploads <- struct{}{}:
		s.queued.Add(-1)
	case <-ctx.Done():
		s.queued.Add(-1)
		return
	}
	defer func() { <-s.uploads }()
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	flush := http.NewResponseController(w)
	begun, size := time.Now(), len(data)
	for len(data) > 0 {
		n := min(len(data), uploadChunk)
		if s.uplink.wait(ctx, n) != nil {
			return
		}
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		if flush.Flush() != nil {
			return
		}
		data = data[n:]
	}
	if to, near := s.receiver(remote); near && s.link.sent(to, size, time.Since(begun), time.Now()) {
		s.cfg.Log.Event("link_narrow", "piece_bytes", size, "ms", time.Since(begun).Milliseconds(), "to", to)
	}
}

// receiver returns the host of a remote address and whether it is an agent of
// the own region.
func (s *Stager) receiver(remote string) (host string, near bool) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return remote, false
	}
	for _, p := range s.cfg.Peers() {
		if peerHost, _, err := net.SplitHostPort(p.Address); err == nil && peerHost == host {
			return host, p.Region == s.cfg.Self.Region
		}
	}
	return host, false
}

// piece returns a piece from memory, or from the engine that ran the version
// before this process started. The asking agent checks the bytes.
func (s *Stager) piece(ctx context.Context, model string, version int64, n int) []byte {
	if m := s.store.manifestOf(model, version); m != nil {
		if data := s.store.get(m, n); data != nil {
			return data
		}
	}
	if !s.stagedBefore(model, version) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	data, err := s.cfg.Engine.Get(ctx, model, n)
	if err != nil {
		// An engine that fails here is seen by the watch.
		return nil
	}
	return data
}

// stagedBefore reports whether the engine's staged pieces are those of a
// version that it runs and that this process did not fetch.
func (s *Stager) stagedBefore(model string, version int64) bool {
	target, _, state, up := s.known()
	return up && state.Version == version && target.Model == model && target.Version <= version
}
