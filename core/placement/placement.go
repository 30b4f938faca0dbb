// Package placement decides which backend server a request goes to, whether
// it waits for one, and when it is refused.
//
// Every entry decides by itself on what it knows: the registry's list, the
// load that the agents beside the engines report several times a second, and
// its own requests in flight. Nothing here does I/O, reads a clock or starts
// a goroutine; a Fleet is one value without a mutex.
package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Server is what the registry says of one backend server.
type Server struct {
	ID, Address, Service, Zone string
	// Slots is how many requests it runs at once; 0 is unknown.
	Slots int
	// Draining servers get no new requests.
	Draining bool
	// WeightVersion is the version of the whole weights that it holds; 0 is
	// none.
	WeightVersion int64
	// Born is the start of this incarnation in Unix milliseconds; 0 is
	// unknown. It is only compared with other values for the same server.
	Born int64
}

// Report is what the agent beside an engine measured.
type Report struct {
	// Address is the engine's address.
	Address string
	// Running and Queued are the requests of all entries.
	Running, Queued int
	// WeightVersion is the version of the whole weights; 0 is none.
	WeightVersion int64
	// Loading says that the engine accepts nothing because it changes
	// weights.
	Loading bool
	// Down says that the engine doesn't answer its agent.
	Down bool
	// Pace is the engine's slowness; 1 is normal.
	Pace float64
	// Born is the engine's incarnation, as in Server.
	Born int64
	// Sequence grows with each report of one run of the agent; 0 is unknown.
	Sequence uint32
	// Changed says that what the engine can serve differs from the report
	// before.
	Changed bool
}

// Outcome is how an attempt at a server ended.
type Outcome int

// Outcomes of an attempt.
const (
	// Succeeded means that a whole answer came.
	Succeeded Outcome = iota
	// Canceled says nothing about the server.
	Canceled
	// Shed means that the server refused without running the request.
	Shed
	// Misdirected means that another server has the address, or other weights.
	Misdirected
	// Unreachable means that no connection could be made.
	Unreachable
	// Broken means that the answer was missing, cut off or garbled.
	Broken
	// Errored means a whole answer with a server error.
	Errored
)

// Config sets the behaviour of a Fleet.
type Config struct {
	// Zone is where the entry runs.
	Zone string
	// QueueAllowance is how many requests above its slots an engine may
	// hold. Two keep its batch full between two reports and wait less than
	// half of the time to the first event that callers accept.
	QueueAllowance float64
	// ReportMaxAge is the age after which a report is not used any more.
	ReportMaxAge time.Duration
	// ZoneBias is the load, as a share of the slots, that a server of the
	// own zone may have more than one elsewhere. Bytes between zones are
	// dear, but less so than a request that waits.
	ZoneBias float64
	// FailuresToSetAside is how many failures in a row set a server aside.
	FailuresToSetAside int
	// SetAside is how long at first; it doubles up to MaxSetAside.
	SetAside, MaxSetAside time.Duration
	// ShedPause is how long a server that refused a request gets none.
	ShedPause time.Duration
	// MaxSetAsideShare bounds the share of a service's servers that are set
	// aside at once: a cause that hits most of them is not theirs.
	MaxSetAsideShare float64
}

// DefaultConfig returns the configuration of an entry in a zone.
func DefaultConfig(zone string) Config {
	return Config{
		Zone:               zone,
		QueueAllowance:     2,
		ReportMaxAge:       2 * time.Second, // several lost datagrams
		ZoneBias:           0.15,
		FailuresToSetAside: 2,
		SetAside:           1 * time.Second,
		MaxSetAside:        8 * time.Second,
		ShedPause:          100 * time.Millisecond, // half a report interval
		MaxSetAsideShare:   0.5,
	}
}

// member is a server with what this entry knows of it.
type member struct {
	server Server
	report Report
	// reported is when the report arrived; zero if there is none.
	reported time.Time
	// inFlight are the own requests at the server.
	inFlight int
	// sentSince and doneSince count own sends and ends after the report.
	sentSince, doneSince int

	failures   int
	setAside   time.Duration
	asideUntil time.Time
	// misdirected says that the address answered as another server; it
	// holds until the registry says something new.
	misdirected bool
	removed     bool
}

// Fleet is the servers of all services.
type Fleet struct {
	cfg      Config
	random   *rand.Rand
	members  map[string]*member
	services map[string][]*member
	byAddr   map[string]*member
	reports  map[string]timedReport
	// eligible and aside are kept between decisions to spare allocations.
	eligible, aside []*member
	// named tells which weight version requests must not begin below.
	named *Named
}

type timedReport struct {
	report Report
	at     time.Time
}

// NewFleet returns a fleet without servers. The seed makes the choices of
// entries differ.
func NewFleet(cfg Config, named *Named, seed uint64) *Fleet {
	return &Fleet{
		cfg: cfg, named: named, random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		members: map[string]*member{}, services: map[string][]*member{},
		byAddr: map[string]*member{}, reports: map[string]timedReport{},
	}
}

// Put adds a server or takes over what the registry newly says of it. It
// reports whether anything but the load changed.
func (f *Fleet) Put(s Server) bool {
	m, known := f.members[s.ID]
	if known && m.server == s {
		return false
	}
	if known && (m.server.Address != s.Address || m.server.Service != s.Service || m.server.Born != s.Born) {
		f.drop(m)
		known = false
	}
	if !known {
		m = &member{}
		f.members[s.ID] = m
		f.services[s.Service] = append(f.services[s.Service], m)
		if r, ok := f.reports[s.Address]; ok {
			m.report, m.reported = r.report, r.at
		}
	}
	m.server = s
	m.misdirected = false
	f.byAddr[s.Address] = m
	return true
}

// Remove drops a server that the registry no longer lists.
func (f *Fleet) Remove(id string) bool {
	m, ok := f.members[id]
	if ok {
		f.drop(m)
	}
	return ok
}

func (f *Fleet) drop(m *member) {
	m.removed = true
	delete(f.members, m.server.ID)
	if f.byAddr[m.server.Address] == m {
		delete(f.byAddr, m.server.Address)
	}
	f.services[m.server.Service] = slices.DeleteFunc(f.services[m.server.Service], func(o *member) bool { return o == m })
}

// Servers returns the listed servers.
func (f *Fleet) Servers() []Server {
	all := make([]Server, 0, len(f.members))
	for _, m := range f.members {
		all = append(all, m.server)
	}
	slices.SortFunc(all, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// overtakenWithin is the time in which a report with a lower number than the
// last one counts as overtaken on its way, and not as one of a new agent.
const overtakenWithin = time.Second

// Report takes an agent's report over, unless it has it or a newer one: reports
// come by two ways, which may be differently slow.
func (f *Fleet) Report(r Report, now time.Time) {
	last, known := f.reports[r.Address]
	if known && r.Sequence != 0 && r.Sequence <= last.report.Sequence && now.Sub(last.at) < overtakenWithin {
		return
	}
	f.reports[r.Address] = timedReport{r, now}
	m := f.byAddr[r.Address]
	if m == nil {
		return
	}
	m.report, m.reported = r, now
	m.sentSince, m.doneSince = 0, 0
}

// Query describes what a request needs.
type Query struct {
	Service string
	// Model is the model that must be loaded; empty for plain services. It
	// comes from the request and the configuration: the registry names no
	// model while an engine changes weights.
	Model string
	// Avoid are ids of servers that the request was already at.
	Avoid []string
	// Yielding requests, for example those whose target has already passed,
	// only take capacity that would be idle.
	Yielding bool
}

// Handle names a chosen server until Done.
type Handle struct{ member *member }

// Choice is a chosen server.
type Choice struct {
	Handle  Handle
	Server  Server
	Version int64
	// Load is the estimated load that decided, in requests, ReportAge the
	// age of the report behind it; negative if there was none.
	Load      float64
	ReportAge time.Duration
	// BeginWithin is how long the request may wait for its first event,
	// because the server's weights are out of date after it, if Bounded.
	BeginWithin time.Duration
	Bounded     bool
}

// Miss says why nothing was chosen.
type Miss string

// Reasons of a miss.
const (
	Found     Miss = ""
	NoServer  Miss = "no_server"
	AllFull   Miss = "all_full"
	NoWeights Miss = "no_weights"
)

// Choose picks a server and counts the request in.
//
// Many users at once: a server is eligible only while its estimated load is
// below its slots and a small allowance, so that work above the capacity is
// turned away at once and not late. Of two eligible servers drawn at random
// the less loaded is taken; always taking the least loaded of all would send
// the requests of all entries to one engine between two reports.
func (f *Fleet) Choose(now time.Time, q Query) (Choice, Miss) {
	required := int64(0)
	if q.Model != "" {
		required = f.named.Required(q.Model, now)
	}
	m, miss := f.draw(q, required, now)
	if m == nil {
		return Choice{}, miss
	}
	load := f.load(m, now)
	m.inFlight++
	m.sentSince++
	age := time.Duration(-1)
	if !m.reported.IsZero() {
		age = now.Sub(m.reported)
	}
	choice := Choice{Handle: Handle{m}, Server: m.server, Version: f.version(m), Load: load, ReportAge: age}
	if q.Model != "" {
		choice.BeginWithin, choice.Bounded = f.named.BeginWithin(q.Model, choice.Version, now)
	}
	return choice, Found
}

// draws is how many servers are drawn to find two eligible ones before all are
// looked at. While most of a large service has room, a decision looks at two or
// three of its servers.
const draws = 8

// draw returns the better of two eligible servers drawn at random, or why there
// is none.
func (f *Fleet) draw(q Query, required int64, now time.Time) (*member, Miss) {
	members := f.services[q.Service]
	var first *member
	for range draws {
		if len(members) <= draws {
			break
		}
		m := members[f.random.IntN(len(members))]
		if m == first || f.refusal(m, q, required, now) != Found {
			continue
		}
		if first != nil {
			return f.better(first, m, now), Found
		}
		first = m
	}
	eligible, miss := f.eligible[:0], NoServer
	for _, m := range members {
		switch reason := f.refusal(m, q, required, now); reason {
		case Found:
			eligible = append(eligible, m)
		case NoServer:
		default:
			if miss == NoServer || reason == AllFull {
				miss = reason
			}
		}
	}
	f.eligible = eligible
	switch len(eligible) {
	case 0:
		return nil, miss
	case 1:
		return eligible[0], Found
	}
	i, j := f.random.IntN(len(eligible)), f.random.IntN(len(eligible)-1)
	if j >= i {
		j++
	}
	return f.better(eligible[i], eligible[j], now), Found
}

// refusal tells why a server may not get a request; required is the version below
// which it may not begin.
func (f *Fleet) refusal(m *member, q Query, required int64, now time.Time) Miss {
	if m.server.Draining || m.misdirected || slices.Contains(q.Avoid, m.server.ID) {
		return NoServer
	}
	fresh := f.fresh(m, now)
	if fresh && (m.report.Down || m.replaced()) || now.Before(m.asideUntil) {
		return NoServer
	}
	if q.Model != "" {
		version := f.version(m)
		if version == 0 || version < required || fresh && m.report.Loading {
			return NoWeights
		}
		if f.load(m, now) >= f.limit(m, q) {
			return AllFull
		}
	}
	return Found
}

// replaced reports whether the agent sees a later incarnation than the registry
// lists. It answers under another id, so every request would be misdirected
// until the registry follows (three times a request after a power loss).
func (m *member) replaced() bool {
	return m.server.Born != 0 && m.report.Born > m.server.Born
}

// limit is the load up to which a server takes a request.
func (f *Fleet) limit(m *member, q Query) float64 {
	slots := float64(max(m.server.Slots, 1))
	if q.Yielding {
		return slots - 1
	}
	return slots + f.cfg.QueueAllowance
}

func (f *Fleet) fresh(m *member, now time.Time) bool {
	return !m.reported.IsZero() && now.Sub(m.reported) <= f.cfg.ReportMaxAge
}

// version prefers the agent's report, which is newer than the registry's.
func (f *Fleet) version(m *member) int64 {
	if !m.reported.IsZero() && (m.server.Born == 0 || m.report.Born == 0 || m.report.Born >= m.server.Born) {
		return m.report.WeightVersion
	}
	return m.server.WeightVersion
}

// load estimates the requests at a server.
func (f *Fleet) load(m *member, now time.Time) float64 {
	if !f.fresh(m, now) {
		return float64(m.inFlight)
	}
	reported := float64(m.report.Running + m.report.Queued)
	return max(reported+float64(m.sentSince-m.doneSince), float64(m.inFlight))
}

// better returns the one with the lower load.
func (f *Fleet) better(a, b *member, now time.Time) *member {
	if f.cost(b, now) < f.cost(a, now) {
		return b
	}
	return a
}

func (f *Fleet) cost(m *member, now time.Time) float64 {
	cost := f.load(m, now) / float64(max(m.server.Slots, 1))
	if m.report.Pace > 1 {
		cost *= m.report.Pace
	}
	if m.server.Zone != f.cfg.Zone {
		cost += f.cfg.ZoneBias
	}
	return cost
}

// Done counts a request out and learns from its outcome.
func (f *Fleet) Done(now time.Time, h Handle, outcome Outcome) {
	m := h.member
	if m == nil {
		return
	}
	m.inFlight--
	m.doneSince++
	switch outcome {
	case Succeeded:
		m.failures, m.setAside = 0, 0
	case Shed:
		m.asideUntil = later(m.asideUntil, now.Add(f.cfg.ShedPause))
	case Misdirected:
		m.misdirected = true
	case Unreachable:
		f.setAsideNow(m, now)
	case Broken:
		m.failures++
		if m.failures >= f.cfg.FailuresToSetAside {
			f.setAsideNow(m, now)
		}
	case Canceled, Errored:
	}
}

func (f *Fleet) setAsideNow(m *member, now time.Time) {
	m.setAside = min(max(2*m.setAside, f.cfg.SetAside), f.cfg.MaxSetAside)
	m.asideUntil = later(m.asideUntil, now.Add(m.setAside))
	m.failures = 0
	f.ageOutSetAside(now, m.server.Service)
}

// ageOutSetAside ends the oldest exclusions of a service while too many of
// its servers are set aside.
func (f *Fleet) ageOutSetAside(now time.Time, service string) {
	aside := f.aside[:0]
	for _, m := range f.services[service] {
		if now.Before(m.asideUntil) && m.setAside > 0 {
			aside = append(aside, m)
		}
	}
	f.aside = aside
	most := int(f.cfg.MaxSetAsideShare * float64(len(f.services[service])))
	if len(aside) <= most {
		return
	}
	slices.SortFunc(aside, func(a, b *member) int { return a.asideUntil.Compare(b.asideUntil) })
	for _, m := range aside[:len(aside)-most] {
		m.asideUntil = time.Time{}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
