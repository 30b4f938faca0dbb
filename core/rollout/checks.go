package rollout

import "time"

const (
	// MaxStagedCheckAge is the age of the check of a staged piece at which an
	// engine may no longer take the piece. A staged piece can become corrupt at any
	// time; the platform accepts a load of one that did so in the last 3 s.
	MaxStagedCheckAge = 3 * time.Second
	// LoadOrderTimeout is how long a load order may take until the engine has
	// accepted it.
	LoadOrderTimeout = time.Second
	// checkPassTime is the time in which a pass over all staged pieces should end,
	// so that one more pass fits in the time that a check is valid.
	checkPassTime = 500 * time.Millisecond
	// maxCheckWorkers bounds the pieces that are read back at the same time, and
	// with them the memory and the connections to the engine.
	maxCheckWorkers = 16
)

// StagedChecks holds when each staged piece of a version was last found intact. It
// decides whether a load order may be sent. It is not safe for concurrent use.
type StagedChecks struct {
	// checkedAt is the start of the newest check of each piece, which is the last
	// time at which the piece is known to have been intact; zero if there was none.
	checkedAt []time.Time
}

// NewStagedChecks returns checks of a number of pieces, none of which was checked.
func NewStagedChecks(pieces int) *StagedChecks {
	return &StagedChecks{checkedAt: make([]time.Time, pieces)}
}

// RecordIntact records that a check that began at the given time found the piece
// intact.
func (c *StagedChecks) RecordIntact(piece int, began time.Time) { c.checkedAt[piece] = began }

// Due returns the pieces to check before a load order may be sent.
func (c *StagedChecks) Due(now time.Time) (pieces []int) {
	for piece, at := range c.checkedAt {
		if at.IsZero() || now.Sub(at) > MaxStagedCheckAge-LoadOrderTimeout {
			pieces = append(pieces, piece)
		}
	}
	return pieces
}

// OldestAge returns the age of the oldest check, or -1 if a piece was never checked.
func (c *StagedChecks) OldestAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, at := range c.checkedAt {
		if at.IsZero() {
			return -1
		}
		oldest = max(oldest, now.Sub(at))
	}
	return oldest
}

// OrderBefore returns the time by which a load order must have reached the engine.
func (c *StagedChecks) OrderBefore(now time.Time) time.Time {
	return now.Add(MaxStagedCheckAge - c.OldestAge(now))
}

// CheckWorkers returns how many pieces to check at the same time if one check takes
// callTime, so that a pass over all pieces ends within checkPassTime.
func CheckWorkers(pieces int, callTime time.Duration) int {
	needed := (time.Duration(pieces)*callTime + checkPassTime - 1) / checkPassTime
	return min(max(1, int(needed)), maxCheckWorkers)
}
