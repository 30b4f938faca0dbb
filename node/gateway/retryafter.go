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

// retryAfter returns a random time between half and one and a half times the
// mean (five sixths to seven sixths while weights load), so that callers that
// were refused together do not retry together.
func (g *Gateway) retryAfter(req *request, reason Reason) time.Duration {
	mean := shortRetryAfter
	if g.cfg.OrderedWaiting && reason == ReasonAllFull {
		return g.returnInLine(req)
	}
	switch reason {
	case ReasonAllFull, ReasonRefusedByAll, ReasonCold, ReasonNoHome:
		mean = fullRetryAfter
	case ReasonLimited:
		return g.limitedReturn(req, req.availableIn)
	case ReasonQuarantined:
		return req.verdict.Remaining
	case ReasonNoWeights:
		return loadingRetryAfter - loadingRetryAfter/6 + rand.N(loadingRetryAfter/3)
	}
	return mean/2 + rand.N(mean)
}
