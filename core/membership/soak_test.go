//go:build soak

package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Numbers of zones, entries, agents and restarted agents of the target size.
const (
	targetZones    = 10
	targetEntries  = 410
	targetAgents   = 600
	targetRestarts = 340
)

// TestSoakRandomRuns guards against the same faults as TestRandomRuns, with
// longer runs and more members.
func TestSoakRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { randomRun(t, 24, 30, 30) })
}

// TestSoakTargetSize guards against faults that occur only in large fleets: it
// runs each scenario of the normal tests at the target size.
func TestSoakTargetSize(t *testing.T) {
	for name, run := range map[string]func(*qt.C, *network){
		"departures":      checkDepartures,
		"zone loss":       checkZoneLoss,
		"partition heals": func(c *qt.C, n *network) { checkPartitionHeals(c, n, 180) },
		"mass restart":    func(c *qt.C, n *network) { checkMassRestart(c, n, targetRestarts, 180) },
		"join":            func(c *qt.C, n *network) { checkJoin(c, n, 60) },
		"cold start":      func(c *qt.C, n *network) { checkColdStart(c, n, 300) },
		"steady":          checkSteady,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run(qt.New(t), newNetwork(1, targetZones, targetEntries, targetAgents))
		})
	}
}

// checkSteady guards against false suspicions in a fleet without changes, and
// logs the bytes sent and the CPU time.
func checkSteady(c *qt.C, n *network) {
	n.fillViews()
	n.runSeconds(10)
	n.meanBytesSent()
	start := time.Now()
	n.runSeconds(60)
	c.Logf("steady: %.0f B/s per entry sent, %.2f ms of a core per entry and second", n.meanBytesSent()/60,
		time.Since(start).Seconds()*1000/60/float64(len(n.entries)))
	c.Check(n.falseSuspicions(), qt.Equals, 0)
}
