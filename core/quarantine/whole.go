package quarantine

import (
	"slices"
	"time"

	"github.com/laburnumloft/laburnumloft/core/prompt"
)

// judgeWhole returns a verdict on a whole request, or nil.
func (t *Tracker) judgeWhole(now time.Time) (*verdict, basis) {
	strongCrashes, allCrashes := map[prompt.Part]int{}, map[prompt.Part]int{}
	for _, c := range t.crashes {
		if len(c.attributed) > 0 {
			continue
		}
		for whole, weak := range c.wholes() {
			if t.isKnown(whole, now) {
				continue
			}
			allCrashes[whole]++
			if !weak {
				strongCrashes[whole]++
			}
		}
	}
	whole, found := most(strongCrashes, newPartCrashes)
	if !found {
		whole, found = most(allCrashes, newPartCrashes+weakCrashes)
	}
	if !found {
		return nil, noBasis
	}
	v := t.addVerdict([]prompt.Part{whole})
	v.whole = true
	return v, newCrashes
}

// wholes returns the whole requests among the suspects, and whether they are only weak
// ones.
func (c *crash) wholes() map[prompt.Part]bool {
	out := map[prompt.Part]bool{}
	for _, s := range c.suspects {
		if s.Whole != 0 {
			weak, seen := out[s.Whole]
			out[s.Whole] = s.Weak && (weak || !seen)
		}
	}
	return out
}

// partEvidence returns the crashes that may speak against parts: those that no verdict
// explains, and, for each request that is quarantined as a whole, its first one with this
// request alone. A part that crashes engines under several requests is found by these,
// though each of them was sent again until it was quarantined.
func (t *Tracker) partEvidence() (out []*crash) {
	counted := map[prompt.Part]bool{}
	for _, c := range t.crashes {
		if len(c.attributed) == 0 {
			out = append(out, c)
			continue
		}
		if t.explained(c) {
			continue
		}
		reduced := &crash{engine: c.engine, at: c.at}
		for _, s := range c.suspects {
			if s.Whole != 0 && !counted[s.Whole] && c.attributedTo(s.Whole) {
				counted[s.Whole] = true
				reduced.suspects = append(reduced.suspects, s)
			}
		}
		if len(reduced.suspects) > 0 {
			out = append(out, reduced)
		}
	}
	return out
}

// attributedTo reports whether a verdict on a whole request counts the crash.
func (c *crash) attributedTo(whole prompt.Part) bool {
	return slices.ContainsFunc(c.attributed, func(v *verdict) bool { return v.whole && v.parts[0] == whole })
}

// isSuspect reports whether a whole request was at an engine that crashed.
func (t *Tracker) isSuspect(whole prompt.Part) bool {
	return whole != 0 && slices.ContainsFunc(t.crashes, func(c *crash) bool {
		return slices.ContainsFunc(c.suspects, func(s Suspect) bool { return s.Whole == whole })
	})
}
