package stager

import (
	"context"
	"sync"
	"time"
)

// pieceStore holds the checked pieces of one version in memory, from which
// other agents are served. The engine's staged copy may spoil; this one is
// checked once and never changed.
type pieceStore struct {
	mu       sync.Mutex
	manifest *Manifest
	pieces   [][]byte
	arrived  chan struct{}
}

func newPieceStore() *pieceStore {
	return &pieceStore{arrived: make(chan struct{})}
}

// begin makes room for a version; pieces of another one are dropped.
func (s *pieceStore) begin(m *Manifest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if same(s.manifest, m.Model, m.Version) {
		return
	}
	s.manifest, s.pieces = m, make([][]byte, len(m.Digests))
	s.wake()
}

// same reports whether the manifest is of a version; 0 stands for any.
func same(m *Manifest, model string, version int64) bool {
	return m != nil && m.Model == model && (m.Version == version || version == 0)
}

func (s *pieceStore) wake() {
	close(s.arrived)
	s.arrived = make(chan struct{})
}

func (s *pieceStore) manifestOf(model string, version int64) *Manifest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if same(s.manifest, model, version) {
		return s.manifest
	}
	return nil
}

func (s *pieceStore) has(m *Manifest, n int) bool { return s.get(m, n) != nil }

func (s *pieceStore) get(m *Manifest, n int) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !same(s.manifest, m.Model, m.Version) {
		return nil
	}
	return s.pieces[n]
}

func (s *pieceStore) put(m *Manifest, n int, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if same(s.manifest, m.Model, m.Version) {
		s.pieces[n] = data
		s.wake()
	}
}

// wait returns a piece, waiting for it while its version is being fetched.
// It returns nil at once if the version isn't here at all.
func (s *pieceStore) wait(ctx context.Context, model string, version int64, n int, limit time.Duration) []byte {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		if same(s.manifest, model, version) && n >= 0 && n < len(s.pieces) && s.pieces[n] != nil {
			data := s.pieces[n]
			s.mu.Unlock()
			return data
		}
		arrived := s.arrived
		s.mu.Unlock()
		select {
		case <-arrived:
		case <-timeout.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// version returns the version whose pieces are kept; 0 if there is none.
func (s *pieceStore) version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.manifest == nil {
		return 0
	}
	return s.manifest.Version
}

// held returns which pieces are here.
func (s *pieceStore) held() (version int64, held []bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.manifest == nil {
		return 0, nil
	}
	held = make([]bool, len(s.pieces))
	for i, data := range s.pieces {
		held[i] = data != nil
	}
	return s.manifest.Version, held
}
