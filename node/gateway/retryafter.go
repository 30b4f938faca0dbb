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
	// loadRetry is the middle when no engine has its weights: after a loss of
	// all VMs they load after one to four seconds. Callers wait a third of the
	// time that they have left at most, 2 s of 6.
	loadRetry = 1700 * time.Millisecond
)

// retryAfter spreads callers that return over half to one and a half times
// the middle, so that those refused in one wave do not come back in one.
func (g *Gateway) retryAfter(req *request, reason Reason) time.Duration {
	middle := soonRetry
	switch reason {
	case ReasonAllFull, ReasonRefusedByAll:
		middle = fullRetry
	case ReasonNoWeights:
		return loadRetry - loadRetry/6 + rand.N(loadRetry/3)
	}
	return middle/2 + rand.N(middle)
}
