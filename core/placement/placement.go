// Package placement chooses the backend server for a request, and decides how
// long the request waits for a server and when it is refused.
//
// Every entry decides independently, from the registry's list of servers, the
// load that the agents beside the engines report several times a second, and
// its own requests in flight. The package does no I/O, reads no clock and
// starts no goroutine. A Fleet is not safe for concurrent use.
package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/laburnumloft/laburnumloft/core/backpressure"
	"github.com/laburnumloft/laburnumloft/core/eligibility"
)

// Server is the registry's record of one backend server.
type Server struct {
	ID, Address, Service, Zone string
	// Slots is how many requests the server runs at once; 0 means unknown.
	Slots int
	// Draining is set if the server accepts no new requests.
	Draining bool
	// WeightVersion is the version of the weights that are completely loaded;
	// 0 means none.
	WeightVersion int64
	// Born is the start time of the server instance in Unix milliseconds; 0
	// means unknown. It is only compared with other values for the same server.
	Born int64
	// ColdRemaining is how much longer the server, which has just started, bears only
	// a low rate of requests, as of the record; 0 if it is warm or not known.
	ColdRemaining time.Duration `json:",omitempty"`
}

// Instance identifies the instance that the record describes.
func (s Server) Instance() backpressure.Server { return backpressure.Server{ID: s.ID, Born: s.Born} }

// Report is the state of an engine as its agent measured it.
type Report struct {
	// Address is the engine's address.
	Address string
	// Running and Queued count the requests of all entries.
	Running, Queued int
	// WeightVersion is the version of the weights that are completely loaded;
	// 0 means none.
	WeightVersion int64
	// Loading is set while the engine changes weights and accepts no requests.
	Loading bool
	// Down is set if the engine does not answer its agent.
	Down bool
	// Slowdown is the factor by which the engine is slower than normal; 1 is
	// normal.
	Slowdown float64
	// MemoryShare is the part of the engine's memory that its requests hold, from 0 to
	// 1; 0 also means unknown.
	MemoryShare float64
	// Born is the start time of the server instance, as in Server.
	Born int64
	// Sequence increases with each report until the agent restarts; 0 means
	// unknown.
	Sequence uint32
	// Changed is set if the engine's ability to serve requests differs from the
	// previous report.
	Changed bool
}

// Outcome is the result of an attempt at a server.
type Outcome int

// Outcomes of an attempt.
const (
	// Succeeded means that a complete answer was received.
	Succeeded Outcome = iota
	// Canceled means that the attempt ended without information about the
	// server.
	Canceled
	// Silent means that the server was silent until another one answered.
	Silent
	// Shed means that the server refused the request without running it.
	Shed
	// ResumeShed is Shed for a request that resumes a stream. Fresh requests may still be
	// taken.
	ResumeShed
	// Misdirected means that another server answers at the address, or that
	// the server holds other weights.
	Misdirected
	// Unreachable means that no connection could be established.
	Unreachable
	// Refused means that the server's VM refused the connection, since no process listens.
	Refused
	// Broken means that the answer was missing, truncated or malformed.
	Broken
	// Errored means that the server answered completely with a server error.
	Errored
)

// Config is the configuration of a Fleet.
type Config struct {
	// Zone is the availability zone of the entry.
	Zone string
	// QueueAllowance is how many requests beyond its slots an engine may hold.
	// Two extra requests keep the engine's batch full between two reports. They
	// wait for less than half of the time to the first event that callers
	// accept.
	QueueAllowance float64
	// ReportMaxAge is the age after which a report is ignored.
	ReportMaxAge time.Duration
	// CrossZonePenalty is added to the cost of a server in another zone, as a
	// share of the slots. Traffic between zones is expensive, but a waiting
	// request is worse.
	CrossZonePenalty float64
	// FailuresToSetAside is the number of consecutive failures after which a
	// server is set aside, that is, excluded for a time.
	FailuresToSetAside int
	// SetAside is the duration of the first exclusion. It doubles with each
	// further one up to MaxSetAside.
	SetAside, MaxSetAside time.Duration
	// ShedPause is how long a server is excluded after it refused a request.
	ShedPause time.Duration
	// MaxSetAsideShare bounds the share of a service's servers that are set
	// aside at once, because a failure of most servers has a common cause
	// elsewhere.
	MaxSetAsideShare float64
	// Backpressure holds what servers in need said; nil if that is not tracked.
	Backpressure *backpressure.Tracker
	// Regions are the regions of the availability zones.
	Regions map[string]string
	// SpreadByRoom chooses engines in proportion to their room, with an estimate of what
	// the other entries sent since the last report, instead of the less loaded of two.
	SpreadByRoom bool
	// OnEstimate is called with the estimated and the reported load of an engine when its
	// report arrives; may be nil.
	OnEstimate func(estimated, reported float64)
	// CheckMemory excludes engines whose memory a request would overfill.
	CheckMemory bool
}

// DefaultConfig returns the default configuration of an entry in a zone.
func DefaultConfig(zone string) Config {
	return Config{
		Zone:               zone,
		QueueAllowance:     2,
		ReportMaxAge:       2 * time.Second, // several lost datagrams
		CrossZonePenalty:   0.15,
		FailuresToSetAside: 2,
		SetAside:           1 * time.Second,
		MaxSetAside:        8 * time.Second,
		ShedPause:          100 * time.Millisecond, // half a report interval
		MaxSetAsideShare:   0.5,
	}
}

// member is the state of one server.
type member struct {
	server Server
	report Report
	// reportedAt is when the report arrived; zero if there is none.
	reportedAt time.Time
	// inFlight counts this entry's requests at the server.
	inFlight int
	// sentSinceReport and doneSinceReport count this entry's requests that
	// were sent and that ended since the report arrived.
	sentSinceReport, doneSinceReport int

	consecutiveFailures int
	// silent is the number of requests in flight on which the server sends nothing.
	silent           int
	setAsideDuration time.Duration
	excludedUntil    time.Time
	// noResumesUntil is until when the server is excluded for requests that resume streams.
	noResumesUntil time.Time
	// misdirected is set if another server answered at the address. It is reset
	// when the registry's record changes.
	misdirected bool
	removed     bool

	// region is the region of the server's availability zone; empty if unknown.
	region string
	// evacuated means that the operator empties the availability zone.
	evacuated bool
	cold      coldState
	// spread is what Config.SpreadByRoom keeps of an engine, and plain of a plain server.
	spread spreadMember
	plain  plainMember
	// inFlightTokens estimates what this entry's requests hold of the memory, and
	// tokensSinceReport the part of it that was sent since the report arrived.
	inFlightTokens, tokensSinceReport float64
}

// Fleet holds the servers of all services.
type Fleet struct {
	cfg Config
	// source is the state of rng.
	source    *rand.PCG
	rng       *rand.Rand
	members   map[string]*member
	services  map[string][]*member
	byAddress map[string]*member
	reports   map[string]timedReport
	// eligible and setAsideMembers are reused by all decisions to avoid
	// allocations.
	eligible, setAsideMembers []*member
	// availableAt is the earliest time at which a server that was Limited in the
	// current decision may get a request; zero if there was none.
	availableAt time.Time
	// pauseEndsAt is the earliest end of a server's pause that the last decision met.
	pauseEndsAt time.Time
	// published gives the lowest weight version at which a request may begin.
	published *PublishedVersions
	// traits are what the configuration says about the servers of each service.
	traits map[string]Traits
	// evacuated are the availability zones that the operator empties.
	evacuated map[string]bool
	entries   entriesView
	// exclusions counts the servers that the current decision excluded, by reason.
	exclusions eligibility.Exclusions
	// facts is reused by all decisions.
	facts eligibility.Server
	// spread is what Config.SpreadByRoom keeps of each service, and entryCount the number
	// of entries, 0 if it is not known.
	spread     map[string]*spreadService
	entryCount int
	// meanTokens is the mean size of this entry's requests by service.
	meanTokens map[string]float64
}

type timedReport struct {
	report     Report
	receivedAt time.Time
}

// NewFleet returns a fleet without servers. Entries use different seeds, so that
// their random choices differ.
func NewFleet(cfg Config, published *PublishedVersions, seed uint64) *Fleet {
	source := rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)
	return &Fleet{
		cfg: cfg, published: published, source: source, rng: rand.New(source),
		members: map[string]*member{}, services: map[string][]*member{},
		byAddress: map[string]*member{}, reports: map[string]timedReport{},
		traits: map[string]Traits{}, evacuated: map[string]bool{}, meanTokens: map[string]float64{}, spread: map[string]*spreadService{},
	}
}

// Put adds a server or updates it from its registry record. It reports whether
// the record changed.
func (f *Fleet) Put(s Server) bool {
	m, known := f.members[s.ID]
	if known && m.server == s {
		return false
	}
	if known && (m.server.Address != s.Address || m.server.Service != s.Service || m.server.Born != s.Born) {
		f.removeMember(m)
		known = false
	}
	if !known {
		m = &member{}
		f.members[s.ID] = m
		f.services[s.Service] = append(f.services[s.Service], m)
		if r, ok := f.reports[s.Address]; ok {
			m.report, m.reportedAt = r.report, r.receivedAt
		}
	}
	m.server = s
	f.recordRoom(m)
	m.misdirected = false
	m.region, m.evacuated = f.cfg.Regions[s.Zone], f.evacuated[s.Zone]
	f.byAddress[s.Address] = m
	return true
}

// Remove removes a server that the registry no longer lists. It reports whether
// the server was present.
func (f *Fleet) Remove(id string) bool {
	m, ok := f.members[id]
	if ok {
		f.removeMember(m)
	}
	return ok
}

func (f *Fleet) removeMember(m *member) {
	m.removed = true
	f.recordRoom(m)
	delete(f.members, m.server.ID)
	if f.byAddress[m.server.Address] == m {
		delete(f.byAddress, m.server.Address)
	}
	f.services[m.server.Service] = slices.DeleteFunc(f.services[m.server.Service], func(o *member) bool { return o == m })
}

// InstanceAt returns the server instance at an address if it was born at the given
// time, as far as that is known.
func (f *Fleet) InstanceAt(address string, born int64) (instance backpressure.Server, ok bool) {
	m := f.byAddress[address]
	if m == nil || born != 0 && m.server.Born != 0 && born != m.server.Born {
		return backpressure.Server{}, false
	}
	return m.server.Instance(), true
}

// Servers returns the registry records of all servers, ordered by id.
func (f *Fleet) Servers() []Server {
	all := make([]Server, 0, len(f.members))
	for _, m := range f.members {
		all = append(all, m.server)
	}
	slices.SortFunc(all, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// reorderWindow is the time after a report within which one with a lower
// sequence number is treated as reordered. Later it is treated as the first
// report of a restarted agent.
const reorderWindow = time.Second

// Report records an agent's report unless the same or a newer one has already
// arrived. Each report arrives over two paths with different delays.
func (f *Fleet) Report(r Report, now time.Time) {
	last, known := f.reports[r.Address]
	if known && r.Sequence != 0 && r.Sequence <= last.report.Sequence && now.Sub(last.receivedAt) < reorderWindow {
		return
	}
	f.reports[r.Address] = timedReport{r, now}
	m := f.byAddress[r.Address]
	if m == nil {
		return
	}
	if f.cfg.OnEstimate != nil && f.hasFreshReport(m, now) {
		f.cfg.OnEstimate(f.estimatedLoad(m, now), float64(r.Running+r.Queued))
	}
	m.report, m.reportedAt = r, now
	m.sentSinceReport, m.doneSinceReport, m.tokensSinceReport = 0, 0, 0
	f.recordRoom(m)
}

// Query describes the requirements of a request.
type Query struct {
	Service string
	// Model is the model that must be loaded; empty for plain services. It
	// comes from the request and the configuration, because the registry lists
	// no model while an engine changes weights.
	Model string
	// Tried holds the ids of servers that must not be tried again.
	Tried []string
	// Only holds the ids of the only servers that may be chosen, also if they are set
	// aside; empty for all.
	Only []string
	// Resumes means that the request resumes a stream.
	Resumes bool
	// SpareCapacityOnly restricts the request to capacity that would be idle,
	// for example because its target has already passed.
	SpareCapacityOnly bool
	// Regions are the regions in which the request may be served.
	Regions eligibility.Regions
	// Tokens estimates what the request will hold of an engine's memory; 0 means
	// unknown.
	Tokens float64
	// MaxTokens is the most that it may hold; a request for which no engine has so much is
	// refused.
	MaxTokens float64
	// Reserve is how much earlier an engine is full for the request than for those of
	// the highest rank, in requests.
	Reserve float64
}

// excludes reports whether the query itself rules a server out.
func (q *Query) excludes(id string) bool {
	if len(q.Only) > 0 {
		return !slices.Contains(q.Only, id)
	}
	return slices.Contains(q.Tried, id)
}

// Handle identifies a chosen server until Done is called with it.
type Handle struct {
	member *member
	tokens float64
	sentAt time.Time
	// plain means that the time of the answer counts for a plain server.
	plain bool
}

// Choice is a chosen server.
type Choice struct {
	Handle  Handle
	Server  Server
	Version int64
	// Load is the estimated load of the server before this request, in
	// requests. ReportAge is the age of the report that it is based on;
	// negative if there was none.
	Load      float64
	ReportAge time.Duration
	// FirstEventTimeout is how long the request may wait for its first event
	// before the server's weights are out of date. It is only valid if
	// HasFirstEventTimeout is set.
	FirstEventTimeout    time.Duration
	HasFirstEventTimeout bool
	// Permit allows the request to be sent. If NeedsPermit is set, the server is
	// limited and the entry must get a permit first.
	Permit      backpressure.Permit
	NeedsPermit bool
	// AvailableIn is the time until a server may get the request; it is only valid
	// for the miss Limited.
	AvailableIn time.Duration
	// PauseEndsIn is, after a miss, the time until the first pause of a server after a
	// refusal or a failure ends, or until a cold server may get the next request; 0 if
	// none does. It leaves out servers that are paused and have fresh reports: the next
	// report tells whether they have room.
	PauseEndsIn time.Duration
	// Exclusions counts, after a miss, the servers of the service by the reason that
	// excluded them.
	Exclusions eligibility.Exclusions
}

// Miss is the reason why no server was chosen.
type Miss string

// Reasons of a miss. Found means that there is none.
const (
	Found     Miss = ""
	NoServer  Miss = "no_server"
	AllFull   Miss = "all_full"
	NoWeights Miss = "no_weights"
	// Limited means that the servers that could serve the request limit their rate
	// or want no requests from this entry for a while.
	Limited Miss = "servers_limited"
	// NoHome means that no server stands in a region in which the request may be served.
	NoHome Miss = "no_home"
	// AllCold means that the servers that could serve the request have just started and
	// get no more from this entry for a moment.
	AllCold Miss = "servers_cold"
	// TooLarge means that the request does not fit into the memory of any engine.
	TooLarge Miss = "request_too_large"
)

// Choose chooses a server and counts the request as in flight there.
//
// An engine is eligible only while its estimated load is below its slots plus a
// small allowance, so that load above the capacity is refused at once and not
// late. Of two eligible servers chosen at random, the one with the lower cost is
// used. If each entry used the least loaded of all servers, all entries would
// send their requests to one engine between two reports.
func (f *Fleet) Choose(now time.Time, q Query) (Choice, Miss) {
	f.availableAt, f.pauseEndsAt = time.Time{}, time.Time{}
	f.exclusions = eligibility.Exclusions{}
	if f.isTooLarge(&q) {
		return Choice{}, TooLarge
	}
	m, miss := f.choose(&q, now)
	if m == nil {
		return Choice{
			AvailableIn: max(0, f.availableAt.Sub(now)), PauseEndsIn: max(0, f.pauseEndsAt.Sub(now)),
			Exclusions: f.exclusions,
		}, miss
	}
	load := f.estimatedLoad(m, now)
	m.inFlight++
	m.sentSinceReport++
	f.recordSent(m, now)
	if f.cfg.CheckMemory && q.Tokens > 0 {
		m.inFlightTokens += q.Tokens
		m.tokensSinceReport += q.Tokens
		f.recordTokens(q.Service, q.Tokens)
	}
	m.cold.take(f.traits[m.server.Service].Pace.Duration, now)
	choice := Choice{Handle: Handle{member: m, tokens: q.Tokens, sentAt: now}, Server: m.server, Version: f.weightVersion(m), Load: load, ReportAge: m.reportAge(now)}
	if f.tracksBackpressure() {
		permit, taken := f.cfg.Backpressure.TakePermit(m.server.Instance(), now)
		choice.Permit, choice.NeedsPermit = permit, !taken
	}
	// The wait for a permit says nothing about the server.
	if f.cfg.SpreadByRoom && q.Model == "" && !choice.NeedsPermit {
		choice.Handle.plain = true
		m.recordPlainSent(now)
	}
	if q.Model != "" {
		choice.FirstEventTimeout, choice.HasFirstEventTimeout = f.published.FirstEventTimeout(q.Model, choice.Version, now)
	}
	return choice, Found
}

// choose returns the server for a request, or the reason why there is none.
func (f *Fleet) choose(q *Query, now time.Time) (*member, Miss) {
	r := f.requirements(q, now)
	if f.cfg.SpreadByRoom && q.Model != "" {
		return f.sampleByRoom(q, &r, now)
	}
	return f.sample(q, &r, now)
}

// CanServe reports whether a server may receive a request now.
func (f *Fleet) CanServe(now time.Time, q Query) bool {
	r := f.requirements(&q, now)
	return slices.ContainsFunc(f.services[q.Service], func(m *member) bool {
		return f.exclusion(m, &q, &r, now) == eligibility.Eligible
	})
}

// CanReplace reports whether a server may receive a request once another one has left it.
func (f *Fleet) CanReplace(now time.Time, q Query, h Handle) bool {
	m := h.member
	if m == nil || m.removed || m.server.Service != q.Service {
		return false
	}
	tokens := 0.0
	if f.cfg.CheckMemory {
		tokens = min(h.tokens, m.inFlightTokens)
	}
	m.inFlight, m.doneSinceReport, m.inFlightTokens = m.inFlight-1, m.doneSinceReport+1, m.inFlightTokens-tokens
	r := f.requirements(&q, now)
	eligible := f.exclusion(m, &q, &r, now) == eligibility.Eligible
	m.inFlight, m.doneSinceReport, m.inFlightTokens = m.inFlight+1, m.doneSinceReport-1, m.inFlightTokens+tokens
	return eligible
}

// MaySend reports whether a request may still be sent to the server that was chosen for it.
// The place that it takes there, and a pause after a failure, don't matter any more.
func (f *Fleet) MaySend(now time.Time, h Handle, q Query) bool {
	m := h.member
	if m == nil || m.removed {
		return false
	}
	q.Only = []string{m.server.ID}
	r := f.requirements(&q, now)
	switch f.exclusion(m, &q, &r, now) {
	case eligibility.Eligible, eligibility.Full, eligibility.Memory, eligibility.Cold:
		return true
	default:
		return false
	}
}

// MayServe reports whether a server can take a request now, or may when something passes
// that often passes soon: its load, a pause, or a load of weights.
func (f *Fleet) MayServe(now time.Time, q Query) bool {
	r := f.requirements(&q, now)
	return slices.ContainsFunc(f.services[q.Service], func(m *member) bool {
		switch f.exclusion(m, &q, &r, now) {
		case eligibility.Eligible, eligibility.Full, eligibility.Memory, eligibility.Cold, eligibility.Paused, eligibility.NoWeights, eligibility.SetAside:
			return true
		default:
			return false
		}
	})
}

// maxSamples is the number of random servers that are checked for two eligible
// ones before all servers are checked. While most servers of a large service
// have free slots, a decision checks two or three of them.
const maxSamples = 8

// sample returns the server with the lower cost of two eligible ones chosen at
// random, or the reason why no server is eligible.
func (f *Fleet) sample(q *Query, r *eligibility.Request, now time.Time) (*member, Miss) {
	members := f.services[q.Service]
	var first *member
	for range maxSamples {
		if len(members) <= maxSamples {
			break
		}
		m := members[f.rng.IntN(len(members))]
		if m == first || f.exclusion(m, q, r, now) != eligibility.Eligible {
			continue
		}
		if first != nil {
			return f.lowerCost(first, m, now), Found
		}
		first = m
	}
	eligible, miss := f.eligible[:0], NoServer
	for _, m := range members {
		reason := f.exclusion(m, q, r, now)
		if reason == eligibility.Eligible {
			eligible = append(eligible, m)
			continue
		}
		f.exclusions[reason]++
		if other := missFor(reason); other.rank() > miss.rank() {
			miss = other
		}
	}
	f.eligible = eligible
	switch len(eligible) {
	case 0:
		return nil, miss
	case 1:
		return eligible[0], Found
	}
	i, j := f.rng.IntN(len(eligible)), f.rng.IntN(len(eligible)-1)
	if j >= i {
		j++
	}
	return f.lowerCost(eligible[i], eligible[j], now), Found
}

func (f *Fleet) tracksBackpressure() bool {
	return f.cfg.Backpressure != nil && f.cfg.Backpressure.Len() > 0
}

// restarted reports whether the agent's report is of a later server instance
// than the registry's record. The new instance answers under another id, so
// every request would be misdirected until the registry is updated (three times
// per request after a power loss).
func (m *member) restarted() bool {
	return m.server.Born != 0 && m.report.Born > m.server.Born
}

// maxLoad returns the load from which a server is full for a request.
func (f *Fleet) maxLoad(m *member, q *Query) float64 {
	slots := float64(max(m.server.Slots, 1))
	if q.SpareCapacityOnly {
		return slots - 1
	}
	return slots + f.queueAllowance(m) - q.Reserve
}

func (f *Fleet) hasFreshReport(m *member, now time.Time) bool {
	return !m.reportedAt.IsZero() && now.Sub(m.reportedAt) <= f.cfg.ReportMaxAge
}

// weightVersion returns the version from the agent's report, because reports are
// more recent than the registry. It returns the registry's version if there is no
// report or if the report is of an earlier server instance.
func (f *Fleet) weightVersion(m *member) int64 {
	if !m.reportedAt.IsZero() && (m.server.Born == 0 || m.report.Born == 0 || m.report.Born >= m.server.Born) {
		return m.report.WeightVersion
	}
	return m.server.WeightVersion
}

// estimatedLoad returns the estimated number of requests at a server.
func (f *Fleet) estimatedLoad(m *member, now time.Time) float64 {
	if !f.hasFreshReport(m, now) {
		if f.cfg.SpreadByRoom && f.entryCount > 1 && !m.reportedAt.IsZero() {
			return max(f.fullLoad(m)-staleRoom, float64(m.inFlight))
		}
		return float64(m.inFlight)
	}
	reported := float64(m.report.Running + m.report.Queued)
	if f.cfg.SpreadByRoom {
		reported = max(0, reported+f.othersSince(m, now))
	}
	return max(reported+float64(m.sentSinceReport-m.doneSinceReport), float64(m.inFlight))
}

// lowerCost returns the server with the lower cost.
func (f *Fleet) lowerCost(a, b *member, now time.Time) *member {
	if f.cost(b, now) < f.cost(a, now) {
		return b
	}
	return a
}

func (f *Fleet) cost(m *member, now time.Time) float64 {
	load := f.estimatedLoad(m, now)
	if f.cfg.SpreadByRoom {
		// Engines are spread by sampleByRoom.
		load = (load + 1) * f.slowness(m, now)
	}
	cost := load / float64(max(m.server.Slots, 1))
	if m.report.Slowdown > 1 {
		cost *= m.report.Slowdown
	}
	if m.server.Zone != f.cfg.Zone {
		cost += f.cfg.CrossZonePenalty
	}
	return cost
}

// Done ends a request in flight and records its outcome.
func (f *Fleet) Done(now time.Time, h Handle, outcome Outcome) {
	m := h.member
	if m == nil {
		return
	}
	if h.plain {
		f.recordPlainDone(m, h, now, outcome == Succeeded)
	}
	m.inFlight--
	m.doneSinceReport++
	if f.cfg.CheckMemory {
		m.inFlightTokens = max(0, m.inFlightTokens-h.tokens)
		if !h.sentAt.Before(m.reportedAt) {
			m.tokensSinceReport = max(0, m.tokensSinceReport-h.tokens)
		}
	}
	if outcome == Succeeded {
		f.recordServiceTime(m, now.Sub(h.sentAt))
	}
	switch outcome {
	case Succeeded:
		m.consecutiveFailures, m.setAsideDuration = 0, 0
	case Shed:
		m.excludedUntil = later(m.excludedUntil, now.Add(f.cfg.ShedPause))
	case ResumeShed:
		m.noResumesUntil = later(m.noResumesUntil, now.Add(f.cfg.ShedPause))
	case Misdirected:
		m.misdirected = true
	case Unreachable:
		f.setAside(m, now)
	case Refused:
		f.setAside(m, now)
		f.expectColdReturn(m)
	case Broken, Silent:
		f.recordFailure(m, now)
	case Canceled, Errored:
	}
}

// RecordSilence records that a server sends nothing on a request in flight, which goes on.
// EndSilence records that this is over.
func (f *Fleet) RecordSilence(h Handle) {
	if h.member != nil {
		h.member.silent++
	}
}

// EndSilence is the counterpart of RecordSilence.
func (f *Fleet) EndSilence(h Handle) {
	if h.member != nil {
		h.member.silent--
	}
}

// isSilent reports whether a server is silent on so many requests that it gets no more,
// unless most servers of its service are.
func (f *Fleet) isSilent(m *member) bool {
	if m.silent < f.cfg.FailuresToSetAside {
		return false
	}
	members, silent := f.services[m.server.Service], 0
	for _, other := range members {
		if other.silent >= f.cfg.FailuresToSetAside {
			silent++
		}
	}
	return float64(silent) <= f.cfg.MaxSetAsideShare*float64(len(members))
}

// excludedUntilFor returns until when a server is excluded for a request after a failure or a
// refusal.
func (m *member) excludedUntilFor(q *Query) time.Time {
	if q.Resumes {
		return later(m.excludedUntil, m.noResumesUntil)
	}
	return m.excludedUntil
}

func (f *Fleet) recordFailure(m *member, now time.Time) {
	m.consecutiveFailures++
	if m.consecutiveFailures >= f.cfg.FailuresToSetAside {
		f.setAside(m, now)
	}
}

func (f *Fleet) setAside(m *member, now time.Time) {
	m.setAsideDuration = min(max(2*m.setAsideDuration, f.cfg.SetAside), f.cfg.MaxSetAside)
	m.excludedUntil = later(m.excludedUntil, now.Add(m.setAsideDuration))
	m.consecutiveFailures = 0
	f.limitSetAside(now, m.server.Service)
}

// limitSetAside ends exclusions, those with the earliest end first, until at most
// MaxSetAsideShare of the service's servers are set aside.
func (f *Fleet) limitSetAside(now time.Time, service string) {
	excluded := f.setAsideMembers[:0]
	for _, m := range f.services[service] {
		if now.Before(m.excludedUntil) && m.setAsideDuration > 0 {
			excluded = append(excluded, m)
		}
	}
	f.setAsideMembers = excluded
	maxSetAside := int(f.cfg.MaxSetAsideShare * float64(len(f.services[service])))
	if len(excluded) <= maxSetAside {
		return
	}
	slices.SortFunc(excluded, func(a, b *member) int { return a.excludedUntil.Compare(b.excludedUntil) })
	for _, m := range excluded[:len(excluded)-maxSetAside] {
		m.excludedUntil = time.Time{}
	}
}

// LimitedRate returns the sum of the limits of a service's servers, in requests per
// second of all entries.
func (f *Fleet) LimitedRate(service string) (sum float64) {
	for _, m := range f.services[service] {
		if f.tracksBackpressure() {
			rate, _ := f.cfg.Backpressure.Limit(m.server.Instance())
			sum += rate
		}
	}
	return sum
}

// LimitedServers returns the ids of a service's servers to which this entry may send
// no request, or only some, because of what they said.
func (f *Fleet) LimitedServers(service string, now time.Time) (ids []string) {
	for _, m := range f.services[service] {
		if !f.tracksBackpressure() {
			break
		}
		if standing, _ := f.cfg.Backpressure.Standing(m.server.Instance(), now); standing != backpressure.Free {
			ids = append(ids, m.server.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
