package rollout

import "time"

// Patience is how long agents of a swarm wait for those before them in line.
type Patience struct {
	// First, in the region where a piece enters, and Feeder, in the others, are
	// how long the next agent in line waits for the one before it.
	First, Feeder time.Duration
	// Origin is how long a feeder waits for the region before it.
	Origin time.Duration
}

const (
	// firstCopies, feederCopies and originCopies are these times in copies of
	// the version on the origin's link: pieces reach the first region within
	// one, and the last region within two.
	firstCopies  = 1.2
	feederCopies = 2
	originCopies = 2
	// leastFirst and leastOther bound them for an origin that is fast: a
	// feeder needs time of its own.
	leastFirst = 1500 * time.Millisecond
	leastOther = 2500 * time.Millisecond
)

// PatienceFor returns the patience for an origin that sends a copy of the version
// in some time; 0 is unknown.
//
// A thin origin: agents that wait for less than a copy takes ask the origin for
// pieces that are on their way, and its link carries them twice (5.5 copies for
// three versions, and ten seconds without service, on a day of sahil-tint).
func PatienceFor(copyTime time.Duration) Patience {
	times := func(copies float64, least time.Duration) time.Duration {
		return max(least, time.Duration(copies*float64(copyTime)))
	}
	return Patience{First: times(firstCopies, leastFirst), Feeder: times(feederCopies, leastOther), Origin: times(originCopies, leastOther)}
}
