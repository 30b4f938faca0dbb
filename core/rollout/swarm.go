package rollout

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// SwarmConfig configures the Swarm of one agent for one version.
type SwarmConfig struct {
	Self Peer
	// Peers are the other agents; Self may be among them.
	Peers []Peer
	// OriginRegion is the region that gets pieces from the origin. Other
	// regions get them from this region or from each other.
	OriginRegion string
	// Version determines the order of feeders, so that the load of successive
	// versions falls on different agents first.
	Version string
	// Pieces is the number of pieces of the version.
	Pieces int
	// These timeouts are described at type FeederTimeouts.
	FirstRegionTimeout, LaterRegionTimeout, OriginFallbackTimeout time.Duration
	// CopyTime is how long the origin's link takes for a copy of the version; 0
	// means that the time is unknown.
	CopyTime time.Duration
	// PeerBackoff is how long no pieces are requested from a peer after it failed.
	PeerBackoff time.Duration
	// Seed seeds the random choice of pieces and sources.
	Seed uint64
}

// Swarm decides which piece an agent requests next, and from which source. It
// requests pieces from agents only if they have announced that they hold them.
//
// It is made for distributing a whole version to many VMs with slow links. Each
// piece enters a region once, through the feeder of this piece, and inside the
// region every agent that holds the piece passes it on. Agents announce the
// pieces that they hold to the agents of their region, so that all links carry
// pieces from the beginning. In a fixed tree, the links of the leaves would be
// idle until the end, and one slow parent would delay its whole branch. The
// announcements cost a few kilobytes per agent and version; other regions
// receive them less often.
type Swarm struct {
	cfg    SwarmConfig
	random *rand.Rand
	// feedStart is the time from which the feeder timeouts run.
	feedStart time.Time
	// feeders are the agents of this agent's region in feeder order, and rank
	// is the position of this agent among them.
	feeders []node
	// feederMembers are the indices of the feeders in members; noMember stands
	// for this agent.
	feederMembers []int
	rank          int
	chains        [][]string
	byRegion      map[string][]node
	// held, requested and pausedUntil have one element per piece. No request is
	// sent for a piece before pausedUntil.
	held        []bool
	remaining   int
	requested   []bool
	pausedUntil []time.Time
	// members are the other agents; memberIndex maps their ids to indices in
	// members.
	members     []swarmMember
	memberIndex map[string]int
	// regionHolders and outsideHolders are, for each piece, the indices of the
	// agents that hold it inside and outside this agent's region. They are kept
	// up to date because an agent decides several times while one piece is on
	// its way; a search through all agents for each piece took a tenth of a
	// core at 265 agents.
	regionHolders, outsideHolders [][]int
	// originFailures is the number of consecutive failures of the origin, and
	// originRetryAt the time from which it may be used again.
	originFailures int
	originRetryAt  time.Time
	// narrow means that this agent leaves the origin to others.
	narrow bool
	// originFailed is true if the origin has ever failed for this swarm.
	originFailed bool
	// endgameStart is the time when a check found that the last pieces of the
	// region are delayed. endgameCheckedAt is the time of the last check, and
	// missingInRegion is the number of pieces that had no holder in the region
	// then. progressAt is the time when that number last decreased.
	endgameStart, endgameCheckedAt, progressAt time.Time
	missingInRegion                            int
}

// swarmMember is the state of another agent.
type swarmMember struct {
	peer       Peer
	sameRegion bool
	// held are the pieces that the agent announced; nil if no announcement was
	// received.
	held []bool
	// avoidUntil is the time until which no pieces are requested from the agent.
	avoidUntil time.Time
}

// pieceRetryPause is the pause before a piece is requested again after a source
// did not deliver it.
const pieceRetryPause = 30 * time.Millisecond

const (
	// originRetryPause is the pause after the first failure of the origin. It
	// doubles with each further failure up to maxOriginRetryPause.
	originRetryPause    = 100 * time.Millisecond
	maxOriginRetryPause = 200 * time.Millisecond
	// silentFeederTimeout is how long the next agent in feeder order waits for
	// a feeder that has not announced any pieces of this version.
	silentFeederTimeout = 600 * time.Millisecond
	// The endgame begins when less than a fourth of the pieces
	// (1/endgameDivisor) have no holder in the region and their number has not
	// decreased for endgameStallTimeout, three times the transfer time of a
	// piece. The feeders of these pieces are then late, not the origin.
	endgameDivisor      = 4
	endgameStallTimeout = 300 * time.Millisecond
	// endgameFeederTimeout is how long the next agent in feeder order waits
	// during the endgame.
	endgameFeederTimeout = 200 * time.Millisecond
	// narrowOriginTimeout is how long an agent on a narrow link leaves a piece to the
	// other feeders, before it requests the piece from the origin itself.
	narrowOriginTimeout = 3 * time.Second
	// endgameCheckInterval is the time between two checks for the endgame.
	endgameCheckInterval = 50 * time.Millisecond
)

// NewSwarm returns a swarm in which this agent holds no pieces.
func NewSwarm(cfg SwarmConfig, now time.Time) *Swarm {
	s := &Swarm{
		cfg: cfg, feedStart: now, random: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Pieces))),
		byRegion: map[string][]node{}, held: make([]bool, cfg.Pieces), remaining: cfg.Pieces, requested: make([]bool, cfg.Pieces),
		pausedUntil: make([]time.Time, cfg.Pieces), memberIndex: map[string]int{}, regionHolders: make([][]int, cfg.Pieces), outsideHolders: make([][]int, cfg.Pieces),
	}
	salt := newNode(Peer{ID: cfg.Version}).hash
	add := func(p Peer) {
		n := newNode(p)
		n.hash = mix(n.hash ^ salt)
		s.byRegion[p.Region] = append(s.byRegion[p.Region], n)
	}
	add(cfg.Self)
	for _, p := range cfg.Peers {
		if _, known := s.memberIndex[p.ID]; p.ID != cfg.Self.ID && !known {
			s.AddPeer(p)
			add(p)
		}
	}
	for _, nodes := range s.byRegion {
		slices.SortFunc(nodes, func(a, b node) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.peer.ID, b.peer.ID))
		})
	}
	s.feeders = s.byRegion[cfg.Self.Region]
	s.rank = slices.IndexFunc(s.feeders, func(n node) bool { return n.peer.ID == cfg.Self.ID })
	for _, n := range s.feeders {
		member := noMember
		if n.peer.ID != cfg.Self.ID {
			member = s.memberIndex[n.peer.ID]
		}
		s.feederMembers = append(s.feederMembers, member)
	}
	tree := NewTree(TreeConfig{Self: cfg.Self, Peers: cfg.Peers, OriginRegion: cfg.OriginRegion})
	for piece := range cfg.Pieces {
		// In a tree, chunks 2j and 2j+1 share a chain; here each piece has its
		// own.
		s.chains = append(s.chains, tree.chain(2*piece))
	}
	return s
}

// Remaining returns the number of pieces that this agent is missing.
func (s *Swarm) Remaining() int { return s.remaining }

// RecordPiece records that this agent holds a piece.
func (s *Swarm) RecordPiece(piece int) {
	if !s.held[piece] {
		s.held[piece] = true
		s.remaining--
	}
}

// Held returns for each piece whether this agent holds it.
func (s *Swarm) Held() []bool { return slices.Clone(s.held) }

// noMember is an index that refers to no other agent and to no piece.
const noMember = -1

// RecordPeerPieces records the pieces that another agent announced.
func (s *Swarm) RecordPeerPieces(id string, held []bool) {
	if member, known := s.memberIndex[id]; known && len(held) == s.cfg.Pieces {
		s.setHeldBy(member, held)
	}
}

// setHeldBy replaces the pieces recorded for another agent. nil means that it
// holds no pieces and has not announced any.
func (s *Swarm) setHeldBy(member int, held []bool) {
	m := &s.members[member]
	for piece := range s.cfg.Pieces {
		before, now := m.held != nil && m.held[piece], held != nil && held[piece]
		if before == now {
			continue
		}
		holders := &s.outsideHolders[piece]
		if m.sameRegion {
			holders = &s.regionHolders[piece]
		}
		if now {
			*holders = append(*holders, member)
		} else if i := slices.Index(*holders, member); i >= 0 {
			*holders = slices.Delete(*holders, i, i+1)
		}
	}
	m.held = held
}

// AddPeer adds an agent that appeared after the swarm was created, or updates the
// address of a known one.
func (s *Swarm) AddPeer(p Peer) {
	if p.ID == s.cfg.Self.ID {
		return
	}
	if member, known := s.memberIndex[p.ID]; known {
		s.members[member].peer = p
		return
	}
	s.memberIndex[p.ID] = len(s.members)
	s.members = append(s.members, swarmMember{peer: p, sameRegion: p.Region == s.cfg.Self.Region})
}

// Pull is a request for one piece to one source.
type Pull struct {
	Piece  int
	Source Source
}

// NextFeed returns the next piece that this agent must bring into its region, and
// its source outside the region. It returns false if no such piece is due now.
func (s *Swarm) NextFeed(now time.Time) (Pull, bool) {
	n := len(s.feeders)
	s.detectEndgame(now)
	for i := range s.cfg.Pieces {
		// Each feeder begins with a different piece, so that the pieces of one
		// feeder enter the region one after the other.
		piece := (i + s.rank) % s.cfg.Pieces
		place := (s.rank - piece%n + n) % n
		due := s.feedDue(piece, place)
		if s.held[piece] || s.requested[piece] || now.Before(due) || now.Before(s.pausedUntil[piece]) {
			continue
		}
		if s.anyUsable(s.regionHolders[piece], now) {
			continue
		}
		if source, ok := s.feedSource(piece, now.Sub(due), now); ok {
			s.requested[piece] = true
			return Pull{Piece: piece, Source: source}, true
		}
	}
	return Pull{}, false
}

// OtherFeeders returns the ids of the first feeders of a piece in all other
// regions. The agent that brought the piece into this region notifies them at
// once, because a version passes through the regions one after the other, and
// announcements between regions are rare: in a large fleet one every 2 s.
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

// feedDue returns when the agent at a place in the piece's feeder order brings
// the piece into the region. Agents that have not announced any pieces of this
// version may be dead, so the timeout for them is short.
func (s *Swarm) feedDue(piece, place int) time.Time {
	n, due, timeout := len(s.feeders), s.feedStart, s.cfg.LaterRegionTimeout
	if s.chains[piece][0] == s.cfg.Self.Region {
		due, timeout = due.Add(s.originDelay(piece)), s.cfg.FirstRegionTimeout
	}
	for earlier := range place {
		member := s.feederMembers[(piece+earlier)%n]
		if member != noMember && s.members[member].held != nil {
			due = due.Add(timeout)
		} else {
			due = due.Add(silentFeederTimeout)
		}
	}
	if endgameDue := s.endgameStart.Add(time.Duration(place) * endgameFeederTimeout); place > 0 && !s.endgameStart.IsZero() && endgameDue.Before(due) {
		return endgameDue
	}
	return due
}

// SetNarrow tells whether the machine's downlink is narrow. The origin sends whole
// pieces, each of which delays the requests on such a link by a third of a second, so
// that the next agents in feeder order get them.
func (s *Swarm) SetNarrow(narrow bool) { s.narrow = narrow }

// originScheduleShare is the part of the copy time over which the requests to
// the origin are spread. It is less than 1 so that the origin's link is never
// idle.
const originScheduleShare = 0.8

// originDelay returns how long after feedStart the first feeder requests a piece
// from the origin. If all feeders sent their requests at once, they would share
// the origin's link and all pieces would arrive at the end of the copy time (1.3 s
// for 48 pieces at 15 Mbit/s) instead of passing through the regions meanwhile;
// and a large region has more feeders than the origin accepts connections. After
// a failure of the origin only some pieces are missing, so the delay is 0.
func (s *Swarm) originDelay(piece int) time.Duration {
	if s.originFailed {
		return 0
	}
	return time.Duration(originScheduleShare * float64(s.cfg.CopyTime) * float64(piece) / float64(s.cfg.Pieces))
}

// detectEndgame records the start of the endgame. Feeders on slow links are
// alive and have announced pieces, but bring their pieces into the region much
// later than other feeders. Without the shorter timeouts of the endgame, the whole
// region would wait for them.
func (s *Swarm) detectEndgame(now time.Time) {
	if !s.endgameStart.IsZero() || now.Sub(s.endgameCheckedAt) < endgameCheckInterval {
		return
	}
	s.endgameCheckedAt = now
	missing := 0
	for piece := range s.cfg.Pieces {
		if !s.held[piece] && !s.anyUsable(s.regionHolders[piece], now) {
			missing++
		}
	}
	if s.progressAt.IsZero() || missing < s.missingInRegion {
		s.progressAt = now
	}
	s.missingInRegion = missing
	if missing*endgameDivisor < s.cfg.Pieces && now.Sub(s.progressAt) >= endgameStallTimeout {
		s.endgameStart = now
	}
}

// feedSource returns the source from which a feeder gets a piece: an agent of
// another region that holds it, or the origin. It returns false while the feeder
// must wait, either for the previous region in the chain or for the origin after
// a failure.
func (s *Swarm) feedSource(piece int, waited time.Duration, now time.Time) (Source, bool) {
	if member, ok := s.pickUsable(s.outsideHolders[piece], now); ok {
		return Source{Peer: s.members[member].peer}, true
	}
	chain := s.chains[piece]
	if chain[0] != s.cfg.Self.Region && waited < s.cfg.OriginFallbackTimeout {
		return Source{}, false
	}
	if s.narrow && len(s.feeders) > 1 && waited < narrowOriginTimeout {
		return Source{}, false
	}
	return Source{Origin: true}, !now.Before(s.originRetryAt)
}

// NextExchange returns a missing piece that an agent of the region holds: the
// rarer one of two random candidates. If each agent requested the rarest piece,
// all requests would go to the one agent that has just received it (with 33
// agents per region the distribution takes 3 s instead of 2.35 s in the
// simulation). It returns false if there is no such piece now.
func (s *Swarm) NextExchange(now time.Time) (Pull, bool) {
	best, fewest := noMember, 0
	start := s.random.IntN(max(s.cfg.Pieces, 1))
	for i, candidates := 0, 0; i < s.cfg.Pieces && candidates < 2; i++ {
		piece := (start + i) % s.cfg.Pieces
		if s.held[piece] || s.requested[piece] || now.Before(s.pausedUntil[piece]) {
			continue
		}
		holders := s.countUsable(s.regionHolders[piece], now)
		if holders == 0 {
			continue
		}
		candidates++
		if best == noMember || holders < fewest {
			best, fewest = piece, holders
		}
	}
	if best == noMember {
		return Pull{}, false
	}
	member, ok := s.pickUsable(s.regionHolders[best], now)
	if !ok {
		return Pull{}, false
	}
	s.requested[best] = true
	return Pull{Piece: best, Source: Source{Peer: s.members[member].peer}}, true
}

// usable reports whether pieces may be requested from an agent now.
func (s *Swarm) usable(i int, now time.Time) bool { return now.After(s.members[i].avoidUntil) }

func (s *Swarm) anyUsable(holders []int, now time.Time) bool {
	return slices.ContainsFunc(holders, func(member int) bool { return s.usable(member, now) })
}

func (s *Swarm) countUsable(holders []int, now time.Time) int {
	count := 0
	for _, member := range holders {
		if s.usable(member, now) {
			count++
		}
	}
	return count
}

// pickUsable returns a random usable holder.
func (s *Swarm) pickUsable(holders []int, now time.Time) (member int, ok bool) {
	count := s.countUsable(holders, now)
	if count == 0 {
		return 0, false
	}
	skip := s.random.IntN(count)
	for _, member := range holders {
		if !s.usable(member, now) {
			continue
		}
		if skip == 0 {
			return member, true
		}
		skip--
	}
	return 0, false
}

// RecordResult records the outcome of a pull.
func (s *Swarm) RecordResult(p Pull, outcome Outcome, now time.Time) {
	s.requested[p.Piece] = false
	if p.Source.Origin {
		s.recordOriginResult(outcome, now)
	}
	switch outcome {
	case Delivered:
		s.RecordPiece(p.Piece)
	case NotYet, Throttled:
		s.pausedUntil[p.Piece] = now.Add(pieceRetryPause)
	case Refused, Corrupt, NoProgress:
		s.pausedUntil[p.Piece] = now.Add(pieceRetryPause)
		if member, known := s.memberIndex[p.Source.Peer.ID]; !p.Source.Origin && known {
			s.members[member].avoidUntil = now.Add(s.cfg.PeerBackoff)
			// The announced pieces are not available. If the agent is alive, it
			// announces them again.
			s.setHeldBy(member, nil)
		}
	}
}

// recordOriginResult records the outcome of a request to the origin. After a
// failure it restarts the timeouts of the feeder order. Otherwise all agents
// would be due when the origin is available again, and each would fetch a copy.
func (s *Swarm) recordOriginResult(outcome Outcome, now time.Time) {
	if outcome != Refused && outcome != NoProgress {
		s.originFailures = 0
		return
	}
	s.originFailures++
	s.originFailed = true
	pause := min(originRetryPause<<min(s.originFailures-1, 4), maxOriginRetryPause)
	s.originRetryAt = now.Add(pause/2 + time.Duration(s.random.Int64N(int64(pause))))
	s.feedStart = now
	if !s.endgameStart.IsZero() {
		s.endgameStart = now
	}
}
