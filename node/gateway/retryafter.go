package gateway

import (
	"math/rand/v2"
	"time"
)

const (
	// soonRetry is when to come back after a cause that passes by itself
	// within a moment, for example a process that is starting or stopping.
	soonRetry = 200 * time.Millisecond
	// fullRetry is the middle of the time to come back when all engines are
	// full: the time in which a batch of an engine has changed once.
	fullRetry = 1200 * time.Millisecond
)

// retryAfter spreads callers that return over half to one and a half times
// the middle, so that those refused in one wave do not come back in one.
func (g *Gateway) retryAfter(req *request, reason Reason) time.Duration {
	middle := soonRetry
	if reason == ReasonAllFull || reason == ReasonRefusedByAll || reason == ReasonNoWeights {
		middle = fullRetry
	}
	return middle/2 + rand.N(middle)
}
