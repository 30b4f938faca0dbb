package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/rollout"
	"github.com/laburnumloft/laburnumloft/node/lib/lifecycle"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// Limits of sharing chunks.
const (
	// maxWaiting bounds the waiting GETs that one agent holds open.
	maxWaiting = 2048
	maxWait    = 30 * time.Second
	// pieceBytes is the unit of pacing and of progress.
	pieceBytes = 16 << 10
)

// versionKey names a version.
type versionKey struct {
	model, version string
}

// chunkKey names a chunk, or the manifest by rollout.ManifestIndex.
type chunkKey struct {
	versionKey
	index int
}

// heldVersion is a version whose manifest was accepted.
type heldVersion struct {
	manifest *rollout.Manifest
	encoded  []byte
}

// waitPoint is closed when a chunk becomes available.
type waitPoint struct {
	ready   chan struct{}
	waiters int
}

// weightStore holds accepted manifests and verified chunks in memory. Chunks
// are kept by content hash, so versions share the chunks they have in common.
type weightStore struct {
	mu        sync.Mutex
	blobs     map[string][]byte
	versions  map[versionKey]heldVersion
	points    map[chunkKey]*waitPoint
	waiting   int
	lastAsked time.Time
}

func newWeightStore() *weightStore {
	return &weightStore{
		blobs:    map[string][]byte{},
		versions: map[versionKey]heldVersion{},
		points:   map[chunkKey]*waitPoint{},
	}
}

// addVersion offers a manifest and those of its chunks that are held already.
func (s *weightStore) addVersion(m *rollout.Manifest, encoded []byte) {
	key := versionKey{m.Model, m.Version}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[key] = heldVersion{manifest: m, encoded: encoded}
	s.wake(chunkKey{key, rollout.ManifestIndex})
	for _, c := range m.Chunks {
		if s.blobs[c.SHA256] != nil {
			s.wake(chunkKey{key, c.Index})
		}
	}
}

// put offers a chunk whose hash holds.
func (s *weightStore) put(m *rollout.Manifest, chunk rollout.Chunk, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blobs[chunk.SHA256] = data
	s.wake(chunkKey{versionKey{m.Model, m.Version}, chunk.Index})
}

func (s *weightStore) wake(key chunkKey) {
	if p := s.points[key]; p != nil {
		close(p.ready)
		delete(s.points, key)
	}
}

// has reports whether the bytes of a chunk are held.
func (s *weightStore) has(sha256 string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blobs[sha256] != nil
}

// keep drops all versions but the given ones and the chunks that only they had.
func (s *weightStore) keep(keys ...versionKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := map[versionKey]heldVersion{}
	for _, key := range keys {
		if v, ok := s.versions[key]; ok {
			kept[key] = v
		}
	}
	s.versions = kept
	s.sweep(func(versionKey, int) bool { return true })
}

// trim drops the chunks for which wanted is false.
func (s *weightStore) trim(wanted func(key versionKey, index int) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(wanted)
}

func (s *weightStore) sweep(wanted func(key versionKey, index int) bool) {
	used := map[string]bool{}
	for key, v := range s.versions {
		for _, c := range v.manifest.Chunks {
			if wanted(key, c.Index) {
				used[c.SHA256] = true
			}
		}
	}
	for hash := range s.blobs {
		if !used[hash] {
			delete(s.blobs, hash)
		}
	}
}

// size returns the bytes of all held chunks.
func (s *weightStore) size() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := int64(0)
	for _, b := range s.blobs {
		total += int64(len(b))
	}
	return total
}

// pieces returns all chunks of a version, or false if one is missing.
func (s *weightStore) pieces(key versionKey) ([][]byte, *rollout.Manifest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.versions[key]
	if !ok {
		return nil, nil, false
	}
	pieces := make([][]byte, 0, len(v.manifest.Chunks))
	for _, c := range v.manifest.Chunks {
		data := s.blobs[c.SHA256]
		if data == nil {
			return nil, nil, false
		}
		pieces = append(pieces, data)
	}
	return pieces, v.manifest, true
}

// quietSince returns when a peer last asked for anything.
func (s *weightStore) quietSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastAsked
}

// find returns the bytes for key or else a channel that is closed when they
// become available. It returns neither when too many requests wait.
func (s *weightStore) find(key chunkKey) (data []byte, point *waitPoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAsked = time.Now()
	if v, ok := s.versions[key.versionKey]; ok {
		if key.index == rollout.ManifestIndex {
			return v.encoded, nil
		}
		if key.index >= 0 && key.index < len(v.manifest.Chunks) {
			if data := s.blobs[v.manifest.Chunks[key.index].SHA256]; data != nil {
				return data, nil
			}
		}
	}
	if s.waiting >= maxWaiting {
		return nil, nil
	}
	point = s.points[key]
	if point == nil {
		point = &waitPoint{ready: make(chan struct{})}
		s.points[key] = point
	}
	point.waiters++
	s.waiting++
	return nil, point
}

func (s *weightStore) leave(key chunkKey, point *waitPoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	point.waiters--
	if point.waiters == 0 && s.points[key] == point {
		delete(s.points, key)
	}
}

// wait returns the bytes for key as soon as they are held, or nil after d.
func (s *weightStore) wait(ctx context.Context, key chunkKey, d time.Duration) []byte {
	data, point := s.find(key)
	if data != nil || point == nil {
		return data
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-point.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
	s.leave(key, point)
	data, point = s.find(key)
	if point != nil {
		s.leave(key, point)
	}
	return data
}

// handleManifest gives a manifest to a peer.
func (d *rolloutDuty) handleManifest(w http.ResponseWriter, r *http.Request) {
	d.share(w, r, rollout.ManifestIndex)
}

// handleChunk gives a verified chunk to a peer.
func (d *rolloutDuty) handleChunk(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.Atoi(r.PathValue("index"))
	if err != nil || index < 0 || index >= rollout.MaxChunks {
		wire.WriteError(w, wire.Error{Kind: wire.ErrorBadRequest, Message: "chunk index is out of range"})
		return
	}
	d.share(w, r, index)
}

// share waits for the bytes for up to wait_ms and then sends them.
func (d *rolloutDuty) share(w http.ResponseWriter, r *http.Request, index int) {
	waitMS, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	wait := min(time.Duration(max(waitMS, 0))*time.Millisecond, maxWait)
	key := chunkKey{versionKey{r.PathValue("model"), r.PathValue("version")}, index}
	data := d.store.wait(r.Context(), key, wait)
	if data == nil {
		wire.WriteError(w, wire.Error{Kind: wire.ErrorNotFound, Message: "chunk is not held yet"})
		return
	}
	select {
	case d.uploads <- struct{}{}:
		defer func() { <-d.uploads }()
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	d.send(r.Context(), w, data)
}

// send writes data under the upload budget. A peer that reads nothing for the
// chunk deadline loses the connection, which frees the upload slot.
func (d *rolloutDuty) send(ctx context.Context, w http.ResponseWriter, data []byte) {
	control := http.NewResponseController(w)
	for len(data) > 0 {
		piece := data[:min(pieceBytes, len(data))]
		if d.upPace.take(ctx, len(piece)) != nil {
			return
		}
		_ = control.SetWriteDeadline(time.Now().Add(d.agent.cfg.Rollout.ChunkDeadline))
		if _, err := w.Write(piece); err != nil {
			return
		}
		data = data[len(piece):]
	}
	_ = control.Flush()
	// The connection is used again, so the deadline must not outlast it.
	_ = control.SetWriteDeadline(time.Time{})
}

// serveData gives whole versions to the local engine. The engine runs on the
// same VM and does not know the secret of the own processes, so it reads from
// a listener on loopback.
func (d *rolloutDuty) serveData(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(errors.Join(ErrStart, err), "listening for the engine")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/v1/{model}/{version}/data", d.handleData)
	server := lifecycle.NewServer(mux, nil)
	d.dataAddress = listener.Addr().String()
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return nil
}

// handleData gives the whole version to the local engine.
func (d *rolloutDuty) handleData(w http.ResponseWriter, r *http.Request) {
	pieces, m, ok := d.store.pieces(versionKey{r.PathValue("model"), r.PathValue("version")})
	if !ok {
		wire.WriteError(w, wire.Error{Kind: wire.ErrorNotFound, Message: "version is not held whole"})
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(m.Size, 10))
	for _, piece := range pieces {
		if _, err := io.Copy(w, bytes.NewReader(piece)); err != nil {
			return
		}
	}
}
