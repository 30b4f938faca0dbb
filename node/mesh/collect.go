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
	// bundleEvery is the time between two bundles of reports for the own
	// region. Two collectors tell at different moments, so that a report waits
	// some 70 ms at one of them in the mean, a third of the time between two
	// reports.
	bundleEvery = 200 * time.Millisecond
	// tellEvery is how many of them pass between two bundles with hellos, and
	// between two for other regions, farHellosEvery between two for other
	// regions with hellos: both collectors of a region tell them within the
	// time after which an entry counts as dead.
	tellEvery      = 2
	farHellosEvery = 2 * tellEvery
	// changePause lets changes of several engines collect.
	changePause = 30 * time.Millisecond
	// startPatience is how long an entry that starts listens before it
	// collects: it must not take itself for the only one.
	startPatience = 1500 * time.Millisecond
	// regionTries is how many entries of a region get a bundle of which no
	// entry was heard yet.
	regionTries = 2
)

// collector is what an entry gathers for others while it is a collector.
type collector struct {
	active bool
	// near and far are the reports that came since the last bundle for the
	// own region and for others, by address, hellos those since the last
	// bundles with hellos, by member.
	near, far map[string]placement.Report
	hellos    map[uint64]Hello
}

func (c *collector) reset(active bool) {
	c.active = active
	c.near, c.far, c.hellos = map[string]placement.Report{}, map[string]placement.Report{}, map[uint64]Hello{}
}

// gather keeps what came for the next bundle if this entry is a collector.
func (m *Mesh) gather(reports []placement.Report, hellos []Hello) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.collector.active {
		return
	}
	changed := false
	for _, r := range reports {
		m.collector.near[r.Address], m.collector.far[r.Address] = r, r
		changed = changed || r.Changed
	}
	for _, h := range hellos {
		m.collector.hellos[h.Member] = h
	}
	if !changed {
		return
	}
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// takeBundle takes over what a collector gathered, and sends it on if the
// collector is in another region and asks for it.
func (m *Mesh) takeBundle(b *Bundle) {
	if from, known := m.memberOf(b.Collector); known && from.Region == m.cfg.Self.Region {
		m.mu.Lock()
		m.heard.Record(from.ID, bootclock.Now())
		m.mu.Unlock()
	}
	if m.cfg.Self.Role != Entry {
		return
	}
	m.takeHellos(b.Hellos)
	m.takeReports(b.Reports)
	if b.Relay {
		b.Relay = false
		m.sendBundle(*b, m.targets(m.nearEntry))
	}
}

// collect sends bundles while this entry is a collector, until ctx ends.
func (m *Mesh) collect(ctx context.Context) {
	tick := time.NewTimer(startPatience)
	defer tick.Stop()
	// far are the hellos that other regions were not told yet.
	var far []Hello
	var rounds schedule
	for {
		select {
		case <-tick.C:
		case <-m.kick:
			if pause(ctx, changePause) != nil {
				return
			}
			m.tellRegion(false)
			m.tellOthers(nil)
			continue
		case <-ctx.Done():
			return
		}
		all, farHellos := rounds.next(m.collects())
		if all && !m.becomes() {
			tick.Reset(tellEvery * bundleEvery)
			far = nil
			continue
		}
		tick.Reset(bundleEvery)
		hellos := m.tellRegion(all)
		if !all {
			continue
		}
		m.cleanHellos()
		far = append(far, hellos...)
		if farHellos {
			m.tellOthers(far)
			far = nil
		} else {
			m.tellOthers(nil)
		}
	}
}

// schedule tells what is due at a tick. Changes that are told in between do not
// count: while many engines load at once, they would hold up hellos, and entries
// would seem dead.
type schedule struct{ ticks int }

// next reports whether hellos, and bundles for other regions, are due at this
// tick, and whether those for other regions contain hellos. An entry that does
// not collect looks each time whether it is to.
func (s *schedule) next(collects bool) (all, farHellos bool) {
	s.ticks++
	return !collects || s.ticks%tellEvery == 0, s.ticks%farHellosEvery == 0
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *Mesh) collects() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.collector.active
}

// becomes decides whether this entry is a collector from now on.
func (m *Mesh) becomes() bool {
	ids := m.collectors()[m.cfg.Self.Region]
	active := slices.Contains(ids, m.cfg.Self.ID)
	m.mu.Lock()
	before := m.collector.active
	if active != before {
		m.collector.reset(active)
	}
	m.mu.Unlock()
	if active != before {
		m.cfg.Log.Event("collector", "active", active, "collectors", ids)
	}
	return active
}

// collectors returns the ids of the collectors of each region, by what this
// entry hears.
func (m *Mesh) collectors() map[string][]string {
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
	for region, of := range entries {
		out[region] = relay.Collectors(region, of)
	}
	return out
}

// live reports whether an entry said hello lately.
func (p *peer) live(now time.Time) bool {
	return p.member.Role == Entry && !p.heard.IsZero() && now.Sub(p.heard) <= LiveWithin
}

// collectorsHeard returns where the collectors of the own region are that were
// heard lately.
func (m *Mesh) collectorsHeard() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []netip.AddrPort
	for _, id := range m.heard.Active(bootclock.Now()) {
		if p := m.members[id]; p != nil {
			out = append(out, p.addr)
		}
	}
	return out
}

// tellRegion sends what came since the last bundle to the region's entries,
// and with all set also the hellos, which it returns. Agents learn from it who
// collects.
func (m *Mesh) tellRegion(all bool) []Hello {
	bundle := Bundle{Collector: MemberHash(m.cfg.Self.ID)}
	m.mu.Lock()
	for _, r := range m.collector.near {
		bundle.Reports = append(bundle.Reports, r)
	}
	clear(m.collector.near)
	m.mu.Unlock()
	if all {
		bundle.Hellos = m.gatheredHellos()
		agents := m.targets(func(o Member) bool { return o.Role == Agent && o.Region == m.cfg.Self.Region })
		m.sendBundle(Bundle{Collector: bundle.Collector}, agents)
	}
	if len(bundle.Reports)+len(bundle.Hellos) > 0 {
		m.sendBundle(bundle, m.targets(m.nearEntry))
	}
	return bundle.Hellos
}

// gatheredHellos returns the hellos that came since the last ones were sent on,
// and the own one.
func (m *Mesh) gatheredHellos() []Hello {
	hellos := []Hello{m.hello()}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.collector.hellos {
		hellos = append(hellos, h)
	}
	return hellos
}

func (m *Mesh) cleanHellos() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.collector.hellos)
}

// tellOthers sends hellos, and the reports that came since the last such bundle,
// to one collector of each other region, which sends them on there.
func (m *Mesh) tellOthers(hellos []Hello) {
	bundle := Bundle{Collector: MemberHash(m.cfg.Self.ID), Relay: true, Hellos: newest(hellos)}
	m.mu.Lock()
	for _, r := range m.collector.far {
		bundle.Reports = append(bundle.Reports, r)
	}
	clear(m.collector.far)
	m.mu.Unlock()
	if len(bundle.Reports)+len(bundle.Hellos) > 0 {
		m.sendBundle(bundle, m.farCollectors())
	}
}

// newest returns the last hello of each member.
func newest(hellos []Hello) []Hello {
	last := map[uint64]Hello{}
	for _, h := range hellos {
		last[h.Member] = h
	}
	return slices.Collect(maps.Values(last))
}

// farCollectors returns one collector of each other region. The collectors of
// one region use different ones. Of a region of which nobody was heard yet, some
// entries are told, so that they hear of this one.
func (m *Mesh) farCollectors() []netip.AddrPort {
	collectors := m.collectors()
	place := max(0, slices.Index(collectors[m.cfg.Self.Region], m.cfg.Self.ID))
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []netip.AddrPort
	unheard := map[string][]netip.AddrPort{}
	for _, p := range m.members {
		region := p.member.Region
		if p.member.Role != Entry || region == m.cfg.Self.Region {
			continue
		}
		if ids := collectors[region]; len(ids) == 0 {
			unheard[region] = append(unheard[region], p.addr)
		} else if p.member.ID == ids[place%len(ids)] {
			out = append(out, p.addr)
		}
	}
	for _, entries := range unheard {
		rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
		out = append(out, entries[:min(regionTries, len(entries))]...)
	}
	return out
}

func (m *Mesh) sendBundle(b Bundle, targets []netip.AddrPort) {
	for _, datagram := range EncodeBundle(b) {
		m.sendTo(datagram, targets)
	}
}
