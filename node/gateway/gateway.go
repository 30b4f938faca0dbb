// Package gateway is the entry's request path: it accepts callers' requests,
// places them at backend servers and returns whole answers.
//
// Decisions are made by core/route and core/placement. This package keeps the
// sockets and timers round them. The names of headers come from a Codec, so
// that the path doesn't depend on one platform's spelling.
package gateway

import (
	"cmp"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumloft/laburnumloft/core/limits"
	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/route"
	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

// Call is what a caller says of a request in its headers.
type Call struct {
	RequestID, Key string
	// Deadline is how long the caller waits; 0 if it says nothing.
	Deadline time.Duration
	// LastEvent is the id of the last event that the caller has, if Resumes.
	LastEvent int64
	Resumes   bool
	// Model is empty for plain services.
	Model string
	// PromptTokens and OutputTokens are the size; 0 is unknown.
	PromptTokens, OutputTokens int
}

// Offer is what a backend server is told beside the caller's own headers.
type Offer struct {
	// Left is how long the server may work.
	Left time.Duration
	// InstanceID is the server that is meant.
	InstanceID string
	// Workspace is the caller's; empty if the configuration has none.
	Workspace string
	// Urgency is 0 (first) to 9.
	Urgency int
	// WeightVersion is the version that must answer; 0 is any.
	WeightVersion int64
	// LastEvent is the event after which to resume, if Resumes.
	LastEvent int64
	Resumes   bool
}

// Answer is what a server's response header says.
type Answer struct {
	RequestID string
	// Signed answers come from the server's application.
	Signed bool
	// NotRun says that the request has not run and will not.
	NotRun bool
	// Misdirected says that the server isn't the one that was meant.
	Misdirected bool
}

// Codec translates between headers and the types above.
type Codec interface {
	Call(h http.Header) Call
	// Prepare turns a caller's header into that of the request to a server.
	Prepare(h http.Header, o Offer)
	Answer(resp *http.Response) Answer
}

// Config sets up a Gateway.
type Config struct {
	ID, Zone string
	Codec    Codec
	Log      *decision.Log
	// RetryRatio and RetrySlack bound repeats over all entries: in a window of
	// the platform's, a service gets at most ratio x requests + slack of them.
	RetryRatio, RetrySlack float64
	// AnswerBytes bounds the memory of all answers that are kept until they are
	// whole; 0 stands for a default.
	AnswerBytes int64
	// WeightsWithin is the time in which named weights must be in use.
	WeightsWithin time.Duration
	Seed          uint64
}

// retryShare is the part of the common retry budget that the entries use.
// The rest covers counts that differ at the window's edges.
const retryShare = 0.7

// assumedEntries divides the retry slack until the number of entries is known.
const assumedEntries = 20

// Gateway serves requests by the configuration in force.
type Gateway struct {
	cfg    Config
	client *http.Transport
	table  atomic.Pointer[route.Table]
	// closing is set when new requests are refused because of a stop, leaving
	// as soon as a stop was asked for.
	closing, leaving atomic.Bool
	answers          answerMemory

	mu      sync.Mutex
	fleet   *placement.Fleet
	budget  *limits.RetryBudget
	entries int
	changed chan struct{}
	named   *placement.PublishedVersions
}

// New returns a gateway without configuration.
func New(cfg Config) *Gateway {
	g := &Gateway{
		cfg: cfg, client: newTransport(),
		changed: make(chan struct{}), named: placement.NewPublishedVersions(max(0, cfg.WeightsWithin-requireMargin), cfg.WeightsWithin-requireMargin-restartGrace),
	}
	g.answers.limit = cmp.Or(cfg.AnswerBytes, defaultAnswerBytes)
	g.fleet = placement.NewFleet(placement.DefaultConfig(cfg.Zone), g.named, cfg.Seed)
	g.setEntries(assumedEntries)
	return g
}

// Configure puts a configuration in force unless it is older than the one in
// force.
func (g *Gateway) Configure(cfg route.Configuration, source string) bool {
	for {
		old := g.table.Load()
		if old != nil && old.Version() >= cfg.Version {
			return false
		}
		if g.table.CompareAndSwap(old, route.NewTable(cfg)) {
			g.cfg.Log.Event("configuration_taken", "version", cfg.Version, "source", source,
				"routes", len(cfg.Routes), "workspaces", len(cfg.Workspaces))
			return true
		}
	}
}

// Table returns the configuration in force, or nil.
func (g *Gateway) Table() *route.Table { return g.table.Load() }

// PutServer takes over a record of the registry.
func (g *Gateway) PutServer(s placement.Server) bool {
	g.mu.Lock()
	changed := g.fleet.Put(s)
	g.wake()
	g.mu.Unlock()
	if changed {
		g.cfg.Log.Event("server_taken", "server", s.ID, "service", s.Service, "address", s.Address,
			"draining", s.Draining, "weights", s.WeightVersion, "born", s.Born)
	}
	return changed
}

// RemoveServer drops a server that the registry no longer lists.
func (g *Gateway) RemoveServer(id, reason string) bool {
	g.mu.Lock()
	removed := g.fleet.Remove(id)
	g.mu.Unlock()
	if removed {
		g.cfg.Log.Event("server_gone", "server", id, "reason", reason)
	}
	return removed
}

// Servers returns the listed servers.
func (g *Gateway) Servers() []placement.Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.Servers()
}

// Reports takes over reports of engines' agents.
func (g *Gateway) Reports(reports []placement.Report) {
	now := bootclock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range reports {
		g.fleet.Report(r, now)
	}
	g.wake()
}

// SetEntries tells how many entries share the retry budget.
func (g *Gateway) SetEntries(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// A smaller view, for example during a cut, must not raise the share.
	if n > g.entries {
		g.setEntries(n)
	}
}

func (g *Gateway) setEntries(n int) {
	g.entries = n
	g.budget = limits.NewRetryBudget(limits.RetryBudgetConfig{
		Ratio: retryShare * g.cfg.RetryRatio, Burst: max(1, retryShare*g.cfg.RetrySlack/float64(n)), MaxKeys: 1024,
	})
}

// wake lets waiting requests look again. The caller holds the lock.
func (g *Gateway) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}

const (
	// learnMargin of the time for named weights is left for the way from the
	// store and for timers that fire late. Entries count the pause between two
	// reads into a version's age.
	learnMargin = 200 * time.Millisecond
	// requireMargin is when requests stop going to older weights: those that
	// were sent before begin until then.
	requireMargin = learnMargin + placement.FirstEventMargin
	// restartGrace is how long an entry that has just started may use older
	// weights, unless another entry says that they are out of date already.
	restartGrace = 2 * time.Second
)

// Naming is how a process came to know of a weight version.
type Naming int

// Ways to learn of a weight version.
const (
	// NamedNow means that the operator named it a moment ago.
	NamedNow Naming = iota
	// NamedBefore means that it was named at an unknown time.
	NamedBefore
)

// WeightsTold tells of a version that the operator named, with its age.
func (g *Gateway) WeightsTold(model string, version int64, age time.Duration) {
	g.mu.Lock()
	fresh := g.named.RecordWithAge(model, version, age, bootclock.Now())
	g.mu.Unlock()
	if fresh {
		g.cfg.Log.Event("weights_named", "model", model, "version", version, "age_ms", age.Milliseconds())
	}
}

// WeightsFound tells of a version that was named at an unknown time.
func (g *Gateway) WeightsFound(model string, version int64) {
	g.mu.Lock()
	fresh := g.named.RecordWithUnknownAge(model, version, bootclock.Now())
	g.mu.Unlock()
	if fresh {
		g.cfg.Log.Event("weights_named", "model", model, "version", version, "age_ms", -1)
	}
}

// KnowsWeights reports whether a version is known as named.
func (g *Gateway) KnowsWeights(model string, version int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, known := g.named.Ages(bootclock.Now())[model][version]
	return known
}

// NamedAge is the time since a weight version was named, in milliseconds; it
// is an estimate unless Exact.
type NamedAge struct {
	AgeMS int64 `json:"age_ms"`
	Exact bool  `json:"exact"`
}

// NamedWeights returns the named versions by model.
func (g *Gateway) NamedWeights() map[string]map[int64]NamedAge {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]map[int64]NamedAge{}
	for model, versions := range g.named.Ages(bootclock.Now()) {
		out[model] = map[int64]NamedAge{}
		for version, age := range versions {
			out[model][version] = NamedAge{age.Age.Milliseconds(), age.Exact}
		}
	}
	return out
}

// NewestWeights grows with each weight version that becomes known here.
func (g *Gateway) NewestWeights() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.named.NewestSum()
}

// Ready reports whether the gateway takes callers.
func (g *Gateway) Ready() bool {
	return g.table.Load() != nil && !g.leaving.Load()
}

// Leave stops being ready; requests are still served.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// Close refuses new requests.
func (g *Gateway) Close() { g.closing.Store(true) }
