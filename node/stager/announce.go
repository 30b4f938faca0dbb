package stager

import (
	"context"
	"slices"
	"time"
)

const (
	// announceEvery bounds how often an agent tells its region what it holds,
	// announceFar how often it tells all regions; that grows with the agents
	// beyond announceFarAgents, since bytes between regions are dear.
	announceEvery     = 40 * time.Millisecond
	announceFar       = 250 * time.Millisecond
	announceFarAgents = 30
	// nearFanout is how many agents of the region are told each time, drawn
	// anew; all are told each peersEvery. A piece must soon be known to some,
	// or its way through a region takes longer than the links need; telling all
	// 52 each time would take 1,300 datagrams a second.
	nearFanout = 20
	// answerEvery bounds how often it tells one agent because that one lacks
	// pieces: a datagram of the announcer may have been lost.
	answerEvery = 500 * time.Millisecond
)

// Audience is whom an announcement is for.
type Audience struct {
	// Peers are the ids of the only agents; nil for others.
	Peers []string
	// Everywhere means the agents of all regions, not of the own one only.
	Everywhere bool
	// Few bounds how many agents, drawn at random, are told; 0 is all.
	Few int
}

// told remembers when other agents were last told what is here, so that one
// that lacks pieces is answered only if it can't know already. Answering
// everybody each time, a fleet of 156 agents sent 160,000 datagrams a second
// during a version change.
type told struct {
	region, everywhere time.Time
	peers              map[string]time.Time
}

// last returns when an agent was told last.
func (t *told) last(peer string, near bool) time.Time {
	last := t.peers[peer]
	if t.everywhere.After(last) {
		last = t.everywhere
	}
	if near && t.region.After(last) {
		last = t.region
	}
	return last
}

// note remembers an announcement.
func (t *told) note(to Audience, now time.Time) {
	switch {
	case len(to.Peers) > 0:
		if t.peers == nil {
			t.peers = map[string]time.Time{}
		}
		for _, id := range to.Peers {
			t.peers[id] = now
		}
	case to.Everywhere:
		t.everywhere = now
	default:
		t.region = now
	}
}

// heldPieces is what an agent said last of some versions.
type heldPieces map[int64]heldNews

// heldNews is what an agent said last of a version, and the number of its word
// among all agents' words.
type heldNews struct {
	pieces []bool
	number uint64
}

// Told takes over what another agent holds, and answers if that agent lacks
// pieces and was not told lately what is here. Near says that it is in the own
// region.
func (s *Stager) Told(id string, near bool, version int64, pieces []bool) {
	s.mu.Lock()
	if s.heldBy[id] == nil {
		s.heldBy[id] = heldPieces{}
	}
	s.heldNumber++
	s.heldBy[id][version] = heldNews{pieces, s.heldNumber}
	for old := range s.heldBy[id] {
		if old+keptVersions < version {
			delete(s.heldBy[id], old)
		}
	}
	answer := slices.Contains(pieces, false) && time.Since(s.told.last(id, near)) >= answerEvery && s.holds(version)
	s.mu.Unlock()
	if answer {
		s.answer(id, version, len(pieces))
	}
}

// holds reports whether pieces of a version can be had here. The caller holds
// the lock.
func (s *Stager) holds(version int64) bool {
	_, pieces := s.store.held(version)
	return slices.Contains(pieces, true) || s.state.Version == version && s.target.Version <= version
}

// tellSwarm hands the other agents' words to the swarm that came since the last
// time.
func (f *fetch) tellSwarm() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, held := range f.heldBy {
		if news := held[f.manifest.Version]; news.number > f.toldUpTo {
			f.swarm.RecordPeerPieces(id, news.pieces)
		}
	}
	f.toldUpTo = f.heldNumber
}

// announce tells what this agent holds of the kept versions.
func (s *Stager) announce(to Audience) {
	for _, version := range s.store.kept() {
		if of, held := s.store.held(version); of != 0 {
			s.tell(of, held, to)
		}
	}
}

// answer tells one agent of the pieces in memory, or of all pieces if the
// engine ran the version before this process started.
func (s *Stager) answer(id string, version int64, pieces int) {
	_, held := s.store.held(version)
	if !slices.Contains(held, true) {
		held = slices.Repeat([]bool{true}, pieces)
	}
	s.tell(version, held, Audience{Peers: []string{id}})
}

func (s *Stager) tell(version int64, pieces []bool, to Audience) {
	s.mu.Lock()
	s.told.note(to, time.Now())
	s.mu.Unlock()
	s.cfg.Announce(version, pieces, to)
}

// announceSoon asks the announcer to tell the region.
func (s *Stager) announceSoon() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// announcer tells of new pieces: the own region at once, others a few pieces at
// a time, since bytes between regions are dear.
func (s *Stager) announcer(ctx context.Context) {
	far := time.NewTimer(announceFar)
	defer far.Stop()
	pending := false
	for {
		select {
		case <-s.news:
			s.announce(s.nearAudience(time.Now()))
			pending = true
			if sleep(ctx, announceEvery) != nil {
				return
			}
		case <-far.C:
			far.Reset(s.farPause())
			if pending {
				pending = false
				s.announce(Audience{Everywhere: true})
			}
		case <-ctx.Done():
			return
		}
	}
}

// nearAudience is whom in the region the next announcement is for.
func (s *Stager) nearAudience(now time.Time) Audience {
	if now.Sub(s.toldAll) >= peersEvery {
		s.toldAll = now
		return Audience{}
	}
	return Audience{Few: nearFanout}
}

// farPause stretches announceFar in a large fleet.
func (s *Stager) farPause() time.Duration {
	return announceFar * time.Duration(max(s.agents(), announceFarAgents)) / announceFarAgents
}

// agents returns how many other agents there are, as of the last look.
func (s *Stager) agents() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.countedAt) >= peersEvery {
		s.counted, s.countedAt = len(s.cfg.Peers()), now
	}
	return s.counted
}
