package agent

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/core/membership"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// Times of the exchange with entries.
const (
	syncWait    = 1 * time.Second
	syncTimeout = 3 * time.Second
	syncRetry   = 500 * time.Millisecond
	// homesInterval is how often the home entries are chosen anew.
	homesInterval = 250 * time.Millisecond
	// listRetry is the time between two reads of the membership list while
	// no entry answers.
	listRetry   = 2 * time.Second
	listTimeout = 5 * time.Second
	// avoidFor is how long an entry that did not answer is no home entry.
	avoidFor = 5 * time.Second
	// urgentReportInterval bounds how often a change of state causes an extra
	// report.
	urgentReportInterval = 200 * time.Millisecond
)

// syncDuty keeps exchanges going with the home entries.
type syncDuty struct {
	agent  *Agent
	client *http.Client
	mu     sync.Mutex
	// entries and peers are what the primary home entry told, as deltas on
	// top of the membership list at the start.
	entries map[string]*rpc.EntryAddress
	peers   map[string]*rpc.PeerAddress
	// version and versionOf name the state of the lists and the entry's run
	// that it belongs to.
	version   uint64
	versionOf string
	avoid     map[string]time.Time
	answered  time.Time
	primary   string
}

func newSyncDuty(a *Agent, client *http.Client) *syncDuty {
	return &syncDuty{
		agent: a, client: client, entries: map[string]*rpc.EntryAddress{}, peers: map[string]*rpc.PeerAddress{},
		avoid: map[string]time.Time{},
	}
}

// run keeps one exchange going with each home entry for as long as ctx lasts.
func (d *syncDuty) run(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	cancels := map[string]context.CancelFunc{}
	var readAt time.Time
	for ctx.Err() == nil {
		if d.needsList() && time.Since(readAt) >= listRetry {
			d.readList(ctx)
			readAt = time.Now()
		}
		homes := d.homes()
		for id, cancel := range cancels {
			if !slices.ContainsFunc(homes, func(e *rpc.EntryAddress) bool { return e.GetId() == id }) {
				cancel()
				delete(cancels, id)
			}
		}
		for _, home := range homes {
			if cancels[home.GetId()] != nil {
				continue
			}
			loopCtx, cancel := context.WithCancel(ctx)
			cancels[home.GetId()] = cancel
			loops.Go(func() { d.loop(loopCtx, home) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(homesInterval):
		case <-d.agent.state.reportChanged:
			d.reportNow(ctx, homes)
		}
	}
	for _, cancel := range cancels {
		cancel()
	}
}

// needsList reports whether no entry has answered for a while. The list is
// not read otherwise: at the target size one read costs as much as half a
// minute of reports.
func (d *syncDuty) needsList() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.answered) > avoidFor
}

// readList learns entries from the membership list. An agent that can't read
// it goes on with the entries that it knows.
func (d *syncDuty) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := d.agent.membership.List(ctx)
	if err != nil {
		d.agent.logger.Named("sync").Warn("membership list is unavailable; going on with known entries", "error", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range list.Members {
		if m.Role == wire.RoleEntry && m.State == wire.MemberLive {
			d.entries[m.ID] = &rpc.EntryAddress{Id: m.ID, PeerAddress: m.PeerAddress, Region: m.Region, Zone: m.Zone}
		}
	}
}

// homes returns the home entries, the primary one first.
func (d *syncDuty) homes() []*rpc.EntryAddress {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var candidates []membership.Candidate
	for id, e := range d.entries {
		if now.Before(d.avoid[id]) {
			continue
		}
		candidates = append(candidates, membership.NewCandidate(id, e.GetRegion(), e.GetZone()))
	}
	slices.SortFunc(candidates, func(a, b membership.Candidate) int { return cmp.Compare(a.ID, b.ID) })
	cfg := d.agent.cfg
	var homes []*rpc.EntryAddress
	d.primary = ""
	for i, c := range membership.Homes(cfg.ID, cfg.Region, cfg.Zone, candidates) {
		if i == 0 {
			d.primary = c.ID
		}
		homes = append(homes, d.entries[c.ID])
	}
	return homes
}

// loop keeps one exchange going with an entry.
func (d *syncDuty) loop(ctx context.Context, home *rpc.EntryAddress) {
	client := rpc.NewControlProtobufClient("http://"+home.GetPeerAddress(), d.client)
	wait := time.Duration(0)
	for ctx.Err() == nil {
		started := time.Now()
		err := d.sync(ctx, client, home.GetId(), wait)
		wait = jitter(syncWait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			d.agent.logger.Named("sync").Warn("sync failed", "entry", home.GetId(), "error", err)
			d.fail(home.GetId())
			pause(ctx, jitter(syncRetry))
			continue
		}
		// A leaving entry answers at once; that must not become a busy loop.
		pause(ctx, syncRetry-time.Since(started))
	}
}

// fail makes another entry take the place of one that did not answer.
func (d *syncDuty) fail(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.entries) > 1 {
		d.avoid[id] = time.Now().Add(avoidFor)
	}
}

// reportNow reports a change of state without waiting for the calls held.
func (d *syncDuty) reportNow(ctx context.Context, homes []*rpc.EntryAddress) {
	var calls sync.WaitGroup
	for _, home := range homes {
		calls.Go(func() {
			client := rpc.NewControlProtobufClient("http://"+home.GetPeerAddress(), d.client)
			callCtx, cancel := context.WithTimeout(ctx, syncRetry)
			defer cancel()
			report := d.agent.report()
			// A failed call needs no retry: the held call reports next.
			_, _ = client.Sync(callCtx, &rpc.SyncRequest{Report: report, SettingsOffset: report.GetSettingsOffset(), ReportOnly: true})
		})
	}
	calls.Wait()
	pause(ctx, urgentReportInterval)
}

func (d *syncDuty) sync(ctx context.Context, client rpc.Control, id string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+syncTimeout)
	defer cancel()
	report := d.agent.report()
	req := &rpc.SyncRequest{Report: report, SettingsOffset: report.GetSettingsOffset(), WaitMs: uint32(wait.Milliseconds())}
	d.mu.Lock()
	req.ReportOnly = id != d.primary
	if !req.GetReportOnly() {
		req.PeersVersion, req.PeersEntry = d.version, d.versionOf
	}
	d.mu.Unlock()
	resp, err := client.Sync(ctx, req)
	if err != nil {
		return err
	}
	if resp.GetLeave() {
		d.agent.tracker.StartLeaving()
	}
	d.learn(resp, req.GetReportOnly())
	return d.agent.receiveSettings(resp.GetEntryId(), resp.GetSettings())
}

// learn takes the changes of the lists.
func (d *syncDuty) learn(resp *rpc.SyncResponse, reportOnly bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answered = time.Now()
	if reportOnly || !resp.GetPeersChanged() {
		return
	}
	if resp.GetPeersFull() {
		clear(d.peers)
		clear(d.entries)
	}
	for _, e := range resp.GetEntries() {
		d.entries[e.GetId()] = e
	}
	for _, p := range resp.GetPeers() {
		d.peers[p.GetId()] = p
	}
	for _, id := range resp.GetRemoved() {
		delete(d.entries, id)
		delete(d.peers, id)
	}
	d.version, d.versionOf = resp.GetPeersVersion(), resp.GetPeersEntry()
	d.agent.state.setPeers(slices.SortedFunc(maps.Values(d.peers), func(a, b *rpc.PeerAddress) int {
		return cmp.Compare(a.GetId(), b.GetId())
	}))
}

// jitter spreads periodic work of many processes by a fifth either way.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *agentState) setPeers(peers []*rpc.PeerAddress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = peers
}
