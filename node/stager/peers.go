package stager

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/rollout"
	"github.com/laburnumloft/laburnumloft/node/lib/lifecycle"
	"github.com/laburnumloft/laburnumloft/node/lib/response"
)

// Paths of the requests between agents.
const (
	PiecePath    = "/v1/pieces"
	ManifestPath = "/v1/manifests"
	StatePath    = "/v1/engine"
)

const (
	// pieceTimeout is the timeout of a whole request between agents. It allows
	// for a piece that waits behind a few others.
	pieceTimeout = 1500 * time.Millisecond
	// maxQueuedUploads is the maximum number of pieces that wait for an upload
	// slot; further requests are refused and go to other agents.
	maxQueuedUploads = 3
	// peerDialTimeout is the timeout for connecting to another agent, whose link
	// may have a queue of several pieces.
	peerDialTimeout = 800 * time.Millisecond
	// peerBackoff is how long an agent is not asked after a failure.
	peerBackoff = time.Second
	// maxPieceBytes is the maximum size of a piece: six concurrent pulls take a
	// sixth of the memory of a machine of 150 MB.
	maxPieceBytes = 4 << 20
	// maxPeerStateBytes is the maximum size of an agent's engine state.
	maxPeerStateBytes = 4 << 10
)

var errPeerBusy = eris.New("the peer has too many uploads in progress")

// peerClient sends requests to other agents.
type peerClient struct {
	client *http.Client

	mu           sync.Mutex
	backoffUntil map[string]time.Time
}

func newPeerClient() *peerClient {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	return &peerClient{backoffUntil: map[string]time.Time{}, client: &http.Client{
		Timeout: pieceTimeout,
		Transport: response.NewTransport(&http.Transport{
			DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4, IdleConnTimeout: 5 * time.Second,
			MaxResponseHeaderBytes: lifecycle.MaxResponseHeaderBytes,
		}),
	}}
}

// pieceQuery is the query of a request for a piece or a manifest.
type pieceQuery struct {
	Model   string `url:"model"`
	Version int64  `url:"version"`
	Number  int    `url:"number"`
	// From and Bytes select a part of a piece; Bytes 0 selects the rest of it.
	From  int `url:"from,omitempty"`
	Bytes int `url:"bytes,omitempty"`
}

// pieceBytesHeader is the response header with the size of the whole piece. Agents that
// do not know parts leave it out and send the whole piece.
const pieceBytesHeader = "Piece-Bytes"

// piecePart fetches a part of a piece from a peer, and reports whether the piece ends
// with it. onBegin is called at the first byte of the response, and onWide if the link
// is found to be no longer narrow.
func (c *peerClient) piecePart(ctx context.Context, peer rollout.Peer, q pieceQuery, onBegin func(requested time.Time) *transfer, onWide func()) (part []byte, complete bool, err error) {
	requested := time.Now()
	resp, err := c.get(ctx, peer, PiecePath, q)
	if err != nil {
		return nil, false, err
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusTooManyRequests:
		return nil, false, errPeerBusy
	default:
		return nil, false, ErrNoPiece
	}
	t := onBegin(requested)
	part, err = readCounted(io.LimitReader(resp.Body, maxPieceBytes), t)
	if t.end(err == nil) {
		onWide()
	}
	size, sizeErr := strconv.Atoi(resp.Header.Get(pieceBytesHeader))
	if sizeErr != nil {
		part = part[min(q.From, len(part)):]
	}
	if err != nil {
		if ctx.Err() == nil {
			c.startBackoff(peer.ID)
		}
		return nil, false, eris.Wrap(err, "reading a piece from a peer")
	}
	if sizeErr == nil && q.From+len(part) < size && len(part) == 0 {
		return nil, false, ErrNoPiece
	}
	return part, sizeErr != nil || q.From+len(part) >= size, nil
}

// readCounted reads to the end and records the progress.
func readCounted(r io.Reader, t *transfer) ([]byte, error) {
	var data []byte
	buffer := make([]byte, uploadWriteBytes)
	for {
		n, err := r.Read(buffer)
		data = append(data, buffer[:n]...)
		t.received(n)
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}

// FetchManifest fetches a manifest that meets the requirements from an agent.
func FetchManifest(ctx context.Context, client *http.Client, address string, want ManifestRequirements) (*Manifest, error) {
	req, err := sling.New().Base("http://" + address).Get(ManifestPath).QueryStruct(pieceQuery{Model: want.Model, Version: want.Version}).Request()
	if err != nil {
		return nil, eris.Wrap(err, "building a request for a manifest")
	}
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return nil, eris.Wrap(err, "requesting a manifest from an agent")
	}
	defer func() { _ = resp.Body.Close() }()
	m, err := readManifest(resp)
	if err != nil {
		return nil, err
	}
	return m, want.Check(m)
}

// manifest fetches a manifest from a peer.
func (c *peerClient) manifest(ctx context.Context, peer rollout.Peer, model string, version int64) (*Manifest, error) {
	resp, err := c.get(ctx, peer, ManifestPath, pieceQuery{Model: model, Version: version})
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return readManifest(resp)
}

// readManifest decodes the response to a request for a manifest.
func readManifest(resp *http.Response) (*Manifest, error) {
	if resp.StatusCode != http.StatusOK {
		return nil, ErrNoPiece
	}
	var m Manifest
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPieceBytes)).Decode(&m); err != nil {
		return nil, eris.Wrap(err, "reading a manifest from a peer")
	}
	return &m, nil
}

func (c *peerClient) get(ctx context.Context, peer rollout.Peer, path string, query any) (*http.Response, error) {
	req, err := sling.New().Base("http://" + peer.Address).Get(path).QueryStruct(query).Request()
	if err != nil {
		return nil, eris.Wrap(err, "building a request to a peer")
	}
	resp, err := c.client.Do(req.WithContext(ctx))
	if err != nil {
		if ctx.Err() == nil {
			c.startBackoff(peer.ID)
		}
		return nil, eris.Wrap(err, "sending a request to a peer")
	}
	return resp, nil
}

func (c *peerClient) startBackoff(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoffUntil[id] = time.Now().Add(peerBackoff)
}

func (c *peerClient) inBackoff(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.backoffUntil[id])
}

// peerState is the state of an agent's engine on the wire.
type peerState struct {
	Version int64 `json:"version"`
	Down    bool  `json:"down"`
}

// state returns a predecessor's progress in loading a version.
func (c *peerClient) state(ctx context.Context, peer rollout.Peer, version int64) rollout.PredecessorState {
	if c.inBackoff(peer.ID) {
		return rollout.PredecessorUnavailable
	}
	resp, err := c.get(ctx, peer, StatePath, struct{}{})
	if err != nil {
		return rollout.PredecessorUnavailable
	}
	defer func() { _ = resp.Body.Close() }()
	var state peerState
	if json.NewDecoder(io.LimitReader(resp.Body, maxPeerStateBytes)).Decode(&state) != nil || state.Down {
		return rollout.PredecessorUnavailable
	}
	if state.Version >= version {
		return rollout.PredecessorDone
	}
	return rollout.PredecessorPending
}

// Handler serves pieces, manifests and the engine's state to other agents.
func (s *Stager) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(PiecePath, s.servePiece)
	mux.HandleFunc(ManifestPath, s.serveManifest)
	mux.HandleFunc(StatePath, func(w http.ResponseWriter, _ *http.Request) {
		_, _, state, up := s.snapshot()
		w.Header().Set("Content-Type", "application/json")
		// A peer that disconnected will retry.
		_ = json.NewEncoder(w).Encode(peerState{Version: state.Version, Down: !up})
	})
	return mux
}

// serveManifest serves a manifest from memory; version 0 means the newest.
func (s *Stager) serveManifest(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, "version must be an integer", http.StatusBadRequest)
		return
	}
	m := s.store.manifestOf(r.URL.Query().Get("model"), version)
	if m == nil {
		http.Error(w, "this agent does not hold the manifest", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A peer that disconnected will retry.
	_ = json.NewEncoder(w).Encode(m)
}

// servePiece serves a piece, or refuses it if too many uploads wait or the link
// is narrow.
func (s *Stager) servePiece(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	version, err := strconv.ParseInt(q.Get("version"), 10, 64)
	number, err2 := strconv.Atoi(q.Get("number"))
	if err != nil || err2 != nil || number < 0 {
		http.Error(w, "version and number must be integers, and number not negative", http.StatusBadRequest)
		return
	}
	model := q.Get("model")
	data := s.pieceData(r.Context(), model, version, number)
	if data == nil {
		http.Error(w, fmt.Sprintf("this agent does not hold piece %d", number), http.StatusNotFound)
		return
	}
	from, length, ok := partOf(q, len(data))
	if !ok {
		http.Error(w, "from and bytes must be integers and name a part of the piece", http.StatusBadRequest)
		return
	}
	// A piece that was begun is finished.
	if from == 0 && (s.queuedUploads.Load() >= maxQueuedUploads || s.link.isNarrow(time.Now())) {
		http.Error(w, "too many queued uploads, or the link is narrow; try another agent", http.StatusTooManyRequests)
		return
	}
	w.Header().Set(pieceBytesHeader, strconv.Itoa(len(data)))
	s.upload(r.Context(), w, r.RemoteAddr, data[from:from+length])
}

// partOf returns the part of a piece that a query selects.
func partOf(q url.Values, size int) (from, length int, ok bool) {
	from, length = 0, size
	var err error
	if text := q.Get("from"); text != "" {
		if from, err = strconv.Atoi(text); err != nil || from < 0 || from > size {
			return 0, 0, false
		}
	}
	length = size - from
	if text := q.Get("bytes"); text != "" {
		bytes, err := strconv.Atoi(text)
		if err != nil || bytes <= 0 {
			return 0, 0, false
		}
		length = min(length, bytes)
	}
	return from, length, true
}

// uploadWriteBytes is the size of one write to the receiver; the rate limit
// applies to each write.
const uploadWriteBytes = 8 << 10

// upload sends a piece at the limited rate that leaves room for live answers.
func (s *Stager) upload(ctx context.Context, w http.ResponseWriter, remote string, data []byte) {
	s.queuedUploads.Add(1)
	select {
	case s.uploadSlots <- struct{}{}:
		s.queuedUploads.Add(-1)
	case <-ctx.Done():
		s.queuedUploads.Add(-1)
		return
	}
	defer func() { <-s.uploadSlots }()
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	flush := http.NewResponseController(w)
	start, size := time.Now(), len(data)
	for len(data) > 0 {
		n := min(len(data), uploadWriteBytes)
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
	if host, sameRegion := s.receiverHost(remote); sameRegion && s.link.recordUpload(host, size, time.Since(start), time.Now()) {
		s.cfg.Log.Event("link_narrow", "piece_bytes", size, "ms", time.Since(start).Milliseconds(), "to", host)
	}
}

// receiverHost returns the host of a remote address and whether it belongs to an
// agent of the own region.
func (s *Stager) receiverHost(remote string) (host string, sameRegion bool) {
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

// pieceData returns a piece from memory, or from the engine if it was already
// running the version when this process started. The requesting agent verifies
// the bytes.
func (s *Stager) pieceData(ctx context.Context, model string, version int64, n int) []byte {
	if m := s.store.manifestOf(model, version); m != nil {
		if data := s.store.get(m, n); data != nil {
			return data
		}
	}
	if !s.engineHasVersion(model, version) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	data, err := s.cfg.Engine.Get(ctx, model, n)
	if err != nil {
		// monitorEngine detects and logs a failed engine.
		return nil
	}
	return data
}

// engineHasVersion reports whether the engine runs the version and no newer one
// is the target, so that its staged pieces are those of the version.
func (s *Stager) engineHasVersion(model string, version int64) bool {
	target, _, state, up := s.snapshot()
	return up && state.Version == version && target.Model == model && target.Version <= version
}
