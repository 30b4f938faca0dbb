package gateway

import (
	"time"

	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/waiting"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

// notItsTurn is the miss of a request before which another one gets the next place.
const notItsTurn placement.Miss = "not_its_turn"

// line returns the line of a service. The caller holds mu.
func (g *Gateway) line(service string) *waiting.Line {
	line := g.lines[service]
	if line == nil {
		line = waiting.NewLine()
		g.lines[service] = line
	}
	return line
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
	line := g.line(req.service)
	if req.ticket == nil {
		req.ticket = line.Join(req.waitingRequest())
	}
	if line.First() != req.ticket {
		return placement.Choice{}, notItsTurn, g.changed
	}
	choice, miss = g.fleet.Choose(now, req.query())
	if miss == placement.Found {
		line.Grant(req.ticket, now)
		req.ticket = nil
	} else {
		line.RecordMiss(req.ticket)
	}
	if line.First() != nil {
		// It is the turn of the next one.
		g.wakeWaiters()
	}
	return choice, miss, g.changed
}

// leaveLine takes a request out of the line, if it is still there.
func (g *Gateway) leaveLine(req *request) {
	if req.ticket == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	line := g.line(req.service)
	line.Leave(req.ticket)
	req.ticket = nil
	if line.First() != nil {
		g.wakeWaiters()
	}
}

// recordElapsedPause records that a pause of a server has ended, which no message tells.
func (g *Gateway) recordElapsedPause(req *request) {
	if req.ticket == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.line(req.service).Changed()
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
	inLine := miss == placement.AllFull || miss == placement.AllCold || miss == notItsTurn
	if req.ticket == nil || !inLine {
		return usual
	}
	now := bootclock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.line(req.service).MaxWait(req.ticket, usual, remaining, now)
}

// returnInLine returns when a caller that was refused for lack of places may return.
func (g *Gateway) returnInLine(req *request) time.Duration {
	now := bootclock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.line(req.service).ReturnAfter(time.Until(req.deadline)/honouredShare, now)
}

// honouredShare divides the time that a caller has left; callers wait no longer for a
// time to return.
const honouredShare = 3
