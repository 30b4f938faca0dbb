package waiting

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// join adds requests and returns their waiters.
func join(q *Queue, requests ...Request) (waiters []*Waiter) {
	for _, r := range requests {
		waiters = append(waiters, q.Join(r))
	}
	return waiters
}

// Each half of the rule that orders waiting requests, and the exception that keeps every
// kind of request from starving.
func TestOrderOfPlaces(t *testing.T) {
	c := qt.New(t)
	late := Request{Late: true, Workspace: "late"}
	for _, test := range []struct {
		name   string
		first  Request
		second Request
	}{
		{"one that can be on time before one that can't", Request{Rank: 2, RouteRank: 2}, late},
		{"the higher rank of the workspace", Request{Rank: 0, RouteRank: 2}, Request{Rank: 1}},
		{"the higher rank of the route", Request{Rank: 1}, Request{Rank: 1, RouteRank: 1}},
		{"the workspace that used fewer places", Request{Workspace: "quiet"}, Request{Workspace: "busy", Returning: true}},
		{"a caller that came back before a new one", Request{Returning: true}, Request{}},
	} {
		q := NewQueue()
		q.Grant(join(q, Request{Workspace: "busy"})[0], start)
		waiters := join(q, test.second, test.first)
		c.Check(q.First(), qt.Equals, waiters[1], qt.Commentf(test.name))
	}
	q := NewQueue()
	waiters := join(q, Request{}, Request{})
	c.Check(q.First(), qt.Equals, waiters[0], qt.Commentf("the oldest"))

	q = NewQueue()
	lowest := join(q, late)[0]
	for n := range anyRankEvery {
		join(q, Request{})
		first := q.First()
		c.Check(first == lowest, qt.Equals, n == anyRankEvery-1, qt.Commentf("place %d", n))
		q.Grant(first, start)
	}
}

// A place that becomes free must be tried once, by the request whose turn it is, and by
// others only if they could use servers that it can't.
func TestOneRequestTriesAtATime(t *testing.T) {
	c := qt.New(t)
	q := NewQueue()
	waiters := join(q, Request{Particular: true}, Request{}, Request{RouteRank: 1, Rank: 1}, Request{Late: true})
	var tried []*Waiter
	for first := q.First(); first != nil; first = q.First() {
		tried = append(tried, first)
		q.RecordMiss(first, false)
	}
	c.Assert(slices.Equal(tried, waiters[:2]), qt.IsTrue)
	q.Changed()
	c.Assert(q.First(), qt.Equals, waiters[0])
	q.Leave(waiters[0])
	c.Assert(q.First(), qt.Equals, waiters[1])
}

// A late request waits for a place that nobody else needs only while such places come;
// one on time never waits longer than it may.
func TestLateRequestsWaitOnlyForPlacesThatCome(t *testing.T) {
	c := qt.New(t)
	const usual, remaining = 80 * time.Millisecond, 5 * time.Second
	q := NewQueue()
	ahead := join(q, Request{Late: true}, Request{Late: true}, Request{Late: true}, Request{Late: true})
	last := join(q, Request{Late: true})[0]
	c.Assert(q.MaxWait(last, usual, remaining, start), qt.Equals, usual)
	for range 20 {
		q.Grant(join(q, Request{Late: true})[0], start)
	}
	c.Assert(q.MaxWait(last, usual, remaining, start), qt.Equals, lateWait)
	c.Assert(q.MaxWait(ahead[0], usual, time.Second, start), qt.Equals, time.Second/3)
	c.Assert(q.MaxWait(join(q, Request{})[0], usual, remaining, start), qt.Equals, usual)
	// Long after the last place for late requests their turn does not come.
	c.Assert(q.MaxWait(last, usual, remaining, start.Add(time.Minute)), qt.Equals, usual)
}

// A miss must not keep a request from trying that may find a place all the same.
func TestWhomAMissCovers(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name          string
		first, second Request
		ofItsOwn      bool
		covered       bool
	}{
		{name: "alike", covered: true},
		{name: "needs more room", second: Request{Rank: 1, RouteRank: 1}, covered: true},
		{name: "needs less room", first: Request{Rank: 1, RouteRank: 1}, second: Request{Rank: 2}},
		{name: "another model", second: Request{Model: "b"}},
		{name: "too large for all", ofItsOwn: true},
		{name: "few servers", first: Request{Particular: true}},
	} {
		q := NewQueue()
		waiters := join(q, test.first, test.second)
		q.RecordMiss(waiters[0], test.ofItsOwn)
		missed, covered := q.Missed(waiters[1])
		c.Check([]bool{missed, covered}, qt.DeepEquals, []bool{test.covered, test.covered}, qt.Commentf(test.name))
		missed, covered = q.Missed(waiters[0])
		c.Check(missed && !covered, qt.IsTrue, qt.Commentf(test.name))
		q.Changed()
		missed, _ = q.Missed(waiters[0])
		c.Check(missed, qt.IsFalse)
	}
}

// Callers that are refused together must not return together, nor later than they can.
func TestReturnsAreSpread(t *testing.T) {
	c := qt.New(t)
	q := NewQueue()
	var times []time.Duration
	for range 4 {
		q.Grant(join(q, Request{})[0], start)
	}
	for range 20 {
		times = append(times, q.ReturnAfter(2*time.Second, start))
	}
	c.Check(times[0], qt.Equals, minReturn)
	c.Check(slices.IsSorted(times), qt.IsTrue)
	c.Check(times[1] > times[0], qt.IsTrue)
	c.Check(slices.Max(times) <= 2*time.Second, qt.IsTrue)
}

// replayed is what became of the requests of one kind.
type replayed struct{ offered, onTime, late, refused, refusedAgain int }

// caller is a request of a replay, and job one that holds a place.
type caller struct {
	kind   int
	r      Request
	at     time.Time
	limit  time.Time
	waiter *Waiter
}

// replay plays load on places that each serve a request in serviceTime on average: rates are the
// requests a second of each kind at a time. With ordered unset, the winner of a place is
// drawn among those that wait, as it was before there was an order.
type replay struct {
	places  int
	ordered bool
	kinds   []Request
	rates   func(at time.Duration) []float64
}

const (
	serviceTime  = time.Second
	mayWait      = 80 * time.Millisecond
	deadline     = 6 * time.Second
	playedFor    = 20 * time.Second
	drainedAfter = 5 * time.Second
)

func (r replay) run() (result []replayed, longest []time.Duration) {
	rng, arrivals := rand.New(rand.NewPCG(3, 4)), rand.New(rand.NewPCG(5, 6))
	q := NewQueue()
	result, longest = make([]replayed, len(r.kinds)), make([]time.Duration, len(r.kinds))
	var waiting, returning []*caller
	var busy []time.Time
	const step = time.Millisecond
	for at := time.Duration(0); at < playedFor+drainedAfter; at += step {
		now := start.Add(at)
		var arrived []*caller
		if at < playedFor {
			for kind, rate := range r.rates(at) {
				if arrivals.Float64() < rate*step.Seconds() {
					result[kind].offered++
					arrived = append(arrived, &caller{kind: kind, r: r.kinds[kind], at: now})
				}
			}
		}
		returning = slices.DeleteFunc(returning, func(w *caller) bool {
			if w.limit.After(now) {
				return false
			}
			w.r.Late, w.r.Returning = true, true
			arrived = append(arrived, w)
			return true
		})
		for _, w := range arrived {
			w.at, w.waiter = now, q.Join(w.r)
			wait := mayWait
			if r.ordered {
				wait = q.MaxWait(w.waiter, mayWait, deadline/2, now)
			}
			w.limit = now.Add(wait)
			waiting = append(waiting, w)
		}
		before := len(busy)
		busy = slices.DeleteFunc(busy, func(end time.Time) bool { return !end.After(now) })
		if len(busy) < before {
			q.Changed()
		}
		for len(busy) < r.places && len(waiting) > 0 {
			i := rng.IntN(len(waiting))
			if r.ordered {
				first := q.First()
				if first == nil {
					break
				}
				i = slices.IndexFunc(waiting, func(w *caller) bool { return w.waiter == first })
			}
			w := waiting[i]
			// Late requests leave the last places to those on time.
			if full := len(busy) >= r.places-1; w.r.Late && full {
				if q.RecordMiss(w.waiter, false); r.ordered {
					continue
				}
				break
			}
			q.Grant(w.waiter, now)
			waiting = slices.Delete(waiting, i, i+1)
			busy = append(busy, now.Add(serviceTime/2+time.Duration(rng.Int64N(int64(serviceTime)))))
			longest[w.kind] = max(longest[w.kind], now.Sub(w.at))
			if w.r.Late {
				result[w.kind].late++
			} else {
				result[w.kind].onTime++
			}
		}
		waiting = slices.DeleteFunc(waiting, func(w *caller) bool {
			if w.limit.After(now) {
				return false
			}
			q.Leave(w.waiter)
			if w.r.Returning {
				result[w.kind].refusedAgain++
				return true
			}
			result[w.kind].refused++
			after := 600*time.Millisecond + time.Duration(rng.Int64N(int64(1200*time.Millisecond)))
			if r.ordered {
				after = q.ReturnAfter(deadline/3, now)
			}
			w.limit = now.Add(after)
			returning = append(returning, w)
			return true
		})
	}
	return result, longest
}

// usualKinds are requests of three ranks of route from workspaces of the same rank, and
// usualRates their rates at a load of 1.0 on 100 places.
var (
	usualKinds = []Request{{Rank: 1, Workspace: "w"}, {Rank: 1, RouteRank: 1, Workspace: "w"}, {Rank: 1, RouteRank: 2, Workspace: "w"}}
	usualRates = []float64{33, 41, 26}
)

// stepTo returns the rates of a step to a load for 6 s.
func stepTo(load float64, kinds ...int) func(time.Duration) []float64 {
	return func(at time.Duration) []float64 {
		rates := slices.Clone(usualRates)
		for kind := range rates {
			rates[kind] *= 0.9
			if at >= 5*time.Second && at < 11*time.Second && (len(kinds) == 0 || slices.Contains(kinds, kind)) {
				rates[kind] *= load / 0.9
			}
		}
		return rates
	}
}

func sum(result []replayed) (total replayed) {
	for _, r := range result {
		total.offered += r.offered
		total.onTime += r.onTime
		total.late += r.late
		total.refused += r.refused
		total.refusedAgain += r.refusedAgain
	}
	return total
}

// More requests than places, for 6 s: the places must stay in use, the higher rank must be
// served at least as well as the lower, and no rank may starve.
func TestStepsOfLoad(t *testing.T) {
	c := qt.New(t)
	served := func(r replayed) float64 { return float64(r.onTime) / float64(r.offered) }
	goodput := func(r replayed) float64 { return float64(r.onTime + r.late) }
	usual := 0.0
	for _, load := range []float64{1, 1.5, 2} {
		var totals [2]replayed
		for i, ordered := range []bool{false, true} {
			result, longest := replay{places: 100, ordered: ordered, kinds: usualKinds, rates: stepTo(load)}.run()
			totals[i] = sum(result)
			c.Logf("load %.1f, ordered %v: %+v, longest waits %v", load, ordered, result, longest)
			if !ordered {
				continue
			}
			for kind := 1; kind < len(result); kind++ {
				c.Check(served(result[kind-1]) >= served(result[kind])-0.05, qt.IsTrue, qt.Commentf("rank %d", kind))
				c.Check(served(result[kind]) >= 0.25*served(totals[i]), qt.IsTrue, qt.Commentf("rank %d starves", kind))
			}
		}
		usual = max(usual, goodput(totals[1]))
		c.Check(goodput(totals[1]) >= 0.95*usual, qt.IsTrue)
		c.Check(goodput(totals[1]) >= 0.95*goodput(totals[0]), qt.IsTrue)
	}
}

// A burst of the lowest rank must not cost the higher ranks their places.
func TestBurstOfTheLowestRank(t *testing.T) {
	c := qt.New(t)
	result, _ := replay{places: 100, ordered: true, kinds: usualKinds, rates: stepTo(3, 2)}.run()
	before, _ := replay{places: 100, kinds: usualKinds, rates: stepTo(3, 2)}.run()
	c.Logf("before %+v, ordered %+v", before, result)
	for kind := range 2 {
		c.Check(float64(result[kind].onTime) >= 0.95*float64(result[kind].offered), qt.IsTrue, qt.Commentf("rank %d: %+v", kind, result[kind]))
	}
}

// A workspace that sends five times its share must not cost the others their places.
func TestWorkspaceAboveItsShare(t *testing.T) {
	c := qt.New(t)
	kinds := []Request{{Workspace: "a"}, {Workspace: "b"}, {Workspace: "c"}, {Workspace: "busy"}}
	rates := func(at time.Duration) []float64 {
		busy := 20.0
		if at >= 5*time.Second && at < 11*time.Second {
			busy = 100
		}
		return []float64{20, 20, 20, busy}
	}
	result, longest := replay{places: 100, ordered: true, kinds: kinds, rates: rates}.run()
	c.Logf("%+v, longest waits %v", result, longest)
	for kind := range 3 {
		c.Check(float64(result[kind].onTime) >= 0.95*float64(result[kind].offered), qt.IsTrue, qt.Commentf("%+v", result[kind]))
	}
}

// The line must not grow with what it has seen.
func TestStateIsBounded(t *testing.T) {
	c := qt.New(t)
	q := NewQueue()
	for n := range 3 * maxWorkspaces {
		q.Grant(join(q, Request{Workspace: fmt.Sprint(n)})[0], start)
	}
	c.Assert(q.Len(), qt.Equals, 0)
	c.Assert(len(q.used) <= maxWorkspaces, qt.IsTrue)
}

// BenchmarkTurn measures one place for one of 200 waiting requests.
func BenchmarkTurn(b *testing.B) {
	q := NewQueue()
	for n := range 200 {
		q.Join(Request{Rank: 1, RouteRank: n % 3, Workspace: fmt.Sprint(n % 24)})
	}
	for range b.N {
		first := q.First()
		q.Grant(first, start)
		q.Join(first.Request)
		q.Changed()
	}
}
