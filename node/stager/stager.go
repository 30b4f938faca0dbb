// Package stager updates the engine on an agent's machine to the weight version
// that the operator published: it fetches the pieces, mostly from other agents,
// stages them at the engine, verifies them again and orders the engine to load
// them. It also reports the engine's load to the entries.
package stager

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/backpressure"
	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/rollout"
	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

// Errors of engines and origins.
var (
	// ErrEngineBusy means that the engine is busy and refused the load order.
	ErrEngineBusy = eris.New("the engine is busy and refused the load order")
	// ErrLoadFailed means that the engine went down, restarted or did not load
	// the version within loadTimeout.
	ErrLoadFailed = eris.New("the engine went down, restarted or did not load the version in time")
	// ErrNoPiece means that the source does not hold the piece or manifest.
	ErrNoPiece = eris.New("the source does not hold the piece or manifest")
	// ErrDigestMismatch means that a piece does not match its digest, or that a
	// manifest is malformed.
	ErrDigestMismatch = eris.New("the bytes do not match the digest")
	// ErrPieceCount means that a manifest does not list the number of pieces that the
	// configuration names.
	ErrPieceCount = eris.New("the manifest does not list the configured number of pieces")
	// ErrUnconfirmed means that a manifest can't be checked and that no second source has
	// given the same one yet.
	ErrUnconfirmed = eris.New("no second source has given the same manifest yet")
	// ErrChecksExpired means that the engine reads staged pieces back too slowly: the
	// first checks expired before the last ones were done.
	ErrChecksExpired = eris.New("checks of staged pieces expired before all were done")
	// ErrOrderTooLate means that a load order was not sent because the checks that it
	// rests on had expired.
	ErrOrderTooLate = eris.New("the checks of the staged pieces expired before the order was sent")
	// ErrSuperseded means that another version became loadable, or that the
	// pieces of the version were evicted.
	ErrSuperseded = eris.New("the version was superseded by another one")
)

// Manifest lists the digests of a version's pieces.
type Manifest struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	// PieceBytes is the size of a piece; 0 means unknown.
	PieceBytes int64 `json:"piece_bytes,omitempty"`
	// Digests are the SHA-256 digests of the pieces in hexadecimal.
	Digests []string `json:"digests"`
}

// MemoryUnreadable is the EngineState.MemoryShare of figures that make no sense.
const MemoryUnreadable = -1

// EngineState is the state that the engine reports.
type EngineState struct {
	Running, Queued int
	// Version is the version of the engine's weights if it holds all of them,
	// else 0.
	Version int64
	// Busy means that a load order is in progress.
	Busy bool
	// Slowdown is the factor by which the engine is slower than normal.
	Slowdown float64
	// MemoryShare is the part of its memory for requests that is in use, from 0 to 1; 0
	// also means unknown, and MemoryUnreadable that the engine's figures make no sense.
	MemoryShare float64
	// StartTime is the start time of the server instance; it changes at a restart.
	StartTime int64
	// Signals is what the engine says about itself with its state.
	Signals backpressure.Signals
}

// Engine is the engine on this machine.
type Engine interface {
	State(ctx context.Context) (EngineState, error)
	// StagedPieces returns the numbers of the staged pieces of a model.
	StagedPieces(ctx context.Context, model string) ([]int, error)
	// Put stages a piece; Get reads a staged piece back.
	Put(ctx context.Context, model string, number int, data []byte) error
	Get(ctx context.Context, model string, number int) ([]byte, error)
	// Load orders the engine to load the staged pieces. It must not send the order
	// after a time on the boot-time clock, and returns ErrOrderTooLate instead.
	Load(ctx context.Context, model string, version int64, before time.Time) error
}

// Origin is the origin of weights. Version 0 means the newest.
type Origin interface {
	Manifest(ctx context.Context, model string, version int64) (*Manifest, error)
	Piece(ctx context.Context, model string, version int64, number int) ([]byte, error)
}

// Target is the model and version that the engine has to run.
type Target struct {
	Model string
	// Version is 0 until a version is published.
	Version int64
	// Pieces is the number of pieces of a version; 0 means unknown.
	Pieces int
	// PieceBytes is the size of a piece in bytes; 0 means unknown.
	PieceBytes int64
	// KnownSince is the time on the boot-time clock at which each version became
	// known to this agent.
	KnownSince map[int64]time.Time
	// Origin and OriginRegion are empty until the configuration is known.
	Origin       string
	OriginRegion string
	// OriginMbps is the rate of the origin's link in Mbit/s; 0 means unknown.
	OriginMbps float64
}

// copyTime returns how long the origin needs to send one copy of a version, or 0
// if the rate of its link or the size of a piece is unknown. No digest covers the size that
// a manifest names, so that it counts only if the configuration names none.
func (t Target) copyTime(m *Manifest) time.Duration {
	pieceBytes := t.PieceBytes
	if pieceBytes == 0 && m.PieceBytes <= maxPieceBytes {
		pieceBytes = m.PieceBytes
	}
	if t.OriginMbps <= 0 || pieceBytes <= 0 {
		return 0
	}
	bits := float64(pieceBytes) * float64(len(m.Digests)) * 8
	return time.Duration(bits / (t.OriginMbps * 1e6) * float64(time.Second))
}

// Config sets up a Stager.
type Config struct {
	Self    rollout.Peer
	Address string
	Engine  Engine
	// NewOrigin returns the client of an origin.
	NewOrigin func(address string) Origin
	// Peers returns the other agents.
	Peers func() []rollout.Peer
	// Report sends the engine's load to the entries.
	Report func(r placement.Report)
	// Notify tells the entries what the engine says about itself; nil disables it.
	Notify func(backpressure.Notice)
	Log    *decision.Log
	// Announce announces to other agents which pieces this agent holds.
	Announce func(version int64, pieces []bool, to Audience)
	// Publish makes a manifest available to agents that start later. It must not
	// block; nil disables it.
	Publish func(*Manifest)
	// LinkMbps is the rate of the machine's link in Mbit/s; 0 means unknown.
	LinkMbps float64
	// Bootstrap means that the whole system starts for the first time. Engines
	// then start with weights.
	Bootstrap bool
	// AdoptionTimeout is the time within which a published version must be in use.
	AdoptionTimeout time.Duration
}

const (
	// reportInterval is the time between two load reports. An engine of a large
	// fleet gets one or two requests in this time, so entries choose between two
	// engines by nearly current load.
	reportInterval = 200 * time.Millisecond
	// engineTimeout is the timeout of a call to the engine on the same machine.
	engineTimeout = time.Second
	// stateTimeout is the timeout of a request for the engine's state. An engine
	// answers within milliseconds or, if it hangs, not at all.
	stateTimeout = 300 * time.Millisecond
	// pollInterval is the time between two checks for work.
	pollInterval = 50 * time.Millisecond
	// idlePollInterval replaces pollInterval while the engine runs its target. A
	// change triggers a check at once.
	idlePollInterval = 500 * time.Millisecond
	// failureDelay is the delay after a failed fetch or load.
	failureDelay = 200 * time.Millisecond
	// failuresUntilDown is the number of consecutive failed calls after which
	// the engine counts as down.
	failuresUntilDown = 2
)

// Stager updates one engine to its target.
type Stager struct {
	cfg   Config
	store *pieceStore
	peers *peerClient
	// uplink and downlink limit the rate of the pieces. uploadSlots holds an
	// element for each upload in progress; queuedUploads counts the uploads that
	// wait for a slot.
	uplink, downlink *linkLimiter
	uploadSlots      chan struct{}
	link             *linkMonitor
	incoming         *incomingPieces
	queuedUploads    atomic.Int32
	// fetchWork and loadWork wake up the fetcher and the loader.
	fetchWork, loadWork chan struct{}
	// announceRequests signals that there are pieces to announce.
	announceRequests chan struct{}

	mu          sync.Mutex
	target      Target
	state       EngineState
	stateKnown  bool
	down        bool
	failedCalls int
	loading     bool
	origin      Origin
	// announcements are the peers' announcements by peer ID, lastAnnounced the
	// times of this agent's own announcements.
	announcements        map[string]peerAnnouncements
	announcementSequence uint64
	lastAnnounced        announceTimes
	// lastRegionBroadcast is the time of the last announcement to the whole
	// region. Only the announcer goroutine uses it.
	lastRegionBroadcast time.Time
	// cachedPeerCount is the number of other agents at peerCountTime.
	cachedPeerCount int
	peerCountTime   time.Time
	// publishedManifests are the manifests that other agents published, by
	// model.
	publishedManifests map[string]*Manifest
	// unconfirmed holds the manifests that can't be checked, until two sources agree.
	unconfirmed rollout.ListAgreement
	// lastReport is the last report sent to the entries.
	lastReport placement.Report
	// nextManifestFetch is the time of the next attempt to fetch the manifest of
	// a version that the engine was already running.
	nextManifestFetch time.Time
	// checksExpired means that the last checks of staged pieces failed or took too long.
	// Only the loader goroutine uses it.
	checksExpired bool
	// signals is what the engine said about itself; notifiedAt is when the entries
	// were last told. Only the monitor goroutine uses them.
	signals    *backpressure.Tracker
	notifiedAt time.Time
}

// New returns a stager without a target.
func New(cfg Config) *Stager {
	cfg.Engine = quietEngine{cfg.Engine, &quietTime{log: cfg.Log, server: cfg.Address}}
	return &Stager{
		cfg: cfg, store: newPieceStore(), peers: newPeerClient(), fetchWork: make(chan struct{}, 1), loadWork: make(chan struct{}, 1),
		uplink: newLinkLimiter(cfg.LinkMbps), downlink: newLinkLimiter(cfg.LinkMbps), uploadSlots: make(chan struct{}, maxActiveUploads),
		link:             newLinkMonitor(cfg.LinkMbps),
		incoming:         newIncomingPieces(cfg.LinkMbps),
		announceRequests: make(chan struct{}, 1), announcements: map[string]peerAnnouncements{}, publishedManifests: map[string]*Manifest{},
		nextManifestFetch: time.Now().Add(rand.N(manifestJitter)), signals: backpressure.NewTracker(),
	}
}

// SetTarget changes the target. The version of a model never decreases.
func (s *Stager) SetTarget(t Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.Model == "" || t.Model == s.target.Model && t.Version <= s.target.Version && t.Origin == s.target.Origin &&
		t.Pieces == s.target.Pieces && t.PieceBytes == s.target.PieceBytes {
		return
	}
	if t.Model == s.target.Model && t.Version <= s.target.Version {
		t.Version = s.target.Version
	}
	if t.Origin != s.target.Origin && t.Origin != "" {
		s.origin = quietOrigin{s.cfg.NewOrigin(t.Origin), &quietTime{log: s.cfg.Log, server: t.Origin}}
	}
	s.target = t
	s.store.setPieceCount(t.Model, t.Pieces)
	s.cfg.Log.Event("target_taken", "model", t.Model, "version", t.Version, "origin", t.Origin, "pieces", t.Pieces)
	s.wakeUp()
}

// wakeUp makes the fetcher and the loader check for work at once.
func (s *Stager) wakeUp() {
	for _, work := range []chan struct{}{s.fetchWork, s.loadWork} {
		select {
		case work <- struct{}{}:
		default:
		}
	}
}

// awaitWork returns when there may be work, after the pause, or with the error of
// ctx if ctx ends.
func awaitWork(ctx context.Context, work <-chan struct{}, pause time.Duration) error {
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

// atTarget reports whether the engine runs its target, so that there is no work
// until the target or the engine changes.
func (s *Stager) atTarget() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Version > 0 && s.target.Version <= s.state.Version
}

// pollPause returns the time until the fetcher and the loader check for work
// again.
func (s *Stager) pollPause() time.Duration {
	if s.atTarget() {
		return idlePollInterval
	}
	return pollInterval
}

// Run reports the engine's load and updates the engine until ctx ends.
func (s *Stager) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { s.monitorEngine(ctx) })
	wait.Go(func() { s.runFetcher(ctx) })
	wait.Go(func() { s.runLoader(ctx) })
	wait.Go(func() { s.runAnnouncer(ctx) })
	wait.Wait()
}

// monitorEngine polls and reports the engine's state until ctx ends.
func (s *Stager) monitorEngine(ctx context.Context) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		s.pollEngine(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// pollEngine requests the engine's state once and reports it to the entries. It
// reports nothing until the engine has answered or counts as down.
func (s *Stager) pollEngine(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	sentAt := bootclock.Now()
	state, err := s.cfg.Engine.State(ctx)
	if err == nil {
		s.observeSignals(state, sentAt)
	}
	var refused *RefusedError
	s.mu.Lock()
	// An engine that wants no calls for a while is not down: what it last said stays.
	quiet := errors.Is(err, ErrQuiet) || errors.As(err, &refused)
	if err != nil && !quiet {
		s.failedCalls++
		if s.failedCalls == failuresUntilDown {
			s.down = true
			s.cfg.Log.Event("engine_down", "cause", err.Error())
		}
	} else if err == nil {
		if s.down || !s.stateKnown || s.state.StartTime != state.StartTime || s.state.Version != state.Version {
			s.cfg.Log.Event("engine_state", "weights", state.Version, "born", state.StartTime, "running", state.Running, "queued", state.Queued, "busy", state.Busy)
		}
		if state.MemoryShare == MemoryUnreadable && s.state.MemoryShare != MemoryUnreadable {
			s.cfg.Log.Event("engine_memory_unreadable", "kept", "estimate by requests")
		}
		s.failedCalls, s.down, s.stateKnown, s.state = 0, false, true, state
	}
	report := placement.Report{
		Address: s.cfg.Address, Running: s.state.Running, Queued: s.state.Queued, WeightVersion: s.state.Version,
		Loading: s.loading || s.state.Busy, Down: s.down, Slowdown: s.state.Slowdown, Born: s.state.StartTime,
		MemoryShare: max(0, s.state.MemoryShare),
	}
	stateKnown := s.stateKnown || s.down
	if stateKnown {
		report = s.sequenced(report)
	}
	s.mu.Unlock()
	if !stateKnown {
		return
	}
	s.cfg.Report(report)
	if report.Changed {
		s.wakeUp()
	}
}

// notifyInterval is the time between two notices of what the engine says about itself,
// for entries that missed the first one.
const notifyInterval = time.Second

// observeSignals tells the entries what the engine says about itself.
func (s *Stager) observeSignals(state EngineState, sentAt time.Time) {
	now := bootclock.Now()
	server := backpressure.Server{ID: s.cfg.Address, Born: state.StartTime}
	changes := s.signals.Observe(server, state.Signals, sentAt, now)
	for _, c := range changes {
		s.cfg.Log.Event(string(c.Kind), "server", s.cfg.Address, "limit", c.Rate, "source", "engine_state")
	}
	if len(state.Signals.Unreadable) > 0 && now.Sub(s.notifiedAt) >= notifyInterval {
		s.cfg.Log.Event("server_signal_unreadable", "server", s.cfg.Address, "values", state.Signals.Unreadable)
	}
	if len(changes) == 0 && now.Sub(s.notifiedAt) < notifyInterval {
		return
	}
	s.notifiedAt = now
	// Leaving is the only other thing that a notice holds, and never ends.
	_, limited := s.signals.Limit(server)
	if s.cfg.Notify != nil && (len(changes) > 0 || limited || state.Signals.Leaving) {
		s.cfg.Notify(s.signals.NoticeOf(server, backpressure.Membership{}, now))
	}
}

// sequenced returns the report with the next sequence number; Changed is set if
// what the engine can serve differs from the last report. The caller must hold
// s.mu.
func (s *Stager) sequenced(r placement.Report) placement.Report {
	last := s.lastReport
	r.Sequence = last.Sequence + 1
	r.Changed = last.Sequence == 0 || r.WeightVersion != last.WeightVersion || r.Loading != last.Loading || r.Down != last.Down || r.Born != last.Born
	s.lastReport = r
	return r
}

// snapshot returns the target, its origin, the engine's last state and whether
// the engine answers.
func (s *Stager) snapshot() (target Target, origin Origin, state EngineState, up bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.target, s.origin, s.state, s.stateKnown && !s.down
}

func (s *Stager) setLoading(loading bool) {
	s.mu.Lock()
	s.loading = loading
	s.mu.Unlock()
}
