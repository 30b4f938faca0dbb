package stager

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/laburnumloft/laburnumloft/core/rollout"
)

const (
	// maxManifestPeers is the maximum number of agents that one attempt asks for
	// a manifest.
	maxManifestPeers = 4
	// manifestOriginAgents is the number of agents of a region that ask the
	// origin for a manifest at once; the others first wait up to
	// announcerTimeout for an agent that announces the version.
	manifestOriginAgents = 2
	announcerTimeout     = 600 * time.Millisecond
	// manifestJitter is the time over which agents spread their fetches of the
	// manifest of the version that their engines already run. Other agents need
	// that manifest while the origin is down.
	manifestJitter = 4 * time.Second
)

// ManifestRequirements are what is known of a manifest apart from its own content.
type ManifestRequirements struct {
	Model string
	// Version is 0 if any version is wanted.
	Version int64
	// Pieces is the number of pieces; 0 means unknown.
	Pieces int
}

// Check reports, as an error, that a manifest is malformed or not the wanted one.
func (r ManifestRequirements) Check(m *Manifest) error {
	if err := validateManifest(m, r.Model, r.Version); err != nil {
		return err
	}
	if !hasPieces(m, r.Pieces) {
		return ErrPieceCount
	}
	return nil
}

// hasPieces reports whether a manifest lists a number of pieces; 0 means unknown.
func hasPieces(m *Manifest, pieces int) bool {
	return pieces == 0 || len(m.Digests) == pieces
}

// requirements returns what is known of the manifest of a version; version 0 means the
// newest.
func (s *Stager) requirements(model string, version int64) ManifestRequirements {
	return ManifestRequirements{Model: model, Version: version, Pieces: s.store.pieceCount(model)}
}

// accept checks a manifest from a source. A manifest whose version or length can't be
// checked may be cut short, which no piece shows. It is accepted once another source, or
// another answer of the origin, has given the same one.
func (s *Stager) accept(want ManifestRequirements, m *Manifest, source string) error {
	if err := want.Check(m); err != nil {
		return err
	}
	if want.Version > 0 && want.Pieces > 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.unconfirmed.Record(rollout.DigestList{Model: m.Model, Version: m.Version, Digests: m.Digests}, source) {
		return ErrUnconfirmed
	}
	return nil
}

// sourceRecord is the source of manifests that other agents published in the store.
const sourceRecord = "record"

// originReads is how often one attempt reads a manifest that can't be checked.
const originReads = 2

// findManifest returns a manifest from memory, from an agent that announced the
// version, from the origin, or from other agents if the origin fails, and whether
// it came from the origin. Version 0 means the newest.
func (s *Stager) findManifest(ctx context.Context, origin Origin, model string, version int64) (m *Manifest, fromOrigin bool, err error) {
	if m := s.store.manifestOf(model, version); m != nil {
		return m, false, nil
	}
	want := s.requirements(model, version)
	if m := s.publishedManifest(model, version); m != nil && s.accept(want, m, sourceRecord) == nil {
		return m, false, nil
	}
	peers := s.cfg.Peers()
	if version > 0 {
		if m := s.manifestFromAnnouncer(ctx, peers, want); m != nil {
			return m, false, nil
		}
	}
	if m, err = s.manifestFromOrigin(ctx, origin, want); err == nil {
		return m, true, nil
	}
	if ctx.Err() != nil {
		return nil, false, err
	}
	s.cfg.Log.Event("manifest_failed", "from", rollout.OriginSource, "version", version, "cause", err.Error())
	if m := s.manifestFromPeers(ctx, peers, want); m != nil {
		return m, false, nil
	}
	return nil, false, err
}

// manifestFromOrigin reads a manifest from the origin, and once more if it can't be checked.
func (s *Stager) manifestFromOrigin(ctx context.Context, origin Origin, want ManifestRequirements) (m *Manifest, err error) {
	for range originReads {
		if m, err = origin.Manifest(ctx, want.Model, want.Version); err == nil {
			err = s.accept(want, m, rollout.OriginSource)
		}
		if !errors.Is(err, ErrUnconfirmed) {
			break
		}
	}
	return m, err
}

// replaceManifest reads a manifest again because a piece does not match it, from the origin
// and, if that one does not fit either, from other agents. It replaces the manifest by one
// that has the digest with which the piece arrived, and reports whether it found one.
func (s *Stager) replaceManifest(ctx context.Context, origin Origin, m *Manifest, piece int, digest string) bool {
	// The number of pieces of the manifest in use was checked or confirmed.
	want := ManifestRequirements{Model: m.Model, Version: m.Version, Pieces: len(m.Digests)}
	fits := func(other *Manifest, _ string) bool {
		return want.Check(other) == nil && other.Digests[piece] == digest
	}
	from := rollout.OriginSource
	found, err := origin.Manifest(ctx, m.Model, m.Version)
	if err != nil || !fits(found, from) {
		from = "agent"
		found = s.selectManifest(ctx, s.cfg.Peers(), want, fits)
	}
	if found == nil {
		s.cfg.Log.Event("manifest_doubted", "model", m.Model, "version", m.Version, "number", piece, "replaced", false)
		return false
	}
	kept := s.store.replace(m, found)
	s.mu.Lock()
	if published := s.publishedManifests[m.Model]; published != nil && published.Version == m.Version {
		delete(s.publishedManifests, m.Model)
	}
	s.mu.Unlock()
	s.cfg.Log.Event("manifest_doubted", "model", m.Model, "version", m.Version, "number", piece, "replaced", true, "from", from, "pieces_kept", kept)
	return true
}

// HandleManifest handles a manifest that another agent published. It ignores a
// malformed one, and one that is older than what is known: a copy of the store may hold
// it.
func (s *Stager) HandleManifest(m *Manifest) {
	if err := s.requirements(m.Model, m.Version).Check(m); err != nil {
		s.cfg.Log.Event("manifest_refused", "model", m.Model, "version", m.Version, "reason", err.Error(), "digests", len(m.Digests))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.publishedManifests[m.Model]; known == nil || known.Version <= m.Version {
		s.publishedManifests[m.Model] = m
	}
}

// publishedManifest returns the published manifest of a version, or nil.
func (s *Stager) publishedManifest(model string, version int64) *Manifest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.publishedManifests[model]; m != nil && m.Version == version {
		return m
	}
	return nil
}

// publish makes a manifest available to agents that start later. When all VMs
// lose power at once, no agent holds the manifest, and the origin refuses most
// agents of a large fleet for seconds. Only the manifestOriginAgents of a region
// publish, and only a manifest that all pieces match: the origin's answer may be
// corrupt.
func (s *Stager) publish(m *Manifest) {
	if s.cfg.Publish != nil && s.regionRank(s.cfg.Peers()) < manifestOriginAgents {
		s.cfg.Publish(m)
	}
}

// matchesStaged reports whether all pieces that are staged at the engine match a manifest.
func (s *Stager) matchesStaged(ctx context.Context, m *Manifest) bool {
	for n := range m.Digests {
		if _, err := s.readStaged(ctx, m, n); err != nil {
			s.cfg.Log.Event("manifest_unpublished", "model", m.Model, "version", m.Version, "number", n, "cause", err.Error())
			return false
		}
	}
	return true
}

// regionRank returns the number of agents of the region with a smaller ID.
func (s *Stager) regionRank(peers []rollout.Peer) int {
	rank := 0
	for _, p := range peers {
		if p.Region == s.cfg.Self.Region && p.ID < s.cfg.Self.ID {
			rank++
		}
	}
	return rank
}

// manifestFromAnnouncer asks agents that announced the version for its manifest.
// It waits up to announcerTimeout for such an agent, because the manifest
// requests of a large fleet would delay the first pieces at the origin. The
// first manifestOriginAgents of a region don't wait.
func (s *Stager) manifestFromAnnouncer(ctx context.Context, peers []rollout.Peer, want ManifestRequirements) *Manifest {
	timeout := announcerTimeout
	if s.regionRank(peers) < manifestOriginAgents {
		timeout = 0
	}
	for start := time.Now(); ; {
		if m := s.manifestFromPeers(ctx, s.announcers(peers, want.Version), want); m != nil {
			return m
		}
		if time.Since(start) >= timeout || sleep(ctx, pollInterval) != nil {
			return nil
		}
	}
}

// manifestFromPeers asks agents for a manifest.
func (s *Stager) manifestFromPeers(ctx context.Context, peers []rollout.Peer, want ManifestRequirements) *Manifest {
	return s.selectManifest(ctx, peers, want, func(m *Manifest, peer string) bool { return s.accept(want, m, peer) == nil })
}

// selectManifest asks up to maxManifestPeers agents, those of the own region first, for a
// manifest that fits. The function fits also gets the ID of the agent.
func (s *Stager) selectManifest(ctx context.Context, peers []rollout.Peer, want ManifestRequirements, fits func(m *Manifest, peer string) bool) *Manifest {
	var sameRegion, otherRegions []rollout.Peer
	for _, i := range rand.Perm(len(peers)) {
		if peers[i].Region == s.cfg.Self.Region {
			sameRegion = append(sameRegion, peers[i])
		} else {
			otherRegions = append(otherRegions, peers[i])
		}
	}
	for i, peer := range append(sameRegion, otherRegions...) {
		if i >= maxManifestPeers || ctx.Err() != nil {
			break
		}
		m, err := s.peers.manifest(ctx, peer, want.Model, want.Version)
		if err == nil && fits(m, peer.ID) {
			return m
		}
	}
	return nil
}

// announcers returns the agents that announced pieces of a version.
func (s *Stager) announcers(peers []rollout.Peer, version int64) []rollout.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var announcers []rollout.Peer
	for _, p := range peers {
		if _, ok := s.announcements[p.ID][version]; ok {
			announcers = append(announcers, p)
		}
	}
	return announcers
}

// validateManifest checks that a manifest is well-formed and that it is the
// manifest of the model and version; version 0 accepts any version.
func validateManifest(m *Manifest, model string, version int64) error {
	if m.Model != model || version > 0 && m.Version != version || m.Version < 1 || len(m.Digests) == 0 {
		return ErrDigestMismatch
	}
	for _, digest := range m.Digests {
		if raw, err := hex.DecodeString(digest); err != nil || len(raw) != sha256.Size || strings.ToLower(digest) != digest {
			return ErrDigestMismatch
		}
	}
	return nil
}

// fetchRunningManifest fetches the manifest of a version that the engine was
// already running when this process started, once nextManifestFetch has passed.
func (s *Stager) fetchRunningManifest(ctx context.Context) {
	s.mu.Lock()
	target, origin, version := s.target, s.origin, s.state.Version
	due := s.stateKnown && !s.down && version > 0 && origin != nil && target.Version <= version && time.Now().After(s.nextManifestFetch)
	if due {
		s.nextManifestFetch = time.Now().Add(manifestJitter)
	}
	s.mu.Unlock()
	if !due || s.store.manifestOf(target.Model, version) != nil {
		return
	}
	go func() {
		m, fromOrigin, err := s.findManifest(ctx, origin, target.Model, version)
		if err != nil {
			return
		}
		s.store.begin(m)
		if fromOrigin && s.matchesStaged(ctx, m) {
			s.publish(m)
		}
	}()
}
