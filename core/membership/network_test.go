package membership

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Sizes of the networks of the normal tests.
const (
	testZones   = 5
	testEntries = 30
	testAgents  = 50
)

// TestDepartures guards against departures and deaths that do not reach all
// entries in time.
func TestDepartures(t *testing.T) {
	checkDepartures(qt.New(t), newNetwork(1, testZones, testEntries, testAgents))
}

func checkDepartures(c *qt.C, n *network) {
	n.warm()
	n.run(10)
	c.Check(n.falselySuspected(), qt.Equals, 0)
	n.agents["agent-007"].record.State = Leaving
	n.run(3)
	c.Check(n.missing("agent-007", Leaving), qt.Equals, 0)
	n.dead["agent-008"] = true
	n.dead["entry-003"] = true
	n.run(7)
	c.Check(n.missing("agent-008", Suspected), qt.Equals, 0)
	c.Check(n.missing("entry-003", Suspected), qt.Equals, 0)
	n.run(31)
	c.Check(n.missing("agent-008", Gone), qt.Equals, 0)
	c.Check(n.missing("entry-003", Gone), qt.Equals, 0)
	c.Check(n.falselySuspected(), qt.Equals, 0)
}

// TestZoneLoss guards against a lost zone that keeps its place in the view,
// and against a storm of deltas for each of its members.
func TestZoneLoss(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, testZones, testEntries, testAgents)
	checkZoneLoss(c, n)
}

func checkZoneLoss(c *qt.C, n *network) {
	n.warm()
	n.run(15)
	for id, p := range n.places {
		if p.Zone == "zone-2" {
			n.dead[id] = true
		}
	}
	n.measure()
	n.run(12)
	c.Check(n.measure() <= DefaultBytesPerSecond*12, qt.IsTrue)
	for id, p := range n.places {
		if p.Zone == "zone-2" {
			c.Check(n.missing(id, Suspected), qt.Equals, 0, qt.Commentf(id))
		}
	}
	c.Check(n.falselySuspected(), qt.Equals, 0)
}

// TestReunion guards against a storm and against old state that overrides
// newer state when regions meet again after an hour.
func TestReunion(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, testZones, testEntries, testAgents)
	checkReunion(c, n, 3600)
}

func checkReunion(c *qt.C, n *network, seconds int) {
	n.warm()
	n.run(10)
	n.cut["region-0"] = true
	n.run(60)
	for i, id := range n.ids(RoleAgent) {
		switch i % 10 {
		case 3:
			n.startAgent(id)
			n.agents[id].record.Version = "v2"
		case 4:
			n.dead[id] = true
		}
	}
	n.skip(seconds - 120)
	n.run(60)
	delete(n.cut, "region-0")
	n.measure()
	n.run(40)
	bytes := n.measure()
	c.Logf("reunion: %.0f B/s per entry sent over 40 s", bytes/40)
	c.Check(bytes <= DefaultBytesPerSecond*(40+burstSeconds), qt.IsTrue, qt.Commentf("%f bytes", bytes))
	for s := 40; s <= 120; s += 20 {
		c.Logf("reunion: after %d s %d pairs get no work, %d stale", s, n.falselySuspected(), n.stale())
		n.run(20)
	}
	n.checkConverged(c)
}

// TestMassRestart guards against a restart of all agents of a service that
// exceeds the budget or does not reach all entries.
func TestMassRestart(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, testZones, testEntries, testAgents)
	checkMassRestart(c, n, testAgents*2/3, 60)
}

func checkMassRestart(c *qt.C, n *network, count, seconds int) {
	n.warm()
	n.run(10)
	for _, id := range n.ids(RoleAgent)[:count] {
		n.startAgent(id)
		n.agents[id].record.Version = "v2"
	}
	n.measure()
	for s := 1; s <= seconds; s++ {
		n.run(1)
		if s%10 == 0 {
			c.Logf("mass restart: after %d s %d of %d pairs stale", s, n.stale(), count*len(n.entries))
		}
	}
	bytes := n.measure()
	c.Logf("mass restart: %.0f B/s per entry sent", bytes/float64(seconds))
	c.Check(bytes <= DefaultBytesPerSecond*float64(seconds+burstSeconds), qt.IsTrue)
	c.Check(n.stale(), qt.Equals, 0)
}

// TestJoin guards against an entry that restarts and does not learn the fleet
// within seconds.
func TestJoin(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, testZones, testEntries, testAgents)
	checkJoin(c, n, 15)
}

func checkJoin(c *qt.C, n *network, seconds int) {
	n.warm()
	n.run(20)
	n.startEntry("entry-005", 1)
	for range seconds {
		n.run(1)
		c.Logf("join: %d agents unknown", n.unknown("entry-005"))
	}
	c.Check(n.unknown("entry-005"), qt.Equals, 0)
	c.Check(n.falselySuspected(), qt.Equals, 0)
}

// TestColdStart guards against a fleet that starts at once and takes long to
// know itself, also across regions.
func TestColdStart(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, testZones, testEntries, testAgents)
	checkColdStart(c, n, 40)
}

func checkColdStart(c *qt.C, n *network, seconds int) {
	for s := 1; s <= seconds; s++ {
		n.run(1)
		if s%10 == 0 {
			c.Logf("cold start: after %d s %d of %d pairs unknown", s, n.stale(), len(n.agents)*len(n.entries))
		}
	}
	c.Check(n.stale(), qt.Equals, 0)
	c.Check(n.falselySuspected(), qt.Equals, 0)
}

// TestRandomRuns guards against any order of losses, doubled and reordered
// messages, pauses, restarts, departures and separations after which entries
// disagree, or in which an older record wins. The view itself asserts that.
func TestRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { randomRun(t, 9, 12, 12) })
}

func randomRun(t *rapid.T, entries, agents, steps int) {
	n := newNetwork(rapid.Uint64().Draw(t, "seed"), 3, entries, agents)
	n.loss, n.double, n.reorder = 0.1, 0.05, 0.1
	order := newOrderCheck(n)
	all := append(n.ids(RoleEntry), n.ids(RoleAgent)...)
	for range steps {
		id := rapid.SampledFrom(all).Draw(t, "member")
		switch rapid.IntRange(0, 6).Draw(t, "event") {
		case 0:
			n.dead[id] = true
		case 1:
			n.restart(id)
			order.forget(id)
		case 2:
			if a := n.agents[id]; a != nil {
				a.paused = !a.paused
			}
		case 3:
			if a := n.agents[id]; a != nil {
				a.record.State = Leaving
			}
		case 4:
			n.cut[n.places[id].Region] = true
		case 5:
			clear(n.cut)
		case 6:
			if a := n.agents[id]; a != nil {
				a.record.Version = fmt.Sprintf("v%d", rapid.IntRange(1, 9).Draw(t, "version"))
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "seconds") {
			n.second()
			order.check(t)
		}
	}
	clear(n.cut)
	n.loss, n.double, n.reorder = 0, 0, 0
	for _, a := range n.agents {
		a.paused = false
	}
	for range 120 {
		n.second()
		order.check(t)
	}
	n.checkConverged(t)
}
