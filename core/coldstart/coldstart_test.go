package coldstart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// usualPace is that of the deployment with cold servers: 1.5 x 17 + 5 requests in any
// second.
var usualPace = Pace{PerSecond: 17, MaxPerSecond: 30.5, Duration: 3 * time.Second}

const (
	// requestsPerEntry is what one entry gets each second. Where the cold servers bear
	// more than that, the entries get overload times what they bear.
	requestsPerEntry = 10
	overload         = 1.5
)

// minUse is the part of the rate that must be used while callers wait.
const minUse = 0.8

func ids(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprint("entry-", i)
	}
	return out
}

// play lets entries send to cold servers, each as its view of the entries allows, for the
// time for which the servers are cold. Each entry gets load requests a second, which wait
// until they are sent, and tries servers at random. It returns the largest
// number of requests that a server got in any second, and the used part of the rates.
func play(pace Pace, views []Membership, servers int, load float64, share func(m Membership, server string) Share) (peak int, used float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	allowances, shares := map[[2]int]*Allowance{}, map[[2]int]Share{}
	for e, m := range views {
		for s := range servers {
			key := [2]int{e, s}
			allowances[key] = &Allowance{}
			// Entries learn of the cold servers within 50 ms.
			known := start.Add(time.Duration(rng.Int64N(int64(50 * time.Millisecond))))
			allowances[key].Begin(start.Add(pace.Duration), known)
			shares[key] = share(m, fmt.Sprint("server-", s))
		}
	}
	arrivals := make([][]time.Duration, servers)
	waiting := make([]float64, len(views))
	const step = 5 * time.Millisecond
	perStep := load * step.Seconds()
	for at := 50 * time.Millisecond; at < pace.Duration; at += step {
		now := start.Add(at)
		for e := range views {
			waiting[e] += perStep
			for _, s := range rng.Perm(servers) {
				key := [2]int{e, s}
				if waiting[e] < 1 {
					break
				}
				if shares[key].Part > 0 && allowances[key].Wait(pace.PerSecond, shares[key], now) == 0 {
					allowances[key].Take(now)
					waiting[e]--
					arrivals[s] = append(arrivals[s], at)
				}
			}
		}
	}
	total := 0
	for _, times := range arrivals {
		total += len(times)
		peak = max(peak, largestSecond(times))
	}
	return peak, float64(total) / (pace.PerSecond * pace.Duration.Seconds() * float64(servers))
}

// playPermits lets entries ask for a permit for each request: the granter of a server, an
// entry or an agent, gives them in order, at the server's whole rate. Entries that don't
// agree on the granter ask several. No permit is given from diesAt until another granter is
// known.
func playPermits(pace Pace, entries, servers, granters int, load float64, diesAt time.Duration) (peak int, used, messages float64) {
	const step, takeover = 5 * time.Millisecond, 2 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	allowances, asked := make([]Allowance, servers*granters), make([]int, servers*granters)
	for i := range allowances {
		allowances[i].Begin(start.Add(pace.Duration), start)
	}
	arrivals := make([][]time.Duration, servers)
	waiting, total := 0.0, 0
	for at := 50 * time.Millisecond; at < pace.Duration; at += step {
		for waiting += load * float64(entries) * step.Seconds(); waiting >= 1; waiting-- {
			asked[rng.IntN(len(asked))]++
			messages++
		}
		now := start.Add(at)
		for i := range allowances {
			dead := diesAt > 0 && at >= diesAt && at < diesAt+takeover
			if dead || asked[i] == 0 || allowances[i].Wait(pace.PerSecond, Share{Part: 1}, now) > 0 {
				continue
			}
			allowances[i].Take(now)
			asked[i]--
			messages++
			total++
			// The permit and the request cross a link each.
			arrivals[i/granters] = append(arrivals[i/granters], at+time.Duration(rng.Int64N(int64(6*time.Millisecond))))
		}
	}
	for _, times := range arrivals {
		peak = max(peak, largestSecond(times))
	}
	return peak, float64(total) / (pace.PerSecond * pace.Duration.Seconds() * float64(servers)), messages / float64(total)
}

// largestSecond returns the largest number of times within any second.
func largestSecond(times []time.Duration) (most int) {
	slices.Sort(times)
	first := 0
	for i, at := range times {
		for at-times[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func sameView(n int) (views []Membership) {
	for _, id := range ids(n) {
		views = append(views, Membership{Self: id, Ready: ids(n), Live: n, Known: n})
	}
	return views
}

// All entries together must stay within what a cold server gets in any second, and use
// most of what it bears while callers wait: with one server, a zone of them, and a hundred.
// A part for each entry is weighed against it: with one saved request each, all entries
// may send at once.
func TestWaysToPaceColdServers(t *testing.T) {
	c := qt.New(t)
	holders := func(m Membership, server string) Share { return m.Share(server, usualPace.Holders()) }
	part := func(m Membership, _ string) Share { return Share{Part: 1 / float64(m.Live)} }
	for _, entries := range []int{48, 150} {
		for _, servers := range []int{1, 12, 100} {
			load := max(requestsPerEntry, overload*usualPace.PerSecond*float64(servers)/float64(entries))
			peak, used := play(usualPace, sameView(entries), servers, load, holders)
			c.Logf("%d entries, %d servers: holders: largest second %d, used %.2f", entries, servers, peak, used)
			c.Check(float64(peak) <= usualPace.MaxPerSecond, qt.IsTrue)
			c.Check(used >= minUse, qt.IsTrue)
			peak, used = play(usualPace, sameView(entries), servers, load, part)
			c.Logf("%d entries, %d servers: a part for each entry: largest second %d, used %.2f", entries, servers, peak, used)
			for _, way := range []struct {
				name     string
				granters int
				diesAt   time.Duration
			}{{"permits", 1, 0}, {"permits, granter dies", 1, 500 * time.Millisecond}, {"permits, two views", 2, 0}} {
				peak, used, messages := playPermits(usualPace, entries, servers, way.granters, load, way.diesAt)
				c.Logf("%d entries, %d servers: %s: largest second %d, used %.2f, %.1f messages a request", entries, servers, way.name, peak, used, messages)
			}
		}
	}
}

// Entries that are cut from each other each believe that they are few. Together they must
// stay within what a cold server gets in any second.
func TestPartitionedEntriesStayWithinTheRate(t *testing.T) {
	c := qt.New(t)
	const entries = 48
	for _, groups := range [][]int{{34, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, {24, 24}, {16, 16, 16}, {30, 18}} {
		var views []Membership
		all := ids(entries)
		for _, size := range groups {
			group := all[:size]
			all = all[size:]
			for _, id := range group {
				views = append(views, Membership{Self: id, Ready: group, Live: size, Known: entries})
			}
		}
		peak, _ := play(usualPace, views, 12, requestsPerEntry, func(m Membership, server string) Share {
			return m.Share(server, usualPace.Holders())
		})
		c.Check(float64(peak) <= usualPace.MaxPerSecond, qt.IsTrue, qt.Commentf("groups %v: %d requests in a second", groups, peak))
	}
}

// Entries whose views differ by an entry that has just died or started must stay within
// what a cold server gets in any second.
func TestViewsThatDifferStayWithinTheRate(t *testing.T) {
	c := qt.New(t)
	views := sameView(48)
	for i := range views {
		if i%2 == 0 {
			views[i].Ready = slices.DeleteFunc(slices.Clone(views[i].Ready), func(id string) bool { return id == "entry-1" || id == "entry-7" })
			views[i].Live = 46
		}
	}
	peak, _ := play(usualPace, views, 12, requestsPerEntry, func(m Membership, server string) Share {
		return m.Share(server, usualPace.Holders())
	})
	c.Check(float64(peak) <= usualPace.MaxPerSecond, qt.IsTrue, qt.Commentf("%d requests in a second", peak))
}

// A server that turns cold again begins with an empty allowance, and a warm one is not
// limited.
func TestAllowanceBeginsEmpty(t *testing.T) {
	c := qt.New(t)
	all, none := Share{Part: 1}, Share{}
	var a Allowance
	c.Assert(a.Wait(1, all, start), qt.Equals, time.Duration(0))
	for _, at := range []time.Duration{0, time.Hour} {
		now := start.Add(at)
		a.Begin(now.Add(3*time.Second), now)
		c.Check(a.Wait(1, all, now), qt.Equals, time.Second)
		c.Check(a.Wait(1, all, now.Add(time.Second)), qt.Equals, time.Duration(0))
		a.Take(now.Add(time.Second))
		c.Check(a.Wait(1, all, now.Add(time.Second)) > 0, qt.IsTrue)
		c.Check(a.Wait(1, all, now.Add(3*time.Second)), qt.Equals, time.Duration(0))
	}
	// An entry that holds no part waits until the server is warm.
	now := start.Add(2 * time.Hour)
	a.Begin(now.Add(time.Second), now)
	c.Check(a.Wait(1, none, now), qt.Equals, time.Second)
}
