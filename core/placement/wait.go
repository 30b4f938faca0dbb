package placement

import "time"

const (
	// waitTargetShare is the share of the target latency for which a request
	// waits for a free slot. An engine with a full batch frees a slot about
	// every 100 ms. A longer wait would delay the answer or the refusal too
	// much.
	waitTargetShare = 0.2
	// weightsLoadWait is how long a late request waits while no engine has
	// loaded its weights. After a loss of all VMs, engines load them within a
	// second or two.
	weightsLoadWait = 1500 * time.Millisecond
	// limitedTargetShare is the share of the target latency for which a request
	// waits for a limited server.
	limitedTargetShare = 0.5
	// minWait gives concurrent updates time to arrive.
	minWait = time.Millisecond
)

// MaxWait returns how long a request may wait for a server after a miss. late is
// set if the caller retries after a refusal and its target has already passed,
// target is the target latency of the first event, and remaining is the time
// until the caller gives up.
//
// Late requests wait longer for weights. After a loss of all VMs, callers are
// refused, and all of them retry within two seconds, when engines have just begun
// to load. A second refusal would be final, although there is still time for a
// late answer.
func MaxWait(miss Miss, late bool, target, remaining time.Duration) time.Duration {
	if miss == NoHome || miss == TooLarge {
		// Nothing that passes soon keeps the request from its servers.
		return 0
	}
	if miss == NoWeights && late && remaining >= 2*weightsLoadWait {
		return weightsLoadWait
	}
	if miss == Limited {
		return max(time.Duration(limitedTargetShare*float64(target)), minWait)
	}
	return max(time.Duration(waitTargetShare*float64(target)), minWait)
}
