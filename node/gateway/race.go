package gateway

import (
	"slices"
	"sync"
)

// race decides which of several chains of attempts at a request answers the caller. All of
// them go on until one leads; that ends the others.
type race struct {
	mu     sync.Mutex
	chains map[*chain]struct{}
	// over means that the answer is complete.
	over bool
	// superseded lists the servers whose attempts were ended because another chain led.
	// They have not failed and may be used again.
	superseded []string
}

// enter adds a chain, or ends it if the answer is complete.
func (r *race) enter(c *chain) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over {
		r.end(c, errSuperseded)
		return
	}
	if r.chains == nil {
		r.chains = map[*chain]struct{}{}
	}
	r.chains[c] = struct{}{}
}

// leave removes a chain that has ended.
func (r *race) leave(c *chain) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.chains, c)
}

// setServer records the server of a chain's attempt; empty after the attempt.
func (r *race) setServer(c *chain, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.server, c.answering = server, false
}

// setAnswering records that the server of a chain's attempt has begun to answer.
func (r *race) setAnswering(c *chain) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.answering = true
}

// setWaiting records whether a chain waits for the one beside it instead of making
// attempts.
func (r *race) setWaiting(c *chain, waiting bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.waiting = waiting
}

// leadLocked ends all other chains and reports whether the chain hasn't been ended itself.
// The caller holds mu.
func (r *race) leadLocked(c *chain) bool {
	if c.lost.Load() {
		return false
	}
	for other := range r.chains {
		if other != c {
			r.end(other, errSuperseded)
		}
	}
	c.led = true
	return true
}

// end ends a chain for a cause. The caller holds mu.
func (r *race) end(c *chain, cause error) {
	c.lost.Store(true)
	c.cancel(cause)
	delete(r.chains, c)
	if c.server != "" {
		r.superseded = append(r.superseded, c.server)
	}
}

// finish is leadLocked for a chain whose answer is complete.
func (r *race) finish(c *chain) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.finishLocked(c)
}

func (r *race) finishLocked(c *chain) bool {
	if !r.leadLocked(c) {
		return false
	}
	r.over = true
	return true
}

// isAlone reports whether no other chain makes attempts.
func (r *race) isAlone(c *chain) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for other := range r.chains {
		if other != c && !other.waiting {
			return false
		}
	}
	return true
}

// mayReturnTo reports whether the request may return to a server.
func (r *race) mayReturnTo(server string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.superseded, server)
}

// supersededServers returns the servers to which the request may return.
func (r *race) supersededServers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.superseded)
}

// takeSuperseded records that the request returns, or can't return, to servers.
func (r *race) takeSuperseded(servers ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.superseded = slices.DeleteFunc(r.superseded, func(id string) bool { return slices.Contains(servers, id) })
}
