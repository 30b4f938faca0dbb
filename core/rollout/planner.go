package rollout

import (
	"time"
)

// Outcome is the result of an attempt to fetch a chunk.
type Outcome int

// Outcomes of an attempt.
const (
	// Delivered means that the chunk arrived and its hash matches.
	Delivered Outcome = iota
	// NotYet means that the source does not have the verified chunk yet.
	NotYet
	// Refused means that the source could not be reached or answered with an
	// error.
	Refused
	// Corrupt means that the received bytes did not match the hash or the size.
	Corrupt
	// NoProgress means that no bytes arrived before the deadline.
	NoProgress
	// Throttled means that the source asked to retry later.
	Throttled
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"delivered", "not yet", "refused", "corrupt", "no progress", "throttled"}[o]
}

// PlannerConfig configures a Planner.
type PlannerConfig struct {
	// Deadline is how long a source may make no progress.
	Deadline time.Duration
	// FaultBackoff is how long a source is avoided after its first fault. The time
	// doubles with each further fault.
	FaultBackoff time.Duration
	// MaxFaultBackoff is the upper bound of the doubled time.
	MaxFaultBackoff time.Duration
	// Seed seeds the jitter, which must differ between agents.
	Seed uint64
}

// maxJitterShare is the largest part of a duration that jitter adds to it.
const maxJitterShare = 0.25

const (
	// maxNotYetAnswers is the number of NotYet answers after which a chunk is
	// requested from its next source. A source that answers NotYet is alive,
	// and with a full window a chunk may arrive there only after several
	// deadlines. Changing the source earlier would shift the load of a branch
	// to its ancestors.
	maxNotYetAnswers = 6
	// originWaitFactor multiplies the wait for the origin while at least one
	// upstream agent is usable, because the chunk is late but not lost.
	originWaitFactor = 4
)

// attemptPauseDivisor divides the deadline into the pause between two attempts
// for a chunk.
const attemptPauseDivisor = 32

// Attempt is the next step for a chunk: a request to a source or a pause.
type Attempt struct {
	// Ask means to request the chunk from Source. If it is false, the caller
	// waits until Until.
	Ask    bool
	Source Source
	// Deadline is how long the source may make no progress.
	Deadline time.Duration
	Until    time.Time
}

// sourceState is the fault history of one source.
type sourceState struct {
	faults     int
	avoidUntil time.Time
}

// chunkPlan is the progress of one chunk through its sources.
type chunkPlan struct {
	started     time.Time
	sourceIndex int
	// notYetAnswers counts the NotYet answers of the current source.
	notYetAnswers int
	// notBefore bounds the rate of attempts at sources that answer NotYet
	// without waiting.
	notBefore time.Time
	// place is the agent's placement in tree.
	place Placement
	tree  *Tree
}

// Planner picks sources for the chunks that one agent is missing.
type Planner struct {
	cfg         PlannerConfig
	tree        *Tree
	sources     map[string]sourceState
	chunks      map[int]*chunkPlan
	jitterCount uint64
}

// NewPlanner returns a planner over the tree.
func NewPlanner(cfg PlannerConfig, tree *Tree) *Planner {
	return &Planner{cfg: cfg, tree: tree, sources: map[string]sourceState{}, chunks: map[int]*chunkPlan{}}
}

// SetTree replaces the tree after the list of peers changed. It keeps the
// faults of sources that are still listed and the waiting times of chunks.
func (p *Planner) SetTree(tree *Tree) {
	p.tree = tree
	for key := range p.sources {
		if key != "" && !tree.contains(key) {
			delete(p.sources, key)
		}
	}
}

// Place returns the agent's placement for a chunk.
func (p *Planner) Place(chunk int) Placement {
	return p.tree.Place(chunk)
}

// Next returns the next attempt for a chunk.
func (p *Planner) Next(chunk int, now time.Time) Attempt {
	plan := p.chunks[chunk]
	if plan == nil {
		plan = &chunkPlan{started: now}
		p.chunks[chunk] = plan
	}
	if now.Before(plan.notBefore) {
		return Attempt{Until: plan.notBefore}
	}
	if plan.tree != p.tree {
		plan.tree, plan.place = p.tree, p.tree.Place(chunk)
	}
	place := plan.place
	originDueAt := p.originDueAt(plan, now)
	earliest := now.Add(p.cfg.Deadline)
	for range place.Sources {
		source := place.Sources[plan.sourceIndex%len(place.Sources)]
		usable := p.sources[source.key()].avoidUntil
		if source.Origin && originDueAt.After(usable) {
			usable = originDueAt
		}
		if !usable.After(now) {
			return Attempt{Ask: true, Source: source, Deadline: p.deadline(source, originDueAt, now)}
		}
		if usable.Before(earliest) {
			earliest = usable
		}
		plan.sourceIndex++
	}
	return Attempt{Until: earliest}
}

// originDueAt returns the time from which the agent may fetch a chunk from the
// origin. The time is earlier when all upstream agents have failed.
func (p *Planner) originDueAt(plan *chunkPlan, now time.Time) time.Time {
	wait := time.Duration(plan.place.OriginRank) * p.cfg.Deadline
	if plan.place.Hedge {
		return plan.started.Add(p.cfg.Deadline)
	}
	for _, source := range plan.place.Sources[:plan.place.Upstream] {
		if !p.sources[source.key()].avoidUntil.After(now) {
			return plan.started.Add(wait * originWaitFactor)
		}
	}
	return plan.started.Add(wait)
}

// deadline returns how long a source may make no progress. The deadline of a
// peer is shortened to originDueAt, so that waiting for a peer that never gets
// the chunk does not delay the fetch from the origin.
func (p *Planner) deadline(source Source, originDueAt, now time.Time) time.Duration {
	d := p.jitter(p.cfg.Deadline)
	if untilOrigin := originDueAt.Sub(now); !source.Origin && untilOrigin > 0 {
		d = min(d, max(untilOrigin, p.cfg.Deadline/Fanout))
	}
	return d
}

// RecordResult records the outcome of an attempt. It uses retryAfter for Throttled
// only.
func (p *Planner) RecordResult(chunk int, source Source, outcome Outcome, retryAfter time.Duration, now time.Time) {
	state := p.sources[source.key()]
	switch outcome {
	case Delivered:
		delete(p.chunks, chunk)
		delete(p.sources, source.key())
		return
	case Refused, Corrupt, NoProgress:
		state.avoidUntil = now.Add(p.jitter(min(p.cfg.FaultBackoff<<min(state.faults, 16), p.cfg.MaxFaultBackoff)))
		state.faults++
	case Throttled:
		// A source's Retry-After is a lower bound for the wait.
		state.avoidUntil = now.Add(p.jitter(max(retryAfter, p.cfg.Deadline/Fanout)))
	}
	p.sources[source.key()] = state
	if plan := p.chunks[chunk]; plan != nil {
		plan.notYetAnswers++
		if outcome != NotYet || plan.notYetAnswers >= maxNotYetAnswers {
			plan.sourceIndex++
			plan.notYetAnswers = 0
		}
		plan.notBefore = now.Add(p.jitter(p.cfg.Deadline / attemptPauseDivisor))
	}
}

// jitter returns d extended at random by up to maxJitterShare of d.
func (p *Planner) jitter(d time.Duration) time.Duration {
	p.jitterCount++
	share := float64(mix(p.cfg.Seed^mix(p.jitterCount))>>11) / (1 << 53)
	return d + time.Duration(share*maxJitterShare*float64(d))
}
