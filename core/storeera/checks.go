package storeera

import "time"

const (
	// minCheckDelay and maxCheckDelay bound the time between a new era and the check of
	// our own records. Processes that start write theirs in that time, and of the
	// entries that check, the first one finds and writes what is missing.
	minCheckDelay = 300 * time.Millisecond
	maxCheckDelay = 1500 * time.Millisecond
	// maxChecks limits the checks in one era.
	maxChecks = 6
)

// Checks decides when an entry compares the records of our own that a restored store
// holds with what it knows. Each entry that reads the store does so once an era, also
// one that starts: what the store has lost may be known to it from others. The zero
// value has made no check.
type Checks struct {
	era   Era
	dueAt time.Time
	made  int
	done  bool
}

// Due reports whether a check is due. Parameter draw is a random number from 0 to 1.
func (c *Checks) Due(now time.Time, era Era, readsStore bool, draw float64) bool {
	if !era.Restored() || !readsStore {
		return false
	}
	if era != c.era {
		*c = Checks{era: era, dueAt: now.Add(checkDelay(draw))}
	}
	return !c.done && !now.Before(c.dueAt)
}

// RecordCheck records the end of a check. One that could not be completed is repeated.
func (c *Checks) RecordCheck(now time.Time, complete bool, draw float64) {
	c.made++
	c.done = complete || c.made >= maxChecks
	c.dueAt = now.Add(checkDelay(draw))
}

func checkDelay(draw float64) time.Duration {
	return minCheckDelay + time.Duration(draw*float64(maxCheckDelay-minCheckDelay))
}
