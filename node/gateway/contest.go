package gateway

import (
	"context"
	"sync"
)

// contest decides which of several runs of a request answers the caller. All of them go on
// until one wins; that ends the others.
type contest struct {
	mu   sync.Mutex
	runs map[*contestant]struct{}
}

// contestant is one run of a request: an attempt and those that follow when it fails.
type contestant struct {
	cancel context.CancelCauseFunc
	// lost means that another run has won.
	lost bool
}

// enter adds a run. cancel ends it when another one wins.
func (c *contest) enter(cancel context.CancelCauseFunc) *contestant {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs == nil {
		c.runs = map[*contestant]struct{}{}
	}
	run := &contestant{cancel: cancel}
	c.runs[run] = struct{}{}
	return run
}

// reenter adds a run again that has left, unless another one has won meanwhile.
func (c *contest) reenter(run *contestant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !run.lost {
		c.runs[run] = struct{}{}
	}
}

// leave removes a run that can't win for now.
func (c *contest) leave(run *contestant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.runs, run)
}

// win is winLocked for callers that don't hold mu.
func (c *contest) win(run *contestant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.winLocked(run)
}

// winLocked makes a run the only one and reports whether it is not too late. The caller
// holds mu.
func (c *contest) winLocked(run *contestant) bool {
	if run.lost {
		return false
	}
	for other := range c.runs {
		if other != run {
			other.lost = true
			other.cancel(errSuperseded)
			delete(c.runs, other)
		}
	}
	return true
}

// isAlone reports whether a run is the only one left.
func (c *contest) isAlone(run *contestant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !run.lost && !c.hasOthers(run)
}

// hasOthers reports whether there are other runs. The caller holds mu.
func (c *contest) hasOthers(run *contestant) bool {
	for other := range c.runs {
		if other != run {
			return true
		}
	}
	return false
}

// hasLost reports whether another run has won.
func (c *contest) hasLost(run *contestant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return run.lost
}
