package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/limits"
	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/route"
)

const (
	// pacedEvents and pacedInterval are the length of a pacedServer's streams.
	pacedEvents   = 12
	pacedInterval = 50 * time.Millisecond
)

// pacedServer is an engine with few places that can stand still.
type pacedServer struct {
	places  int64
	running atomic.Int64
	// pausedUntil is in Unix nanoseconds.
	pausedUntil atomic.Int64
}

func (s *pacedServer) pause(length time.Duration) {
	s.pausedUntil.Store(time.Now().Add(length).UnixNano())
}

// wait waits while the engine stands still, and reports whether the caller is still there.
func (s *pacedServer) wait(r *http.Request, least time.Duration) bool {
	for wait := least; wait > 0; wait = time.Until(time.Unix(0, s.pausedUntil.Load())) {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return false
		}
	}
	return true
}

func (s *pacedServer) answer(w http.ResponseWriter, r *http.Request) {
	defer s.running.Add(-1)
	full := s.running.Add(1) > s.places
	if !s.wait(r, time.Millisecond) {
		return
	}
	if full {
		notRun(w, r)
		return
	}
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signature", "s")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last")); err == nil {
		first = last + 1
	}
	for i := first; i <= pacedEvents; i++ {
		if !s.wait(r, pacedInterval) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: t%d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

// engineGateway is a gateway whose service has engines with a number of places each.
func engineGateway(c *qt.C, attempts, places int, engines ...*server) *testGateway {
	r := newTestGateway(c)
	r.cfg.OrderedWaiting, r.cfg.SpreadByRoom = true, true
	cfg := configuration(2)
	cfg.Services[0].Engine = &route.Engine{Models: []string{"m"}}
	for i := range cfg.Routes {
		cfg.Routes[i].Timeout, cfg.Routes[i].MaxAttempts = 6*time.Second, attempts
	}
	c.Assert(r.Configure(cfg, "test"), qt.IsTrue)
	r.mu.Lock()
	r.budget = limits.NewRetryBudget(limits.RetryBudgetConfig{Ratio: 0, Burst: 1000, MaxKeys: 4})
	r.mu.Unlock()
	for i, e := range engines {
		r.addServer(fmt.Sprint("e", i), e.URL, func(s *placement.Server) { s.Slots, s.WeightVersion = places, 1 })
	}
	return r
}

// fleetResult is what callers of a fleet of engines got.
type fleetResult struct {
	whole, refused, lost atomic.Int64
	// sent is how many requests the engines got.
	sent int
}

// placesOfEngine is how many streams an engine of playFleet runs at once; two more wait there.
const placesOfEngine = 4

// playFleet lets callers press on four engines for a while, during which pause makes engines
// stand still.
func playFleet(c *qt.C, attemptsOfRoute, callers int, pause func(engines []*pacedServer, end time.Time)) *fleetResult {
	var engines []*pacedServer
	var servers []*server
	for range 4 {
		e := &pacedServer{places: placesOfEngine + 2}
		engines, servers = append(engines, e), append(servers, newServer(c, e.answer))
	}
	r, f := engineGateway(c, attemptsOfRoute, placesOfEngine, servers...), &fleetResult{}
	var all sync.WaitGroup
	end := time.Now().Add(9 * time.Second)
	for n := range callers {
		all.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				switch got := r.call(c, "/stream/1", fmt.Sprint("request-", n, "-", i)); {
				case got.err == nil && got.status == http.StatusOK:
					f.whole.Add(1)
				case got.status == http.StatusServiceUnavailable:
					f.refused.Add(1)
					<-time.After(200 * time.Millisecond)
				default:
					f.lost.Add(1)
				}
			}
		})
	}
	pause(engines, end)
	all.Wait()
	for _, s := range servers {
		f.sent += s.count()
	}
	return f
}

// playWithAndWithoutHedges plays a fleet with one and with two attempts.
func playWithAndWithoutHedges(t *testing.T, callers int, pause func(engines []*pacedServer, end time.Time)) (without, with *fleetResult) {
	results := make([]*fleetResult, 2)
	t.Run("play", func(t *testing.T) {
		for i := range results {
			t.Run(fmt.Sprint(i+1, " attempts"), func(t *testing.T) {
				t.Parallel()
				results[i] = playFleet(qt.New(t), i+1, callers, pause)
			})
		}
	})
	for i, f := range results {
		t.Logf("%d callers, %d attempts: %d whole, %d refused, %d lost, %d sent", callers, i+1, f.whole.Load(), f.refused.Load(), f.lost.Load(), f.sent)
	}
	return results[0], results[1]
}

// On nearly full engines that stand still in turns, hedges took places for which new requests
// were then refused, although the silent engines went on and finished their streams.
func TestHedgesOnAFullFleetRefuseNobody(t *testing.T) {
	c := qt.New(t)
	without, with := playWithAndWithoutHedges(t, 22, func(engines []*pacedServer, end time.Time) {
		random := rand.New(rand.NewPCG(1, 1))
		for i := 0; time.Now().Before(end); i++ {
			engines[i%len(engines)].pause(2*time.Second + time.Duration(random.Int64N(int64(time.Second))))
			<-time.After(time.Second)
		}
	})
	c.Check(with.refused.Load() <= without.refused.Load(), qt.IsTrue)
	c.Check(with.lost.Load(), qt.Equals, int64(0))
}

// Hedges that use only free places must still save all streams of an engine that is silent
// for good where the other engines have free places.
func TestHedgesSaveStreamsOfAnEngineSilentForGood(t *testing.T) {
	for _, callers := range []int{8, 16} {
		t.Run(fmt.Sprint(callers, " callers"), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			_, with := playWithAndWithoutHedges(t, callers, func(engines []*pacedServer, _ time.Time) {
				<-time.After(time.Second)
				engines[0].pause(time.Hour)
			})
			c.Check(with.lost.Load(), qt.Equals, int64(0))
		})
	}
}

// A request that finds all engines full must get the place of a hedge, whose own request
// keeps its silent server.
func TestHedgeYieldsItsPlace(t *testing.T) {
	c := qt.New(t)
	silent := newServer(c, silentStream(silentBetweenEvents, 3*time.Second))
	other := newServer(c, func(w http.ResponseWriter, q *http.Request) {
		if id := q.Header.Get("Id"); id == "request" || strings.HasPrefix(id, "usual") {
			silentStream(silentBeforeHeader, 10*time.Second)(w, q)
			return
		}
		events(silentEvents, false)(w, q)
	})
	r := engineGateway(c, 2, 1, silent)
	engine := func(s *placement.Server) { s.Slots, s.WeightVersion = 1, 1 }
	done := make(chan answered, 1)
	go func() { done <- r.call(c, "/stream/1", "request") }()
	waitFor(c, func() bool { return silent.count() == 1 })
	r.addServer("e0", silent.URL, func(s *placement.Server) { engine(s); s.Draining = true })
	r.addServer("other", other.URL, engine)
	waitFor(c, func() bool { return other.count() == 1 })
	for i := range 2 {
		go r.call(c, "/once/1", fmt.Sprint("usual", i))
	}
	waitFor(c, func() bool { return other.count() == 3 })
	got := r.call(c, "/stream/1", "new")
	c.Check(got.body, qt.Equals, wholeStream, qt.Commentf("status %d", got.status))
	c.Check((<-done).body, qt.Equals, wholeStream)
	c.Check(silent.count(), qt.Equals, 1)
}

// A hedge must keep its place while its silent server has not begun to answer, because that
// may refuse the request at last. The caller got 502.
func TestHedgeOfAnUnansweredRequestKeepsItsPlace(t *testing.T) {
	c := qt.New(t)
	silent := newServer(c, func(w http.ResponseWriter, q *http.Request) {
		<-time.After(2 * time.Second)
		notRun(w, q)
	})
	other := newServer(c, func(w http.ResponseWriter, q *http.Request) {
		if strings.HasPrefix(q.Header.Get("Id"), "usual") {
			silentStream(silentBeforeHeader, 10*time.Second)(w, q)
			return
		}
		silentStream(silentBeforeHeader, 1500*time.Millisecond)(w, q)
	})
	r := engineGateway(c, 2, 1, silent)
	r.mu.Lock()
	r.budget = limits.NewRetryBudget(limits.RetryBudgetConfig{Ratio: 0, Burst: 1, MaxKeys: 4})
	r.mu.Unlock()
	engine := func(s *placement.Server) { s.Slots, s.WeightVersion = 1, 1 }
	done := make(chan answered, 1)
	go func() { done <- r.call(c, "/stream/1", "request") }()
	waitFor(c, func() bool { return silent.count() == 1 })
	r.addServer("e0", silent.URL, func(s *placement.Server) { engine(s); s.Draining = true })
	r.addServer("other", other.URL, engine)
	waitFor(c, func() bool { return other.count() == 1 })
	for i := range 2 {
		go r.call(c, "/once/1", fmt.Sprint("usual", i))
	}
	waitFor(c, func() bool { return other.count() == 3 })
	go r.call(c, "/stream/1", "new")
	got := <-done
	c.Check(got.body, qt.Equals, wholeStream, qt.Commentf("status %d", got.status))
}
