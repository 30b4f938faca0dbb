package answerlength

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Half of the hints are too low. Estimates must cover most answers of a kind, be lower than
// what callers allow, and fall back to that without hints or answers.
func TestHintsAreCorrectedByKind(t *testing.T) {
	c := qt.New(t)
	const allowed, meanTokens, tokensPerEvent = 600, 100, 5
	e := New()
	c.Check(e.Estimate("exact", 50, allowed), qt.Equals, float64(allowed))
	rng := rand.New(rand.NewPCG(1, 2))
	covered, total := map[string]int{}, map[string]float64{}
	const answers, learnt = 4000, 2000
	for n := range answers {
		for kind, spread := range map[string]float64{"exact": 0.05, "vague": 0.6} {
			tokens := 40 + rng.IntN(120)
			hint := max(1, int(float64(tokens)*math.Exp(spread*rng.NormFloat64())))
			estimate := e.Estimate(kind, hint, allowed)
			if n >= learnt {
				total[kind] += estimate
				if estimate >= float64(tokens) {
					covered[kind]++
				}
			}
			e.Record(Answer{Service: "s", Kind: kind, Hint: hint, Events: int64(tokens / tokensPerEvent), MeanTokens: meanTokens})
		}
	}
	for kind := range covered {
		c.Logf("%s: %d of %d covered, mean estimate %.0f", kind, covered[kind], answers-learnt, total[kind]/(answers-learnt))
		c.Check(float64(covered[kind]) >= 0.8*(answers-learnt), qt.IsTrue)
		c.Check(total[kind] < 0.6*allowed*(answers-learnt), qt.IsTrue)
	}
	c.Check(e.Estimate("exact", 0, allowed), qt.Equals, float64(allowed))
	c.Check(e.Estimate("unknown", 50, allowed), qt.Equals, float64(allowed))
	c.Check(e.Estimate("vague", 1<<30, allowed), qt.Equals, float64(allowed))
	for n := range 3 * maxKinds {
		e.Record(Answer{Service: fmt.Sprint(n), Kind: fmt.Sprint(n), Hint: 1, Events: 1, MeanTokens: 1})
	}
	c.Check(len(e.kinds) <= maxKinds && len(e.events) <= maxKinds, qt.IsTrue)
}
