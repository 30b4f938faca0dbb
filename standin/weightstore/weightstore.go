// Package weightstore is a stand-in for the platform's weight store and
// origin of weights.
package weightstore

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/laburnumloft/laburnumloft/core/rollout"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// version holds the bytes and the manifest of one version.
type version struct {
	data      []byte
	manifest  []byte
	chunkSize int
}

// Store serves versions from memory and counts the bytes drawn.
type Store struct {
	mu       sync.Mutex
	versions map[string]version
	drawn    atomic.Int64
	active   atomic.Int64
	limit    atomic.Int64
	perName  map[string]int64
}

// New returns an empty store.
func New() *Store {
	return &Store{versions: map[string]version{}, perName: map[string]int64{}}
}

// Add makes a version of size bytes from a seed and returns the digest of
// its manifest.
func (s *Store) Add(model, name string, size, chunkSize int, seed uint64) string {
	data := make([]byte, size)
	source := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)})
	// ChaCha8 reads never fail.
	_, _ = source.Read(data)
	manifest, digest := rollout.BuildManifest(model, name, data, chunkSize)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[model+"/"+name] = version{data: data, manifest: manifest, chunkSize: chunkSize}
	return digest
}

// AddManifest makes a version without chunks whose manifest is the given
// bytes, and returns their digest.
func (s *Store) AddManifest(model, name string, manifest []byte) string {
	sum := sha256.Sum256(manifest)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[model+"/"+name] = version{manifest: manifest, chunkSize: 1}
	return hex.EncodeToString(sum[:])
}

// Drawn returns the bytes of chunks that were drawn so far.
func (s *Store) Drawn() int64 {
	return s.drawn.Load()
}

// DrawnOf returns the bytes of chunks of one version that were drawn so far.
func (s *Store) DrawnOf(model, name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.perName[model+"/"+name]
}

// SetLimit bounds the chunks that are sent at once. More requests get status
// 429 with Retry-After. 0 means no limit.
func (s *Store) SetLimit(limit int64) {
	s.limit.Store(limit)
}

// Handler returns the HTTP interface of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/models/{model}/versions/{version}/manifest", s.handleManifest)
	mux.HandleFunc("GET /v1/models/{model}/versions/{version}/chunks/{index}", s.handleChunk)
	mux.HandleFunc("GET /v1/drawn", func(w http.ResponseWriter, _ *http.Request) {
		wire.WriteJSON(w, http.StatusOK, map[string]int64{"bytes": s.Drawn()})
	})
	mux.HandleFunc("POST /v1/models/{model}/versions/{version}", s.handleAdd)
	return mux
}

func (s *Store) find(r *http.Request) (version, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.versions[r.PathValue("model")+"/"+r.PathValue("version")]
	return v, ok
}

func (s *Store) handleAdd(w http.ResponseWriter, r *http.Request) {
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	chunk, _ := strconv.Atoi(r.URL.Query().Get("chunk_size"))
	seed, _ := strconv.ParseUint(r.URL.Query().Get("seed"), 10, 64)
	if size <= 0 || chunk <= 0 {
		wire.WriteError(w, wire.Error{Kind: wire.ErrorBadRequest, Message: "size and chunk_size must be positive"})
		return
	}
	digest := s.Add(r.PathValue("model"), r.PathValue("version"), size, chunk, seed)
	wire.WriteJSON(w, http.StatusOK, map[string]string{"manifest": digest})
}

func (s *Store) handleManifest(w http.ResponseWriter, r *http.Request) {
	v, ok := s.find(r)
	if !ok {
		wire.WriteError(w, wire.Error{Kind: wire.ErrorNotFound, Message: "no such version"})
		return
	}
	_, _ = w.Write(v.manifest)
}

func (s *Store) handleChunk(w http.ResponseWriter, r *http.Request) {
	v, ok := s.find(r)
	index, err := strconv.Atoi(r.PathValue("index"))
	if !ok || err != nil || index < 0 || index*v.chunkSize >= len(v.data) {
		wire.WriteError(w, wire.Error{Kind: wire.ErrorNotFound, Message: fmt.Sprintf("no chunk %q", r.PathValue("index"))})
		return
	}
	piece := v.data[index*v.chunkSize : min((index+1)*v.chunkSize, len(v.data))]
	active := s.active.Add(1)
	defer s.active.Add(-1)
	if limit := s.limit.Load(); limit > 0 && active > limit {
		wire.WriteError(w, wire.Error{Kind: wire.ErrorOverloaded, Message: "too many draws at once", RetryAfterMS: 1000})
		return
	}
	s.mu.Lock()
	s.perName[r.PathValue("model")+"/"+r.PathValue("version")] += int64(len(piece))
	s.mu.Unlock()
	s.drawn.Add(int64(len(piece)))
	_, _ = w.Write(piece)
}
