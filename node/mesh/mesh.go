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

	"github.com/laburnumloft/laburnumloft/core/backpressure"
	"github.com/laburnumloft/laburnumloft/core/evacuation"
	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/relay"
	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

// Role is a member's role.
type Role string

// Roles of members.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

const (
	// helloInterval is the time between two hellos of an entry to the
	// collectors of its region. Without an active collector, the entry sends
	// its hellos to all entries of its region instead. If these are more than
	// helloTargetsPerInterval, it sends them less often, so that it stays near
	// 40 datagrams a second.
	helloInterval           = 500 * time.Millisecond
	helloTargetsPerInterval = 20
	// LiveTimeout is the age of the last hello above which an entry counts as
	// dead; it allows three lost or late hellos.
	LiveTimeout = 2 * time.Second
	// maxDatagramBytes is the receive buffer's size; every datagram is smaller.
	maxDatagramBytes = 2048
)

// Member is a process of the system. It publishes its record once at its start.
type Member struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Address is the IP:PORT for the system's own processes, TCP and UDP.
	Address string `json:"address"`
	// Front is the address to which callers connect; entries only.
	Front  string `json:"front,omitempty"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
}

// Config configures a Mesh.
type Config struct {
	Self Member
	Log  *decision.Log
	// OnReports handles reports of agents; entries only.
	OnReports func([]placement.Report)
	// OnPublishedVersion handles a version that an entry has just recorded as published;
	// agents only.
	OnPublishedVersion func(PublishedVersion)
	// OnHeldPieces handles an announcement of the pieces that another agent holds;
	// agents only.
	OnHeldPieces func(from Member, held HeldPieces)
	// OnCrashNotice handles a notice of another entry; entries only.
	OnCrashNotice func(CrashNotice)
	// OnServerNotices handles notices of another entry or an agent, OnPermitRequest
	// another entry's request for permits, which it answers, and OnPermitReply the
	// answer to an own request; entries only.
	OnServerNotices func([]backpressure.Notice)
	OnPermitRequest func(backpressure.PermitRequest) backpressure.PermitReply
	OnPermitReply   func(backpressure.PermitReply)
	// OnEvacuations handles notices of another entry on availability zones; entries only.
	OnEvacuations func([]evacuation.Notice)
	// OnEntryJoined is called with an entry that has just announced itself; may be nil.
	OnEntryJoined func(Member)
	// Status returns the content of the next hello; entries only.
	Status func() Hello
}

// Mesh is one process's view of the others.
type Mesh struct {
	cfg  Config
	conn *net.UDPConn

	// flush makes the collector send changed reports before its next tick.
	flush chan struct{}

	mu            sync.Mutex
	members       map[string]*peer
	membersByHash map[uint64]*peer
	// collectorTracker tracks the collectors of this member's region.
	collectorTracker relay.CollectorTracker
	collector        collector
	// reportsWithoutCollector counts consecutive reports without an active
	// collector.
	reportsWithoutCollector atomic.Int64
}

type peer struct {
	member      Member
	addr        netip.AddrPort
	hello       Hello
	lastHelloAt time.Time
	// learntAt is when the member became known.
	learntAt time.Time
}

// Open binds the mesh's UDP port.
func Open(cfg Config) (*Mesh, error) {
	addr, err := net.ResolveUDPAddr("udp4", cfg.Self.Address)
	if err != nil {
		return nil, eris.Wrap(err, "resolving the UDP address of the mesh")
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, eris.Wrap(err, "binding the UDP port of the mesh")
	}
	return &Mesh{cfg: cfg, conn: conn, flush: make(chan struct{}, 1), members: map[string]*peer{}, membersByHash: map[uint64]*peer{}}, nil
}

// Put adds a member or updates its record.
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
	p := &peer{member: member, addr: addr, learntAt: bootclock.Now()}
	m.members[member.ID] = p
	m.membersByHash[MemberHash(member.ID)] = p
	m.cfg.Log.Event("member_learnt", "member", member.ID, "role", string(member.Role), "address", member.Address)
}

// Remove removes a member.
func (m *Mesh) Remove(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.members, id)
	delete(m.membersByHash, MemberHash(id))
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

// LiveEntry is an entry with its last hello.
type LiveEntry struct {
	Member
	Hello Hello
	// Age is the time since that hello.
	Age time.Duration
}

// LiveEntries returns the other entries whose last hello is at most LiveTimeout
// old, ordered by id.
func (m *Mesh) LiveEntries() []LiveEntry {
	return m.liveEntries(func(Member) bool { return true })
}

// LiveEntriesInRegion returns the live entries of this member's region, ordered by id.
func (m *Mesh) LiveEntriesInRegion() []LiveEntry {
	return m.liveEntries(m.isRegionEntry)
}

func (m *Mesh) liveEntries(match func(Member) bool) []LiveEntry {
	now := bootclock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []LiveEntry
	for _, p := range m.members {
		if p.live(now) && match(p.member) {
			out = append(out, LiveEntry{p.member, p.hello, now.Sub(p.lastHelloAt)})
		}
	}
	slices.SortFunc(out, func(a, b LiveEntry) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Run receives datagrams until ctx ends; on entries it also sends hellos and runs
// the collector.
func (m *Mesh) Run(ctx context.Context) {
	go func() {
		<-ctx.Done()
		_ = m.conn.Close()
	}()
	if m.cfg.Self.Role == Entry {
		go m.sendHellos(ctx)
		go m.runCollector(ctx)
	}
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := m.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			// An ICMP error for a datagram that this member sent.
			continue
		}
		m.handleDatagram(buffer[:n])
	}
}

func (m *Mesh) handleDatagram(b []byte) {
	message, err := Decode(b)
	if err != nil {
		m.cfg.Log.Event("datagram_refused", "bytes", len(b))
		return
	}
	switch d := message.(type) {
	case *Hello:
		m.recordHellos([]Hello{*d})
		m.bufferForBundle(nil, []Hello{*d})
	case *Bundle:
		m.handleBundle(d)
	case *HeldPieces:
		if from, known := m.memberByHash(d.Member); known && m.cfg.OnHeldPieces != nil {
			m.cfg.OnHeldPieces(from, *d)
		}
	case *PublishedVersion:
		if m.cfg.OnPublishedVersion != nil {
			m.cfg.OnPublishedVersion(*d)
		}
	case *CrashNotice:
		if m.cfg.OnCrashNotice != nil {
			m.cfg.OnCrashNotice(*d)
		}
	case *ServerNotices:
		if m.cfg.OnServerNotices != nil {
			m.cfg.OnServerNotices(d.Notices)
		}
	case *PermitRequest:
		m.answerPermitRequest(d)
	case *backpressure.PermitReply:
		if m.cfg.OnPermitReply != nil {
			m.cfg.OnPermitReply(*d)
		}
	case *Evacuations:
		if m.cfg.OnEvacuations != nil {
			m.cfg.OnEvacuations(d.Notices)
		}
	case *Member:
		m.Put(*d)
		if d.Role == Entry && m.cfg.OnEntryJoined != nil {
			m.cfg.OnEntryJoined(*d)
		}
	case *placement.Report:
		m.handleReports([]placement.Report{*d})
		m.bufferForBundle([]placement.Report{*d}, nil)
	}
}

func (m *Mesh) memberByHash(hash uint64) (member Member, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.membersByHash[hash]
	if p == nil {
		return Member{}, false
	}
	return p.member, true
}

func (m *Mesh) recordHellos(hellos []Hello) {
	now := bootclock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range hellos {
		if p := m.membersByHash[h.Member]; p != nil {
			p.hello, p.lastHelloAt = h, now
		}
	}
}

func (m *Mesh) handleReports(reports []placement.Report) {
	if m.cfg.OnReports != nil && len(reports) > 0 {
		m.cfg.OnReports(reports)
	}
}

func (m *Mesh) sendHellos(ctx context.Context) {
	for {
		wait := helloInterval
		if collectors := m.activeCollectors(); len(collectors) > 0 {
			m.sendTo(EncodeHello(m.currentHello()), collectors)
		} else if sent := m.SendHello(); sent > helloTargetsPerInterval {
			wait = helloInterval * time.Duration(sent) / helloTargetsPerInterval
		}
		select {
		case <-time.After(min(wait, LiveTimeout/2)):
		case <-ctx.Done():
			return
		}
	}
}

func (m *Mesh) currentHello() Hello {
	hello := m.cfg.Status()
	hello.Member = MemberHash(m.cfg.Self.ID)
	return hello
}

// SendHello sends a hello to all other entries of the region immediately and
// returns their number.
func (m *Mesh) SendHello() int {
	return m.broadcast(EncodeHello(m.currentHello()), m.isRegionEntry)
}

// SendReport sends an engine's report to the region's active collectors. Without one,
// it sends the report to the region's entries. Changed reports and every
// reportsPerRemoteReport-th one then go to the entries of all regions, because the
// region may have no entry.
func (m *Mesh) SendReport(r placement.Report) error {
	b, err := EncodeReport(r)
	if err != nil {
		return err
	}
	if collectors := m.activeCollectors(); len(collectors) > 0 {
		m.reportsWithoutCollector.Store(0)
		m.sendTo(b, collectors)
		return nil
	}
	if count := m.reportsWithoutCollector.Add(1); r.Changed || count%reportsPerRemoteReport == 0 {
		m.broadcast(b, func(o Member) bool { return o.Role == Entry })
	} else {
		m.broadcast(b, m.isRegionEntry)
	}
	return nil
}

// reportsPerRemoteReport is the ratio of all reports to those for all regions
// while no collector is active. It saves traffic between regions, which is costly.
const reportsPerRemoteReport = 3

func (m *Mesh) isRegionEntry(o Member) bool {
	return o.Role == Entry && o.Region == m.cfg.Self.Region
}

// AnnouncePieces announces the pieces that this agent holds to the agents that match, or to
// limit of them chosen at random; limit 0 means all.
func (m *Mesh) AnnouncePieces(version int64, pieces []bool, limit int, match func(Member) bool) error {
	b, err := EncodeHeldPieces(HeldPieces{Member: MemberHash(m.cfg.Self.ID), Version: version, Pieces: pieces})
	if err != nil {
		return err
	}
	m.sendToSome(b, limit, func(o Member) bool { return o.Role == Agent && match(o) })
	return nil
}

// sendToSome sends a datagram to the members that match, or to limit of them chosen
// at random; limit 0 means all.
func (m *Mesh) sendToSome(b []byte, limit int, match func(Member) bool) {
	targets := m.targets(match)
	if limit > 0 && limit < len(targets) {
		rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		targets = targets[:limit]
	}
	m.sendTo(b, targets)
}

// SendCrashNotice sends a notice to all other entries, or to limit of them chosen
// at random; limit 0 means all.
func (m *Mesh) SendCrashNotice(n CrashNotice, limit int) error {
	datagrams, err := EncodeCrashNotice(n)
	if err != nil {
		return err
	}
	for _, b := range datagrams {
		m.sendToSome(b, limit, func(o Member) bool { return o.Role == Entry })
	}
	return nil
}

// SendServerNotices sends notices to the other entries that match, or to limit of them
// chosen at random; limit 0 means all.
func (m *Mesh) SendServerNotices(notices []backpressure.Notice, limit int, match func(Member) bool) error {
	b, err := encodeJSON(kindServerNotices, ServerNotices{notices})
	if err != nil {
		return err
	}
	m.sendToSome(b, limit, func(o Member) bool { return o.Role == Entry && match(o) })
	return nil
}

// SendEvacuations sends notices on availability zones to all other entries, or to limit
// of them chosen at random; limit 0 means all.
func (m *Mesh) SendEvacuations(notices []evacuation.Notice, limit int) error {
	b, err := encodeJSON(kindEvacuations, Evacuations{notices})
	if err != nil {
		return err
	}
	m.sendToSome(b, limit, func(o Member) bool { return o.Role == Entry })
	return nil
}

// SendPermitRequest asks an entry for permits.
func (m *Mesh) SendPermitRequest(entryID string, r backpressure.PermitRequest) error {
	b, err := encodeJSON(kindPermitRequest, PermitRequest{Member: MemberHash(m.cfg.Self.ID), PermitRequest: r})
	if err != nil {
		return err
	}
	m.sendToMember(b, entryID)
	return nil
}

// sendToMember sends a datagram to one member.
func (m *Mesh) sendToMember(b []byte, id string) {
	m.mu.Lock()
	p := m.members[id]
	m.mu.Unlock()
	if p != nil {
		m.sendTo(b, []netip.AddrPort{p.addr})
	}
}

// answerPermitRequest answers an entry's request for permits.
func (m *Mesh) answerPermitRequest(r *PermitRequest) {
	from, known := m.memberByHash(r.Member)
	if !known || m.cfg.OnPermitRequest == nil {
		return
	}
	b, err := encodeJSON(kindPermitReply, m.cfg.OnPermitRequest(r.PermitRequest))
	if err != nil {
		m.cfg.Log.Event("permit_reply_unsent", "to", from.ID, "cause", err.Error())
		return
	}
	m.sendToMember(b, from.ID)
}

// memberRetention is the age of the last word of an entry above which it no longer
// counts as an entry that may exist.
const memberRetention = 2 * time.Hour

// EntryCounts returns the live entries that accept callers with the time since their
// last hello, and the numbers of other live entries and of all other entries that may
// exist. Regions may lose each other for an hour, so an entry counts for longer.
func (m *Mesh) EntryCounts() (ready map[string]time.Duration, live, known int) {
	now := bootclock.Now()
	ready = map[string]time.Duration{}
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, p := range m.members {
		if p.member.Role != Entry {
			continue
		}
		if now.Sub(later(p.lastHelloAt, p.learntAt)) <= memberRetention {
			known++
		}
		if !p.live(now) {
			continue
		}
		live++
		if p.hello.Ready {
			ready[id] = now.Sub(p.lastHelloAt)
		}
	}
	return ready, live, known
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// AnnounceVersion announces a published version to all agents.
func (m *Mesh) AnnounceVersion(n PublishedVersion) error {
	b, err := EncodePublishedVersion(n)
	if err != nil {
		return err
	}
	m.broadcast(b, func(o Member) bool { return o.Role == Agent })
	return nil
}

// AnnounceSelf sends this process's record to all known members. Every process publishes
// its record before it reads the list, so that of two processes the later one finds
// the earlier one; because of this datagram the earlier one need not poll the list.
func (m *Mesh) AnnounceSelf() error {
	b, err := EncodeJoin(m.cfg.Self)
	if err != nil {
		return err
	}
	m.broadcast(b, func(Member) bool { return true })
	return nil
}

// broadcast sends a datagram to the members that match and returns their number.
func (m *Mesh) broadcast(b []byte, match func(Member) bool) int {
	targets := m.targets(match)
	m.sendTo(b, targets)
	return len(targets)
}

// targets returns the addresses of the members that match.
func (m *Mesh) targets(match func(Member) bool) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	targets := make([]netip.AddrPort, 0, len(m.members))
	for _, p := range m.members {
		if match(p.member) {
			targets = append(targets, p.addr)
		}
	}
	return targets
}

func (m *Mesh) sendTo(b []byte, targets []netip.AddrPort) {
	for _, t := range targets {
		// Errors are ignored: datagrams may be lost, and another follows soon.
		_, _ = m.conn.WriteToUDPAddrPort(b, t)
	}
}
