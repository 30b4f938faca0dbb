package rollout

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// SwarmConfig describes the agents that bring one version to their machines.
type SwarmConfig struct {
	Self Peer
	// Peers are the other agents; Self may be among them.
	Peers []Peer
	// OriginRegion is where pieces enter; other regions get them from there
	// or from each other.
	OriginRegion string
	// Version enters the order of feeders, so that successive versions load
	// different agents first.
	Version string
	// Pieces is how many pieces the version has.
	Pieces int
	// FirstPatience, in the region where a piece enters, and FeederPatience,
	// in the others, are how long the next agent in line waits before it
	// brings a piece into its region. OriginPatience is how long a feeder
	// waits for the region before it until it asks the origin.
	FirstPatience, FeederPatience, OriginPatience time.Duration
	// CopyTime is how long the origin's link takes for a copy; 0 is unknown.
	CopyTime time.Duration
	// SetAside is how long a peer that failed is not asked.
	SetAside time.Duration
	Seed     uint64
}

// Swarm decides which piece an agent asks for next, and whom. It never waits for
// a piece at a source that may not have it, or has died.
//
// A burst of a whole version onto many machines with thin links: each piece
// enters a region once, through its feeder, and inside a region every agent
// that holds a piece passes it on. Agents tell the others of their region what
// they hold, so that all links carry pieces from the first moment on; in a
// fixed tree the links of the leaves idle until the end, and one slow parent
// holds up its whole branch. Telling costs a few kilobytes
// an agent and version; regions are told less often.
type Swarm struct {
	cfg    SwarmConfig
	random *rand.Rand
	began  time.Time
	region []node
	// line are the indices of the region's agents in members.
	line     []int
	rank     int
	chains   [][]string
	byRegion map[string][]node
	have     []bool
	left     int
	asked    []bool
	denied   []time.Time
	// members are the other agents, places their indices in it.
	members []swarmMember
	places  map[string]int
	// near and far are the indices of the agents that hold each piece, inside
	// the region and outside. Many agents decide several times in the way of a
	// piece; looking through all agents for each piece took a tenth of a core
	// at 265 agents.
	near, far [][]int
	// originFaults counts the failures of the origin in a row, and
	// originUntil is when it is asked again.
	originFaults int
	originUntil  time.Time
	// faulted says that the origin failed since the swarm began.
	faulted bool
	// endgame is when the last pieces stayed away from the region. Missing is
	// how many had no holder there when that was looked at last, and progress
	// when it became less.
	endgame, looked, progress time.Time
	missing                   int
}

// swarmMember is what is known of another agent.
type swarmMember struct {
	peer Peer
	near bool
	// held is what it said that it holds; nil if it has not said anything.
	held []bool
	// aside is until when it is not asked.
	aside time.Time
}

// deniedPause is how long a piece that nobody could send is not asked for.
const deniedPause = 30 * time.Millisecond

const (
	// originRetry and maxOriginRetry bound the pause after a failure of the
	// origin.
	originRetry    = 100 * time.Millisecond
	maxOriginRetry = 200 * time.Millisecond
	// silentFeeder is how long a feeder of the region may be silent until
	// the next agent in line takes its place.
	silentFeeder = 600 * time.Millisecond
	// endgameShare and endgameStall: when less than the fourth part of the
	// pieces has no holder in the region and none has come for three times
	// the way of a piece, the feeders of the rest are late, not the origin.
	endgameShare = 4
	endgameStall = 300 * time.Millisecond
	// endgamePatience is how long the next agent in line waits from then on.
	endgamePatience = 200 * time.Millisecond
	// endgameLook is the time between two looks whether it is so.
	endgameLook = 50 * time.Millisecond
)

// NewSwarm returns a swarm in which this agent holds nothing.
func NewSwarm(cfg SwarmConfig, now time.Time) *Swarm {
	s := &Swarm{
		cfg: cfg, began: now, random: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Pieces))),
		byRegion: map[string][]node{}, have: make([]bool, cfg.Pieces), left: cfg.Pieces, asked: make([]bool, cfg.Pieces),
		denied: make([]time.Time, cfg.Pieces), places: map[string]int{}, near: make([][]int, cfg.Pieces), far: make([][]int, cfg.Pieces),
	}
	salt := newNode(Peer{ID: cfg.Version}).hash
	add := func(p Peer) {
		n := newNode(p)
		n.hash = mix(n.hash ^ salt)
		s.byRegion[p.Region] = append(s.byRegion[p.Region], n)
	}
	add(cfg.Self)
	for _, p := range cfg.Peers {
		if _, known := s.places[p.ID]; p.ID != cfg.Self.ID && !known {
			s.Join(p)
			add(p)
		}
	}
	for _, nodes := range s.byRegion {
		slices.SortFunc(nodes, func(a, b node) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.peer.ID, b.peer.ID))
		})
	}
	s.region = s.byRegion[cfg.Self.Region]
	s.rank = slices.IndexFunc(s.region, func(n node) bool { return n.peer.ID == cfg.Self.ID })
	for _, n := range s.region {
		place := noMember
		if n.peer.ID != cfg.Self.ID {
			place = s.places[n.peer.ID]
		}
		s.line = append(s.line, place)
	}
	tree := NewTree(TreeConfig{Self: cfg.Self, Peers: cfg.Peers, OriginRegion: cfg.OriginRegion})
	for piece := range cfg.Pieces {
		// Pairs of pieces share a chain in a tree; here each has its own.
		s.chains = append(s.chains, tree.chain(2*piece))
	}
	return s
}

// Left returns how many pieces are missing.
func (s *Swarm) Left() int { return s.left }

// Hold notes that this agent holds a piece.
func (s *Swarm) Hold(piece int) {
	if !s.have[piece] {
		s.have[piece] = true
		s.left--
	}
}

// Held returns what this agent holds.
func (s *Swarm) Held() []bool { return slices.Clone(s.have) }

// noMember stands for this agent among the indices of others.
const noMember = -1

// Told takes over what another agent says that it holds.
func (s *Swarm) Told(id string, held []bool) {
	if place, known := s.places[id]; known && len(held) == s.cfg.Pieces {
		s.hold(place, held)
	}
}

// hold changes what an agent holds; nil is nothing, and that it said nothing.
func (s *Swarm) hold(place int, held []bool) {
	m := &s.members[place]
	for piece := range s.cfg.Pieces {
		before, now := m.held != nil && m.held[piece], held != nil && held[piece]
		if before == now {
			continue
		}
		holders := &s.far[piece]
		if m.near {
			holders = &s.near[piece]
		}
		if now {
			*holders = append(*holders, place)
		} else if i := slices.Index(*holders, place); i >= 0 {
			*holders = slices.Delete(*holders, i, i+1)
		}
	}
	m.held = held
}

// Join adds an agent that appeared after the swarm began.
func (s *Swarm) Join(p Peer) {
	if p.ID == s.cfg.Self.ID {
		return
	}
	if place, known := s.places[p.ID]; known {
		s.members[place].peer = p
		return
	}
	s.places[p.ID] = len(s.members)
	s.members = append(s.members, swarmMember{peer: p, near: p.Region == s.cfg.Self.Region})
}

// Pull is a piece to ask for.
type Pull struct {
	Piece  int
	Source Source
}

// Feed returns the next piece that this agent is to bring into its region. It
// returns false if there is none now.
func (s *Swarm) Feed(now time.Time) (Pull, bool) {
	n := len(s.region)
	s.lookForEndgame(now)
	for i := range s.cfg.Pieces {
		// Feeders begin at different pieces, so that the pieces of one
		// feeder enter one after the other.
		piece := (i + s.rank) % s.cfg.Pieces
		place := (s.rank - piece%n + n) % n
		due := s.due(piece, place)
		if s.have[piece] || s.asked[piece] || now.Before(due) || now.Before(s.denied[piece]) {
			continue
		}
		if s.anyUsable(s.near[piece], now) {
			continue
		}
		if source, ok := s.outside(piece, now.Sub(due), now); ok {
			s.asked[piece] = true
			return Pull{Piece: piece, Source: source}, true
		}
	}
	return Pull{}, false
}

// OtherFeeders returns the ids of the agents that are first in line to bring a
// piece into each other region. Who fed it into this one tells them at once:
// regions are told seldom, in a large fleet each 2 s, and a version passes
// through them one after the other.
func (s *Swarm) OtherFeeders(piece int) []string {
	var ids []string
	for region, nodes := range s.byRegion {
		if region != s.cfg.Self.Region {
			ids = append(ids, nodes[piece%len(nodes)].peer.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// due is when the agent at a place in line brings a piece into the region.
// Agents that said nothing of this version, perhaps because they are dead,
// hold the line up for a moment only.
func (s *Swarm) due(piece, place int) time.Time {
	n, due, patience := len(s.region), s.began, s.cfg.FeederPatience
	if s.chains[piece][0] == s.cfg.Self.Region {
		due, patience = due.Add(s.turn(piece)), s.cfg.FirstPatience
	}
	for before := range place {
		feeder := s.line[(piece+before)%n]
		if feeder != noMember && s.members[feeder].held != nil {
			due = due.Add(patience)
		} else {
			due = due.Add(silentFeeder)
		}
	}
	if late := s.endgame.Add(time.Duration(place) * endgamePatience); place > 0 && !s.endgame.IsZero() && late.Before(due) {
		return late
	}
	return due
}

// turnShare is the part of a copy's time over which pieces leave the origin in
// turns; the rest covers that its link must never be idle.
const turnShare = 0.8

// turn is when a piece leaves the origin, after the begin. If all feeders asked at
// once, they would share its link and all pieces would come at its end (1.3 s for
// 48 pieces at 15 Mbit/s), when they could have been on their way through the
// regions; and a large region has more feeders than the origin takes
// connections. After a fault only some pieces are missing, and nobody waits.
func (s *Swarm) turn(piece int) time.Duration {
	if s.faulted {
		return 0
	}
	return time.Duration(turnShare * float64(s.cfg.CopyTime) * float64(piece) / float64(s.cfg.Pieces))
}

// lookForEndgame notes when the last pieces stay away from the region. Feeders
// on narrow links are alive and were heard, but bring their pieces much later
// than the others; the whole region would wait for them.
func (s *Swarm) lookForEndgame(now time.Time) {
	if !s.endgame.IsZero() || now.Sub(s.looked) < endgameLook {
		return
	}
	s.looked = now
	missing := 0
	for piece := range s.cfg.Pieces {
		if !s.have[piece] && !s.anyUsable(s.near[piece], now) {
			missing++
		}
	}
	if s.progress.IsZero() || missing < s.missing {
		s.progress = now
	}
	s.missing = missing
	if missing*endgameShare < s.cfg.Pieces && now.Sub(s.progress) >= endgameStall {
		s.endgame = now
	}
}

// outside returns where a feeder gets a piece: from an agent of another region
// that holds it, or from the origin. It returns false while the piece is on its
// way to the region before this one.
func (s *Swarm) outside(piece int, waited time.Duration, now time.Time) (Source, bool) {
	if place, ok := s.drawUsable(s.far[piece], now); ok {
		return Source{Peer: s.members[place].peer}, true
	}
	chain := s.chains[piece]
	if chain[0] != s.cfg.Self.Region && waited < s.cfg.OriginPatience {
		return Source{}, false
	}
	return Source{Origin: true}, !now.Before(s.originUntil)
}

// Exchange returns a missing piece that an agent of the region holds: of two
// drawn at random the rarer one. If all took the rarest, they would all ask the
// one agent that has just got it (33 agents a region: 3 s against 2.35 s in the
// simulation). It returns false if there is none now.
func (s *Swarm) Exchange(now time.Time) (Pull, bool) {
	best, rarest := noMember, 0
	start := s.random.IntN(max(s.cfg.Pieces, 1))
	for i, drawn := 0, 0; i < s.cfg.Pieces && drawn < 2; i++ {
		piece := (start + i) % s.cfg.Pieces
		if s.have[piece] || s.asked[piece] || now.Before(s.denied[piece]) {
			continue
		}
		found := s.countUsable(s.near[piece], now)
		if found == 0 {
			continue
		}
		drawn++
		if best == noMember || found < rarest {
			best, rarest = piece, found
		}
	}
	if best == noMember {
		return Pull{}, false
	}
	place, ok := s.drawUsable(s.near[best], now)
	if !ok {
		return Pull{}, false
	}
	s.asked[best] = true
	return Pull{Piece: best, Source: Source{Peer: s.members[place].peer}}, true
}

// usable reports whether an agent can be asked now.
func (s *Swarm) usable(place int, now time.Time) bool { return now.After(s.members[place].aside) }

func (s *Swarm) anyUsable(holders []int, now time.Time) bool {
	return slices.ContainsFunc(holders, func(place int) bool { return s.usable(place, now) })
}

func (s *Swarm) countUsable(holders []int, now time.Time) int {
	count := 0
	for _, place := range holders {
		if s.usable(place, now) {
			count++
		}
	}
	return count
}

// drawUsable draws one of the holders that can be asked now.
func (s *Swarm) drawUsable(holders []int, now time.Time) (place int, ok bool) {
	count := s.countUsable(holders, now)
	if count == 0 {
		return 0, false
	}
	drawn := s.random.IntN(count)
	for _, place := range holders {
		if !s.usable(place, now) {
			continue
		}
		if drawn == 0 {
			return place, true
		}
		drawn--
	}
	return 0, false
}

// Done takes the outcome of a pull.
func (s *Swarm) Done(p Pull, outcome Outcome, now time.Time) {
	s.asked[p.Piece] = false
	if p.Source.Origin {
		s.originAnswered(outcome, now)
	}
	switch outcome {
	case Delivered:
		s.Hold(p.Piece)
	case NotYet, Throttled:
		s.denied[p.Piece] = now.Add(deniedPause)
	case Refused, Corrupt, NoProgress:
		s.denied[p.Piece] = now.Add(deniedPause)
		if place, known := s.places[p.Source.Peer.ID]; !p.Source.Origin && known {
			s.members[place].aside = now.Add(s.cfg.SetAside)
			// What it said that it holds can't be had; it says so again if it
			// lives.
			s.hold(place, nil)
		}
	}
}

// originAnswered keeps the line of feeders while the origin is down: without
// it, all agents would be due when it returns, and each would draw a copy.
func (s *Swarm) originAnswered(outcome Outcome, now time.Time) {
	if outcome != Refused && outcome != NoProgress {
		s.originFaults = 0
		return
	}
	s.originFaults++
	s.faulted = true
	pause := min(originRetry<<min(s.originFaults-1, 4), maxOriginRetry)
	s.originUntil = now.Add(pause/2 + time.Duration(s.random.Int64N(int64(pause))))
	s.began = now
	if !s.endgame.IsZero() {
		s.endgame = now
	}
}
