package stager

import (
	"slices"
	"sync"
)

// keptVersions is how many versions are kept in memory: one that is complete
// and may still be loaded, and the next one that arrives.
const keptVersions = 2

// pieceStore holds the checked pieces of the last versions in memory, from
// which other agents are served. The engine's staged copy may spoil; this one
// is checked once and never changed.
type pieceStore struct {
	mu       sync.Mutex
	versions []*pieceSet
}

type pieceSet struct {
	manifest *Manifest
	pieces   [][]byte
	missing  int
}

func newPieceStore() *pieceStore {
	return &pieceStore{}
}

// begin makes room for a version; the oldest one is dropped.
func (s *pieceStore) begin(m *Manifest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.find(m.Model, m.Version) != nil {
		return
	}
	s.versions = append(s.versions, &pieceSet{manifest: m, pieces: make([][]byte, len(m.Digests)), missing: len(m.Digests)})
	if len(s.versions) > keptVersions {
		s.versions = s.versions[len(s.versions)-keptVersions:]
	}
}

// dropBefore forgets versions older than one that the engine runs.
func (s *pieceStore) dropBefore(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = slices.DeleteFunc(s.versions, func(set *pieceSet) bool { return set.manifest.Version < version })
}

// find returns a version, the newest for 0, or nil. The caller holds the lock.
func (s *pieceStore) find(model string, version int64) *pieceSet {
	for i := len(s.versions) - 1; i >= 0; i-- {
		if m := s.versions[i].manifest; m.Model == model && (m.Version == version || version == 0) {
			return s.versions[i]
		}
	}
	return nil
}

// manifestOf returns the manifest of a version, of the newest for 0, or nil.
func (s *pieceStore) manifestOf(model string, version int64) *Manifest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if set := s.find(model, version); set != nil {
		return set.manifest
	}
	return nil
}

// complete reports whether all pieces of a version are here.
func (s *pieceStore) complete(model string, version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.find(model, version)
	return set != nil && set.missing == 0
}

// newestComplete returns the newest version that is all here, or nil.
func (s *pieceStore) newestComplete(model string) *Manifest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var newest *Manifest
	for _, set := range s.versions {
		if m := set.manifest; set.missing == 0 && m.Model == model && (newest == nil || m.Version > newest.Version) {
			newest = m
		}
	}
	return newest
}

func (s *pieceStore) get(m *Manifest, n int) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.find(m.Model, m.Version)
	if set == nil || n < 0 || n >= len(set.pieces) {
		return nil
	}
	return set.pieces[n]
}

func (s *pieceStore) put(m *Manifest, n int, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.find(m.Model, m.Version)
	if set == nil || set.pieces[n] != nil {
		return
	}
	set.pieces[n] = data
	set.missing--
}

// kept returns the versions that are kept.
func (s *pieceStore) kept() []int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var versions []int64
	for _, set := range s.versions {
		versions = append(versions, set.manifest.Version)
	}
	return versions
}

// held returns which pieces of a version are here; the newest version for 0.
func (s *pieceStore) held(version int64) (of int64, pieces []bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.versions) - 1; i >= 0; i-- {
		set := s.versions[i]
		if version != 0 && set.manifest.Version != version {
			continue
		}
		pieces = make([]bool, len(set.pieces))
		for n, data := range set.pieces {
			pieces[n] = data != nil
		}
		return set.manifest.Version, pieces
	}
	return 0, nil
}
