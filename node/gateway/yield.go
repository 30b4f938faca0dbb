package gateway

import (
	"context"
	"errors"
	"slices"

	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

// hedgeReserve is how much earlier than for other requests an engine is full for a hedge, in
// requests. Without it, hedges used the last places, and 18 requests were refused where none
// was without hedges (TestHedgesOnAFullFleetRefuseNobody); with 2, fewer streams of engines
// that are silent for good were saved. Other entries' requests find that room, too.
const hedgeReserve = 1

// heldPlace is the place at a server that a hedge holds.
type heldPlace struct {
	chain  *chain
	handle placement.Handle
}

// places are the requests that wait for a place and the hedges that hold one, by service.
// Gateway.mu protects them.
type places struct {
	waiting map[string]int
	// hedges are in the order in which they began.
	hedges map[string][]heldPlace
}

func newPlaces() places {
	return places{waiting: map[string]int{}, hedges: map[string][]heldPlace{}}
}

// joinWaiting counts a request that waits for a place.
func (g *Gateway) joinWaiting(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.places.waiting[service]++
}

func (g *Gateway) leaveWaiting(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.places.waiting[service]--; g.places.waiting[service] <= 0 {
		delete(g.places.waiting, service)
	}
}

// addHedgePlace records the place of a hedge's attempt.
func (g *Gateway) addHedgePlace(c *chain, choice placement.Choice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	service := c.req.service
	g.places.hedges[service] = append(g.places.hedges[service], heldPlace{c, choice.Handle})
}

func (g *Gateway) removeHedgePlace(c *chain) {
	g.mu.Lock()
	defer g.mu.Unlock()
	service := c.req.service
	held := slices.DeleteFunc(g.places.hedges[service], func(p heldPlace) bool { return p.chain == c })
	if g.places.hedges[service] = held; len(held) == 0 {
		delete(g.places.hedges, service)
	}
}

// chooseForHedge chooses a server for a hedge, which takes no place that another request
// waits for. The caller holds mu.
func (g *Gateway) chooseForHedge(req *request) (placement.Choice, placement.Miss) {
	if g.places.waiting[req.service] > 0 {
		return placement.Choice{}, placement.AllFull
	}
	return g.fleet.Choose(bootclock.Now(), req.query())
}

// endHedgeFor ends the youngest hedge whose place a request that found all servers full can
// take, and reports whether there was one.
func (g *Gateway) endHedgeFor(req *request) bool {
	for _, hedge := range g.hedgesInPlaceOf(req) {
		if hedge.race.yield(hedge) {
			attempts.Add("hedge_yielded", 1)
			g.cfg.Log.Event("hedge_yielded", "request", hedge.req.call.RequestID, "service", req.service, "to", req.call.RequestID)
			return true
		}
	}
	return false
}

// hedgesInPlaceOf returns the hedges whose place a request can take, the youngest first.
func (g *Gateway) hedgesInPlaceOf(req *request) (found []*chain) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, held := range slices.Backward(g.places.hedges[req.service]) {
		if g.fleet.CanReplace(bootclock.Now(), req.query(), held.handle) {
			found = append(found, held.chain)
		}
	}
	return found
}

// isBeside reports whether another chain has an attempt in flight, so that a chain's own
// attempt is a hedge.
func (r *race) isBeside(c *chain) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isBesideLocked(c, func(other *chain) bool { return other.server != "" })
}

// isBesideLocked reports whether another chain that makes attempts has a property.
func (r *race) isBesideLocked(c *chain, has func(other *chain) bool) bool {
	for other := range r.chains {
		if other != c && !other.waiting && has(other) {
			return true
		}
	}
	return false
}

// yield ends a hedge that has not led, if the server beside it has begun to answer: one that
// has not may still refuse the request, which then has no place at all. The request may
// return to the hedge's server, which has not failed.
func (r *race) yield(c *chain) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.lost.Load() || c.led || c.server == "" || !r.isBesideLocked(c, func(other *chain) bool { return other.answering }) {
		return false
	}
	r.end(c, errYielded)
	return true
}

// lossCause returns why a chain that lost was ended.
func (c *chain) lossCause() error {
	if errors.Is(context.Cause(c.ctx), errYielded) {
		return errYielded
	}
	return errSuperseded
}
