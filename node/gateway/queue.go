package gateway

import (
	"time"

	"github.com/laburnumloft/laburnumloft/core/eligibility"
	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/waiting"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

// notItsTurn is the miss of a request before which another one is about to try.
const notItsTurn placement.Miss = "not_its_turn"

// serviceQueue holds the requests that wait for a server of a service.
type serviceQueue struct {
	*waiting.Queue
	// missed is the last decision that also holds for other requests.
	missed missed
}

// missed is a decision that found no server.
type missed struct {
	choice placement.Choice
	miss   placement.Miss
	when   time.Time
}

// at returns the decision with the times that remain of it.
func (m missed) at(now time.Time) (placement.Choice, placement.Miss) {
	choice, age := m.choice, now.Sub(m.when)
	choice.AvailableIn = max(0, choice.AvailableIn-age)
	if choice.PauseEndsIn > 0 {
		choice.PauseEndsIn = max(minPause, choice.PauseEndsIn-age)
	}
	return choice, m.miss
}

// recordMiss records that a request found no server.
func (q *serviceQueue) recordMiss(req *request, m missed) {
	ofItsOwn := m.miss == placement.TooLarge || m.choice.Exclusions[eligibility.Memory] > 0
	q.RecordMiss(req.waiter, ofItsOwn)
	req.missed = m
	if !ofItsOwn && !req.waiter.Particular {
		q.missed = m
	}
}

// missOf returns the decision that holds for a request whose turn it is not.
func (q *serviceQueue) missOf(req *request, now time.Time) (placement.Choice, placement.Miss) {
	missed, covered := q.Missed(req.waiter)
	switch {
	case covered:
		return q.missed.at(now)
	case missed:
		return req.missed.at(now)
	default:
		return placement.Choice{}, notItsTurn
	}
}

// queue returns the queue of a service. The caller holds mu.
func (g *Gateway) queue(service string) *serviceQueue {
	queue := g.queues[service]
	if queue == nil {
		queue = &serviceQueue{Queue: waiting.NewQueue()}
		g.queues[service] = queue
	}
	return queue
}

// choose chooses a server for a request, if it is its turn where requests are ordered. It
// returns the channel that is closed when that may have changed.
func (g *Gateway) choose(req *request, now time.Time) (choice placement.Choice, miss placement.Miss, changed chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if req.isHedge {
		choice, miss = g.chooseForHedge(req)
		return choice, miss, g.changed
	}
	if !g.cfg.OrderedWaiting {
		choice, miss = g.fleet.Choose(now, req.query())
		return choice, miss, g.changed
	}
	queue := g.queue(req.service)
	if req.waiter == nil {
		req.waiter = queue.Join(req.waitingRequest())
	}
	if queue.First() != req.waiter {
		choice, miss = queue.missOf(req, now)
		return choice, miss, g.changed
	}
	choice, miss = g.fleet.Choose(now, req.query())
	if miss == placement.Found {
		queue.Grant(req.waiter, now)
		req.waiter = nil
	} else {
		queue.recordMiss(req, missed{choice, miss, now})
	}
	// It is the turn of the next one, or the miss is one that ends waits at once.
	if queue.First() != nil || miss != placement.Found && miss != placement.AllFull {
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
		Rank: r.priority, RouteRank: r.route.Priority, Workspace: r.workspace, Model: r.model, Late: r.pastTarget, Returning: r.returning,
		Particular: r.regions.Restricted() || len(r.tried) > 0 || r.resumes(),
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
	wait := g.queue(req.service).MaxWait(req.waiter, usual, remaining, now)
	if miss == notItsTurn {
		// The next decision tells whether there is no place.
		wait = max(wait, usual)
	}
	return wait
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
