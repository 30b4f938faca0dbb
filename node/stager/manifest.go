package stager

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/laburnumloft/laburnumloft/core/rollout"
)

const (
	// askedPeers is how many agents are asked for a manifest that the origin
	// doesn't give.
	askedPeers = 4
	// manifestFeeders is how many agents of a region ask the origin for a
	// manifest at once; the others wait up to announcerWait for their word.
	manifestFeeders = 2
	announcerWait   = 600 * time.Millisecond
	// manifestSpread is the time over which agents fetch the manifest of the
	// version that their engines ran before, for others that need it while
	// the origin is down.
	manifestSpread = 4 * time.Second
)

// findManifest returns a manifest from memory, from an agent that announced
// the version, from the origin, or from other agents while the origin fails.
// Version 0 is the newest.
func (s *Stager) findManifest(ctx context.Context, origin Origin, model string, version int64) (*Manifest, error) {
	if m := s.store.manifestOf(model, version); m != nil {
		return m, nil
	}
	if m := s.publishedManifest(model, version); m != nil {
		return m, nil
	}
	peers := s.cfg.Peers()
	if version > 0 {
		if m := s.awaitAnnouncer(ctx, peers, model, version); m != nil {
			return m, nil
		}
	}
	m, err := origin.Manifest(ctx, model, version)
	if err == nil {
		err = checkManifest(m, model, version)
	}
	if err == nil {
		s.publish(m, peers)
		return m, nil
	}
	if ctx.Err() != nil {
		return nil, err
	}
	s.cfg.Log.Event("manifest_failed", "from", "origin", "version", version, "cause", err.Error())
	if m := s.askPeers(ctx, peers, model, version); m != nil {
		return m, nil
	}
	return nil, err
}

// TakeManifest takes over a manifest that another agent published.
func (s *Stager) TakeManifest(m *Manifest) {
	if checkManifest(m, m.Model, m.Version) != nil {
		s.cfg.Log.Event("manifest_refused", "model", m.Model, "version", m.Version, "reason", "malformed")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.published[m.Model] = m
}

func (s *Stager) publishedManifest(model string, version int64) *Manifest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.published[model]; m != nil && m.Version == version {
		return m
	}
	return nil
}

// publish makes a manifest known to agents that start later. When all VMs lose
// power at once, nobody is left to ask, and the origin turns most of a large
// fleet away for seconds. The agents that ask it first do so.
func (s *Stager) publish(m *Manifest, peers []rollout.Peer) {
	if s.cfg.Publish != nil && s.rank(peers) < manifestFeeders {
		s.cfg.Publish(m)
	}
}

// rank is the agent's place among those of its region, by id.
func (s *Stager) rank(peers []rollout.Peer) int {
	rank := 0
	for _, p := range peers {
		if p.Region == s.cfg.Self.Region && p.ID < s.cfg.Self.ID {
			rank++
		}
	}
	return rank
}

// awaitAnnouncer waits a moment for an agent that announces the version, unless
// this agent is one of the first in its region, which ask the origin: the
// manifests of a large fleet would hold up the first pieces.
func (s *Stager) awaitAnnouncer(ctx context.Context, peers []rollout.Peer, model string, version int64) *Manifest {
	wait := announcerWait
	if s.rank(peers) < manifestFeeders {
		wait = 0
	}
	for begun := time.Now(); ; {
		if m := s.askPeers(ctx, s.announcers(peers, version), model, version); m != nil {
			return m
		}
		if time.Since(begun) >= wait || sleep(ctx, stepPause) != nil {
			return nil
		}
	}
}

// askPeers asks a few agents, those of the own region first.
func (s *Stager) askPeers(ctx context.Context, peers []rollout.Peer, model string, version int64) *Manifest {
	var near, far []rollout.Peer
	for _, i := range rand.Perm(len(peers)) {
		if peers[i].Region == s.cfg.Self.Region {
			near = append(near, peers[i])
		} else {
			far = append(far, peers[i])
		}
	}
	for i, peer := range append(near, far...) {
		if i >= askedPeers || ctx.Err() != nil {
			break
		}
		m, err := s.peers.manifest(ctx, peer, model, version)
		if err == nil && checkManifest(m, model, version) == nil {
			return m
		}
	}
	return nil
}

// announcers returns the agents that announced pieces of a version.
func (s *Stager) announcers(peers []rollout.Peer, version int64) []rollout.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []rollout.Peer
	for _, p := range peers {
		if _, ok := s.heldBy[p.ID][version]; ok {
			found = append(found, p)
		}
	}
	return found
}

func checkManifest(m *Manifest, model string, version int64) error {
	if m.Model != model || version > 0 && m.Version != version || m.Version < 1 || len(m.Digests) == 0 {
		return ErrSpoilt
	}
	return nil
}

// keepManifest fetches the manifest of the version that the engine ran before
// this process started.
func (s *Stager) keepManifest(ctx context.Context) {
	s.mu.Lock()
	target, origin, version := s.target, s.origin, s.state.Version
	due := s.seen && !s.down && version > 0 && origin != nil && target.Version <= version && time.Now().After(s.manifestDue)
	if due {
		s.manifestDue = time.Now().Add(manifestSpread)
	}
	s.mu.Unlock()
	if !due || s.store.manifestOf(target.Model, version) != nil {
		return
	}
	go func() {
		m, err := s.findManifest(ctx, origin, target.Model, version)
		if err == nil {
			s.store.begin(m)
		}
	}()
}
