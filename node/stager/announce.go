package stager

import (
	"context"
	"slices"
	"time"
)

const (
	// announceEvery bounds how often an agent tells its region what it holds,
	// announceFar how often it tells all regions. They grow with the agents
	// beyond announceNearAgents and announceFarAgents: a region of 33 agents
	// receives 800 datagrams a second each while a version is on its way, and
	// bytes between regions are dear.
	announceEvery      = 40 * time.Millisecond
	announceFar        = 250 * time.Millisecond
	announceNearAgents = 100
	announceFarAgents  = 30
	// answerEvery bounds how often it tells so because another lacks pieces.
	answerEvery = 150 * time.Millisecond
)

// heldPieces is what an agent of the region said last of some versions.
type heldPieces map[int64][]bool

// Told takes over what another agent holds, and answers if that agent lacks
// pieces that are here.
func (s *Stager) Told(id string, version int64, pieces []bool) {
	s.mu.Lock()
	if s.heldBy[id] == nil {
		s.heldBy[id] = heldPieces{}
	}
	s.heldBy[id][version] = pieces
	for old := range s.heldBy[id] {
		if old+keptVersions < version {
			delete(s.heldBy[id], old)
		}
	}
	answer := slices.Contains(pieces, false) && time.Since(s.answered) >= answerEvery && s.holds(version)
	if answer {
		s.answered = time.Now()
	}
	s.mu.Unlock()
	if answer {
		s.announceVersion(version, len(pieces))
	}
}

// holds reports whether pieces of a version can be had here. The caller holds
// the lock.
func (s *Stager) holds(version int64) bool {
	_, pieces := s.store.held(version)
	return slices.Contains(pieces, true) || s.state.Version == version && s.target.Version <= version
}

// tellSwarm hands the other agents' words to the swarm.
func (f *fetch) tellSwarm() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, held := range f.heldBy {
		if pieces, ok := held[f.manifest.Version]; ok {
			f.swarm.Told(id, pieces)
		}
	}
}

// announce tells what this agent holds of the kept versions.
func (s *Stager) announce(everywhere bool) {
	for _, version := range s.store.kept() {
		if of, held := s.store.held(version); of != 0 {
			s.cfg.Announce(of, held, everywhere)
		}
	}
}

// announceVersion tells of pieces in memory, or of all pieces if the engine
// ran the version before this process started.
func (s *Stager) announceVersion(version int64, pieces int) {
	if _, held := s.store.held(version); slices.Contains(held, true) {
		s.cfg.Announce(version, held, true)
		return
	}
	s.cfg.Announce(version, slices.Repeat([]bool{true}, pieces), true)
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
			s.announce(false)
			pending = true
			if sleep(ctx, s.announcePause(announceEvery, announceNearAgents)) != nil {
				return
			}
		case <-far.C:
			far.Reset(s.announcePause(announceFar, announceFarAgents))
			if pending {
				pending = false
				s.announce(true)
			}
		case <-ctx.Done():
			return
		}
	}
}

// announcePause stretches a pause in a fleet of more than some agents.
func (s *Stager) announcePause(pause time.Duration, agents int) time.Duration {
	return pause * time.Duration(max(len(s.cfg.Peers()), agents)) / time.Duration(agents)
}
