package routing

import (
	"math"
	"math/bits"
	"time"

	"github.com/laburnumloft/laburnumloft/core/invariant"
)

// Config sets the behaviour of a Pool.
type Config struct {
	// Region is where the requests come from.
	Region string
	// LoadBound is the ratio to the mean use up to which a backend server is
	// chosen for affinity alone. 1 is strict balance; large values follow
	// the prefix cache whatever the load.
	LoadBound float64
	// AffinityUse is the use of a backend server's limit up to which
	// affinity is followed whatever the others do: below its limit an engine
	// answers no slower, so moving a prefix would only lose its cache.
	AffinityUse float64
	// ReportHalfLife is the age at which a load report counts half.
	ReportHalfLife time.Duration
	// SlowStart is how long a new backend server takes to reach its full
	// share, and SlowStartFrom the share that it begins with.
	SlowStart     time.Duration
	SlowStartFrom float64
	// DefaultLimit is the concurrency of a backend server that has not
	// stated any.
	DefaultLimit int
	// FailuresToSetAside is how many failures in a row set a backend server
	// aside, for SetAside at first and twice as long each further time.
	FailuresToSetAside    int
	SetAside, MaxSetAside time.Duration
	// MaxSetAsideShare bounds the share of members that are set aside at
	// once, because a cause that hits most members is not theirs.
	MaxSetAsideShare float64
}

// DefaultConfig returns the configuration for a region.
func DefaultConfig(region string) Config {
	return Config{
		Region: region, LoadBound: 1.25, AffinityUse: 0.5, ReportHalfLife: 2 * time.Second,
		SlowStart: 10 * time.Second, SlowStartFrom: 0.2, DefaultLimit: 8,
		FailuresToSetAside: 5, SetAside: 2 * time.Second, MaxSetAside: 60 * time.Second, MaxSetAsideShare: 0.34,
	}
}

// Backend is what membership knows of one backend server.
type Backend struct {
	ID, Address, Region, Version string
	// Incarnation is the run of the agent in front of the backend server.
	Incarnation int64
	// Sequence is the number of the report inside one incarnation.
	Sequence uint64
	// Running and Queued are the reported requests, those of all entries.
	Running, Queued int
}

// Handle names a chosen backend server until Done. It stays valid, but
// without effect, when the member leaves or restarts meanwhile.
type Handle struct {
	slot, generation uint32
}

// Request describes what to choose for.
type Request struct {
	Version string
	// OtherVersions allows members that serve another version when none with
	// Version has room. During a rollout these are the members that have
	// not loaded the new version yet.
	OtherVersions bool
	// Affinity is the hash of the workspace and the prompt's prefix.
	Affinity uint64
	// Regions limits the choice to these regions; empty means all.
	Regions []string
	// MaxUse is the share of a backend server's limit that the request may
	// fill, so that the rest is left for others; 0 means all.
	MaxUse float64
	// Tried are backend servers that refused the request already.
	Tried []Handle
}

// Choice is a chosen backend server.
type Choice struct {
	Handle      Handle
	ID, Address string
	// Version is the one that the member serves.
	Version string
}

// Miss says why nothing was chosen.
type Miss int

// Reasons of a miss.
const (
	// Found means that there is a choice.
	Found Miss = iota
	// NoMember means that no member serves the version in an allowed region.
	NoMember
	// Full means that all members that serve it are at their limit.
	Full
)

// member is the state of one backend server, 600 of which are read for each
// decision, so the fields of the hot path come first.
type member struct {
	seed       uint64
	version    uint64
	inFlight   float64
	others     float64
	limit      float64
	slowUntil  int64
	asideUntil int64
	region     uint64
	reportAt   int64
	used       bool
	generation uint32
	Backend
	failures, asideCount int
}

// Pool chooses among the backend servers of one service.
type Pool struct {
	cfg     Config
	members []member
	byID    map[string]uint32
	regions map[string]uint64
	own     uint64
	history invariant.History
	// epoch makes times small enough for float arithmetic.
	epoch time.Time
	seen  map[string]bool
	// candidates is scratch space of one decision.
	candidates []candidate
}

// candidate is a member that may be chosen.
type candidate struct {
	slot           uint32
	load, capacity float64
}

// NewPool returns a pool without members.
func NewPool(cfg Config) *Pool {
	p := &Pool{cfg: cfg, byID: map[string]uint32{}, regions: map[string]uint64{}, seen: map[string]bool{}}
	p.own = p.region(cfg.Region)
	return p
}

// region returns the bit of a region. Regions beyond the 63rd share a bit.
func (p *Pool) region(name string) uint64 {
	bit, ok := p.regions[name]
	if !ok {
		bit = 1 << min(len(p.regions), 63)
		p.regions[name] = bit
	}
	return bit
}

func (p *Pool) nanos(now time.Time) int64 {
	if p.epoch.IsZero() {
		p.epoch = now
	}
	return now.Sub(p.epoch).Nanoseconds()
}

// Update replaces the member set. A member keeps its counts as long as its
// incarnation lasts. Members that are new, or restarted, start slowly unless
// the pool was empty: then there is nobody else to take the load.
func (p *Pool) Update(now time.Time, backends []Backend) {
	at := p.nanos(now)
	first := len(p.byID) == 0
	clear(p.seen)
	for _, b := range backends {
		p.seen[b.ID] = true
		slot, known := p.byID[b.ID]
		if !known {
			slot = p.freeSlot()
			p.byID[b.ID] = slot
		}
		m := &p.members[slot]
		if !known || m.Incarnation != b.Incarnation || m.Version != b.Version {
			p.reset(m, b, at, first)
			continue
		}
		fresh := b.Sequence != m.Sequence
		m.Backend = b
		if fresh {
			m.report(at, b.Running+b.Queued)
		}
	}
	for id, slot := range p.byID {
		if !p.seen[id] {
			m := &p.members[slot]
			*m = member{generation: m.generation + 1}
			delete(p.byID, id)
		}
	}
	p.history.Check(len(p.byID) == len(p.seen), "pool has %d members, membership %d", len(p.byID), len(p.seen))
}

func (p *Pool) freeSlot() uint32 {
	for i := range p.members {
		if !p.members[i].used {
			p.members[i].used = true
			return uint32(i)
		}
	}
	p.members = append(p.members, member{used: true})
	return uint32(len(p.members) - 1)
}

func (p *Pool) reset(m *member, b Backend, at int64, first bool) {
	limit := m.limit
	if limit == 0 {
		limit = float64(p.cfg.DefaultLimit)
	}
	*m = member{
		used: true, generation: m.generation + 1, Backend: b, seed: hashString(b.ID), version: hashString(b.Version),
		region: p.region(b.Region), limit: limit, slowUntil: -1, asideUntil: -1,
	}
	if !first {
		m.slowUntil = at + p.cfg.SlowStart.Nanoseconds()
	}
	m.report(at, b.Running+b.Queued)
}

// report takes over a load report. Own requests are known exactly, so only
// what exceeds them is load of other entries.
func (m *member) report(at int64, load int) {
	m.others = max(0, float64(load)-m.inFlight)
	m.reportAt = at
}

// load estimates the requests at the backend server.
func (m *member) load(at int64, halfLife float64) float64 {
	if m.others == 0 {
		return m.inFlight
	}
	age := float64(at - m.reportAt)
	// 1/(1+x) falls by half at one half-life like an exponential, without
	// the cost of one for each of 600 members.
	return m.inFlight + m.others/(1+age/halfLife)
}

// capacity is the member's limit, reduced while it starts slowly.
func (p *Pool) capacity(m *member, at int64) float64 {
	if at >= m.slowUntil {
		return m.limit
	}
	left := float64(m.slowUntil-at) / float64(p.cfg.SlowStart.Nanoseconds())
	return max(1, m.limit*(1-left*(1-p.cfg.SlowStartFrom)))
}

// Choose picks a backend server and counts the request in. It prefers the
// own region, and there the request's version; among these it takes the member with the highest rendezvous score
// among those whose use is below LoadBound times the mean, so that the same
// prefix finds the same cache and a hot prefix spills over.
func (p *Pool) Choose(now time.Time, r Request) (Choice, Miss) {
	at := p.nanos(now)
	allowed := p.allowed(r.Regions)
	for _, regions := range [...]uint64{allowed & p.own, allowed &^ p.own} {
		if best := p.pick(at, r, regions, false); best >= 0 {
			return p.take(best, r), Found
		}
		if !r.OtherVersions {
			continue
		}
		if best := p.pick(at, r, regions, true); best >= 0 {
			return p.take(best, r), Found
		}
	}
	for i := range p.members {
		if m := &p.members[i]; m.used && m.region&allowed != 0 && (r.OtherVersions || m.Version == r.Version) {
			return Choice{}, Full
		}
	}
	return Choice{}, NoMember
}

func (p *Pool) allowed(regions []string) uint64 {
	if len(regions) == 0 {
		return math.MaxUint64
	}
	var mask uint64
	for _, name := range regions {
		mask |= p.regions[name]
	}
	return mask
}

// pick chooses in some regions among the members that serve the request's
// version, or among the others.
func (p *Pool) pick(at int64, r Request, regions uint64, others bool) int {
	if regions == 0 {
		return -1
	}
	halfLife := float64(p.cfg.ReportHalfLife.Nanoseconds())
	version := hashString(r.Version)
	maxUse := r.MaxUse
	if maxUse == 0 {
		maxUse = 1
	}
	load, capacity := 0.0, 0.0
	candidates := p.candidates[:0]
	for i := range p.members {
		m := &p.members[i]
		if !m.usable(at, regions) || (m.version != version) != others {
			continue
		}
		l, c := m.load(at, halfLife), p.capacity(m, at)
		load += l
		capacity += c
		if l+1 <= max(1, c*maxUse) && !m.tried(uint32(i), r.Tried) {
			candidates = append(candidates, candidate{uint32(i), l, c})
		}
	}
	p.candidates = candidates
	if capacity == 0 {
		return -1
	}
	// One more request is counted in, so that the bound holds after the
	// choice and an idle pool has one above zero.
	bound := max(p.cfg.AffinityUse, p.cfg.LoadBound*(load+1)/capacity)
	best, bestScore := -1, uint64(0)
	spare, spareUse := -1, math.MaxFloat64
	for _, c := range candidates {
		if c.load <= bound*c.capacity {
			if score := mix(p.members[c.slot].seed ^ r.Affinity); best < 0 || score > bestScore {
				best, bestScore = int(c.slot), score
			}
		} else if use := c.load / c.capacity; use < spareUse {
			spare, spareUse = int(c.slot), use
		}
	}
	if best < 0 {
		return spare
	}
	return best
}

func (m *member) usable(at int64, regions uint64) bool {
	return m.used && m.region&regions != 0 && at >= m.asideUntil
}

func (m *member) tried(slot uint32, tried []Handle) bool {
	for _, h := range tried {
		if h.slot == slot && h.generation == m.generation {
			return true
		}
	}
	return false
}

func (p *Pool) take(slot int, r Request) Choice {
	m := &p.members[slot]
	m.inFlight++
	if m.Version != r.Version && !r.OtherVersions {
		p.history.Check(false, "chose version %s for %s", m.Version, r.Version)
	}
	return Choice{Handle: Handle{uint32(slot), m.generation}, ID: m.ID, Address: m.Address, Version: m.Version}
}

// Result is how a request at a backend server went.
type Result int

// Results of a request.
const (
	// Succeeded means that a whole answer came.
	Succeeded Result = iota
	// Refused means that the backend server is busy or leaving; it says
	// nothing about its health.
	Refused
	// Failed means a broken or missing answer.
	Failed
	// Abandoned means that the caller left.
	Abandoned
)

// Done counts a request out.
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
		m.failures, m.asideCount = 0, 0
	case Failed:
		m.failures++
		if m.failures >= p.cfg.FailuresToSetAside {
			p.setAside(p.nanos(now), m)
		}
	}
}

// Measured takes over the load and limit that a backend server stated on an
// answer. The request that carried it still counts as in flight.
func (p *Pool) Measured(now time.Time, h Handle, running, queued, limit int) {
	m := p.member(h)
	if m == nil {
		return
	}
	if limit > 0 {
		m.limit = float64(limit)
	}
	m.report(p.nanos(now), running+queued)
}

func (p *Pool) member(h Handle) *member {
	if int(h.slot) >= len(p.members) {
		return nil
	}
	m := &p.members[h.slot]
	if !m.used || m.generation != h.generation {
		return nil
	}
	return m
}

// setAside excludes a member for a while unless too many are excluded.
func (p *Pool) setAside(at int64, m *member) {
	aside := p.asideCount(at)
	if at < m.asideUntil || float64(aside+1) > p.cfg.MaxSetAsideShare*float64(len(p.byID)) {
		return
	}
	wait := min(p.cfg.SetAside<<min(m.asideCount, 16), p.cfg.MaxSetAside)
	m.asideUntil = at + wait.Nanoseconds()
	// After the pause the member starts slowly, and one more failure sets
	// it aside again.
	m.slowUntil = m.asideUntil + p.cfg.SlowStart.Nanoseconds()
	m.asideCount++
	m.failures = p.cfg.FailuresToSetAside - 1
	p.history.Addf("set aside %s for %v", m.ID, wait)
	p.history.Check(float64(p.asideCount(at)) <= p.cfg.MaxSetAsideShare*float64(len(p.byID)),
		"%d of %d members are set aside", p.asideCount(at), len(p.byID))
}

func (p *Pool) asideCount(at int64) int {
	n := 0
	for i := range p.members {
		if p.members[i].used && at < p.members[i].asideUntil {
			n++
		}
	}
	return n
}

// Summary describes the pool for metrics and for the fair queue in front.
type Summary struct {
	Members, SetAside int
	// InFlight are the requests of this pool; Free is how many more the
	// members take by the pool's estimate.
	InFlight, Free int
}

// Summary counts members, requests and free places.
func (p *Pool) Summary(now time.Time) Summary {
	at := p.nanos(now)
	halfLife := float64(p.cfg.ReportHalfLife.Nanoseconds())
	s := Summary{Members: len(p.byID), SetAside: p.asideCount(at)}
	for i := range p.members {
		m := &p.members[i]
		if !m.used {
			continue
		}
		s.InFlight += int(m.inFlight)
		if at >= m.asideUntil {
			s.Free += int(max(0, p.capacity(m, at)-m.load(at, halfLife)))
		}
	}
	return s
}

// Affinity hashes a workspace and the first prefixBytes of a prompt, so that
// requests with the same beginning find the same prefix cache.
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

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
