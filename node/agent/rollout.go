package agent

import (
	"context"
	"errors"
	"hash/fnv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"

	"github.com/laburnumloft/laburnumloft/core/rollout"
	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/ring"
	"github.com/laburnumloft/laburnumloft/node/lib/telemetry"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// Limits and times of a rollout.
const (
	maxManifestBytes  = 8 << 20
	rolloutRetry      = time.Second
	engineStatusEvery = 200 * time.Millisecond
	engineTimeout     = 2 * time.Second
	orderRetry        = 5 * time.Second
	holdCheckEvery    = 5 * time.Second
	// regionCopies is how many agents per region keep a chunk after its
	// bytes are no longer asked for, so that a replaced VM need not draw it
	// from the origin.
	regionCopies = 2
	setAsideBase = 2
	setAsideMax  = 16
)

// rolloutDuty brings the backend server to the intended version.
type rolloutDuty struct {
	agent            *Agent
	logger           hclog.Logger
	store            *weightStore
	uploads          chan struct{}
	upPace, downPace *pacer
	wake             chan struct{}
	// dataAddress is where the engine reads whole versions.
	dataAddress string

	mu      sync.Mutex
	machine *rollout.StateMachine
	service settings.Service
	// orders counts load orders. A status that was asked for before the
	// latest order says nothing about it.
	orders int
}

// engineAnswer is the result of one status check.
type engineAnswer struct {
	status *wire.EngineStatus
	err    error
	orders int
}

// fetchResult is the end of one fetch.
type fetchResult struct {
	intent rollout.Intent
	digest string
	err    error
}

func newRolloutDuty(a *Agent) *rolloutDuty {
	cfg := a.cfg.Rollout
	return &rolloutDuty{
		agent:    a,
		logger:   a.logger.Named("rollout"),
		store:    newWeightStore(),
		uploads:  make(chan struct{}, cfg.UploadSlots),
		upPace:   &pacer{rate: cfg.UploadRate},
		downPace: &pacer{rate: cfg.DownloadRate},
		wake:     make(chan struct{}, 1),
		machine:  rollout.NewStateMachine(rollout.StateMachineConfig{StartMS: a.incarnation, OrderRetry: orderRetry, TakeTurns: true}),
	}
}

// admit implements admissionGate.
func (d *rolloutDuty) admit() (version string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	version = d.machine.Status().Serving
	return version, version != "" && d.machine.Admit(version)
}

// runs implements admissionGate.
func (d *rolloutDuty) runs(version string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.ConfirmedRunning(version)
}

// release implements admissionGate.
func (d *rolloutDuty) release() {
	d.mu.Lock()
	d.machine.Release()
	idle := d.machine.Status().Running == 0
	d.mu.Unlock()
	if idle {
		select {
		case d.wake <- struct{}{}:
		default:
		}
	}
}

// rolloutLoop is the state of the duty's goroutine.
type rolloutLoop struct {
	*rolloutDuty
	fetching rollout.Intent
	cancel   context.CancelFunc
	fetched  chan fetchResult
	retryAt  time.Time
	starts   map[string]time.Time
}

// run carries out the actions of the machine for as long as ctx lasts.
func (d *rolloutDuty) run(ctx context.Context) {
	if err := d.serveData(ctx); err != nil {
		d.logger.Error("engine can't read versions", "error", err)
		return
	}
	answers := ring.New[engineAnswer]("engine_status", 1, ring.DropOldest)
	var duties sync.WaitGroup
	defer duties.Wait()
	duties.Go(func() { d.watchEngine(ctx, answers) })
	duties.Go(func() { d.freeMemory(ctx) })
	duties.Go(func() { d.takeTurns(ctx) })
	l := &rolloutLoop{rolloutDuty: d, fetched: make(chan fetchResult, 1)}
	defer l.stopFetch()
	for ctx.Err() == nil {
		state, changed := d.agent.state.current()
		l.intend(state)
		at := l.act(ctx)
		d.publish()
		timer := time.NewTimer(at)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-d.wake:
		case <-timer.C:
		case answer := <-answers.Items():
			l.engineSaid(answer)
		case result := <-l.fetched:
			l.finishFetch(result)
		}
		timer.Stop()
	}
}

// intend hands the version that the settings name to the machine.
func (l *rolloutLoop) intend(state *settings.State) {
	svc, _, ok := state.Service(l.agent.cfg.Service)
	if !ok {
		return
	}
	// The offset of the whole settings is used because it never falls, even
	// when an override is taken back and an older revision applies again.
	intent := rollout.Intent{Offset: state.Offset, Model: svc.Model, Version: svc.Version, Manifest: svc.Manifest}
	problem := ""
	if svc.Rollout != nil {
		start, err := l.startAt(svc)
		if err != nil {
			problem = err.Error()
		}
		intent.StartAt = start
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.service = svc
	l.machine.SetChecksFence(svc.ChecksFence)
	if l.machine.SetIntent(intent) {
		l.retryAt = time.Time{}
		l.logger.Info("version is intended", "version", svc.Version, "offset", state.Offset)
	}
	if problem != "" {
		l.machine.RecordProblem(intent, problem)
	}
}

// startAt returns the start of the rollout of a version. It is computed once
// per version, when its settings come into force.
func (l *rolloutLoop) startAt(svc settings.Service) (time.Time, error) {
	key := svc.Manifest + svc.Rollout.At + svc.Rollout.TimeZone
	if start, ok := l.starts[key]; ok {
		return start, nil
	}
	start, err := rollout.NextStart(svc.Rollout.At, svc.Rollout.TimeZone, time.Now())
	if err != nil {
		return time.Time{}, err
	}
	l.starts = map[string]time.Time{key: start}
	return start, nil
}

// act carries out the machine's next action and returns when to look again.
func (l *rolloutLoop) act(ctx context.Context) time.Duration {
	now := time.Now()
	l.mu.Lock()
	action := l.machine.Next(now)
	if action.Kind == rollout.ActionOrder {
		l.orders++
	}
	l.mu.Unlock()
	if action.Kind != rollout.ActionFetch || l.fetching != action.Intent {
		l.stopFetch()
	}
	switch action.Kind {
	case rollout.ActionFetch:
		if l.cancel == nil && !now.Before(l.retryAt) {
			l.startFetch(ctx, action.Intent)
		}
		return max(time.Until(l.retryAt), engineStatusEvery)
	case rollout.ActionOrder:
		l.order(ctx, action)
		return 0
	}
	if action.At.IsZero() {
		return time.Hour
	}
	return max(time.Until(action.At), time.Millisecond)
}

// stopFetch ends the transfer of a version that is no longer wanted.
func (l *rolloutLoop) stopFetch() {
	if l.cancel != nil {
		l.cancel()
		l.cancel = nil
		<-l.fetched
	}
}

func (l *rolloutLoop) startFetch(ctx context.Context, intent rollout.Intent) {
	ctx, l.cancel = context.WithCancel(ctx)
	l.fetching = intent
	go func() {
		digest, err := l.fetch(ctx, intent)
		l.fetched <- fetchResult{intent: intent, digest: digest, err: err}
	}()
}

func (l *rolloutLoop) finishFetch(result fetchResult) {
	l.cancel()
	l.cancel = nil
	l.mu.Lock()
	defer l.mu.Unlock()
	if result.err == nil {
		l.machine.RecordVerified(result.intent, result.digest)
		return
	}
	l.retryAt = time.Now().Add(rolloutRetry)
	var refused *rollout.ManifestError
	if errors.As(result.err, &refused) {
		l.machine.RecordProblem(result.intent, refused.Error())
	} else {
		l.machine.RecordProblem(result.intent, result.err.Error())
	}
	l.logger.Warn("version can't be fetched", "version", result.intent.Version, "error", result.err)
}

// fetch gets the manifest and all chunks and checks the hash over all.
func (d *rolloutDuty) fetch(ctx context.Context, intent rollout.Intent) (digest string, err error) {
	ctx, span := telemetry.Span(ctx, "agent.fetch_version", attribute.String("version", intent.Version))
	defer func() { telemetry.EndSpan(span, err) }()
	key := versionKey{intent.Model, intent.Version}
	view := d.peers()
	f := &fetcher{duty: d, intent: intent, key: key, peers: view, planner: rollout.NewPlanner(d.plannerConfig(), d.tree(view))}
	m, encoded, err := f.manifest(ctx, rollout.ManifestRequirements{
		Model: intent.Model, Version: intent.Version, Digest: intent.Manifest, Ceiling: d.agent.cfg.MemoryCeiling,
	})
	if err != nil {
		return "", err
	}
	d.store.addVersion(m, encoded)
	d.makeRoom(m)
	if err := f.chunks(ctx, m); err != nil {
		return "", err
	}
	return m.SHA256, d.checkWhole(key, m)
}

// problem records why a version does not get on.
func (d *rolloutDuty) problem(intent rollout.Intent, text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.RecordProblem(intent, text)
}

// makeRoom frees the other versions when both don't fit into memory.
func (d *rolloutDuty) makeRoom(m *rollout.Manifest) {
	if d.store.size()+m.Size > d.agent.cfg.MemoryCeiling {
		d.store.keep(versionKey{m.Model, m.Version})
	}
}

func (d *rolloutDuty) checkWhole(key versionKey, m *rollout.Manifest) error {
	pieces, _, ok := d.store.pieces(key)
	if !ok {
		return eris.New("chunks were freed during the fetch")
	}
	hash := newHash()
	for _, piece := range pieces {
		hash.Write(piece)
	}
	if hash.hex() != m.SHA256 {
		return eris.New("version does not match its digest")
	}
	return nil
}

func (d *rolloutDuty) plannerConfig() rollout.PlannerConfig {
	deadline := d.agent.cfg.Rollout.ChunkDeadline
	h := fnv.New64a()
	_, _ = h.Write([]byte(d.agent.cfg.ID))
	return rollout.PlannerConfig{
		Deadline: deadline, FaultBackoff: setAsideBase * deadline, MaxFaultBackoff: setAsideMax * deadline, Seed: h.Sum64(),
	}
}

// peers returns the agents that share chunks and the settings of the tree.
func (d *rolloutDuty) peers() peerView {
	s := d.agent.state
	s.mu.Lock()
	listed := s.peers
	s.mu.Unlock()
	view := peerView{peers: make([]rollout.Peer, 0, len(listed))}
	for _, p := range listed {
		view.peers = append(view.peers, rollout.Peer{ID: p.GetId(), Address: p.GetAddress(), Region: p.GetRegion()})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	view.originRegion = d.service.OriginRegion
	view.hedgeRoots = d.service.Objective == settings.ObjectiveTime
	return view
}

func (d *rolloutDuty) tree(view peerView) *rollout.Tree {
	cfg := d.agent.cfg
	return rollout.NewTree(rollout.TreeConfig{
		Self: rollout.Peer{ID: cfg.ID, Address: cfg.Listen, Region: cfg.Region}, Peers: view.peers,
		OriginRegion: view.originRegion, HedgeRoots: view.hedgeRoots, Strategy: cfg.Rollout.Strategy,
	})
}

// publish copies the machine's state into the agent's report.
func (d *rolloutDuty) publish() {
	d.mu.Lock()
	status := d.machine.Status()
	intended := d.service.Version
	d.mu.Unlock()
	d.agent.state.setVersion(status.Serving, intended, string(status.State), status.Problem)
}

// freeMemory drops what no peer needs any more: versions other than the one
// that the engine runs and the one on its way, and, once no peer has asked
// for WeightsHold, all chunks but those that this agent keeps for its region.
func (d *rolloutDuty) freeMemory(ctx context.Context) {
	ticker := time.NewTicker(min(holdCheckEvery, d.agent.cfg.Rollout.WeightsHold))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.free(now)
		}
	}
}

func (d *rolloutDuty) free(now time.Time) {
	d.mu.Lock()
	status := d.machine.Status()
	service := d.service
	d.mu.Unlock()
	if status.State != rollout.StateServing || status.Serving != service.Version {
		return
	}
	served := versionKey{service.Model, service.Version}
	d.store.keep(served)
	if now.Sub(d.store.quietSince()) < d.agent.cfg.Rollout.WeightsHold {
		return
	}
	tree := d.tree(d.peers())
	d.store.trim(func(_ versionKey, index int) bool { return tree.Place(index).Rank < regionCopies })
}
