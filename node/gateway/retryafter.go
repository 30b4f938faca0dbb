package gateway

import (
	"math/rand/v2"
	"time"
)

const (
	// shortRetryAfter is the mean Retry-After for causes that soon pass by
	// themselves, for example a process that is starting or stopping.
	shortRetryAfter = 200 * time.Millisecond
	// fullRetryAfter is the mean Retry-After when all engines are full: the time
	// in which an engine's batch changes once.
	fullRetryAfter = 1200 * time.Millisecond
	// loadingRetryAfter is the mean Retry-After when no engine has loaded the
	// weights: after a loss of all VMs loading ends after one to four seconds.
	// Callers wait at most a third of their remaining time, 2 s of 6.
	loadingRetryAfter = 1700 * time.Millisecond
)

// meanRetryAfter returns the mean time after which a caller that was refused may return.
func meanRetryAfter(reason Reason) time.Duration {
	switch reason {
	case ReasonAllFull, ReasonRefusedByAll, ReasonCold, ReasonNoHome:
		return fullRetryAfter
	case ReasonNoWeights:
		return loadingRetryAfter
	default:
		return shortRetryAfter
	}
}

// retryAfter returns a random time between half and one and a half times the
// mean (five sixths to seven sixths while weights load), so that callers that
// were refused together do not retry together.
func (g *Gateway) retryAfter(req *request, reason Reason) time.Duration {
	mean := meanRetryAfter(reason)
	switch {
	case reason == ReasonAllFull && g.cfg.OrderedWaiting:
		return g.returnFromQueue(req)
	case reason == ReasonLimited:
		return g.limitedReturn(req, req.availableIn)
	case reason == ReasonQuarantined:
		return req.verdict.Remaining
	case reason == ReasonNoWeights:
		return mean - mean/6 + rand.N(mean/3)
	}
	return mean/2 + rand.N(mean)
}
