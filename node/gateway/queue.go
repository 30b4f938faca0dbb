package gateway

import (
	"time"

	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/waiting"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

// notItsTurn is the miss of a request before which another one gets the next place.
const notItsTurn placement.Miss = "not_its_turn"

// queue returns the queue of a service. The caller holds mu.
func (g *Gateway) queue(service string) *waiting.Queue {
	queue := g.queues[service]
	if queue == nil {
		queue = waiting.NewQueue()
		g.queues[service] = queue
	}
	return queue
}

// choose chooses a server for a request, if it is its turn where requests are ordered. It
// returns the channel that is closed when that may have changed.
func (g *Gateway) choose(req *request, now time.Time) (choice placement.Choice, miss placement.Miss, changed chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.cfg.OrderedWaiting {
		choice, miss = g.fleet.Choose(now, req.query())
		return choice, miss, g.changed
	}
	queue := g.queue(req.service)
	if req.waiter == nil {
		req.waiter = queue.Join(req.waitingRequest())
	}
	if queue.First() != req.waiter {
		return placement.Choice{}, notItsTurn, g.changed
	}
	choice, miss = g.fleet.Choose(now, req.query())
	if miss == placement.Found {
		queue.Grant(req.waiter, now)
		req.waiter = nil
	} else {
		queue.RecordMiss(req.waiter)
	}
	if queue.First() != nil {
		// It is the turn of the next one.
		g.wakeWaiters()
	}
	return choice, miss, g.changed
}

// leaveQueue takes a request out of the queue, if it is still there.
func (g *Gateway) leaveQueue(req *request) {
	if req.waiter == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	queue := g.queue(req.service)
	queue.Leave(req.waiter)
	req.waiter = nil
	if queue.First() != nil {
		g.wakeWaiters()
	}
}

// recordElapsedPause records that a pause of a server has ended, which no message tells.
func (g *Gateway) recordElapsedPause(req *request) {
	if req.waiter == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue(req.service).Changed()
}

// waitingRequest returns what the order of waiting requests depends on.
func (r *request) waitingRequest() waiting.Request {
	return waiting.Request{
		Rank: r.priority, RouteRank: r.route.Priority, Workspace: r.workspace, Late: r.pastTarget, Returning: r.returning,
		Particular: r.regions.Restricted() || len(r.tried) > 0,
	}
}

// maxWait returns how long a request may wait after a miss.
func (g *Gateway) maxWait(req *request, miss placement.Miss, remaining time.Duration) time.Duration {
	usual := placement.MaxWait(miss, req.pastTarget, req.route.Target, remaining)
	ordered := miss == placement.AllFull || miss == placement.AllCold || miss == notItsTurn
	if req.waiter == nil || !ordered {
		return usual
	}
	now := bootclock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue(req.service).MaxWait(req.waiter, usual, remaining, now)
}

// returnFromQueue returns when a caller that was refused for lack of places may return.
func (g *Gateway) returnFromQueue(req *request) time.Duration {
	now := bootclock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue(req.service).ReturnAfter(time.Until(req.deadline)/honouredShare, now)
}

// honouredShare divides the time that a caller has left; callers wait no longer for a
// time to return.
const honouredShare = 3
