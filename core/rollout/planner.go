package rollout

import (
	"time"
)

// Outcome is how an attempt to pull a chunk ended.
type Outcome int

// Outcomes of an attempt.
const (
	// Delivered means that the chunk's hash holds.
	Delivered Outcome = iota
	// NotYet means that the source has no verified chunk so far.
	NotYet
	// Refused means that the source could not be reached or answered with an
	// error.
	Refused
	// Corrupt means that the bytes did not match the hash or the size.
	Corrupt
	// NoProgress means that no bytes came before the deadline.
	NoProgress
	// Throttled means that the source named a time to wait.
	Throttled
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"delivered", "not yet", "refused", "corrupt", "no progress", "throttled"}[o]
}

// PlannerConfig sets the times of a planner.
type PlannerConfig struct {
	// Deadline is how long a source may make no progress.
	Deadline time.Duration
	// SetAside is how long a source is avoided after its first fault; it
	// doubles with each further one.
	SetAside time.Duration
	// MaxSetAside bounds the doubling.
	MaxSetAside time.Duration
	// Seed makes the jitter of agents differ.
	Seed uint64
}

// jitterShare is the largest share by which a time is lengthened at random.
const jitterShare = 0.25

const (
	// sourcePatience is how many NotYet answers make a chunk go on to its
	// next source. Such an answer shows that the source is alive, and with a
	// full window a chunk may be due only after several deadlines; moving on
	// early puts the load of its branch on the ancestors.
	sourcePatience = 6
	// drawSlack lengthens the wait for the origin while some upstream agent
	// still works, since a chunk that is late is not lost.
	drawSlack = 4
)

// attemptShare is the part of the deadline between two attempts for a chunk.
const attemptShare = 32

// Attempt is what to do next for a chunk.
type Attempt struct {
	// Ask says to pull from Source; otherwise to wait until Until.
	Ask    bool
	Source Source
	// Deadline is how long the source may make no progress.
	Deadline time.Duration
	Until    time.Time
}

// sourceState is what the planner knows of one source.
type sourceState struct {
	faults int
	until  time.Time
}

// chunkPlan is the progress of one chunk through its sources.
type chunkPlan struct {
	started time.Time
	cursor  int
	// patience counts the NotYet answers of the current source.
	patience int
	// notBefore bounds the rate of attempts at sources that answer NotYet
	// without waiting.
	notBefore time.Time
	// place is valid for tree only.
	place Placement
	tree  *Tree
}

// Planner picks sources for the chunks that one agent still lacks.
type Planner struct {
	cfg     PlannerConfig
	tree    *Tree
	sources map[string]sourceState
	chunks  map[int]*chunkPlan
	draws   uint64
}

// NewPlanner returns a planner over the tree.
func NewPlanner(cfg PlannerConfig, tree *Tree) *Planner {
	return &Planner{cfg: cfg, tree: tree, sources: map[string]sourceState{}, chunks: map[int]*chunkPlan{}}
}

// SetTree replaces the tree after the list of peers changed. Faults of
// sources that are still listed and the waiting times of chunks are kept.
func (p *Planner) SetTree(tree *Tree) {
	p.tree = tree
	for key := range p.sources {
		if key != "" && !tree.has(key) {
			delete(p.sources, key)
		}
	}
}

// Place returns the agent's place for a chunk.
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
	originAt := p.originAt(plan, now)
	earliest := now.Add(p.cfg.Deadline)
	for range place.Sources {
		source := place.Sources[plan.cursor%len(place.Sources)]
		usable := p.sources[source.key()].until
		if source.Origin && originAt.After(usable) {
			usable = originAt
		}
		if !usable.After(now) {
			return Attempt{Ask: true, Source: source, Deadline: p.deadline(source, originAt, now)}
		}
		if usable.Before(earliest) {
			earliest = usable
		}
		plan.cursor++
	}
	return Attempt{Until: earliest}
}

// originAt returns when the agent may draw a chunk from the origin. Its turn
// comes early when all agents that should have had the chunk before it fail.
func (p *Planner) originAt(plan *chunkPlan, now time.Time) time.Time {
	wait := time.Duration(plan.place.DrawRank) * p.cfg.Deadline
	if plan.place.Hedge {
		return plan.started.Add(p.cfg.Deadline)
	}
	for _, source := range plan.place.Sources[:plan.place.Upstream] {
		if !p.sources[source.key()].until.After(now) {
			return plan.started.Add(wait * drawSlack)
		}
	}
	return plan.started.Add(wait)
}

// deadline returns how long a source may make no progress. It ends early
// when this agent's turn at the origin comes, so that the wait for a peer
// that never gets the chunk does not delay the draw.
func (p *Planner) deadline(source Source, originAt, now time.Time) time.Duration {
	d := p.jitter(p.cfg.Deadline)
	if left := originAt.Sub(now); !source.Origin && left > 0 {
		d = min(d, max(left, p.cfg.Deadline/Fanout))
	}
	return d
}

// Result records how an attempt ended. retryAfter is used for Throttled only.
func (p *Planner) Result(chunk int, source Source, outcome Outcome, retryAfter time.Duration, now time.Time) {
	state := p.sources[source.key()]
	switch outcome {
	case Delivered:
		delete(p.chunks, chunk)
		delete(p.sources, source.key())
		return
	case Refused, Corrupt, NoProgress:
		state.until = now.Add(p.jitter(min(p.cfg.SetAside<<min(state.faults, 16), p.cfg.MaxSetAside)))
		state.faults++
	case Throttled:
		// A source's Retry-After is a lower bound for the wait.
		state.until = now.Add(p.jitter(max(retryAfter, p.cfg.Deadline/Fanout)))
	}
	p.sources[source.key()] = state
	if plan := p.chunks[chunk]; plan != nil {
		plan.patience++
		if outcome != NotYet || plan.patience >= sourcePatience {
			plan.cursor++
			plan.patience = 0
		}
		plan.notBefore = now.Add(p.jitter(p.cfg.Deadline / attemptShare))
	}
}

// jitter lengthens d by up to jitterShare.
func (p *Planner) jitter(d time.Duration) time.Duration {
	p.draws++
	share := float64(mix(p.cfg.Seed^mix(p.draws))>>11) / (1 << 53)
	return d + time.Duration(share*jitterShare*float64(d))
}
