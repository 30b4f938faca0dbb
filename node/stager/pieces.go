package stager

import (
	"slices"
	"sync"
)

// keptVersions is the number of versions kept in memory: one that is complete
// and may still be loaded, and the next one, which is being fetched.
const keptVersions = 2

// pieceStore holds the verified pieces of the last versions in memory and serves
// them to other agents. The engine's staged copy may become corrupt; the copy in
// memory is verified once and never changes.
type pieceStore struct {
	mu       sync.Mutex
	versions []*pieceSet
	// pieceCounts are the numbers of pieces of a version, by model, as far as they are
	// known. Sets of another size are kept for their pieces, but count as missing.
	pieceCounts map[string]int
}

// pieceSet holds the pieces of one version; missing counts those not held yet.
type pieceSet struct {
	manifest *Manifest
	pieces   [][]byte
	missing  int
}

func newPieceStore() *pieceStore {
	return &pieceStore{pieceCounts: map[string]int{}}
}

// setPieceCount sets the number of pieces of the versions of a model; 0 means unknown.
func (s *pieceStore) setPieceCount(model string, pieces int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pieceCounts[model] = pieces
}

// pieceCount returns the number of pieces of the versions of a model; 0 means unknown.
func (s *pieceStore) pieceCount(model string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pieceCounts[model]
}

// fits reports whether a manifest lists the known number of pieces.
func (s *pieceStore) fits(m *Manifest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fitsLocked(m)
}

// fitsLocked is fits for callers that hold s.mu.
func (s *pieceStore) fitsLocked(m *Manifest) bool {
	return hasPieces(m, s.pieceCounts[m.Model])
}

// begin adds a version without pieces and returns its manifest, which is the earlier one if
// the store already has the version. A manifest that no longer lists the known number of
// pieces is replaced. If that exceeds keptVersions, begin evicts the version that was added
// first.
func (s *pieceStore) begin(m *Manifest) *Manifest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if set := s.find(m.Model, m.Version); set != nil {
		return set.manifest
	}
	for _, set := range s.versions {
		if set.manifest.Model == m.Model && set.manifest.Version == m.Version {
			set.replace(m)
			return m
		}
	}
	s.versions = append(s.versions, &pieceSet{manifest: m, pieces: make([][]byte, len(m.Digests)), missing: len(m.Digests)})
	if len(s.versions) > keptVersions {
		s.versions = s.versions[len(s.versions)-keptVersions:]
	}
	return m
}

// replace replaces a manifest by another one of the same version. It keeps the pieces whose
// digests are the same, and returns their number.
func (s *pieceStore) replace(old, m *Manifest) (kept int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.find(old.Model, old.Version)
	if set == nil || set.manifest != old {
		return 0
	}
	return set.replace(m)
}

// replace replaces the manifest. It keeps the pieces whose digests are the same, and
// returns their number.
func (set *pieceSet) replace(m *Manifest) (kept int) {
	old, pieces := set.manifest, make([][]byte, len(m.Digests))
	for n := range pieces {
		if n < len(old.Digests) && old.Digests[n] == m.Digests[n] && set.pieces[n] != nil {
			pieces[n] = set.pieces[n]
			kept++
		}
	}
	set.manifest, set.pieces, set.missing = m, pieces, len(pieces)-kept
	return kept
}

// evictBefore evicts the versions older than the given one.
func (s *pieceStore) evictBefore(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = slices.DeleteFunc(s.versions, func(set *pieceSet) bool { return set.manifest.Version < version })
}

// find returns the pieces of a version, of the newest for version 0, or nil if there are
// none or their manifest does not list the known number of pieces. The caller must hold
// s.mu.
func (s *pieceStore) find(model string, version int64) *pieceSet {
	for i := len(s.versions) - 1; i >= 0; i-- {
		if m := s.versions[i].manifest; m.Model == model && (m.Version == version || version == 0) && s.fitsLocked(m) {
			return s.versions[i]
		}
	}
	return nil
}

// manifestOf returns the manifest of a version, of the newest for version 0, or
// nil.
func (s *pieceStore) manifestOf(model string, version int64) *Manifest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if set := s.find(model, version); set != nil {
		return set.manifest
	}
	return nil
}

// complete reports whether all pieces of a version are held.
func (s *pieceStore) complete(model string, version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.find(model, version)
	return set != nil && set.missing == 0
}

// newestComplete returns the manifest of the newest complete version, or nil.
func (s *pieceStore) newestComplete(model string) *Manifest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var newest *Manifest
	for _, set := range s.versions {
		if m := set.manifest; set.missing == 0 && m.Model == model && s.fitsLocked(m) && (newest == nil || m.Version > newest.Version) {
			newest = m
		}
	}
	return newest
}

// get returns a piece, or nil if it is not held.
func (s *pieceStore) get(m *Manifest, n int) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.find(m.Model, m.Version)
	if set == nil || n < 0 || n >= len(set.pieces) || n >= len(m.Digests) || set.manifest.Digests[n] != m.Digests[n] {
		return nil
	}
	return set.pieces[n]
}

// put stores a verified piece unless it is held or its version was evicted.
func (s *pieceStore) put(m *Manifest, n int, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.find(m.Model, m.Version)
	if set == nil || n >= len(set.pieces) || set.manifest.Digests[n] != m.Digests[n] || set.pieces[n] != nil {
		return
	}
	set.pieces[n] = data
	set.missing--
}

// kept returns the versions in the store, in the order in which they were added.
func (s *pieceStore) kept() []int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var versions []int64
	for _, set := range s.versions {
		if s.fitsLocked(set.manifest) {
			versions = append(versions, set.manifest.Version)
		}
	}
	return versions
}

// held returns which pieces of a version are held. Version 0 means the newest;
// heldVersion is 0 if the store does not have the version.
func (s *pieceStore) held(version int64) (heldVersion int64, pieces []bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.versions) - 1; i >= 0; i-- {
		set := s.versions[i]
		if version != 0 && set.manifest.Version != version || !s.fitsLocked(set.manifest) {
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
