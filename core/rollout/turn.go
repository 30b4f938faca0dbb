package rollout

import (
	"cmp"
	"slices"
	"time"
)

// TurnConfig bounds how many agents of a region are out of service at once
// while they load a new version.
type TurnConfig struct {
	// MaxUnavailablePercent is the largest percentage of a region's agents that
	// may load at once; the number of agents is rounded up.
	MaxUnavailablePercent int
	// Timeout is how long an agent waits for one predecessor.
	Timeout time.Duration
}

// PredecessorState is the reported or inferred state of a predecessor.
type PredecessorState int

// States of a predecessor.
const (
	// PredecessorPending means that the predecessor has not loaded the version
	// yet.
	PredecessorPending PredecessorState = iota
	// PredecessorDone means that the predecessor serves the version.
	PredecessorDone
	// PredecessorUnavailable means that the predecessor can't be reached, is
	// shutting down or can't load the version, so that it will not reduce the
	// region's capacity by loading.
	PredecessorUnavailable
)

// Turn orders the agents of a region into as many chains as agents may be out
// of service at once. Each agent loads a version after its predecessor in the
// chain serves it. This needs no coordinator: while the peer lists of agents
// differ, the only effect is that an agent takes a neighbouring place.
type Turn struct {
	cfg          TurnConfig
	predecessors []Peer
	waitingSince time.Time
	open         bool
}

// NewTurn returns the turn of self for the version among the region's peers.
// The order depends on the version, so that successive rollouts do not always
// end with the same agents.
func NewTurn(cfg TurnConfig, self Peer, peers []Peer, version string, now time.Time) *Turn {
	region := []Peer{self}
	for _, p := range peers {
		if p.Region == self.Region && p.ID != self.ID {
			region = append(region, p)
		}
	}
	salt := newNode(Peer{ID: version}).hash
	orderHash := func(p Peer) uint64 { return mix(newNode(p).hash ^ salt) }
	slices.SortFunc(region, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(orderHash(a), orderHash(b)), cmp.Compare(a.ID, b.ID))
	})
	chains := max(1, (len(region)*cfg.MaxUnavailablePercent+99)/100)
	rank := slices.IndexFunc(region, func(p Peer) bool { return p.ID == self.ID })
	t := &Turn{cfg: cfg, waitingSince: now}
	for i := rank - chains; i >= 0; i -= chains {
		t.predecessors = append(t.predecessors, region[i])
	}
	t.open = len(t.predecessors) == 0
	return t
}

// Predecessor returns the agent whose state must be queried next. It returns
// false if the turn is open.
func (t *Turn) Predecessor() (Peer, bool) {
	if t.open {
		return Peer{}, false
	}
	return t.predecessors[0], true
}

// RecordPredecessorState records the state of the current predecessor. A
// predecessor that is unavailable or has timed out is replaced by its own
// predecessor.
func (t *Turn) RecordPredecessorState(state PredecessorState, now time.Time) {
	if t.open {
		return
	}
	switch {
	case state == PredecessorDone:
		t.open = true
	case state == PredecessorUnavailable, now.Sub(t.waitingSince) >= t.cfg.Timeout:
		t.predecessors = t.predecessors[1:]
		t.waitingSince = now
		t.open = len(t.predecessors) == 0
	}
}

// Open reports whether the agent may load the version.
func (t *Turn) Open() bool {
	return t.open
}
