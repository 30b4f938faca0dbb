package stager

import (
	"context"
	"slices"
	"time"
)

const (
	// announceInterval is the minimum time between two announcements of held
	// pieces to the agent's own region. crossRegionInterval is the minimum time
	// between two announcements to all regions; it grows in proportion to the
	// number of agents above crossRegionAgents, because traffic between regions
	// is expensive.
	announceInterval    = 40 * time.Millisecond
	crossRegionInterval = 250 * time.Millisecond
	crossRegionAgents   = 30
	// regionFanout is the number of randomly chosen agents of the region that
	// get each announcement; all agents of the region get one every
	// peerRefreshInterval. A few agents must know of a piece early, or the links
	// idle while it spreads; sending to all 52 agents of a region each time
	// takes 1,300 datagrams per second.
	regionFanout = 20
	// replyInterval is the minimum time between two replies to an agent that
	// lacks pieces. Replies repeat because datagrams may be lost.
	replyInterval = 500 * time.Millisecond
)

// Audience selects the agents that receive an announcement.
type Audience struct {
	// Peers limits the announcement to the agents with these IDs; nil means no
	// such limit.
	Peers []string
	// AllRegions includes the agents of all regions, not just the sender's own.
	AllRegions bool
	// MaxRecipients is the maximum number of recipients, chosen at random; 0
	// means all.
	MaxRecipients int
}

// announceTimes records when announcements were last sent to each group of
// agents, so that an agent that lacks pieces gets a reply only if no recent
// announcement covered it. Without this limit, a fleet of 156 agents sends
// 160,000 datagrams per second during a version change.
type announceTimes struct {
	region, allRegions time.Time
	peers              map[string]time.Time
}

// last returns the time of the last announcement to a peer.
func (t *announceTimes) last(peer string, sameRegion bool) time.Time {
	last := t.peers[peer]
	if t.allRegions.After(last) {
		last = t.allRegions
	}
	if sameRegion && t.region.After(last) {
		last = t.region
	}
	return last
}

// record records the time of an announcement to an audience.
func (t *announceTimes) record(to Audience, now time.Time) {
	switch {
	case len(to.Peers) > 0:
		if t.peers == nil {
			t.peers = map[string]time.Time{}
		}
		for _, id := range to.Peers {
			t.peers[id] = now
		}
	case to.AllRegions:
		t.allRegions = now
	default:
		t.region = now
	}
}

// peerAnnouncements holds a peer's latest announcement for each version.
type peerAnnouncements map[int64]announcement

// announcement is a peer's latest announcement for one version. The sequence
// numbers the announcements of all peers in the order of their arrival.
type announcement struct {
	pieces   []bool
	sequence uint64
}

// HandleAnnouncement handles a peer's announcement of the pieces that it holds.
// It replies with the pieces held here if the peer lacks pieces and has had no
// announcement within replyInterval. sameRegion reports whether the peer is in
// this agent's region.
func (s *Stager) HandleAnnouncement(id string, sameRegion bool, version int64, pieces []bool) {
	s.mu.Lock()
	if s.announcements[id] == nil {
		s.announcements[id] = peerAnnouncements{}
	}
	s.announcementSequence++
	s.announcements[id][version] = announcement{pieces, s.announcementSequence}
	for old := range s.announcements[id] {
		if old+keptVersions < version {
			delete(s.announcements[id], old)
		}
	}
	reply := slices.Contains(pieces, false) && time.Since(s.lastAnnounced.last(id, sameRegion)) >= replyInterval && s.hasPieces(version)
	s.mu.Unlock()
	if reply {
		s.announceToPeer(id, version, len(pieces))
	}
}

// hasPieces reports whether this agent can serve pieces of a version. The caller
// must hold s.mu.
func (s *Stager) hasPieces(version int64) bool {
	_, pieces := s.store.held(version)
	return slices.Contains(pieces, true) || s.state.Version == version && s.target.Version <= version
}

// recordAnnouncements passes the announcements that arrived since the last call
// to the swarm.
func (f *fetch) recordAnnouncements() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, held := range f.announcements {
		if latest := held[f.manifest.Version]; latest.sequence > f.recordedSequence {
			f.swarm.RecordPeerPieces(id, latest.pieces)
		}
	}
	f.recordedSequence = f.announcementSequence
}

// announce announces the held pieces of all kept versions.
func (s *Stager) announce(to Audience) {
	for _, version := range s.store.kept() {
		if heldVersion, held := s.store.held(version); heldVersion != 0 {
			s.sendAnnouncement(heldVersion, held, to)
		}
	}
}

// announceToPeer announces the pieces in memory to one peer, or all pieces if
// the engine was already running the version when this process started.
func (s *Stager) announceToPeer(id string, version int64, pieces int) {
	_, held := s.store.held(version)
	if !slices.Contains(held, true) {
		held = slices.Repeat([]bool{true}, pieces)
	}
	s.sendAnnouncement(version, held, Audience{Peers: []string{id}})
}

// sendAnnouncement sends one announcement and records its time.
func (s *Stager) sendAnnouncement(version int64, pieces []bool, to Audience) {
	s.mu.Lock()
	s.lastAnnounced.record(to, time.Now())
	s.mu.Unlock()
	s.cfg.Announce(version, pieces, to)
}

// requestAnnouncement asks the announcer goroutine to announce to the region.
func (s *Stager) requestAnnouncement() {
	select {
	case s.announceRequests <- struct{}{}:
	default:
	}
}

// runAnnouncer announces new pieces until ctx ends: to the own region at once,
// and to other regions several pieces at a time, because traffic between regions
// is expensive.
func (s *Stager) runAnnouncer(ctx context.Context) {
	crossRegion := time.NewTimer(crossRegionInterval)
	defer crossRegion.Stop()
	pending := false
	for {
		select {
		case <-s.announceRequests:
			s.announce(s.regionAudience(time.Now()))
			pending = true
			if sleep(ctx, announceInterval) != nil {
				return
			}
		case <-crossRegion.C:
			crossRegion.Reset(s.crossRegionPause())
			if pending {
				pending = false
				s.announce(Audience{AllRegions: true})
			}
		case <-ctx.Done():
			return
		}
	}
}

// regionAudience returns the audience of the next announcement to the region.
func (s *Stager) regionAudience(now time.Time) Audience {
	if now.Sub(s.lastRegionBroadcast) >= peerRefreshInterval {
		s.lastRegionBroadcast = now
		return Audience{}
	}
	return Audience{MaxRecipients: regionFanout}
}

// crossRegionPause returns crossRegionInterval, lengthened for a large fleet.
func (s *Stager) crossRegionPause() time.Duration {
	return crossRegionInterval * time.Duration(max(s.peerCount(), crossRegionAgents)) / crossRegionAgents
}

// peerCount returns the number of other agents, cached for peerRefreshInterval.
func (s *Stager) peerCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.peerCountTime) >= peerRefreshInterval {
		s.cachedPeerCount, s.peerCountTime = len(s.cfg.Peers()), now
	}
	return s.cachedPeerCount
}
