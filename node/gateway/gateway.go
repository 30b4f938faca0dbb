// Package gateway implements the entry's request path: it accepts callers'
// requests, places them on backend servers and returns complete answers.
//
// Decisions are made by core/route and core/placement. This package adds the
// sockets and timers. A Codec defines the header names, so that the package
// does not depend on a platform.
package gateway

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumloft/laburnumloft/core/answerlength"
	"github.com/laburnumloft/laburnumloft/core/backpressure"
	"github.com/laburnumloft/laburnumloft/core/evacuation"
	"github.com/laburnumloft/laburnumloft/core/limits"
	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/prompt"
	"github.com/laburnumloft/laburnumloft/core/quarantine"
	"github.com/laburnumloft/laburnumloft/core/route"
	"github.com/laburnumloft/laburnumloft/core/shutdown"
	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
	"github.com/laburnumloft/laburnumloft/node/lib/intake"
)

// Call holds the fields of a caller's request header.
type Call struct {
	RequestID, Key string
	// Deadline is how long the caller waits; 0 if the header does not say.
	Deadline time.Duration
	// LastEvent is the id of the last event that the caller received; it is valid
	// only if Resumes is set.
	LastEvent int64
	Resumes   bool
	// Model is empty for plain services.
	Model string
	// PromptTokens and OutputTokens are the request's size; 0 if unknown.
	// OutputTokens is the largest number that the answer may have.
	PromptTokens, OutputTokens int
	// LengthHint is the caller's estimate of the answer's tokens; 0 if there is none.
	LengthHint int
	// PromptParts lists the parts of the prompt that other requests may share.
	PromptParts []prompt.Part
	// OwnPart is the part of the prompt that only this request or its session has; 0 if
	// unknown.
	OwnPart prompt.Part
}

// AttemptInfo holds the header fields that the gateway sets on a request to a server.
type AttemptInfo struct {
	// Timeout is how long the server may work on the request.
	Timeout time.Duration
	// InstanceID is the id of the server that must handle the request.
	InstanceID string
	// Workspace is the caller's workspace; empty if the configuration has none.
	Workspace string
	// Urgency ranges from 0 (served first) to 9.
	Urgency int
	// WeightVersion is the weight version that the server must use; 0 allows any.
	WeightVersion int64
	// LastEvent is the id of the event after which the stream resumes; it is valid
	// only if Resumes is set.
	LastEvent int64
	Resumes   bool
}

// Answer holds the fields of a server's response header.
type Answer struct {
	RequestID string
	// Signed means that the server's application produced the answer.
	Signed bool
	// NotRun means that the request has not run and will not run.
	NotRun bool
	// Misdirected means that the request reached another server instance.
	Misdirected bool
	// Signals is what the server says about itself.
	Signals backpressure.Signals
}

// Codec translates between headers and the types above.
type Codec interface {
	Call(h http.Header) Call
	// Prepare rewrites a caller's header for the request to a server.
	Prepare(h http.Header, o AttemptInfo)
	Answer(resp *http.Response) Answer
}

// Config configures a Gateway.
type Config struct {
	ID, Zone string
	Codec    Codec
	Log      *decision.Log
	// RetryRatio and RetrySlack limit the retries of all entries together: in one
	// window of the platform, a service gets at most ratio x requests + slack.
	RetryRatio, RetrySlack float64
	// MaxTotalAnswerBytes limits the total size of all buffered answers; 0 selects the
	// default.
	MaxTotalAnswerBytes int64
	// MaxTotalBodyBytes limits the total size of the bodies of all requests; 0 selects the
	// default.
	MaxTotalBodyBytes int64
	// WeightsDeadline is the time within which published weights must be in use.
	WeightsDeadline time.Duration
	// OnSuspect tells the other entries of a request under which an engine
	// crashed, and of the verdicts that it led to; may be nil.
	OnSuspect func(quarantine.Suspect, []quarantine.Verdict)
	// Membership returns the current view of the entries; nil means that there is
	// only this one.
	Membership func() backpressure.Membership
	// OnServerNotices tells the other entries at once what a server said; may be nil.
	OnServerNotices func([]backpressure.Notice)
	// AskPermits sends a request for permits to an entry. The reply, which may be
	// lost, arrives with HandlePermitReply; may be nil.
	AskPermits func(coordinator string, r backpressure.PermitRequest)
	// Regions are the regions of the availability zones.
	Regions map[string]string
	// ColdOverage and ColdSlack limit what a server that has just started may get in any
	// second: overage x its rate + slack requests.
	ColdOverage, ColdSlack float64
	// CheckEngineMemory excludes engines whose memory a request would overfill.
	CheckEngineMemory bool
	// OnEvacuations tells the other entries which availability zones the operator has
	// begun or ceased to empty; may be nil.
	OnEvacuations func([]evacuation.Notice)
	// OrderedWaiting gives places to waiting requests in the order of core/waiting
	// instead of to whichever asks first.
	OrderedWaiting bool
	// SpreadByRoom chooses engines in proportion to their estimated room.
	SpreadByRoom bool
	Seed         uint64
}

// entriesRetryShare is the share of the common retry budget that the entries use.
// The rest covers counts that differ at the edges of the window.
const entriesRetryShare = 0.7

// initialEntryCount divides the retry slack until the entry count is known.
const initialEntryCount = 20

// Gateway serves requests according to the active configuration.
type Gateway struct {
	cfg    Config
	client http.RoundTripper
	table  atomic.Pointer[route.Table]
	// configuring is held while a configuration is activated. Two of them may come from
	// the store and from an entry at once, and what the older one says of servers and
	// bodies must not be applied last.
	configuring sync.Mutex
	// newestConfiguration is the newest version that any entry is known to have.
	newestConfiguration atomic.Int64
	// draining is set when a stop is requested; closing is set later, when the
	// gateway starts to refuse new requests.
	closing, draining atomic.Bool
	// stopPlan is set when a stop is requested. stopped ends when the requests in
	// flight must be answered.
	stopPlan    atomic.Pointer[shutdown.Plan]
	stopped     context.Context
	endRequests context.CancelFunc
	answers     answerMemory
	bodies      *intake.Bodies
	containment *containment
	// unreadableLoggedAt is when an unreadable value was last logged, in Unix
	// nanoseconds.
	unreadableLoggedAt atomic.Int64

	mu         sync.Mutex
	fleet      *placement.Fleet
	lengths    *answerlength.Estimator
	budget     *limits.RetryBudget
	entryCount int
	changed    chan struct{}
	published  *placement.PublishedVersions
	pressure   *backpressure.Tracker
	returns    backpressure.Returns
	// pendingAsks are the requests for permits without a reply, by id.
	pendingAsks map[uint64]chan struct{}
	// limitedWaiting counts the requests that wait for a limited server, by service.
	limitedWaiting map[string]int
	places         places
	evacuations    *evacuation.Zones
	// queues hold the waiting requests by service if they are ordered.
	queues map[string]*serviceQueue
	// entriesViewAt is when the fleet last got the view of the entries.
	entriesViewAt time.Time
}

// New returns a gateway without a configuration.
func New(cfg Config) *Gateway {
	g := &Gateway{
		cfg: cfg, client: newTransport(), containment: newContainment(cfg.Seed),
		changed: make(chan struct{}), published: placement.NewPublishedVersions(max(0, cfg.WeightsDeadline-enforceMargin), cfg.WeightsDeadline-enforceMargin-startGracePeriod),
	}
	g.stopped, g.endRequests = context.WithCancel(context.Background())
	g.bodies = intake.NewBodies(cmp.Or(cfg.MaxTotalBodyBytes, intake.DefaultBodyBytes), intake.LogGivenUp(cfg.Log))
	g.answers.limit = cmp.Or(cfg.MaxTotalAnswerBytes, defaultAnswerBytes)
	g.pressure, g.pendingAsks, g.limitedWaiting = backpressure.NewTracker(), map[uint64]chan struct{}{}, map[string]int{}
	g.places = newPlaces()
	placementConfig := placement.DefaultConfig(cfg.Zone)
	placementConfig.Backpressure = g.pressure
	placementConfig.Regions, placementConfig.CheckMemory = cfg.Regions, cfg.CheckEngineMemory
	placementConfig.SpreadByRoom, placementConfig.OnEstimate = cfg.SpreadByRoom, recordEstimate
	g.evacuations, g.queues = evacuation.NewZones(), map[string]*serviceQueue{}
	g.lengths = answerlength.New()
	g.fleet = placement.NewFleet(placementConfig, g.published, cfg.Seed)
	g.setEntryCount(initialEntryCount)
	return g
}

// Configure activates a configuration if its version is newer than that of the
// active one, and reports whether it did.
func (g *Gateway) Configure(cfg route.Configuration, source string) bool {
	g.configuring.Lock()
	defer g.configuring.Unlock()
	if old := g.table.Load(); old != nil && old.Version() >= cfg.Version {
		return false
	}
	g.table.Store(route.NewTable(cfg))
	g.applyTraits()
	g.setEntriesView()
	g.bodies.SetLargest(cfg.Limits.MaxBodyBytes)
	g.cfg.Log.Event("configuration_taken", "version", cfg.Version, "store_era", cfg.StoreEra, "source", source,
		"routes", len(cfg.Routes), "workspaces", len(cfg.Workspaces), "access", string(cfg.Access))
	g.logUnknownHomes(cfg)
	return true
}

// RecordNewestConfiguration records the newest version of the configuration that any entry
// is known to have.
func (g *Gateway) RecordNewestConfiguration(version int64) { g.newestConfiguration.Store(version) }

// configurationMissing reports whether another entry has a newer configuration than the
// given table.
func (g *Gateway) configurationMissing(table *route.Table) bool {
	return g.newestConfiguration.Load() > table.Version()
}

// Table returns the active configuration, or nil.
func (g *Gateway) Table() *route.Table { return g.table.Load() }

// PutServer adds or updates a server from its registry record.
func (g *Gateway) PutServer(s placement.Server) bool {
	now := bootclock.Now()
	g.mu.Lock()
	changed := g.fleet.Put(s)
	cold := changed && s.ColdRemaining > 0 && g.fleet.RecordCold(s.ID, s.ColdRemaining, now)
	var needs []backpressure.Change
	if changed && s.Born > 0 {
		needs = g.pressure.Succeed(s.Instance(), now.Add(-time.Since(time.UnixMilli(s.Born))), now)
	}
	g.notifyWaiters()
	g.mu.Unlock()
	g.recordChanges(needs, s.Service, "earlier_instance")
	if cold {
		g.setEntriesView()
	}
	if changed {
		g.cfg.Log.Event("server_taken", "server", s.ID, "service", s.Service, "address", s.Address, "zone", s.Zone,
			"draining", s.Draining, "weights", s.WeightVersion, "born", s.Born, "cold_ms", s.ColdRemaining.Milliseconds())
	}
	return changed
}

// RemoveServer removes a server that the registry no longer lists.
func (g *Gateway) RemoveServer(id, reason string) bool {
	g.mu.Lock()
	removed := g.fleet.Remove(id)
	g.mu.Unlock()
	if removed {
		g.cfg.Log.Event("server_gone", "server", id, "reason", reason)
	}
	return removed
}

// Servers returns the servers that the registry lists.
func (g *Gateway) Servers() []placement.Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.Servers()
}

// RecordReports records load reports from the engines' agents.
func (g *Gateway) RecordReports(reports []placement.Report) {
	now := bootclock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range reports {
		g.fleet.Report(r, now)
	}
	g.notifyWaiters()
}

// SetEntryCount sets the number of entries that share the retry budget.
func (g *Gateway) SetEntryCount(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.SetEntryCount(n)
	// A partial view, for example during a network partition, must not raise
	// this entry's share.
	if n > g.entryCount {
		g.setEntryCount(n)
	}
}

func (g *Gateway) setEntryCount(n int) {
	g.entryCount = n
	g.budget = limits.NewRetryBudget(limits.RetryBudgetConfig{
		Ratio: entriesRetryShare * g.cfg.RetryRatio, Burst: max(1, entriesRetryShare*g.cfg.RetrySlack/float64(n)), MaxKeys: 1024,
	})
}

// notifyWaiters makes waiting requests retry their placement, because servers may have
// changed. The caller holds mu.
func (g *Gateway) notifyWaiters() {
	for _, queue := range g.queues {
		queue.Changed()
	}
	g.wakeWaiters()
}

// wakeWaiters makes waiting requests check whether it is their turn. The caller holds mu.
func (g *Gateway) wakeWaiters() {
	close(g.changed)
	g.changed = make(chan struct{})
}

const (
	// propagationMargin covers the transfer from the store and late timers. The
	// interval between two reads is already part of a version's age.
	propagationMargin = 200 * time.Millisecond
	// enforceMargin is how long before the deadline for published weights
	// requests stop going to older weights, so that requests sent until then
	// begin in time.
	enforceMargin = propagationMargin + placement.FirstEventMargin
	// startGracePeriod is how long a newly started entry may use older weights,
	// unless another entry reports that they are already outdated.
	startGracePeriod = 2 * time.Second
)

// PublicationTime states whether the publication time of a weight version is known.
type PublicationTime int

// Values of PublicationTime.
const (
	// PublishedNow means that the operator has just published the version.
	PublishedNow PublicationTime = iota
	// PublishedEarlier means that the version was published some unknown time ago.
	PublishedEarlier
)

// RecordPublishedWeights records a published weight version and the time since its
// publication.
func (g *Gateway) RecordPublishedWeights(model string, version int64, age time.Duration) {
	g.mu.Lock()
	added := g.published.RecordWithAge(model, version, age, bootclock.Now())
	g.mu.Unlock()
	if added {
		g.cfg.Log.Event("weights_named", "model", model, "version", version, "age_ms", age.Milliseconds())
	}
}

// RecordPublishedWeightsUnknownAge records a weight version that was published at
// an unknown time.
func (g *Gateway) RecordPublishedWeightsUnknownAge(model string, version int64) {
	g.mu.Lock()
	added := g.published.RecordWithUnknownAge(model, version, bootclock.Now())
	g.mu.Unlock()
	if added {
		g.cfg.Log.Event("weights_named", "model", model, "version", version, "age_ms", -1)
	}
}

// HasPublishedWeights reports whether a weight version is known to be published.
func (g *Gateway) HasPublishedWeights(model string, version int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, known := g.published.Ages(bootclock.Now())[model][version]
	return known
}

// PublishedAge is the time since a weight version was published, in milliseconds.
// It is an estimate unless Exact is set.
type PublishedAge struct {
	AgeMS int64 `json:"age_ms"`
	Exact bool  `json:"exact"`
}

// PublishedWeights returns the ages of the published weight versions by model.
func (g *Gateway) PublishedWeights() map[string]map[int64]PublishedAge {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]map[int64]PublishedAge{}
	for model, versions := range g.published.Ages(bootclock.Now()) {
		out[model] = map[int64]PublishedAge{}
		for version, age := range versions {
			out[model][version] = PublishedAge{age.Age.Milliseconds(), age.Exact}
		}
	}
	return out
}

// NewestWeightsSum returns the sum of the newest published versions of all models,
// which grows with each newer version recorded.
func (g *Gateway) NewestWeightsSum() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.published.NewestSum()
}

// Ready reports whether the gateway accepts callers.
func (g *Gateway) Ready() bool {
	return g.table.Load() != nil && !g.draining.Load()
}

// BeginDrain begins a planned stop: the gateway reports that it is not ready and takes
// only requests that can end within the plan.
func (g *Gateway) BeginDrain(plan shutdown.Plan) {
	g.stopPlan.Store(&plan)
	g.draining.Store(true)
	time.AfterFunc(time.Until(plan.AnswerBy()), g.endRequests)
}

// Close makes the gateway refuse new requests.
func (g *Gateway) Close() { g.closing.Store(true) }
