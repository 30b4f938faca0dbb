package rollout

import "time"

// FeederTimeouts holds the timeouts of the agents of a swarm that bring pieces
// into their region. For each piece, the agents of a region have an order: when
// the first does not bring the piece in time, the next one does it.
type FeederTimeouts struct {
	// FirstRegion and LaterRegion are how long an agent waits for the agent
	// before it in that order. FirstRegion applies in the region that gets a
	// piece from the origin, LaterRegion in all other regions.
	FirstRegion, LaterRegion time.Duration
	// OriginFallback is how long a feeder waits for the previous region before
	// it requests the piece from the origin.
	OriginFallback time.Duration
}

const (
	// The timeouts are multiples of the time that the origin's link takes for
	// a copy of the version: pieces reach the first region within one such
	// time, and the last region within two.
	firstRegionCopies    = 1.2
	laterRegionCopies    = 2
	originFallbackCopies = 2
	// Lower bounds of the timeouts for a fast origin, because a feeder needs
	// some time of its own.
	minFirstRegionTimeout = 1500 * time.Millisecond
	minLaterRegionTimeout = 2500 * time.Millisecond
)

// NewFeederTimeouts returns the timeouts for an origin whose link takes
// copyTime for a copy of the version; 0 means that the time is unknown.
//
// Agents that wait for less than copyTime at an origin with a slow link request
// pieces that are already on their way, so that the link carries them twice: 5.5
// copies for three versions, and ten seconds without service.
func NewFeederTimeouts(copyTime time.Duration) FeederTimeouts {
	timeout := func(copies float64, minimum time.Duration) time.Duration {
		return max(minimum, time.Duration(copies*float64(copyTime)))
	}
	return FeederTimeouts{FirstRegion: timeout(firstRegionCopies, minFirstRegionTimeout), LaterRegion: timeout(laterRegionCopies, minLaterRegionTimeout), OriginFallback: timeout(originFallbackCopies, minLaterRegionTimeout)}
}
