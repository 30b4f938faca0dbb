package gateway

import (
	"expvar"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/laburnumloft/laburnumloft/core/coldstart"
	"github.com/laburnumloft/laburnumloft/core/eligibility"
	"github.com/laburnumloft/laburnumloft/core/evacuation"
	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/route"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

// entriesViewInterval is the time between two updates of the view of the entries that
// share the rates of cold servers. Entries count as dead after 2 s.
const entriesViewInterval = 500 * time.Millisecond

var (
	// excludedTotal counts the servers that were excluded when a request was refused, by
	// reason.
	excludedTotal   = expvar.NewMap("placement_excluded_total")
	evacuationTotal = expvar.NewMap("gateway_evacuations_total")
)

// applyTraits passes what the active configuration says about servers to the fleet.
func (g *Gateway) applyTraits() {
	traits := map[string]placement.Traits{}
	for _, s := range g.table.Load().Services() {
		t := placement.Traits{}
		if s.Engine != nil {
			t.MemoryTokens = float64(s.Engine.MemoryTokens)
		}
		if s.ColdPerSecond > 0 {
			t.Pace = coldstart.Pace{
				PerSecond: s.ColdPerSecond, Duration: s.ColdStart,
				MaxPerSecond: max(1, g.cfg.ColdOverage)*s.ColdPerSecond + g.cfg.ColdSlack,
			}
		}
		if t != (placement.Traits{}) {
			traits[s.Name] = t
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.SetTraits(traits)
	// Servers may bear more than they did.
	g.notifyWaiters()
}

// PacesColdServers reports whether servers of a service bear only a low rate of requests
// after their start.
func (g *Gateway) PacesColdServers(service string) bool {
	table := g.table.Load()
	if table == nil {
		return false
	}
	s := table.Service(service)
	return s != nil && s.ColdPerSecond > 0
}

// logUnknownHomes logs homes to which no availability zone belongs. They match no server.
func (g *Gateway) logUnknownHomes(cfg route.Configuration) {
	if unknown := cfg.UnknownHomes(slices.Collect(maps.Values(g.cfg.Regions))); len(unknown) > 0 {
		g.cfg.Log.Event("homes_unknown", "version", cfg.Version, "regions", strings.Join(unknown[:min(len(unknown), maxLoggedServers)], ","))
	}
}

// updateEntriesView passes the view of the entries to the fleet, from time to time while
// servers are cold. The caller does not hold mu.
func (g *Gateway) updateEntriesView(now time.Time) {
	g.mu.Lock()
	due := now.Sub(g.entriesViewAt) >= entriesViewInterval
	if due {
		g.entriesViewAt = now
	}
	due = due && g.fleet.HasCold(now)
	g.mu.Unlock()
	if due {
		g.setEntriesView()
	}
}

// setEntriesView passes the view of the entries to the fleet. The caller does not hold mu.
func (g *Gateway) setEntriesView() {
	m := g.membership()
	view := coldstart.Membership{Self: m.Self, Ready: slices.Collect(maps.Keys(m.Candidates)), Live: m.Live, Known: m.Known}
	g.mu.Lock()
	g.fleet.SetEntries(view)
	g.mu.Unlock()
}

// AdoptEvacuations records notices on availability zones; source names where they come
// from.
func (g *Gateway) AdoptEvacuations(notices []evacuation.Notice, source string) {
	now := bootclock.Now()
	var changes []evacuation.Change
	g.mu.Lock()
	for _, n := range notices {
		if change, changed := g.evacuations.Adopt(n, now); changed {
			changes = append(changes, change)
		}
	}
	g.applyEvacuations(changes, now)
	g.mu.Unlock()
	g.recordEvacuations(changes, source)
}

// EvacuationSnapshot is the evacuations that the store held at the end of a read.
type EvacuationSnapshot struct {
	Evacuated []evacuation.Notice
	// Era and End are the position of the last record that the read covers.
	Era, End int64
	// Restored means that the store was restored from a copy before the read.
	Restored bool
}

// AdoptEvacuationSnapshot records a snapshot of the store.
func (g *Gateway) AdoptEvacuationSnapshot(s EvacuationSnapshot) {
	now := bootclock.Now()
	g.mu.Lock()
	changes := g.evacuations.AdoptSnapshot(s.Evacuated, s.Era, s.End, s.Restored, now)
	g.applyEvacuations(changes, now)
	g.mu.Unlock()
	g.recordEvacuations(changes, "store")
}

// Evacuations returns what other entries should know about availability zones.
func (g *Gateway) Evacuations() []evacuation.Notice {
	now := bootclock.Now()
	g.mu.Lock()
	expired := g.evacuations.Expire(now)
	g.applyEvacuations(expired, now)
	notices := g.evacuations.Notices(now)
	g.mu.Unlock()
	g.recordEvacuations(expired, "lost_in_restore")
	return notices
}

// applyEvacuations passes changes to the fleet. The caller holds mu.
func (g *Gateway) applyEvacuations(changes []evacuation.Change, now time.Time) {
	for _, c := range changes {
		g.fleet.SetEvacuated(c.Zone, c.Evacuated, now)
	}
	if len(changes) > 0 {
		g.notifyWaiters()
	}
}

// recordEvacuations logs and counts changes and tells the other entries.
func (g *Gateway) recordEvacuations(changes []evacuation.Change, source string) {
	if len(changes) == 0 {
		return
	}
	// The servers of a zone that is taken back are cold.
	g.setEntriesView()
	for _, c := range changes {
		event := "zone_taken_back"
		if c.Evacuated {
			event = "zone_evacuated"
		}
		evacuationTotal.Add(event, 1)
		_, known := g.cfg.Regions[c.Zone]
		g.cfg.Log.Event(event, "zone", c.Zone, "known", known, "offset", c.Offset, "source", source)
	}
	if g.cfg.OnEvacuations != nil && source != "entry" {
		g.cfg.OnEvacuations(g.Evacuations())
	}
}

// recordExclusions counts the servers that a refused request could not get.
func recordExclusions(e eligibility.Exclusions) {
	for reason, count := range e {
		if count > 0 {
			excludedTotal.Add(eligibility.Reason(reason).String(), int64(count))
		}
	}
}
