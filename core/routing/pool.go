package routing

import (
	"math"
	"math/bits"
	"time"

	"github.com/laburnumloft/laburnumloft/core/invariant"
)

// Config configures a Pool.
type Config struct {
	// Region is the region of the requests; its members are preferred.
	Region string
	// LoadBound is the largest ratio of a backend server's utilization to the
	// mean at which it is chosen for affinity alone. 1 balances strictly; large
	// values follow the prefix cache regardless of the load.
	LoadBound float64
	// AffinityUtilization is the utilization of a backend server up to which affinity is
	// followed regardless of the other servers' load. An engine below its limit
	// does not answer more slowly, so moving a prefix would only lose its cache.
	AffinityUtilization float64
	// ReportHalfLife is the age at which a load report counts for half.
	ReportHalfLife time.Duration
	// SlowStart is the time in which the capacity of a new backend server grows
	// to its limit, starting at SlowStartShare of the limit.
	SlowStart      time.Duration
	SlowStartShare float64
	// DefaultLimit is the concurrency limit of a backend server that has not
	// reported one.
	DefaultLimit int
	// EjectionFailures is the number of consecutive failures after which a
	// backend server is ejected: temporarily excluded from the choice. The first
	// ejection lasts EjectionTime; each further one lasts twice as long, up to
	// MaxEjectionTime.
	EjectionFailures              int
	EjectionTime, MaxEjectionTime time.Duration
	// MaxEjectedShare limits the share of members that are ejected at the same
	// time, because failures of most members have a common cause elsewhere.
	MaxEjectedShare float64
}

// DefaultConfig returns the configuration for a region.
func DefaultConfig(region string) Config {
	return Config{
		Region: region, LoadBound: 1.25, AffinityUtilization: 0.5, ReportHalfLife: 2 * time.Second,
		SlowStart: 10 * time.Second, SlowStartShare: 0.2, DefaultLimit: 8,
		EjectionFailures: 5, EjectionTime: 2 * time.Second, MaxEjectionTime: 60 * time.Second, MaxEjectedShare: 0.34,
	}
}

// Backend describes one backend server as membership reports it.
type Backend struct {
	ID, Address, Region, Version string
	// Incarnation is the incarnation of the agent in front of the backend server.
	Incarnation int64
	// Sequence is the number of the report within the incarnation.
	Sequence uint64
	// Running and Queued are the reported numbers of requests, from all entries.
	Running, Queued int
}

// Handle identifies a chosen backend server until Done. If the member leaves or
// restarts in the meantime, using the handle has no effect.
type Handle struct {
	slot, generation uint32
}

// Request describes the request that a backend server is chosen for.
type Request struct {
	Version string
	// OtherVersions allows members that serve another version if no member with
	// Version has room. During a rollout these are the members that have not
	// loaded the new version yet.
	OtherVersions bool
	// Affinity is the hash of the workspace and the prompt's prefix.
	Affinity uint64
	// Regions limits the choice to the given regions; empty means all regions.
	Regions []string
	// MaxUtilization is the largest utilization of a backend server that the request may
	// cause, so that the rest stays free for other requests; 0 means 1.
	MaxUtilization float64
	// Tried are the backend servers that have already refused the request; they
	// are not chosen again.
	Tried []Handle
}

// Choice is a chosen backend server.
type Choice struct {
	Handle      Handle
	ID, Address string
	// Version is the version that the backend server serves.
	Version string
}

// ChoiceStatus reports whether Choose found a backend server, or why not.
type ChoiceStatus int

// Results of Choose.
const (
	// Found means that a backend server was chosen.
	Found ChoiceStatus = iota
	// NoMember means that no member in an allowed region serves a suitable version.
	NoMember
	// Full means that members in allowed regions serve a suitable version, but
	// all of them are at their limit, ejected or in Request.Tried.
	Full
)

// member is the state of one backend server. Each decision reads up to 600
// members, so the fields of the hot path come first.
type member struct {
	idHash         uint64
	versionHash    uint64
	inFlight       float64
	othersLoad     float64
	limit          float64
	slowStartUntil int64
	ejectedUntil   int64
	// pausedUntil is until when the backend server takes no requests.
	pausedUntil int64
	regionBit   uint64
	reportedAt  int64
	occupied    bool
	generation  uint32
	Backend
	failures, ejections int
}

// Pool chooses among the backend servers of one service.
type Pool struct {
	cfg       Config
	members   []member
	byID      map[string]uint32
	regions   map[string]uint64
	ownRegion uint64
	history   invariant.History
	// epoch is the time of the first call. Times are stored relative to it, so
	// that they are small enough for float arithmetic.
	epoch   time.Time
	updated map[string]bool
	// candidates is scratch space for one decision, reused to avoid allocations.
	candidates []candidate
}

// candidate is a member with room for the request.
type candidate struct {
	slot           uint32
	load, capacity float64
}

// NewPool returns a pool without members.
func NewPool(cfg Config) *Pool {
	p := &Pool{cfg: cfg, byID: map[string]uint32{}, regions: map[string]uint64{}, updated: map[string]bool{}}
	p.ownRegion = p.regionBit(cfg.Region)
	return p
}

// regionBit returns the bit of a region. Regions beyond the 63rd share a bit.
func (p *Pool) regionBit(name string) uint64 {
	bit, ok := p.regions[name]
	if !ok {
		bit = 1 << min(len(p.regions), 63)
		p.regions[name] = bit
	}
	return bit
}

func (p *Pool) sinceEpoch(now time.Time) int64 {
	if p.epoch.IsZero() {
		p.epoch = now
	}
	return now.Sub(p.epoch).Nanoseconds()
}

// Update replaces the set of members. A member keeps its counts as long as its
// incarnation and its version stay the same. New and restarted members start
// slowly unless the pool was empty, because then no other member can take the
// load.
func (p *Pool) Update(now time.Time, backends []Backend) {
	at := p.sinceEpoch(now)
	wasEmpty := len(p.byID) == 0
	clear(p.updated)
	for _, b := range backends {
		p.updated[b.ID] = true
		slot, known := p.byID[b.ID]
		if !known {
			slot = p.allocateSlot()
			p.byID[b.ID] = slot
		}
		m := &p.members[slot]
		if !known || m.Incarnation != b.Incarnation || m.Version != b.Version {
			p.reset(m, b, at, wasEmpty)
			continue
		}
		newReport := b.Sequence != m.Sequence
		m.Backend = b
		if newReport {
			m.recordLoad(at, b.Running+b.Queued)
		}
	}
	for id, slot := range p.byID {
		if !p.updated[id] {
			m := &p.members[slot]
			*m = member{generation: m.generation + 1}
			delete(p.byID, id)
		}
	}
	p.history.Check(len(p.byID) == len(p.updated), "pool has %d members, want %d from membership", len(p.byID), len(p.updated))
}

func (p *Pool) allocateSlot() uint32 {
	for i := range p.members {
		if !p.members[i].occupied {
			p.members[i].occupied = true
			return uint32(i)
		}
	}
	p.members = append(p.members, member{occupied: true})
	return uint32(len(p.members) - 1)
}

func (p *Pool) reset(m *member, b Backend, at int64, wasEmpty bool) {
	limit := m.limit
	if limit == 0 {
		limit = float64(p.cfg.DefaultLimit)
	}
	*m = member{
		occupied: true, generation: m.generation + 1, Backend: b, idHash: hashString(b.ID), versionHash: hashString(b.Version),
		regionBit: p.regionBit(b.Region), limit: limit, slowStartUntil: -1, ejectedUntil: -1,
	}
	if !wasEmpty {
		m.slowStartUntil = at + p.cfg.SlowStart.Nanoseconds()
	}
	m.recordLoad(at, b.Running+b.Queued)
}

// recordLoad records a load report. This entry's own requests are known exactly,
// so only the part that exceeds them counts as load from other entries.
func (m *member) recordLoad(at int64, load int) {
	m.othersLoad = max(0, float64(load)-m.inFlight)
	m.reportedAt = at
}

// estimatedLoad estimates the number of requests at the backend server.
func (m *member) estimatedLoad(at int64, halfLife float64) float64 {
	if m.othersLoad == 0 {
		return m.inFlight
	}
	age := float64(at - m.reportedAt)
	// 1/(1+x) halves at one half-life like an exponential, but is cheaper to
	// compute for each of 600 members.
	return m.inFlight + m.othersLoad/(1+age/halfLife)
}

// capacity returns the member's limit, reduced during its slow start.
func (p *Pool) capacity(m *member, at int64) float64 {
	if at >= m.slowStartUntil {
		return m.limit
	}
	remaining := float64(m.slowStartUntil-at) / float64(p.cfg.SlowStart.Nanoseconds())
	return max(1, m.limit*(1-remaining*(1-p.cfg.SlowStartShare)))
}

// Choose chooses a backend server and counts the request as in flight there. It
// prefers the pool's own region and, within a region, the request's version. Among
// the members whose utilization is at most LoadBound times the mean, or at most
// AffinityUtilization, it chooses the one with the highest rendezvous score, so that
// requests with the same prefix reach the same cache and a hot prefix spills over
// to other members. If there is none, it chooses the least utilized member.
func (p *Pool) Choose(now time.Time, r Request) (Choice, ChoiceStatus) {
	at := p.sinceEpoch(now)
	allowed := p.regionMask(r.Regions)
	for _, regions := range [...]uint64{allowed & p.ownRegion, allowed &^ p.ownRegion} {
		if best := p.pick(at, r, regions, false); best >= 0 {
			return p.assign(best, r), Found
		}
		if !r.OtherVersions {
			continue
		}
		if best := p.pick(at, r, regions, true); best >= 0 {
			return p.assign(best, r), Found
		}
	}
	for i := range p.members {
		if m := &p.members[i]; m.occupied && m.regionBit&allowed != 0 && (r.OtherVersions || m.Version == r.Version) {
			return Choice{}, Full
		}
	}
	return Choice{}, NoMember
}

func (p *Pool) regionMask(regions []string) uint64 {
	if len(regions) == 0 {
		return math.MaxUint64
	}
	var mask uint64
	for _, name := range regions {
		mask |= p.regions[name]
	}
	return mask
}

// pick chooses, in the given regions, among the members that serve the request's
// version or, with otherVersions, among those that serve another one. It returns
// the slot of the member, or -1.
func (p *Pool) pick(at int64, r Request, regions uint64, otherVersions bool) int {
	if regions == 0 {
		return -1
	}
	halfLife := float64(p.cfg.ReportHalfLife.Nanoseconds())
	version := hashString(r.Version)
	maxUse := r.MaxUtilization
	if maxUse == 0 {
		maxUse = 1
	}
	load, capacity := 0.0, 0.0
	candidates := p.candidates[:0]
	for i := range p.members {
		m := &p.members[i]
		if !m.eligible(at, regions) || (m.versionHash != version) != otherVersions {
			continue
		}
		l, c := m.estimatedLoad(at, halfLife), p.capacity(m, at)
		load += l
		capacity += c
		if l+1 <= max(1, c*maxUse) && !m.wasTried(uint32(i), r.Tried) {
			candidates = append(candidates, candidate{uint32(i), l, c})
		}
	}
	p.candidates = candidates
	if capacity == 0 {
		return -1
	}
	// The new request is included, so that the bound holds after the choice and
	// is above zero in an idle pool.
	bound := max(p.cfg.AffinityUtilization, p.cfg.LoadBound*(load+1)/capacity)
	best, bestScore := -1, uint64(0)
	leastUtilized, leastUtilization := -1, math.MaxFloat64
	for _, c := range candidates {
		if c.load <= bound*c.capacity {
			if score := mix(p.members[c.slot].idHash ^ r.Affinity); best < 0 || score > bestScore {
				best, bestScore = int(c.slot), score
			}
		} else if utilization := c.load / c.capacity; utilization < leastUtilization {
			leastUtilized, leastUtilization = int(c.slot), utilization
		}
	}
	if best < 0 {
		return leastUtilized
	}
	return best
}

func (m *member) eligible(at int64, regions uint64) bool {
	return m.occupied && m.regionBit&regions != 0 && at >= m.ejectedUntil && at >= m.pausedUntil
}

func (m *member) wasTried(slot uint32, tried []Handle) bool {
	for _, h := range tried {
		if h.slot == slot && h.generation == m.generation {
			return true
		}
	}
	return false
}

func (p *Pool) assign(slot int, r Request) Choice {
	m := &p.members[slot]
	m.inFlight++
	if m.Version != r.Version && !r.OtherVersions {
		p.history.Check(false, "chose a member with version %s for a request of version %s", m.Version, r.Version)
	}
	return Choice{Handle: Handle{uint32(slot), m.generation}, ID: m.ID, Address: m.Address, Version: m.Version}
}

// Result is the result of a request at a backend server.
type Result int

// Results of a request.
const (
	// Succeeded means that the answer was complete.
	Succeeded Result = iota
	// Refused means that the backend server was busy or leaving, which doesn't
	// count as a failure.
	Refused
	// Failed means that the answer was broken or missing.
	Failed
	// Abandoned means that the caller disconnected.
	Abandoned
)

// Done ends a request: it no longer counts as in flight, and its result is
// recorded for the member's ejection.
func (p *Pool) Done(now time.Time, h Handle, result Result) {
	m := p.member(h)
	if m == nil {
		return
	}
	m.inFlight--
	if m.inFlight < 0 {
		p.history.Check(false, "member %s has %v requests in flight", m.ID, m.inFlight)
	}
	switch result {
	case Succeeded:
		m.failures, m.ejections = 0, 0
	case Failed:
		m.failures++
		if m.failures >= p.cfg.EjectionFailures {
			p.eject(p.sinceEpoch(now), m)
		}
	}
}

// RecordLoad records the load and the limit that a backend server reported with an
// answer. The answered request still counts as in flight.
func (p *Pool) RecordLoad(now time.Time, h Handle, running, queued, limit int) {
	m := p.member(h)
	if m == nil {
		return
	}
	if limit > 0 {
		m.limit = float64(limit)
	}
	m.recordLoad(p.sinceEpoch(now), running+queued)
}

// Pause keeps requests away from a backend server for a time, because it limits its
// rate or wants none.
func (p *Pool) Pause(now time.Time, h Handle, d time.Duration) {
	if m := p.member(h); m != nil && d > 0 {
		m.pausedUntil = p.sinceEpoch(now) + d.Nanoseconds()
	}
}

func (p *Pool) member(h Handle) *member {
	if int(h.slot) >= len(p.members) {
		return nil
	}
	m := &p.members[h.slot]
	if !m.occupied || m.generation != h.generation {
		return nil
	}
	return m
}

// eject excludes a member temporarily unless that would exceed MaxEjectedShare.
func (p *Pool) eject(at int64, m *member) {
	ejected := p.ejectedCount(at)
	if at < m.ejectedUntil || float64(ejected+1) > p.cfg.MaxEjectedShare*float64(len(p.byID)) {
		return
	}
	duration := min(p.cfg.EjectionTime<<min(m.ejections, 16), p.cfg.MaxEjectionTime)
	m.ejectedUntil = at + duration.Nanoseconds()
	// After the ejection the member starts slowly, and a single failure ejects
	// it again.
	m.slowStartUntil = m.ejectedUntil + p.cfg.SlowStart.Nanoseconds()
	m.ejections++
	m.failures = p.cfg.EjectionFailures - 1
	p.history.Addf("ejected %s for %v", m.ID, duration)
	p.history.Check(float64(p.ejectedCount(at)) <= p.cfg.MaxEjectedShare*float64(len(p.byID)),
		"%d of %d members are ejected, more than allowed", p.ejectedCount(at), len(p.byID))
}

func (p *Pool) ejectedCount(at int64) int {
	n := 0
	for i := range p.members {
		if p.members[i].occupied && at < p.members[i].ejectedUntil {
			n++
		}
	}
	return n
}

// Summary describes the pool for metrics and for the fair queue in front of it.
type Summary struct {
	Members, Ejected int
	// InFlight is the number of requests of this pool. Free estimates how many
	// more requests the members that are not ejected can take.
	InFlight, Free int
}

// Summary returns the current numbers of members and requests and the free
// capacity.
func (p *Pool) Summary(now time.Time) Summary {
	at := p.sinceEpoch(now)
	halfLife := float64(p.cfg.ReportHalfLife.Nanoseconds())
	s := Summary{Members: len(p.byID), Ejected: p.ejectedCount(at)}
	for i := range p.members {
		m := &p.members[i]
		if !m.occupied {
			continue
		}
		s.InFlight += int(m.inFlight)
		if at >= m.ejectedUntil && at >= m.pausedUntil {
			s.Free += int(max(0, p.capacity(m, at)-m.estimatedLoad(at, halfLife)))
		}
	}
	return s
}

// Affinity hashes a workspace and the first prefixBytes of a prompt, so that
// requests with the same beginning reach the same prefix cache.
func Affinity(workspace, prompt string, prefixBytes int) uint64 {
	return mix(hashString(workspace) ^ bits.RotateLeft64(hashString(prompt[:min(len(prompt), prefixBytes)]), 1))
}

// hashString is FNV-1a.
func hashString(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return mix(h)
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
