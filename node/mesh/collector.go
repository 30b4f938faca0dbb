package mesh

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/relay"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

const (
	// bundleInterval is the time between two bundles of reports for the entry's
	// own region. Two collectors send at different moments, so that a report waits
	// about 70 ms on average for the first of them, a third of the interval.
	bundleInterval = 200 * time.Millisecond
	// helloBundleTicks and remoteHelloTicks are numbers of bundle intervals. A
	// collector sends hellos to its region, and a bundle to other regions, every
	// helloBundleTicks. Every remoteHelloTicks, the bundle to other regions
	// contains hellos, so that both collectors send hellos to other regions
	// within LiveTimeout.
	helloBundleTicks = 2
	remoteHelloTicks = 2 * helloBundleTicks
	// changeDelay batches the changes of several engines.
	changeDelay = 30 * time.Millisecond
	// collectorStartDelay is how long a new entry listens before it may become a
	// collector, so that it does not assume to be the only entry.
	collectorStartDelay = 1500 * time.Millisecond
	// unknownRegionTargets is how many entries of a region without a live entry
	// are sent a bundle.
	unknownRegionTargets = 2
)

// collector is the state of an entry that is a collector: the reports and hellos
// for its next bundles.
type collector struct {
	active bool
	// regional and remote are the reports received since the last bundle for
	// this entry's region and for other regions, by address; hellos are the hellos
	// received since the last bundle with hellos, by member.
	regional, remote map[string]placement.Report
	hellos           map[uint64]Hello
}

func (c *collector) reset(active bool) {
	c.active = active
	c.regional, c.remote, c.hellos = map[string]placement.Report{}, map[string]placement.Report{}, map[uint64]Hello{}
}

// bufferForBundle adds reports and hellos to the next bundles if this entry is a
// collector.
func (m *Mesh) bufferForBundle(reports []placement.Report, hellos []Hello) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.collector.active {
		return
	}
	changed := false
	for _, r := range reports {
		m.collector.regional[r.Address], m.collector.remote[r.Address] = r, r
		changed = changed || r.Changed
	}
	for _, h := range hellos {
		m.collector.hellos[h.Member] = h
	}
	if !changed {
		return
	}
	select {
	case m.flush <- struct{}{}:
	default:
	}
}

// handleBundle records a collector's bundle. If the bundle's Relay flag is set, it
// also forwards the bundle to the entries of this entry's region.
func (m *Mesh) handleBundle(b *Bundle) {
	if from, known := m.memberByHash(b.Collector); known && from.Region == m.cfg.Self.Region {
		m.mu.Lock()
		m.collectorTracker.Record(from.ID, bootclock.Now())
		m.mu.Unlock()
	}
	if m.cfg.Self.Role != Entry {
		return
	}
	m.recordHellos(b.Hellos)
	m.handleReports(b.Reports)
	if b.Relay {
		b.Relay = false
		m.sendBundle(*b, m.targets(m.isRegionEntry))
	}
}

// runCollector sends bundles while this entry is a collector, until ctx ends.
func (m *Mesh) runCollector(ctx context.Context) {
	timer := time.NewTimer(collectorStartDelay)
	defer timer.Stop()
	// pendingHellos are the hellos not yet sent to other regions.
	var pendingHellos []Hello
	var ticks schedule
	for {
		select {
		case <-timer.C:
		case <-m.flush:
			if sleep(ctx, changeDelay) != nil {
				return
			}
			m.sendToRegion(false)
			m.sendToOtherRegions(nil)
			continue
		case <-ctx.Done():
			return
		}
		withHellos, withRemoteHellos := ticks.next(m.isCollector())
		if withHellos && !m.updateCollector() {
			timer.Reset(helloBundleTicks * bundleInterval)
			pendingHellos = nil
			continue
		}
		timer.Reset(bundleInterval)
		hellos := m.sendToRegion(withHellos)
		if !withHellos {
			continue
		}
		m.clearHellos()
		pendingHellos = append(pendingHellos, hellos...)
		if withRemoteHellos {
			m.sendToOtherRegions(pendingHellos)
			pendingHellos = nil
		} else {
			m.sendToOtherRegions(nil)
		}
	}
}

// schedule determines which bundles are due at a tick. Bundles of changes between
// ticks do not count: while many engines load at once, they would delay hellos, and
// entries would seem dead.
type schedule struct{ ticks int }

// next reports whether hellos and bundles for other regions are due at this tick,
// and whether the bundles for other regions contain hellos. For an entry that is
// not a collector, withHellos is always true, so that it checks at each tick
// whether it must become one.
func (s *schedule) next(isCollector bool) (withHellos, withRemoteHellos bool) {
	s.ticks++
	return !isCollector || s.ticks%helloBundleTicks == 0, s.ticks%remoteHelloTicks == 0
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *Mesh) isCollector() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.collector.active
}

// updateCollector decides whether this entry is a collector from now on.
func (m *Mesh) updateCollector() bool {
	ids := m.collectorsByRegion()[m.cfg.Self.Region]
	active := slices.Contains(ids, m.cfg.Self.ID)
	m.mu.Lock()
	wasActive := m.collector.active
	if active != wasActive {
		m.collector.reset(active)
	}
	m.mu.Unlock()
	if active != wasActive {
		m.cfg.Log.Event("collector", "active", active, "collectors", ids)
	}
	return active
}

// collectorsByRegion returns the ids of each region's collectors, computed from the
// entries that are live for this entry.
func (m *Mesh) collectorsByRegion() map[string][]string {
	self := m.cfg.Self
	entries := map[string][]relay.Entry{self.Region: {{ID: self.ID, Region: self.Region, Ready: m.cfg.Status().Ready}}}
	now := bootclock.Now()
	m.mu.Lock()
	for id, p := range m.members {
		if region := p.member.Region; p.live(now) {
			entries[region] = append(entries[region], relay.Entry{ID: id, Region: region, Ready: p.hello.Ready})
		}
	}
	m.mu.Unlock()
	out := map[string][]string{}
	for region, regionEntries := range entries {
		out[region] = relay.Collectors(region, regionEntries)
	}
	return out
}

// live reports whether p is an entry whose last hello is at most LiveTimeout old.
func (p *peer) live(now time.Time) bool {
	return p.member.Role == Entry && !p.lastHelloAt.IsZero() && now.Sub(p.lastHelloAt) <= LiveTimeout
}

// activeCollectors returns the addresses of this region's collectors that have
// sent a bundle recently.
func (m *Mesh) activeCollectors() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []netip.AddrPort
	for _, id := range m.collectorTracker.Active(bootclock.Now()) {
		if p := m.members[id]; p != nil {
			out = append(out, p.addr)
		}
	}
	return out
}

// sendToRegion sends the reports since the last bundle to the region's entries.
// With withHellos set it also sends the hellos, which it returns, and an empty
// bundle to the region's agents, which identifies the collector to them.
func (m *Mesh) sendToRegion(withHellos bool) []Hello {
	bundle := Bundle{Collector: MemberHash(m.cfg.Self.ID)}
	m.mu.Lock()
	for _, r := range m.collector.regional {
		bundle.Reports = append(bundle.Reports, r)
	}
	clear(m.collector.regional)
	m.mu.Unlock()
	if withHellos {
		bundle.Hellos = m.bufferedHellos()
		agents := m.targets(func(o Member) bool { return o.Role == Agent && o.Region == m.cfg.Self.Region })
		m.sendBundle(Bundle{Collector: bundle.Collector}, agents)
	}
	if len(bundle.Reports)+len(bundle.Hellos) > 0 {
		m.sendBundle(bundle, m.targets(m.isRegionEntry))
	}
	return bundle.Hellos
}

// bufferedHellos returns this entry's hello and those received since the last
// bundle with hellos.
func (m *Mesh) bufferedHellos() []Hello {
	hellos := []Hello{m.currentHello()}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.collector.hellos {
		hellos = append(hellos, h)
	}
	return hellos
}

func (m *Mesh) clearHellos() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.collector.hellos)
}

// sendToOtherRegions sends hellos and the reports since its last bundle to one
// collector of each other region, which forwards them there.
func (m *Mesh) sendToOtherRegions(hellos []Hello) {
	bundle := Bundle{Collector: MemberHash(m.cfg.Self.ID), Relay: true, Hellos: newestHellos(hellos)}
	m.mu.Lock()
	for _, r := range m.collector.remote {
		bundle.Reports = append(bundle.Reports, r)
	}
	clear(m.collector.remote)
	m.mu.Unlock()
	if len(bundle.Reports)+len(bundle.Hellos) > 0 {
		m.sendBundle(bundle, m.remoteCollectors())
	}
}

// newestHellos returns the last hello of each member.
func newestHellos(hellos []Hello) []Hello {
	last := map[uint64]Hello{}
	for _, h := range hellos {
		last[h.Member] = h
	}
	return slices.Collect(maps.Values(last))
}

// remoteCollectors returns the address of one collector of each other region; the
// collectors of this entry's region choose different ones. For a region without a live
// entry it returns some entries at random, which then record this entry as live.
func (m *Mesh) remoteCollectors() []netip.AddrPort {
	collectors := m.collectorsByRegion()
	index := max(0, slices.Index(collectors[m.cfg.Self.Region], m.cfg.Self.ID))
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []netip.AddrPort
	unknownRegions := map[string][]netip.AddrPort{}
	for _, p := range m.members {
		region := p.member.Region
		if p.member.Role != Entry || region == m.cfg.Self.Region {
			continue
		}
		if ids := collectors[region]; len(ids) == 0 {
			unknownRegions[region] = append(unknownRegions[region], p.addr)
		} else if p.member.ID == ids[index%len(ids)] {
			out = append(out, p.addr)
		}
	}
	for _, entries := range unknownRegions {
		rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
		out = append(out, entries[:min(unknownRegionTargets, len(entries))]...)
	}
	return out
}

func (m *Mesh) sendBundle(b Bundle, targets []netip.AddrPort) {
	for _, datagram := range EncodeBundle(b) {
		m.sendTo(datagram, targets)
	}
}
