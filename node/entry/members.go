package entry

import (
	"cmp"
	"context"
	"expvar"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/laburnumloft/laburnumloft/core/membership"
	"github.com/laburnumloft/laburnumloft/node/lib/ring"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// Times of the membership duty.
const (
	// membershipPollInterval is the time between two reads of the platform's list.
	membershipPollInterval = time.Second
	membershipPollTimeout  = 5 * time.Second
	// listBytesPerSecond bounds what reads of a changed list cost: the next
	// read waits until the size of this one is paid for.
	listBytesPerSecond = 1000
	// listMemberBytes is the size of one listed member after compression.
	listMemberBytes = 20
	tickInterval    = 250 * time.Millisecond
	// publishInterval bounds how often a changed view is published, because a
	// mass restart changes it many times a second.
	publishInterval = 50 * time.Millisecond
	// loadInterval is how often new load alone is published.
	loadInterval = time.Second
	// leaveMinAge protects a restarted process from a list that still shows
	// its predecessor as leaving.
	leaveMinAge = 30 * time.Second
	// eventCapacity holds a second of reports and messages at the target size
	// several times over.
	eventCapacity = 1024
)

var memberCounters = expvar.NewMap("membership_total")

// memberEvent is one input of the view.
type memberEvent func(now time.Time, view *membership.View) membership.Output

// memberTable publishes the view of the members. Its duty owns the view;
// others send events and read the published snapshot.
type memberTable struct {
	snapshot atomic.Pointer[memberSnapshot]
	// reports drops the oldest: the next report of the same agent follows
	// within a second. messages refuses: the peer tries another entry.
	reports  *ring.Ring[memberEvent]
	messages *ring.Ring[memberEvent]
	// urgent asks the gossip duty to pass a departure on at once.
	urgent chan struct{}
}

// memberSnapshot is one state of the view. It must not be changed.
type memberSnapshot struct {
	version uint64
	list    wire.Members
	reports []*rpc.MemberReport
	serving map[serviceVersion][]*rpc.MemberReport
	peers   []peerState
	self    membership.Record
}

type serviceVersion struct {
	service, version string
}

// peerState is a member as agents see it.
type peerState struct {
	id    string
	moved uint64
	live  bool
	place membership.Place
}

func newMemberTable() *memberTable {
	t := &memberTable{
		reports:  ring.New[memberEvent]("member_reports", eventCapacity, ring.DropOldest),
		messages: ring.New[memberEvent]("member_messages", eventCapacity, ring.Refuse),
		urgent:   make(chan struct{}, 1),
	}
	t.snapshot.Store(&memberSnapshot{list: wire.Members{Members: []wire.Member{}}})
	return t
}

// serving returns the agents of a service that serve the version. The slice
// and the reports must not be changed.
func (t *memberTable) serving(service, version string) []*rpc.MemberReport {
	return t.snapshot.Load().serving[serviceVersion{service, version}]
}

// members returns the members that may get work and those that are leaving.
// It must not be changed.
func (t *memberTable) members() wire.Members {
	return t.snapshot.Load().list
}

func (t *memberTable) all() []*rpc.MemberReport {
	return t.snapshot.Load().reports
}

// isGone reports whether an agent is gone from the members.
func (t *memberTable) isGone(id string) bool {
	return !slices.ContainsFunc(t.all(), func(r *rpc.MemberReport) bool {
		return r.GetId() == id && r.GetState() != rpc.AgentState_GONE
	})
}

// report takes a report that an agent itself delivered.
func (t *memberTable) report(ctx context.Context, r *rpc.MemberReport) {
	record := fromReport(r)
	t.reports.Push(ctx, func(now time.Time, view *membership.View) membership.Output {
		return view.HandleReport(now, record)
	})
}

// observeLoad takes the load that a data response of an agent carried.
func (t *memberTable) observeLoad(ctx context.Context, id string, running, queued int) {
	t.reports.Push(ctx, func(_ time.Time, view *membership.View) membership.Output {
		view.RecordLoad(id, uint32(running), uint32(queued))
		return membership.Output{}
	})
}

// ask runs f in the duty and waits for it. It reports false if the ring was
// full or ctx ended.
func (t *memberTable) ask(ctx context.Context, f memberEvent) bool {
	done := make(chan struct{})
	taken := t.messages.Push(ctx, func(now time.Time, view *membership.View) membership.Output {
		defer close(done)
		return f(now, view)
	})
	if !taken {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// run owns the view for as long as ctx lasts.
func (t *memberTable) run(ctx context.Context, view *membership.View) {
	ticks := time.NewTicker(tickInterval)
	defer ticks.Stop()
	var published time.Time
	changed := true
	for {
		var out membership.Output
		now := time.Now()
		select {
		case <-ctx.Done():
			return
		case event := <-t.reports.Items():
			out = event(now, view)
		case event := <-t.messages.Items():
			out = event(now, view)
		case <-ticks.C:
			out = view.Tick(now)
			publishCounters(view.Counters())
		}
		if out.Urgent {
			t.wakeUrgent()
		}
		changed = changed || out.Changed
		since := now.Sub(published)
		if changed && since >= publishInterval || since >= loadInterval {
			t.snapshot.Store(newSnapshot(view))
			published, changed = now, false
		}
	}
}

func (t *memberTable) wakeUrgent() {
	select {
	case t.urgent <- struct{}{}:
	default:
	}
}

func publishCounters(c membership.Counters) {
	for name, value := range map[string]uint64{
		"bucket_exhausted": c.BucketExhausted, "load_dropped": c.LoadDropped, "refuted": c.Refuted, "stale_reports": c.StaleReports,
	} {
		counter := new(expvar.Int)
		counter.Set(int64(value))
		memberCounters.Set(name, counter)
	}
}

func newSnapshot(view *membership.View) *memberSnapshot {
	s := &memberSnapshot{
		version: view.Version(), serving: map[serviceVersion][]*rpc.MemberReport{}, self: view.Self(),
		list: wire.Members{Version: int64(view.Version()), Members: []wire.Member{}},
	}
	for m := range view.Members {
		live := m.EffectiveState == membership.Starting || m.EffectiveState == membership.Serving
		s.peers = append(s.peers, peerState{id: m.ID, moved: m.LivenessVersion, live: live, place: m.Place})
		if live || m.EffectiveState == membership.Leaving {
			s.list.Members = append(s.list.Members, listMember(m))
		}
		if m.Role == membership.RoleEntry || m.Incarnation == 0 {
			continue
		}
		report := toReport(m.Record)
		report.State = rpc.AgentState(m.EffectiveState)
		s.reports = append(s.reports, report)
		if m.EffectiveState == membership.Serving && m.Address != "" {
			key := serviceVersion{m.Service, m.Version}
			s.serving[key] = append(s.serving[key], report)
		}
	}
	byID := func(a, b *rpc.MemberReport) int { return cmp.Compare(a.GetId(), b.GetId()) }
	slices.SortFunc(s.reports, byID)
	for _, reports := range s.serving {
		slices.SortFunc(reports, byID)
	}
	slices.SortFunc(s.list.Members, func(a, b wire.Member) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(s.peers, func(a, b peerState) int { return cmp.Compare(a.id, b.id) })
	return s
}

func listMember(m *membership.Member) wire.Member {
	member := wire.Member{
		ID: m.ID, Role: wire.RoleAgent, Address: m.Address, PeerAddress: m.PeerAddress,
		Region: m.Region, Zone: m.Zone, Service: m.Service, State: wire.MemberLive,
	}
	if m.Role == membership.RoleEntry {
		member.Role = wire.RoleEntry
	}
	if m.EffectiveState == membership.Leaving {
		member.State = wire.MemberLeaving
	}
	return member
}

// pollMembers reads the platform's list for as long as ctx lasts.
func (e *Entry) pollMembers(ctx context.Context) {
	logger := e.logger.Named("membership")
	tag := ""
	available := true
	for ctx.Err() == nil {
		pause := membershipPollInterval
		readCtx, cancel := context.WithTimeout(ctx, membershipPollTimeout)
		listing, err := e.membership.ListIfChanged(readCtx, tag)
		cancel()
		switch {
		case err != nil && available:
			logger.Warn("membership list is unavailable; going on with known members", "error", err)
		case err == nil && !available:
			logger.Info("membership list is available again")
		}
		available = err == nil
		if err == nil && listing.Members != nil {
			tag = listing.Tag
			e.takeList(ctx, listing.Members)
			pause = max(pause, time.Duration(len(listing.Members.Members)*listMemberBytes)*time.Second/listBytesPerSecond)
		}
		sleep(ctx, jitter(pause))
	}
}

// takeList passes the list to the view, and starts the planned stop if it
// shows this entry as leaving.
func (e *Entry) takeList(ctx context.Context, list *wire.Members) {
	members := make([]membership.ListedMember, 0, len(list.Members))
	for _, m := range list.Members {
		l := membership.ListedMember{ID: m.ID, Leaving: m.State == wire.MemberLeaving, Place: membership.Place{
			Address: m.Address, PeerAddress: m.PeerAddress, Region: m.Region, Zone: m.Zone, Service: m.Service,
		}}
		if m.Role == wire.RoleEntry {
			l.Role = membership.RoleEntry
		}
		if m.ID == e.cfg.ID {
			if l.Leaving && time.Since(time.UnixMilli(e.incarnation)) >= leaveMinAge {
				e.logger.Info("membership list shows this entry as leaving")
				e.tracker.StartLeaving()
			}
			l.Leaving = false
		}
		members = append(members, l)
	}
	e.members.ask(ctx, func(now time.Time, view *membership.View) membership.Output {
		return view.HandleList(now, members)
	})
}

// jitter spreads periodic work of many processes by a fifth either way.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}

func (e *Entry) viewConfig() membership.Config {
	return membership.Config{
		ID: e.cfg.ID, Incarnation: e.incarnation, Seed: uint64(e.incarnation),
		Place: membership.Place{
			Role: membership.RoleEntry, Address: e.cfg.Listen, PeerAddress: e.cfg.PeerListen, Region: e.cfg.Region, Zone: e.cfg.Zone,
		},
	}
}

// peersEntry names the run of this entry that versions of peer lists belong to.
func (e *Entry) peersEntry() string {
	return e.cfg.ID + "/" + strconv.FormatInt(e.incarnation, 10)
}

func fromReport(r *rpc.MemberReport) membership.Record {
	record := membership.Record{
		ID: r.GetId(), Incarnation: r.GetIncarnation(), Sequence: r.GetSequence(), State: membership.State(r.GetState()),
		Place: membership.Place{
			Address: r.GetAddress(), PeerAddress: r.GetPeerAddress(), Region: r.GetRegion(), Zone: r.GetZone(), Service: r.GetService(),
		},
		Version: r.GetVersion(), VersionState: r.GetVersionState(), IntendedVersion: r.GetIntendedVersion(), Problem: r.GetProblem(),
		ChunksHeld: r.GetChunksHeld(), ChunksTotal: r.GetChunksTotal(), Running: r.GetRunning(), Queued: r.GetQueued(),
		SettingsOffset: r.GetSettingsOffset(),
	}
	if r.GetEntry() {
		record.Role = membership.RoleEntry
	}
	return record
}

func toReport(r membership.Record) *rpc.MemberReport {
	return &rpc.MemberReport{
		Id: r.ID, Incarnation: r.Incarnation, Sequence: r.Sequence, State: rpc.AgentState(r.State),
		Address: r.Address, PeerAddress: r.PeerAddress, Region: r.Region, Zone: r.Zone, Service: r.Service,
		Version: r.Version, VersionState: r.VersionState, IntendedVersion: r.IntendedVersion, Problem: r.Problem,
		ChunksHeld: r.ChunksHeld, ChunksTotal: r.ChunksTotal, Running: r.Running, Queued: r.Queued,
		SettingsOffset: r.SettingsOffset, Entry: r.Role == membership.RoleEntry,
	}
}
