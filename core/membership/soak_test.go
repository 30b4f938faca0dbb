//go:build soak

package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Sizes of the target.
const (
	targetZones    = 10
	targetEntries  = 410
	targetAgents   = 600
	targetRestarts = 340
)

// TestSoakRandomRuns guards against the same faults as TestRandomRuns, in
// longer runs of more members.
func TestSoakRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { randomRun(t, 24, 30, 30) })
}

// TestSoakTargetSize guards against a design that holds only in small fleets:
// each case runs at the target size.
func TestSoakTargetSize(t *testing.T) {
	for name, run := range map[string]func(*qt.C, *network){
		"departures":   checkDepartures,
		"zone loss":    checkZoneLoss,
		"reunion":      func(c *qt.C, n *network) { checkReunion(c, n, 180) },
		"mass restart": func(c *qt.C, n *network) { checkMassRestart(c, n, targetRestarts, 180) },
		"join":         func(c *qt.C, n *network) { checkJoin(c, n, 60) },
		"cold start":   func(c *qt.C, n *network) { checkColdStart(c, n, 300) },
		"steady":       checkSteady,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run(qt.New(t), newNetwork(1, targetZones, targetEntries, targetAgents))
		})
	}
}

// checkSteady guards against bytes and time that grow without any change.
func checkSteady(c *qt.C, n *network) {
	n.warm()
	n.run(10)
	n.measure()
	start := time.Now()
	n.run(60)
	c.Logf("steady: %.0f B/s per entry sent, %.2f ms of a core per entry and second", n.measure()/60,
		time.Since(start).Seconds()*1000/60/float64(len(n.entries)))
	c.Check(n.falselySuspected(), qt.Equals, 0)
}
