package placement

import "time"

const (
	// holdShare of the target is how long a request waits for a free place. An
	// engine frees a place every 100 ms or so when its batch is full; a longer
	// wait makes the answer late, and a refusal as well.
	holdShare = 0.2
	// loadHold is how long a caller that returns after a refusal waits while
	// no engine has its weights. After a loss of all VMs, engines load within
	// a second or two.
	loadHold = 1500 * time.Millisecond
	// minHold lets changes that are on their way be seen.
	minHold = time.Millisecond
)

// Hold returns how long a request may wait for a server after a miss. Late says
// that the caller returns after a refusal, target is the time to its first
// event, and left the time until it gives up.
//
// A loss of all VMs: callers are refused, and all come back within two seconds,
// when engines have just begun to load. Refusing them again would be their
// last answer, while there is time to serve them, late.
func Hold(miss Miss, late bool, target, left time.Duration) time.Duration {
	if miss == NoWeights && late && left >= 2*loadHold {
		return loadHold
	}
	return max(time.Duration(holdShare*float64(target)), minHold)
}
