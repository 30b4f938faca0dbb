package membership

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Numbers of zones, entries and agents in the normal tests.
const (
	testZones   = 5
	testEntries = 30
	testAgents  = 50
)

// TestDepartures guards against planned departures and crashes that do not reach
// all entries in time.
func TestDepartures(t *testing.T) {
	checkDepartures(qt.New(t), newNetwork(1, testZones, testEntries, testAgents))
}

func checkDepartures(c *qt.C, n *network) {
	n.fillViews()
	n.runSeconds(10)
	c.Check(n.falseSuspicions(), qt.Equals, 0)
	n.agents["agent-007"].record.State = Leaving
	n.runSeconds(3)
	c.Check(n.entriesWithoutState("agent-007", Leaving), qt.Equals, 0)
	n.dead["agent-008"] = true
	n.dead["entry-003"] = true
	n.runSeconds(7)
	c.Check(n.entriesWithoutState("agent-008", Suspected), qt.Equals, 0)
	c.Check(n.entriesWithoutState("entry-003", Suspected), qt.Equals, 0)
	n.runSeconds(31)
	c.Check(n.entriesWithoutState("agent-008", Gone), qt.Equals, 0)
	c.Check(n.entriesWithoutState("entry-003", Gone), qt.Equals, 0)
	c.Check(n.falseSuspicions(), qt.Equals, 0)
}

// TestZoneLoss guards against members of a lost zone that keep getting work, and
// against a storm with one delta for each of them.
func TestZoneLoss(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, testZones, testEntries, testAgents)
	checkZoneLoss(c, n)
}

func checkZoneLoss(c *qt.C, n *network) {
	n.fillViews()
	n.runSeconds(15)
	for id, p := range n.places {
		if p.Zone == "zone-2" {
			n.dead[id] = true
		}
	}
	n.meanBytesSent()
	n.runSeconds(12)
	c.Check(n.meanBytesSent() <= DefaultBytesPerSecond*12, qt.IsTrue)
	for id, p := range n.places {
		if p.Zone == "zone-2" {
			c.Check(n.entriesWithoutState(id, Suspected), qt.Equals, 0, qt.Commentf(id))
		}
	}
	c.Check(n.falseSuspicions(), qt.Equals, 0)
}

// TestPartitionHeals guards against a storm of messages, and against old records
// that replace newer ones, when a partition between regions heals after an hour.
func TestPartitionHeals(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, testZones, testEntries, testAgents)
	checkPartitionHeals(c, n, 3600)
}

func checkPartitionHeals(c *qt.C, n *network, seconds int) {
	n.fillViews()
	n.runSeconds(10)
	n.partitioned["region-0"] = true
	n.runSeconds(60)
	for i, id := range n.ids(RoleAgent) {
		switch i % 10 {
		case 3:
			n.startAgent(id)
			n.agents[id].record.Version = "v2"
		case 4:
			n.dead[id] = true
		}
	}
	n.skipSeconds(seconds - 120)
	n.runSeconds(60)
	delete(n.partitioned, "region-0")
	n.meanBytesSent()
	n.runSeconds(40)
	bytes := n.meanBytesSent()
	c.Logf("partition heals: %.0f B/s sent per entry over 40 s", bytes/40)
	c.Check(bytes <= DefaultBytesPerSecond*(40+burstSeconds), qt.IsTrue, qt.Commentf("%f bytes sent per entry", bytes))
	for s := 40; s <= 120; s += 20 {
		c.Logf("partition heals: after %d s, %d live members get no work at an entry and %d are outdated", s, n.falseSuspicions(), n.outdatedPairs())
		n.runSeconds(20)
	}
	n.checkConverged(c)
}

// TestMassRestart guards against a restart of many agents at once that exceeds
// the byte budget or does not reach all entries.
func TestMassRestart(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, testZones, testEntries, testAgents)
	checkMassRestart(c, n, testAgents*2/3, 60)
}

func checkMassRestart(c *qt.C, n *network, count, seconds int) {
	n.fillViews()
	n.runSeconds(10)
	for _, id := range n.ids(RoleAgent)[:count] {
		n.startAgent(id)
		n.agents[id].record.Version = "v2"
	}
	n.meanBytesSent()
	for s := 1; s <= seconds; s++ {
		n.runSeconds(1)
		if s%10 == 0 {
			c.Logf("mass restart: after %d s, %d of %d pairs of an entry and an agent are outdated", s, n.outdatedPairs(), count*len(n.entries))
		}
	}
	bytes := n.meanBytesSent()
	c.Logf("mass restart: %.0f B/s sent per entry", bytes/float64(seconds))
	c.Check(bytes <= DefaultBytesPerSecond*float64(seconds+burstSeconds), qt.IsTrue)
	c.Check(n.outdatedPairs(), qt.Equals, 0)
}

// TestJoin guards against a restarted entry that takes longer than a few seconds
// to receive the records of all agents.
func TestJoin(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, testZones, testEntries, testAgents)
	checkJoin(c, n, 15)
}

func checkJoin(c *qt.C, n *network, seconds int) {
	n.fillViews()
	n.runSeconds(20)
	n.startEntry("entry-005", 1)
	for range seconds {
		n.runSeconds(1)
		c.Logf("join: the restarted entry lacks the current records of %d agents", n.outdatedAt("entry-005"))
	}
	c.Check(n.outdatedAt("entry-005"), qt.Equals, 0)
	c.Check(n.falseSuspicions(), qt.Equals, 0)
}

// TestColdStart guards against slow convergence, also across regions, when all
// members start at the same time.
func TestColdStart(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, testZones, testEntries, testAgents)
	checkColdStart(c, n, 40)
}

func checkColdStart(c *qt.C, n *network, seconds int) {
	for s := 1; s <= seconds; s++ {
		n.runSeconds(1)
		if s%10 == 0 {
			c.Logf("cold start: after %d s, %d of %d pairs of an entry and an agent are outdated", s, n.outdatedPairs(), len(n.agents)*len(n.entries))
		}
	}
	c.Check(n.outdatedPairs(), qt.Equals, 0)
	c.Check(n.falseSuspicions(), qt.Equals, 0)
}

// TestRandomRuns runs random sequences of crashes, restarts, pauses, departures
// and partitions with lost, duplicated and reordered messages. It guards against
// entries that disagree afterwards and against an older record that replaces a
// newer one, which the view itself also asserts.
func TestRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { randomRun(t, 9, 12, 12) })
}

func randomRun(t *rapid.T, entries, agents, steps int) {
	n := newNetwork(rapid.Uint64().Draw(t, "seed"), 3, entries, agents)
	n.lossRate, n.duplicateRate, n.reorderRate = 0.1, 0.05, 0.1
	order := newOrderChecker(n)
	all := append(n.ids(RoleEntry), n.ids(RoleAgent)...)
	for range steps {
		id := rapid.SampledFrom(all).Draw(t, "member")
		switch rapid.IntRange(0, 6).Draw(t, "event") {
		case 0:
			n.dead[id] = true
		case 1:
			n.restart(id)
			order.reset(id)
		case 2:
			if a := n.agents[id]; a != nil {
				a.paused = !a.paused
			}
		case 3:
			if a := n.agents[id]; a != nil {
				a.record.State = Leaving
			}
		case 4:
			n.partitioned[n.places[id].Region] = true
		case 5:
			clear(n.partitioned)
		case 6:
			if a := n.agents[id]; a != nil {
				a.record.Version = fmt.Sprintf("v%d", rapid.IntRange(1, 9).Draw(t, "version"))
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "seconds") {
			n.runSecond()
			order.check(t)
		}
	}
	clear(n.partitioned)
	n.lossRate, n.duplicateRate, n.reorderRate = 0, 0, 0
	for _, a := range n.agents {
		a.paused = false
	}
	for range 120 {
		n.runSecond()
		order.check(t)
	}
	n.checkConverged(t)
}
