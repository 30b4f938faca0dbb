// Package stager brings the engine on an agent's machine to the weight version
// that the operator named: it fetches the pieces, mostly from other agents,
// stages them beside the engine, checks them again and orders the engine to
// load them. It also reports the engine's load to the entries.
package stager

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/rollout"
	"github.com/laburnumloft/laburnumloft/node/decision"
)

// Errors of engines and origins.
var (
	// ErrBusy means that the engine takes no order now.
	ErrBusy = eris.New("the engine takes no order now")
	// ErrLost means that the engine stopped or didn't load in time.
	ErrLost = eris.New("the engine did not load the version")
	// ErrNoPiece means that a source doesn't hold the piece.
	ErrNoPiece = eris.New("the source doesn't hold the piece")
	// ErrSpoilt means that bytes don't match their digest.
	ErrSpoilt = eris.New("the bytes don't match the digest")
	// ErrMoved means that another version is wanted by now.
	ErrMoved = eris.New("another version is wanted")
)

// Manifest lists the digests of a version's pieces.
type Manifest struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	// PieceBytes is the size of a piece; 0 is unknown.
	PieceBytes int64 `json:"piece_bytes,omitempty"`
	// Digests are the SHA-256 of the pieces in hexadecimal.
	Digests []string `json:"digests"`
}

// EngineState is what the engine says of itself.
type EngineState struct {
	Running, Queued int
	// Version is that of its whole weights; 0 is none.
	Version int64
	// Busy says that an order is in progress.
	Busy bool
	Pace float64
	Born int64
}

// Engine is the engine on this machine.
type Engine interface {
	State(ctx context.Context) (EngineState, error)
	Held(ctx context.Context, model string) ([]int, error)
	Put(ctx context.Context, model string, number int, data []byte) error
	Get(ctx context.Context, model string, number int) ([]byte, error)
	// Load orders the engine to load the staged pieces.
	Load(ctx context.Context, model string, version int64) error
}

// Origin is the origin of weights. Version 0 means the newest.
type Origin interface {
	Manifest(ctx context.Context, model string, version int64) (*Manifest, error)
	Piece(ctx context.Context, model string, version int64, number int) ([]byte, error)
}

// Target is what the engine is to run.
type Target struct {
	Model string
	// Version is 0 until the operator named one.
	Version int64
	// Learnt is when each version became known here.
	Learnt map[int64]time.Time
	// Origin and OriginRegion are empty until the configuration is known.
	Origin       string
	OriginRegion string
	// OriginMbps is the origin's link in Mbit/s; 0 is unknown.
	OriginMbps float64
}

// copyTime returns how long the origin's link takes for a copy of a version, or
// 0 if that is unknown.
func (t Target) copyTime(m *Manifest) time.Duration {
	if t.OriginMbps <= 0 {
		return 0
	}
	bits := float64(m.PieceBytes) * float64(len(m.Digests)) * 8
	return time.Duration(bits / (t.OriginMbps * 1e6) * float64(time.Second))
}

// Config sets up a Stager.
type Config struct {
	Self    rollout.Peer
	Address string
	Engine  Engine
	// NewOrigin returns the client of an origin.
	NewOrigin func(address string) Origin
	// Peers are the other agents.
	Peers func() []rollout.Peer
	// Report sends the engine's load to the entries.
	Report func(r placement.Report)
	Log    *decision.Log
	// Announce tells other agents which pieces are here.
	Announce func(version int64, pieces []bool, to Audience)
	// Publish makes a manifest known to agents that start later; nil if that
	// isn't possible. It must not block.
	Publish func(*Manifest)
	// LinkMbps is the machine's link in Mbit/s; 0 is unknown.
	LinkMbps float64
	// Bootstrap says that the whole system starts for the first time. Engines
	// hold weights then.
	Bootstrap bool
	// Within is the time in which a named version must be in use.
	Within time.Duration
}

const (
	// reportEvery is the time between two reports of the load. An engine of a
	// large fleet gets one or two requests in it, so that the choice between two
	// engines is hardly older than the load.
	reportEvery = 200 * time.Millisecond
	// engineTimeout bounds a call to the engine on the same machine.
	engineTimeout = time.Second
	// stateTimeout bounds a question for the engine's state; it answers in
	// milliseconds or, when it hangs, not at all.
	stateTimeout = 300 * time.Millisecond
	// stepPause is the time after which work that waits looks again.
	stepPause = 50 * time.Millisecond
	// idlePause is that time while the engine runs its target; a change ends it.
	idlePause = 500 * time.Millisecond
	// failurePause is the time after a failed step.
	failurePause = 200 * time.Millisecond
	// downAfter is how many calls in a row fail before the engine counts as
	// down.
	downAfter = 2
)

// Stager brings one engine to its target.
type Stager struct {
	cfg   Config
	store *pieceStore
	peers *peerClient
	// uplink and downlink pace the pieces; uploads are the places for those
	// on their way from here, queued counts the ones that wait for a place.
	uplink, downlink *pace
	uploads          chan struct{}
	link             *narrowLink
	queued           atomic.Int32
	// fetchWork and loadWork end the pauses of the fetcher and the loader.
	fetchWork, loadWork chan struct{}
	// news says that there is something to announce.
	news chan struct{}

	mu      sync.Mutex
	target  Target
	state   EngineState
	seen    bool
	down    bool
	failed  int
	loading bool
	origin  Origin
	// heldBy is what other agents hold, told what they were told of this one.
	heldBy     map[string]heldPieces
	heldNumber uint64
	told       told
	// toldAll is when the whole region was told last; the announcer's only.
	toldAll time.Time
	// counted is how many other agents there were at countedAt.
	counted   int
	countedAt time.Time
	// published are manifests that other agents published, by model.
	published map[string]*Manifest
	// reported is the last report.
	reported placement.Report
	// manifestDue is when the manifest of a version that the engine ran before
	// is fetched.
	manifestDue time.Time
}

// New returns a stager without target.
func New(cfg Config) *Stager {
	return &Stager{
		cfg: cfg, store: newPieceStore(), peers: newPeerClient(), fetchWork: make(chan struct{}, 1), loadWork: make(chan struct{}, 1),
		uplink: newPace(cfg.LinkMbps), downlink: newPace(cfg.LinkMbps), uploads: make(chan struct{}, activeUploads),
		link: newNarrowLink(cfg.LinkMbps),
		news: make(chan struct{}, 1), heldBy: map[string]heldPieces{}, published: map[string]*Manifest{},
		manifestDue: time.Now().Add(rand.N(manifestSpread)),
	}
}

// SetTarget changes what the engine is to run. A version never goes back.
func (s *Stager) SetTarget(t Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.Model == "" || t.Model == s.target.Model && t.Version <= s.target.Version && t.Origin == s.target.Origin {
		return
	}
	if t.Model == s.target.Model && t.Version <= s.target.Version {
		t.Version = s.target.Version
	}
	if t.Origin != s.target.Origin && t.Origin != "" {
		s.origin = s.cfg.NewOrigin(t.Origin)
	}
	s.target = t
	s.cfg.Log.Event("target_taken", "model", t.Model, "version", t.Version, "origin", t.Origin)
	s.wakeUp()
}

// wakeUp lets the fetcher and the loader look for work at once.
func (s *Stager) wakeUp() {
	for _, work := range []chan struct{}{s.fetchWork, s.loadWork} {
		select {
		case work <- struct{}{}:
		default:
		}
	}
}

// await returns when there may be work, after a pause, or with the error of ctx.
func await(ctx context.Context, work <-chan struct{}, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-work:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// settled reports whether the engine runs its target, so that there is no work
// until something changes.
func (s *Stager) settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Version > 0 && s.target.Version <= s.state.Version
}

// lookPause is the time after which the fetcher and the loader look again.
func (s *Stager) lookPause() time.Duration {
	if s.settled() {
		return idlePause
	}
	return stepPause
}

// Run reports and works until ctx ends.
func (s *Stager) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { s.watch(ctx) })
	wait.Go(func() { s.fetcher(ctx) })
	wait.Go(func() { s.loader(ctx) })
	wait.Go(func() { s.announcer(ctx) })
	wait.Wait()
}

// watch asks the engine for its state and reports it.
func (s *Stager) watch(ctx context.Context) {
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	for {
		s.look(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Stager) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := s.cfg.Engine.State(ctx)
	s.mu.Lock()
	if err != nil {
		s.failed++
		if s.failed == downAfter {
			s.down = true
			s.cfg.Log.Event("engine_down", "cause", err.Error())
		}
	} else {
		if s.down || !s.seen || s.state.Born != state.Born || s.state.Version != state.Version {
			s.cfg.Log.Event("engine_state", "weights", state.Version, "born", state.Born, "running", state.Running, "queued", state.Queued, "busy", state.Busy)
		}
		s.failed, s.down, s.seen, s.state = 0, false, true, state
	}
	report := placement.Report{
		Address: s.cfg.Address, Running: s.state.Running, Queued: s.state.Queued, WeightVersion: s.state.Version,
		Loading: s.loading || s.state.Busy, Down: s.down, Slowdown: s.state.Pace, Born: s.state.Born,
	}
	seen := s.seen || s.down
	if seen {
		report = s.numbered(report)
	}
	s.mu.Unlock()
	if !seen {
		return
	}
	s.cfg.Report(report)
	if report.Changed {
		s.wakeUp()
	}
}

// numbered gives a report its number and marks a change of what the engine can
// serve. The caller holds the lock.
func (s *Stager) numbered(r placement.Report) placement.Report {
	last := s.reported
	r.Sequence = last.Sequence + 1
	r.Changed = last.Sequence == 0 || r.WeightVersion != last.WeightVersion || r.Loading != last.Loading || r.Down != last.Down || r.Born != last.Born
	s.reported = r
	return r
}

// known returns the target, its origin, the engine's state and whether the
// engine answers.
func (s *Stager) known() (target Target, origin Origin, state EngineState, up bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.target, s.origin, s.state, s.seen && !s.down
}

func (s *Stager) setLoading(loading bool) {
	s.mu.Lock()
	s.loading = loading
	s.mu.Unlock()
}
