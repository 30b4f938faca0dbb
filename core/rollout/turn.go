package rollout

import (
	"cmp"
	"slices"
	"time"
)

// TurnConfig bounds how many agents of a region are out of service at once
// while they load a new version.
type TurnConfig struct {
	// MaxUnavailablePercent is the share of a region's agents, rounded up.
	MaxUnavailablePercent int
	// Timeout is how long one predecessor may hold up its successors.
	Timeout time.Duration
}

// PredecessorState is what a predecessor says of itself.
type PredecessorState int

// States of a predecessor.
const (
	// PredecessorPending means that it has not loaded the version yet.
	PredecessorPending PredecessorState = iota
	// PredecessorDone means that it serves the version.
	PredecessorDone
	// PredecessorGone means that it can't be reached, is leaving or can't
	// load the version, so that it takes no capacity away by loading.
	PredecessorGone
)

// Turn orders the agents of a region into chains, as many as may be out of
// service at once. Each agent loads a version after its predecessor in the
// chain serves it. This needs no coordinator: lists that differ for a while
// only shift an agent to a neighbouring place.
type Turn struct {
	cfg          TurnConfig
	predecessors []Peer
	since        time.Time
	open         bool
}

// NewTurn returns the turn of self for the version among the region's peers.
// The version enters the order, so that the last agents of one rollout are
// not the last of all.
func NewTurn(cfg TurnConfig, self Peer, peers []Peer, version string, now time.Time) *Turn {
	region := []Peer{self}
	for _, p := range peers {
		if p.Region == self.Region && p.ID != self.ID {
			region = append(region, p)
		}
	}
	salt := newNode(Peer{ID: version}).hash
	place := func(p Peer) uint64 { return mix(newNode(p).hash ^ salt) }
	slices.SortFunc(region, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(place(a), place(b)), cmp.Compare(a.ID, b.ID))
	})
	chains := max(1, (len(region)*cfg.MaxUnavailablePercent+99)/100)
	rank := slices.IndexFunc(region, func(p Peer) bool { return p.ID == self.ID })
	t := &Turn{cfg: cfg, since: now}
	for i := rank - chains; i >= 0; i -= chains {
		t.predecessors = append(t.predecessors, region[i])
	}
	t.open = len(t.predecessors) == 0
	return t
}

// Predecessor returns the agent to ask next, if the turn is not open.
func (t *Turn) Predecessor() (Peer, bool) {
	if t.open {
		return Peer{}, false
	}
	return t.predecessors[0], true
}

// Says takes the state of the current predecessor. A predecessor that is
// gone hands the place over to its own predecessor.
func (t *Turn) Says(state PredecessorState, now time.Time) {
	if t.open {
		return
	}
	switch {
	case state == PredecessorDone:
		t.open = true
	case state == PredecessorGone, now.Sub(t.since) >= t.cfg.Timeout:
		t.predecessors = t.predecessors[1:]
		t.since = now
		t.open = len(t.predecessors) == 0
	}
}

// Open reports whether the agent may load the version.
func (t *Turn) Open() bool {
	return t.open
}
