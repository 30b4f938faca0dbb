// Package waiting decides which of the requests that wait for a place at a backend
// server gets the next one, how long a request may wait, and when a refused caller
// should return.
//
// The load that it answers is more requests than places: a burst, a lost zone, callers
// that repeat at once, or one workspace that sends several times its share. The order
// holds among the requests of one entry; between entries, the load up to which a rank
// may fill a server (Reserve) gives the higher ranks the last places. The package does
// no I/O, reads no clock and starts no goroutine. A Queue is not safe for concurrent use.
package waiting

import (
	"cmp"
	"math"
	"time"

	"github.com/laburnumloft/laburnumloft/core/limits"
)

const (
	// anyRankEvery is the number of places of which one is given without regard to rank
	// and lateness, so that no kind of request starves.
	anyRankEvery = 8
	// rateTime is the time constant of the mean rate of places.
	rateTime = 2 * time.Second
	// shareTime is the time constant in which a workspace's use of places is forgotten.
	shareTime = 5 * time.Second
	// maxWorkspaces limits the workspaces whose use is kept.
	maxWorkspaces = 4096
	// rankReserve is the part of a place by which a rank leaves room to the rank above,
	// and maxReserve the most that a rank leaves.
	rankReserve = 0.5
	maxReserve  = 1.0
	// lateWait is the longest wait of a request whose target has passed. It is in no
	// hurry, but its caller waits at most three times as long in all.
	lateWait = 1500 * time.Millisecond
	// lateWaitShare is the part of its remaining time for which such a request waits.
	lateWaitShare = 1.0 / 3
	// hopelessWaits is the expected wait, as a multiple of the longest one, from which a
	// request is refused at once. The rate of places of one entry varies by half.
	hopelessWaits = 3
	// returnShare is the part of the rate of places that is promised to callers that
	// return after a refusal.
	returnShare = 0.25
	// minReturn is the shortest time after which a refused caller may return: a full
	// engine ends about one request in this time.
	minReturn = 600 * time.Millisecond
)

// Request is what the order depends on.
type Request struct {
	// Rank is the rank of the workspace or, without one, of the route, and RouteRank that
	// of the route; 0 is the highest.
	Rank, RouteRank int
	Workspace       string
	// Model is the model that a server must have loaded.
	Model string
	// Late means that the target has passed, so that only a late answer is possible.
	Late bool
	// Returning means that the caller was refused before.
	Returning bool
	// Particular means that the request can use only some of the servers: where it finds
	// no place, another may.
	Particular bool
}

// Reserve returns how much earlier than a request of the highest rank a request finds a
// server full, in requests.
func (r Request) Reserve() float64 {
	if r.Rank == 0 {
		return 0
	}
	return min(maxReserve, rankReserve*float64(max(r.RouteRank, 0)))
}

// Waiter is a place in the queue.
type Waiter struct {
	Request
	sequence uint64
	// failedAt is the number of the last change of the servers after which the request
	// found no place.
	failedAt uint64
	// covered means that the miss was another request's.
	covered bool
	// usage is that of the workspace.
	usage *usage
}

// Queue holds the waiting requests of one service.
type Queue struct {
	waiters  []*Waiter
	sequence uint64
	// changes counts the changes of the servers.
	changes uint64
	grants  uint64
	onTime  limits.MeanRate
	late    limits.MeanRate
	// used is each workspace's recent use of places.
	used map[string]*usage
	// started is the origin of the times in used.
	started time.Time
	next    time.Time
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{onTime: limits.NewMeanRate(rateTime), late: limits.NewMeanRate(rateTime), used: map[string]*usage{}}
}

// usage is the logarithm of a number of places that decays with shareTime, raised by the
// time in units of shareTime. All decay alike, so that values of different times compare.
type usage float64

// unused is the usage of a workspace that has used no place.
const unused usage = -math.MaxFloat64

// use returns the usage after one more place at a time, in units of shareTime.
func (u usage) use(at float64) usage {
	places := math.Exp(float64(u) - at)
	return usage(math.Log(places+1) + at)
}

// workspace returns the usage of a workspace.
func (q *Queue) workspace(name string) *usage {
	if u, known := q.used[name]; known {
		return u
	}
	if len(q.used) >= maxWorkspaces {
		clear(q.used)
	}
	u := unused
	q.used[name] = &u
	return &u
}

// Join adds a request to the queue.
func (q *Queue) Join(r Request) *Waiter {
	q.sequence++
	w := &Waiter{Request: r, sequence: q.sequence, usage: q.workspace(r.Workspace)}
	q.waiters = append(q.waiters, w)
	return w
}

// Leave removes a request that got no place.
func (q *Queue) Leave(w *Waiter) {
	for i, other := range q.waiters {
		if other == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			return
		}
	}
}

// Grant removes a request that got a place.
func (q *Queue) Grant(w *Waiter, now time.Time) {
	q.Leave(w)
	q.grants++
	if w.Late {
		q.late.Record(now)
	} else {
		q.onTime.Record(now)
	}
	if q.started.IsZero() {
		q.started = now
	}
	*w.usage = w.usage.use(now.Sub(q.started).Seconds() / shareTime.Seconds())
}

// Changed records that servers may have room that they did not have before.
func (q *Queue) Changed() { q.changes++ }

// RecordMiss records that a request found no place. If it can use all servers, and
// nothing of its own such as its size kept it from them, no other one that needs at least
// as much would find a place until the next change.
func (q *Queue) RecordMiss(w *Waiter, ofItsOwn bool) {
	w.failedAt, w.covered = q.changes+1, false
	if w.Particular || ofItsOwn {
		return
	}
	for _, other := range q.waiters {
		if other != w && covers(w, other) {
			other.failedAt, other.covered = q.changes+1, true
		}
	}
}

// Missed reports whether a request would find no place before the next change, and
// whether another one's miss tells so.
func (q *Queue) Missed(w *Waiter) (missed, covered bool) {
	missed = w.failedAt > q.changes
	return missed, missed && w.covered
}

// covers reports whether a finds a place wherever b does.
func covers(a, b *Waiter) bool {
	return a.Model == b.Model && (b.Late || !a.Late && a.Reserve() <= b.Reserve())
}

// First returns the request that should get the next place, or nil if none can before the
// servers change.
//
// Of the waiting requests the one that can be on time goes before one that can't, then the
// higher rank, then the workspace that has used the least, then a caller that came back,
// then the oldest; and for one place in anyRankEvery only the last three count.
func (q *Queue) First() (first *Waiter) {
	order := compare
	if q.grants%anyRankEvery == anyRankEvery-1 {
		order = compareWithoutRank
	}
	for _, w := range q.waiters {
		if missed, _ := q.Missed(w); missed {
			continue
		}
		if first == nil || order(w, first) < 0 {
			first = w
		}
	}
	return first
}

func compare(a, b *Waiter) int {
	if a.Late != b.Late {
		return last(a.Late, b.Late)
	}
	if a.Rank != b.Rank {
		return cmp.Compare(a.Rank, b.Rank)
	}
	if a.RouteRank != b.RouteRank {
		return cmp.Compare(a.RouteRank, b.RouteRank)
	}
	return compareWithoutRank(a, b)
}

func compareWithoutRank(a, b *Waiter) int {
	if *a.usage != *b.usage {
		return cmp.Compare(*a.usage, *b.usage)
	}
	if a.Returning != b.Returning {
		return last(!a.Returning, !b.Returning)
	}
	return cmp.Compare(a.sequence, b.sequence)
}

// last orders the one of two different values that is true behind the other.
func last(a, _ bool) int {
	if a {
		return 1
	}
	return -1
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiters) }

// Before returns the number of waiting requests that would get a place before a request.
func (q *Queue) Before(r Request) int {
	return q.Ahead(&Waiter{Request: r, sequence: q.sequence + 1, usage: q.workspaceOrUnused(r.Workspace)})
}

// workspaceOrUnused is like workspace, but keeps nothing.
func (q *Queue) workspaceOrUnused(name string) *usage {
	if u, known := q.used[name]; known {
		return u
	}
	u := unused
	return &u
}

// Ahead returns the number of requests that get a place before a waiter.
func (q *Queue) Ahead(w *Waiter) (ahead int) {
	for _, other := range q.waiters {
		if other != w && compare(other, w) < 0 {
			ahead++
		}
	}
	return ahead
}

// MaxWait returns how long a request may wait; 0 if its turn will not come in time. onTime
// is how long one may wait that can still be on time, and remaining the time until its
// caller gives up. A late request waits longer if places for late ones come at a rate at
// which its turn comes.
func (q *Queue) MaxWait(w *Waiter, onTime, remaining time.Duration, now time.Time) time.Duration {
	wait := onTime
	if w.Late {
		wait = min(lateWait, time.Duration(lateWaitShare*float64(remaining)))
	}
	perSecond := q.placesPerSecond(w, now)
	expected := float64(q.Ahead(w)) / max(perSecond, 1/rateTime.Seconds())
	switch {
	case w.Late && expected > wait.Seconds():
		return min(wait, onTime)
	case expected > hopelessWaits*wait.Seconds():
		return 0
	default:
		return wait
	}
}

func (q *Queue) placesPerSecond(w *Waiter, now time.Time) float64 {
	if w.Late {
		return q.late.PerSecond(now)
	}
	return q.onTime.PerSecond(now)
}

// NextReturn returns when the next refused caller may return: after those refused before
// it. A caller can't wait longer than limit.
func (q *Queue) NextReturn(limit time.Duration, now time.Time) time.Duration {
	return max(0, min(limit, max(minReturn, q.next.Sub(now))))
}

// ReturnAfter returns when a refused caller may return, and makes the one after it return
// later, at a part of the rate at which places become free.
func (q *Queue) ReturnAfter(limit time.Duration, now time.Time) time.Duration {
	after := q.NextReturn(limit, now)
	at := now.Add(after)
	if q.next.After(at) || minReturn > limit {
		return after
	}
	perSecond := max(returnShare*(q.onTime.PerSecond(now)+q.late.PerSecond(now)), 1/rateTime.Seconds())
	q.next = at.Add(time.Duration(float64(time.Second) / perSecond))
	return after
}
