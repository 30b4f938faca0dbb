package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/bench/harness"
	"github.com/laburnumloft/laburnumloft/standin/platform"
)

// The users' bounds on servers in need.
const (
	// limitSettles is how long after a limit was named it must hold.
	limitSettles = 3 * time.Second
	// limitWindow is the time over which arrivals are counted. They may exceed the
	// limit by half, and by limitSlack requests.
	limitWindow = 4 * time.Second
	limitSlack  = 5
	// minLimitUse is the share of its limit that a server gets with traffic enough.
	minLimitUse = 0.7
	// minServed is the share of requests served while other servers have room.
	minServed = 0.95
	// leavingSettles is how long after an answer of a leaving server requests may
	// still reach it.
	leavingSettles = 2 * time.Second
	// maxQuietArrivals is the number of requests of one entry that may reach a server
	// in the time in which it wants none, after quietSettles.
	maxQuietArrivals = 2
	quietSettles     = 500 * time.Millisecond
	// callInterval is the time between two requests of the callers, 60 a second.
	callInterval = time.Second / 60
)

// plainPaths are requests to the plain servers, enginePaths to the engines.
var plainPaths, enginePaths = []string{"/order/", "/read/"}, []string{"/notice/"}

// callers sends requests until stop is called, which returns the numbers of requests
// by status.
func (f *fleet) callers(name string, paths []string, entryOf func(n int) int) (stop func() map[int]int) {
	done, counts := make(chan struct{}), map[int]int{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	wait.Go(func() {
		tick := time.NewTicker(callInterval)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			path := paths[n%len(paths)]
			wait.Go(func() {
				status := f.call(entryOf(n), path, fmt.Sprint(strings.Trim(path, "/"), "-", name, "-", n))
				mu.Lock()
				defer mu.Unlock()
				counts[status]++
			})
		}
	})
	return func() map[int]int {
		close(done)
		wait.Wait()
		return counts
	}
}

func allEntries(n int) int { return n % entries }

// mostlyFirst sends nine of ten requests to the first entry.
func mostlyFirst(n int) int {
	if n%10 == 9 {
		return 1 + n/10%(entries-1)
	}
	return 0
}

// arrivalsBetween returns the arrivals at a server in a span of time.
func arrivalsBetween(s *platform.Server, from, to time.Time) (out []platform.Arrival) {
	for _, a := range s.Arrivals() {
		if !a.At.Before(from) && a.At.Before(to) {
			out = append(out, a)
		}
	}
	return out
}

// peak returns the largest number of arrivals in any limitWindow.
func peak(arrivals []platform.Arrival) int {
	var times []time.Time
	for _, a := range arrivals {
		times = append(times, a.At)
	}
	return harness.Peak(times, limitWindow)
}

// allowed is the number of requests that a limited server may get in a limitWindow.
func allowed(limit float64) int {
	return int(1.5*limit*limitWindow.Seconds()) + limitSlack
}

// checkLimit checks the arrivals at a server that named a limit at the given time.
func (f *fleet) checkLimit(s *platform.Server, limit float64, named, until time.Time) {
	f.c.Helper()
	from := named.Add(limitSettles)
	got := arrivalsBetween(s, from, until)
	f.c.Logf("limit %v: %d requests in %v, at most %d in %v", limit, len(got), until.Sub(from).Round(time.Millisecond), peak(got), limitWindow)
	f.c.Check(peak(got) <= allowed(limit), qt.IsTrue, qt.Commentf("limit %v: %d requests in %v, allowed %d", limit, peak(got), limitWindow, allowed(limit)))
	use := minLimitUse * limit * until.Sub(from).Seconds()
	f.c.Check(float64(len(got)) >= use, qt.IsTrue, qt.Commentf("limit %v: starved, %d requests, at least %.1f wanted", limit, len(got), use))
}

// checkServed checks that nearly all requests were served.
func (f *fleet) checkServed(counts map[int]int) {
	f.c.Helper()
	total := 0
	for _, n := range counts {
		total += n
	}
	f.c.Logf("answers by status: %v", counts)
	f.c.Check(float64(counts[http.StatusOK]) >= minServed*float64(total), qt.IsTrue, qt.Commentf("served %d of %d: %v", counts[http.StatusOK], total, counts))
}

// measured is how long a limit is measured after it has settled.
const measured = 5 * time.Second

// A server's limit holds for all entries together, also when it changes, and ends
// when the server no longer names it; the server still gets most of what it takes.
func TestServerLimitHoldsForAllEntries(t *testing.T) {
	for _, test := range []struct {
		name    string
		plains  int
		entryOf func(n int) int
		limits  []float64
	}{
		{"alone", 1, allEntries, []float64{6, 1, 1.7}},
		{"beside two others", 3, allEntries, []float64{1, 6, 1.7}},
		{"most traffic at one entry", 3, mostlyFirst, []float64{1, 6}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := startWith(c, test.plains)
			limited := f.plains[0]
			stop := f.callers("limit", plainPaths, test.entryOf)
			for _, limit := range test.limits {
				limited.SetDistress(platform.Distress{Limit: []string{fmt.Sprint(limit)}})
				named := time.Now()
				<-time.After(limitSettles + measured)
				f.checkLimit(limited, limit, named, time.Now())
			}
			limited.SetDistress(platform.Distress{})
			withdrawn := time.Now()
			f.eventually("the server gets its usual share again", func() bool {
				now := time.Now()
				return len(arrivalsBetween(limited, now.Add(-time.Second), now)) >= 10
			})
			c.Check(time.Since(withdrawn) < limitWindow, qt.IsTrue, qt.Commentf("limit in force %v after it was withdrawn", time.Since(withdrawn)))
			counts := stop()
			if test.plains > 1 {
				f.checkServed(counts)
			}
			f.checkServers(nil)
		})
	}
}

// Engines that name limits at the same time, one of them below a request in 4 s, get
// what they take, and the others the rest.
func TestEngineLimitsHoldTogether(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	stop := f.callers("engines", enginePaths, allEntries)
	limits := []float64{0.2, 2, 5}
	for i, limit := range limits {
		f.engines[i].SetDistress(platform.Distress{Limit: []string{fmt.Sprint(limit)}})
	}
	named := time.Now()
	<-time.After(limitSettles + measured)
	for i, limit := range limits {
		f.checkLimit(f.engines[i], limit, named, time.Now())
		f.engines[i].SetDistress(platform.Distress{})
	}
	withdrawn := time.Now()
	f.eventually("all engines get their usual share again", func() bool {
		for i := range limits {
			now := time.Now()
			if len(arrivalsBetween(f.engines[i], now.Add(-time.Second), now)) < 8 {
				return false
			}
		}
		return true
	})
	c.Check(time.Since(withdrawn) < limitWindow+time.Second, qt.IsTrue, qt.Commentf("limits in force %v after they were withdrawn", time.Since(withdrawn)))
	f.checkServed(stop())
	f.checkServers(nil)
}

// A server that says it is leaving gets no more requests, and its callers are served
// by the others.
func TestLeavingServerGetsNoMoreRequests(t *testing.T) {
	for _, refuse := range []bool{false, true} {
		t.Run(fmt.Sprint("refuses ", refuse), func(t *testing.T) {
			c := qt.New(t)
			f := start(c)
			stop := f.callers("leaving", plainPaths, allEntries)
			<-time.After(time.Second)
			f.plains[0].SetDistress(platform.Distress{Leaving: []string{"1"}, Refuse: refuse})
			said := time.Now()
			<-time.After(leavingSettles + 2*time.Second)
			late := arrivalsBetween(f.plains[0], said.Add(leavingSettles), time.Now())
			c.Check(len(late), qt.Equals, 0, qt.Commentf("requests reached a leaving server"))
			f.checkServed(stop())
			f.checkServers(nil)
		})
	}
}

// A server that refuses a request with a time to return is left alone for that time,
// and its callers are served by the others.
func TestRefusingServerIsLeftAlone(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	stop := f.callers("quiet", plainPaths, allEntries)
	<-time.After(time.Second)
	const quiet = 5 * time.Second
	f.plains[0].SetDistress(platform.Distress{Refuse: true, RetryAfter: fmt.Sprint(quiet.Seconds())})
	refused := time.Now()
	// Requests of 60 a second meet the refusal at every entry in this time.
	const refusalReachesAll = 500 * time.Millisecond
	<-time.After(quiet)
	got := arrivalsBetween(f.plains[0], refused.Add(refusalReachesAll+quietSettles), refused.Add(quiet))
	f.plains[0].SetDistress(platform.Distress{})
	c.Check(len(got) <= maxQuietArrivals*entries, qt.IsTrue, qt.Commentf("%d requests in the quiet time", len(got)))
	f.eventually("the server gets requests again", func() bool {
		return len(arrivalsBetween(f.plains[0], time.Now().Add(-time.Second), time.Now())) > 0
	})
	c.Check(time.Since(refused) < quiet+2*time.Second, qt.IsTrue)
	f.checkServed(stop())
	f.checkServers(nil)
}
