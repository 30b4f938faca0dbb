package mesh

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/relay"
	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

// Role is the role of a member.
type Role string

// Roles of members.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

const (
	// helloEvery is the time between two hellos of an entry to the collectors
	// of its region. While it hears none, it tells the other entries of its
	// region, up to helloMembers of them; more entries say it less often, so
	// that the datagrams of one entry stay near 40 a second.
	helloEvery   = 500 * time.Millisecond
	helloMembers = 20
	// LiveWithin is the age of the last hello up to which an entry counts
	// as alive: three lost or late hellos.
	LiveWithin = 2 * time.Second
	// datagramBytes is larger than any datagram of the mesh.
	datagramBytes = 2048
)

// Member is a process of the system. It is published once at its start.
type Member struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Address is the IP:PORT for own processes, TCP and UDP.
	Address string `json:"address"`
	// Front is where callers connect; entries only.
	Front  string `json:"front,omitempty"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
}

// Config sets up a Mesh.
type Config struct {
	Self Member
	Log  *decision.Log
	// OnReports takes reports of agents; entries only.
	OnReports func([]placement.Report)
	// OnNamed takes a version that an entry learnt a moment ago; agents only.
	OnNamed func(Named)
	// OnHeld takes what another agent holds; agents only.
	OnHeld func(from Member, held Held)
	// Status returns what the next hello says; entries only.
	Status func() Hello
}

// Mesh is one process's view of the others.
type Mesh struct {
	cfg  Config
	conn *net.UDPConn

	// kick asks the collector to send on without waiting for its next tick.
	kick chan struct{}

	mu      sync.Mutex
	members map[string]*peer
	hashes  map[uint64]*peer
	// heard are the collectors of the own region.
	heard     relay.CollectorTracker
	collector collector
	// unheard counts the reports in a row for which no collector was heard.
	unheard atomic.Int64
}

type peer struct {
	member Member
	addr   netip.AddrPort
	hello  Hello
	heard  time.Time
}

// Open binds the mesh's UDP port.
func Open(cfg Config) (*Mesh, error) {
	addr, err := net.ResolveUDPAddr("udp4", cfg.Self.Address)
	if err != nil {
		return nil, eris.Wrap(err, "address of the mesh")
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, eris.Wrap(err, "listening for datagrams")
	}
	return &Mesh{cfg: cfg, conn: conn, kick: make(chan struct{}, 1), members: map[string]*peer{}, hashes: map[uint64]*peer{}}, nil
}

// Put adds a member or replaces what is known of it.
func (m *Mesh) Put(member Member) {
	addr, err := netip.ParseAddrPort(member.Address)
	if err != nil || member.ID == "" {
		m.cfg.Log.Event("member_refused", "member", member.ID, "address", member.Address, "reason", "malformed")
		return
	}
	if member.ID == m.cfg.Self.ID {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if p, ok := m.members[member.ID]; ok {
		p.member, p.addr = member, addr
		return
	}
	p := &peer{member: member, addr: addr}
	m.members[member.ID] = p
	m.hashes[MemberHash(member.ID)] = p
	m.cfg.Log.Event("member_learnt", "member", member.ID, "role", string(member.Role), "address", member.Address)
}

// Remove drops a member.
func (m *Mesh) Remove(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.members, id)
	delete(m.hashes, MemberHash(id))
}

// Members returns all other members of a role, ordered by id.
func (m *Mesh) Members(role Role) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Member
	for _, p := range m.members {
		if p.member.Role == role {
			out = append(out, p.member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// LiveEntry is an entry with what its last hello said.
type LiveEntry struct {
	Member
	Hello Hello
	// Age is the time since that hello.
	Age time.Duration
}

// LiveEntries returns the other entries that said hello lately, by id.
func (m *Mesh) LiveEntries() []LiveEntry {
	return m.liveEntries(func(Member) bool { return true })
}

// LiveNear returns those of the own region.
func (m *Mesh) LiveNear() []LiveEntry {
	return m.liveEntries(m.nearEntry)
}

func (m *Mesh) liveEntries(fits func(Member) bool) []LiveEntry {
	now := bootclock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []LiveEntry
	for _, p := range m.members {
		if p.live(now) && fits(p.member) {
			out = append(out, LiveEntry{p.member, p.hello, now.Sub(p.heard)})
		}
	}
	slices.SortFunc(out, func(a, b LiveEntry) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Run receives datagrams, and as an entry says hello, until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	go func() {
		<-ctx.Done()
		_ = m.conn.Close()
	}()
	if m.cfg.Self.Role == Entry {
		go m.sayHello(ctx)
		go m.collect(ctx)
	}
	buffer := make([]byte, datagramBytes)
	for {
		n, _, err := m.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			// A refused datagram of ours shows up here as an error.
			continue
		}
		m.receive(buffer[:n])
	}
}

func (m *Mesh) receive(b []byte) {
	message, err := Decode(b)
	if err != nil {
		m.cfg.Log.Event("datagram_refused", "bytes", len(b))
		return
	}
	switch d := message.(type) {
	case *Hello:
		m.takeHellos([]Hello{*d})
		m.gather(nil, []Hello{*d})
	case *Bundle:
		m.takeBundle(d)
	case *Held:
		if from, known := m.memberOf(d.Member); known && m.cfg.OnHeld != nil {
			m.cfg.OnHeld(from, *d)
		}
	case *Named:
		if m.cfg.OnNamed != nil {
			m.cfg.OnNamed(*d)
		}
	case *Member:
		m.Put(*d)
	case *placement.Report:
		m.takeReports([]placement.Report{*d})
		m.gather([]placement.Report{*d}, nil)
	}
}

func (m *Mesh) memberOf(hash uint64) (member Member, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.hashes[hash]
	if p == nil {
		return Member{}, false
	}
	return p.member, true
}

func (m *Mesh) takeHellos(hellos []Hello) {
	now := bootclock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range hellos {
		if p := m.hashes[h.Member]; p != nil {
			p.hello, p.heard = h, now
		}
	}
}

func (m *Mesh) takeReports(reports []placement.Report) {
	if m.cfg.OnReports != nil && len(reports) > 0 {
		m.cfg.OnReports(reports)
	}
}

func (m *Mesh) sayHello(ctx context.Context) {
	for {
		wait := helloEvery
		if collectors := m.collectorsHeard(); len(collectors) > 0 {
			m.sendTo(EncodeHello(m.hello()), collectors)
		} else if sent := m.HelloNow(); sent > helloMembers {
			wait = helloEvery * time.Duration(sent) / helloMembers
		}
		select {
		case <-time.After(min(wait, LiveWithin/2)):
		case <-ctx.Done():
			return
		}
	}
}

func (m *Mesh) hello() Hello {
	hello := m.cfg.Status()
	hello.Member = MemberHash(m.cfg.Self.ID)
	return hello
}

// HelloNow tells all entries of the region the present status at once and
// returns how many.
func (m *Mesh) HelloNow() int {
	return m.send(EncodeHello(m.hello()), m.nearEntry)
}

// Report sends an engine's report to the collectors of the region. While none is
// heard, it goes to the region's entries, and each farReports-th one and every
// change to all entries: there may be none left in the region.
func (m *Mesh) Report(r placement.Report) error {
	b, err := EncodeReport(r)
	if err != nil {
		return err
	}
	if collectors := m.collectorsHeard(); len(collectors) > 0 {
		m.unheard.Store(0)
		m.sendTo(b, collectors)
		return nil
	}
	if unheard := m.unheard.Add(1); r.Changed || unheard%farReports == 0 {
		m.send(b, func(o Member) bool { return o.Role == Entry })
	} else {
		m.send(b, m.nearEntry)
	}
	return nil
}

// farReports is how many reports the own region gets for each that all regions
// get, while no collector is heard: bytes between regions are dear.
const farReports = 3

func (m *Mesh) nearEntry(o Member) bool {
	return o.Role == Entry && o.Region == m.cfg.Self.Region
}

// Held tells the agents that fit, or a few of them drawn at random, which pieces
// this one holds; few is 0 for all.
func (m *Mesh) Held(version int64, pieces []bool, few int, fits func(Member) bool) error {
	b, err := EncodeHeld(Held{Member: MemberHash(m.cfg.Self.ID), Version: version, Pieces: pieces})
	if err != nil {
		return err
	}
	targets := m.targets(func(o Member) bool { return o.Role == Agent && fits(o) })
	if few > 0 && few < len(targets) {
		rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		targets = targets[:few]
	}
	m.sendTo(b, targets)
	return nil
}

// Named tells all agents of a version that the operator named.
func (m *Mesh) Named(n Named) error {
	b, err := EncodeNamed(n)
	if err != nil {
		return err
	}
	m.send(b, func(o Member) bool { return o.Role == Agent })
	return nil
}

// Join makes this process known to all members that it knows. Of two processes
// that publish themselves and then read the list, the later one finds the
// other; telling it spares everybody a poll of the list.
func (m *Mesh) Join() error {
	b, err := EncodeJoin(m.cfg.Self)
	if err != nil {
		return err
	}
	m.send(b, func(Member) bool { return true })
	return nil
}

// send sends a datagram to the members that fit and returns how many.
func (m *Mesh) send(b []byte, fits func(Member) bool) int {
	targets := m.targets(fits)
	m.sendTo(b, targets)
	return len(targets)
}

// targets returns the addresses of the members that fit.
func (m *Mesh) targets(fits func(Member) bool) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	targets := make([]netip.AddrPort, 0, len(m.members))
	for _, p := range m.members {
		if fits(p.member) {
			targets = append(targets, p.addr)
		}
	}
	return targets
}

func (m *Mesh) sendTo(b []byte, targets []netip.AddrPort) {
	for _, t := range targets {
		// Datagrams may be lost; the next one follows soon.
		_, _ = m.conn.WriteToUDPAddrPort(b, t)
	}
}
