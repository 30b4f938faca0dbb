package routing_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/bench/harness"
	bench "github.com/laburnumloft/laburnumloft/bench/routing"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/standin/engine"
)

// The users' bounds on engines in need, as in bench/fleet.
const (
	limitWindow  = 4 * time.Second
	limitSlack   = 5
	minLimitUse  = 0.7
	minServed    = 0.95
	needSettles  = 3 * time.Second
	needMeasured = 5 * time.Second
	needInterval = time.Second / 40
)

// callers sends requests until stop is called, which returns how many there were and
// how many had complete answers.
func callers(cluster *bench.Cluster) (stop func() (asked, served int)) {
	done := make(chan struct{})
	var mu sync.Mutex
	var wait sync.WaitGroup
	asked, served := 0, 0
	wait.Go(func() {
		tick := time.NewTicker(needInterval)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			wait.Go(func() {
				url := cluster.EntryURLs[n%len(cluster.EntryURLs)] + "/v1/workspaces/w/services/juru-tulis/requests"
				a := ask(context.Background(), url, wire.Request{Prompt: fmt.Sprint("prompt ", n), MaxTokens: 2, DeadlineMS: 2000}, func(answer) {})
				mu.Lock()
				defer mu.Unlock()
				asked++
				if a.last == "end" {
					served++
				}
			})
		}
	})
	return func() (int, int) {
		close(done)
		wait.Wait()
		return asked, served
	}
}

func between(e *engine.Engine, from, to time.Time) (out []time.Time) {
	for _, at := range e.Arrivals() {
		if !at.Before(from) && at.Before(to) {
			out = append(out, at)
		}
	}
	return out
}

// On our own interface too, an engine's limit holds for all entries, a leaving engine
// gets no requests, and one that refused with a time to return is left alone, while the
// callers are served by the other engine.
func TestEnginesInNeed(t *testing.T) {
	c := qt.New(t)
	cluster, err := bench.StartCluster(bench.ClusterConfig{Entries: 3, Engines: 2, Engine: engine.Config{TokenTime: 2 * time.Millisecond}, Workspaces: []string{"w"}})
	c.Assert(err, qt.IsNil)
	defer cluster.Close()
	needy := cluster.Engines[0]
	stop := callers(cluster)
	<-time.After(time.Second)
	for _, limit := range []float64{1, 6} {
		needy.SetNeed(engine.Need{RateLimit: fmt.Sprint(limit)})
		<-time.After(needSettles)
		from := time.Now()
		<-time.After(needMeasured)
		got := between(needy, from, time.Now())
		allowed := int(1.5*limit*limitWindow.Seconds()) + limitSlack
		c.Logf("limit %v: %d requests in %v, at most %d in %v", limit, len(got), needMeasured, harness.Peak(got, limitWindow), limitWindow)
		c.Check(harness.Peak(got, limitWindow) <= allowed, qt.IsTrue, qt.Commentf("limit %v: %d requests in %v, allowed %d", limit, harness.Peak(got, limitWindow), limitWindow, allowed))
		c.Check(float64(len(got)) >= minLimitUse*limit*needMeasured.Seconds(), qt.IsTrue, qt.Commentf("limit %v: starved, %d requests in %v", limit, len(got), needMeasured))
	}

	needy.SetNeed(engine.Need{Leaving: "1"})
	<-time.After(2 * time.Second)
	from := time.Now()
	<-time.After(2 * time.Second)
	c.Check(len(between(needy, from, time.Now())), qt.Equals, 0, qt.Commentf("requests reached a leaving engine"))

	// The next instance says nothing.
	needy.SetNeed(engine.Need{})
	c.Assert(until(func() bool { return len(between(needy, from, time.Now())) > 0 }), qt.IsTrue)
	needy.SetNeed(engine.Need{RetryAfter: "4"})
	refused := time.Now()
	<-time.After(4 * time.Second)
	quiet := between(needy, refused.Add(time.Second), refused.Add(4*time.Second))
	c.Check(len(quiet) <= 2, qt.IsTrue, qt.Commentf("%d requests in the quiet time", len(quiet)))
	needy.SetNeed(engine.Need{})
	asked, served := stop()
	c.Logf("%d of %d requests served", served, asked)
	c.Check(float64(served) >= minServed*float64(asked), qt.IsTrue, qt.Commentf("%d of %d requests served", served, asked))
}

// until waits for a condition for a while.
func until(done func() bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for !done() {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return false
		}
	}
	return true
}
