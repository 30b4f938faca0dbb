package gateway

import (
	"fmt"
	"io"
	"net"
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
	"github.com/laburnumloft/laburnumloft/core/shutdown"
	"github.com/laburnumloft/laburnumloft/node/lib/stall"
)

// silencePoint is the point of an answer at which a server falls silent.
type silencePoint string

const (
	silentBeforeHeader     silencePoint = "before the header"
	silentBeforeFirstEvent silencePoint = "before the first event"
	silentBetweenEvents    silencePoint = "between events"
	silentBeforeEnd        silencePoint = "before the end"
)

var silencePoints = []silencePoint{silentBeforeHeader, silentBeforeFirstEvent, silentBetweenEvents, silentBeforeEnd}

// silentEvents is how many events a silentStream has.
const silentEvents = 6

const wholeStream = "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\nid: 4\ndata: t4\n\nid: 5\ndata: t5\n\nid: 6\ndata: t6\n\n"

// silentStream sends a stream that falls silent at a point for a while and goes on.
func silentStream(at silencePoint, silence time.Duration) answerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		pause := func(here silencePoint) {
			if here == at {
				select {
				case <-time.After(silence):
				case <-r.Context().Done():
				}
			}
		}
		pause(silentBeforeHeader)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "s")
		w.WriteHeader(http.StatusOK)
		control := http.NewResponseController(w)
		_ = control.Flush()
		pause(silentBeforeFirstEvent)
		first := 1
		if last, err := strconv.Atoi(r.Header.Get("Last")); err == nil {
			first = last + 1
		}
		for i := first; i <= silentEvents; i++ {
			if i == silentEvents/2 {
				pause(silentBetweenEvents)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: t%d\n\n", i, i)
			_ = control.Flush()
		}
		pause(silentBeforeEnd)
	}
}

// silentRead answers a request after a while.
func silentRead(silence time.Duration) answerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(silence):
		case <-r.Context().Done():
		}
		answerWith(http.StatusOK)(w, r)
	}
}

// silenceGateway is a gateway whose routes allow six seconds.
func silenceGateway(c *qt.C, servers ...*server) *testGateway {
	r := newTestGateway(c, servers...)
	cfg := configuration(2)
	for i := range cfg.Routes {
		cfg.Routes[i].Timeout = 6 * time.Second
	}
	c.Assert(r.Configure(cfg, "test"), qt.IsTrue)
	return r
}

// addServer adds a server of the service at an address.
func (r *testGateway) addServer(id, address string, change func(s *placement.Server)) {
	s := placement.Server{ID: id, Address: strings.TrimPrefix(address, "http://"), Service: "svc", Zone: "z"}
	if change != nil {
		change(&s)
	}
	r.PutServer(s)
}

// answered is what a caller got.
type answered struct {
	status int
	body   string
	err    error
	took   time.Duration
}

// call sends one request with an id of its own.
func (r *testGateway) call(c *qt.C, path, id string) answered {
	started := time.Now()
	req := r.request(c, http.MethodPost, path, "x")
	req.Header.Set("Id", id)
	req.Header.Set("Left", "6000")
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return answered{err: err, took: time.Since(started)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answered{resp.StatusCode, string(body), err, time.Since(started)}
}

// waitFor waits until a condition holds.
func waitFor(c *qt.C, condition func() bool) {
	for deadline := time.Now().Add(5 * time.Second); !condition(); <-time.After(2 * time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the condition never held"))
	}
}

// otherServer is what stands beside a silent server.
type otherServer struct {
	name string
	// answers of a server; none for no server.
	answers []answerFunc
	// arrange makes the other server known once the silent one has the request; nil for a
	// server like the silent one.
	arrange func(c *qt.C, r *testGateway, other *server)
}

func plainOther(_ *qt.C, r *testGateway, other *server) { r.addServer("other", other.URL, nil) }

var otherServers = []otherServer{
	{"absent", nil, func(*qt.C, *testGateway, *server) {}},
	{"refusing", []answerFunc{notRun}, plainOther},
	{"dead", nil, func(c *qt.C, r *testGateway, _ *server) { r.addServer("other", closedAddress(c), nil) }},
	{"breaking before its header", []answerFunc{closeConnection}, plainOther},
	{"breaking after its first event", []answerFunc{breakAfterFirstEvent}, plainOther},
	{"failing", []answerFunc{answerWith(http.StatusInternalServerError)}, plainOther},
	{"silent for good", []answerFunc{neverAnswer}, plainOther},
	{"answering", []answerFunc{events(silentEvents, false)}, plainOther},
	{"leaving", []answerFunc{notRun}, func(_ *qt.C, r *testGateway, other *server) {
		r.addServer("other", other.URL, func(s *placement.Server) { s.Draining = true })
	}},
	{"taken out meanwhile", []answerFunc{neverAnswer}, func(_ *qt.C, r *testGateway, other *server) {
		r.addServer("other", other.URL, nil)
		time.AfterFunc(minPauseTimeout+100*time.Millisecond, func() { r.RemoveServer("other", "test") })
	}},
	{"in another zone after a new configuration", []answerFunc{notRun}, func(c *qt.C, r *testGateway, other *server) {
		r.addServer("other", other.URL, nil)
		cfg := configuration(3)
		for i := range cfg.Routes {
			cfg.Routes[i].Timeout, cfg.Routes[i].Homes = 3*time.Second, []string{"elsewhere"}
		}
		c.Assert(r.Configure(cfg, "test"), qt.IsTrue)
	}},
}

// breakAfterFirstEvent sends the event after the caller's last one, if there is one, and
// breaks off.
func breakAfterFirstEvent(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last"))
	events(min(last+1, silentEvents), true)(w, r)
}

// closedAddress returns an address that refuses connections.
func closedAddress(c *qt.C) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// A server that falls silent and goes on must get its answer to the caller, whatever
// stands beside it. The gateway used to cancel it for a server that then refused, was dead
// or broke off, and cut the stream.
func TestStreamOfASilentServerIsNotCut(t *testing.T) {
	var all sync.WaitGroup
	for _, other := range otherServers {
		for _, at := range silencePoints {
			for _, silence := range []time.Duration{500, 1000, 1500, 2000, 3000} {
				silence *= time.Millisecond
				all.Go(func() {
					t.Run(fmt.Sprintf("%s/%s/%v", other.name, at, silence), func(t *testing.T) {
						checkSilentStream(qt.New(t), at, silence, other)
					})
				})
			}
		}
	}
	all.Wait()
}

func checkSilentStream(c *qt.C, at silencePoint, silence time.Duration, other otherServer) {
	silent := newServer(c, silentStream(at, silence))
	r := silenceGateway(c, silent)
	var second *server
	if other.answers != nil {
		second = newServer(c, other.answers...)
	}
	done := make(chan answered, 1)
	go func() { done <- r.call(c, "/stream/1", "request") }()
	waitFor(c, func() bool { return silent.count() == 1 })
	other.arrange(c, r, second)
	got := <-done
	c.Check(got.err, qt.IsNil)
	c.Check(got.status, qt.Equals, http.StatusOK)
	c.Check(got.body, qt.Equals, wholeStream)
}

// Streams of one silent server that all see the same free place elsewhere must not give up
// their server for it.
func TestSilentStreamsDoNotShareOnePlace(t *testing.T) {
	const streams = 8
	for _, at := range silencePoints {
		for _, silence := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
			t.Run(fmt.Sprintf("%s/%v", at, silence), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				silent := newServer(c, silentStream(at, silence))
				var running, ran atomic.Int64
				one := newServer(c, func(w http.ResponseWriter, q *http.Request) {
					defer running.Add(-1)
					if running.Add(1) > 1 {
						notRun(w, q)
						return
					}
					ran.Add(1)
					silentStream(silentBeforeFirstEvent, 100*time.Millisecond)(w, q)
				})
				r := silenceGateway(c, silent)
				done := make(chan answered, streams)
				for i := range streams {
					go func() { done <- r.call(c, "/stream/1", fmt.Sprint("request-", i)) }()
				}
				waitFor(c, func() bool { return silent.count() == streams })
				r.addServer("one", one.URL, nil)
				for range streams {
					got := <-done
					c.Check(got.err, qt.IsNil)
					c.Check(got.body, qt.Equals, wholeStream)
				}
			})
		}
	}
}

// All servers of a zone may be silent for a moment. No answer may be lost, and the repeats
// must stay within the retry budget.
func TestSilentZoneKeepsItsStreams(t *testing.T) {
	const streams, budget = 24, 5
	for _, path := range []string{"/stream/1", "/read/1"} {
		for _, silence := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
			t.Run(fmt.Sprintf("%s/%v", path, silence), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				var arrivals atomic.Int64
				answer := silentStream(silentBetweenEvents, silence)
				if path == "/read/1" {
					answer = silentRead(silence)
				}
				var servers []*server
				for range 4 {
					servers = append(servers, newServer(c, func(w http.ResponseWriter, q *http.Request) {
						arrivals.Add(1)
						answer(w, q)
					}))
				}
				r := silenceGateway(c, servers...)
				r.mu.Lock()
				r.cfg.RetryRatio, r.cfg.RetrySlack, r.entryCount = 0, budget/entriesRetryShare, 1
				r.setEntryCount(1)
				r.mu.Unlock()
				done := make(chan answered, streams)
				for i := range streams {
					go func() { done <- r.call(c, path, fmt.Sprint("request-", i)) }()
				}
				for range streams {
					got := <-done
					c.Check(got.err, qt.IsNil)
					c.Check(got.status, qt.Equals, http.StatusOK)
				}
				c.Check(arrivals.Load() <= streams+budget, qt.IsTrue, qt.Commentf("%d arrivals", arrivals.Load()))
			})
		}
	}
}

// A server that is silent for good must be left in time where another one can take over.
func TestServerSilentForGoodIsLeft(t *testing.T) {
	for _, at := range silencePoints[:3] {
		t.Run(string(at), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			silent := newServer(c, silentStream(at, time.Hour))
			r := silenceGateway(c, silent)
			done := make(chan answered, 1)
			go func() { done <- r.call(c, "/stream/1", "request") }()
			waitFor(c, func() bool { return silent.count() == 1 })
			r.addServer("other", newServer(c, events(silentEvents, false)).URL, nil)
			got := <-done
			c.Check(got.body, qt.Equals, wholeStream)
			c.Check(got.took < 2*time.Second, qt.IsTrue, qt.Commentf("after %v; callers leave after two seconds without an event", got.took))
		})
	}
}

// A read whose server is silent must get that server's answer if no other one answers
// before.
func TestReadOfASilentServerIsNotGivenUp(t *testing.T) {
	var all sync.WaitGroup
	for _, other := range otherServers {
		for _, silence := range []time.Duration{500, 1000, 2000, 3000, 4500} {
			silence *= time.Millisecond
			all.Go(func() {
				t.Run(fmt.Sprintf("%s/%v", other.name, silence), func(t *testing.T) {
					c := qt.New(t)
					silent := newServer(c, silentRead(silence))
					r := silenceGateway(c, silent)
					var second *server
					if other.answers != nil {
						second = newServer(c, other.answers...)
					}
					done := make(chan answered, 1)
					go func() { done <- r.call(c, "/read/1", "request") }()
					waitFor(c, func() bool { return silent.count() == 1 })
					other.arrange(c, r, second)
					got := <-done
					c.Check(got.err, qt.IsNil)
					c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
				})
			})
		}
	}
	all.Wait()
}

// An order is sent to one server at most, however long that is silent.
func TestOrderOfASilentServerIsNotRepeated(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		t.Run(silence.String(), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			silent := newServer(c, silentRead(silence))
			r := silenceGateway(c, silent)
			done := make(chan answered, 1)
			go func() { done <- r.call(c, "/order/1", "request") }()
			waitFor(c, func() bool { return silent.count() == 1 })
			other := newServer(c, answerWith(http.StatusOK))
			r.addServer("other", other.URL, nil)
			got := <-done
			c.Check(got.status, qt.Equals, http.StatusOK)
			c.Check(silent.count()+other.count(), qt.Equals, 1)
		})
	}
}

// A silent server must keep its stream without a retry in the budget, and during a planned
// stop that leaves the time for it.
func TestSilentServerKeepsItsStreamWithoutARetry(t *testing.T) {
	for _, stop := range []bool{false, true} {
		t.Run(fmt.Sprint("stop ", stop), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			silent := newServer(c, silentStream(silentBetweenEvents, 2*time.Second))
			r := silenceGateway(c, silent)
			r.mu.Lock()
			r.budget = limits.NewRetryBudget(limits.RetryBudgetConfig{Ratio: 0, Burst: 0, MaxKeys: 4})
			r.mu.Unlock()
			done := make(chan answered, 1)
			go func() { done <- r.call(c, "/stream/1", "request") }()
			waitFor(c, func() bool { return silent.count() == 1 })
			other := newServer(c, notRun)
			r.addServer("other", other.URL, nil)
			if stop {
				r.BeginDrain(shutdown.NewPlan(time.Now(), 8*time.Second))
			}
			got := <-done
			c.Check(got.err, qt.IsNil)
			c.Check(got.body, qt.Equals, wholeStream)
			c.Check(other.count(), qt.Equals, 0)
		})
	}
}

// A route's attempts bound how many servers may run a request, also when all are silent.
func TestSilentServersStayWithinTheAttempts(t *testing.T) {
	c := qt.New(t)
	var servers []*server
	for range 4 {
		servers = append(servers, newServer(c, silentStream(silentBetweenEvents, 4*time.Second)))
	}
	r := silenceGateway(c, servers...)
	got := r.call(c, "/stream/1", "request")
	c.Check(got.body, qt.Equals, wholeStream)
	arrivals := 0
	for _, s := range servers {
		arrivals += s.count()
	}
	c.Check(arrivals, qt.Equals, 2)
}

// A caller that reads slowly must not be taken for a silent server.
func TestSlowCallerIsNoSilentServer(t *testing.T) {
	c := qt.New(t)
	padding := strings.Repeat("x", 64<<10)
	padded := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "s")
		for i := 1; i <= 400; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, padding); err != nil {
				return
			}
		}
	}
	s := newServer(c, padded)
	other := newServer(c, padded)
	r := silenceGateway(c, s)
	req := r.request(c, http.MethodPost, "/stream/1", "x")
	req.Header.Set("Left", "6000")
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	r.addServer("other", other.URL, nil)
	<-time.After(callerPatience)
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Count(string(body), "id: "), qt.Equals, 400)
	c.Assert(other.count(), qt.Equals, 0)
}

// The rest of a stream whose server has broken off must wait for a place elsewhere as long
// as its caller stays. It used to be cut after the wait of a new request, which can still be
// refused.
func TestBegunStreamWaitsForAPlace(t *testing.T) {
	for _, place := range []struct {
		name  string
		after time.Duration
		whole bool
	}{{"in time", 800 * time.Millisecond, true}, {"too late", 4 * time.Second, false}} {
		t.Run(place.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			r := silenceGateway(c, newServer(c, events(2, true)))
			other := newServer(c, events(silentEvents, false))
			time.AfterFunc(place.after, func() { r.addServer("other", other.URL, nil) })
			got := r.call(c, "/stream/1", "request")
			c.Check(got.body == wholeStream && got.err == nil, qt.Equals, place.whole)
			c.Check(got.took < callerPatience, qt.IsTrue, qt.Commentf("after %v; the caller has left", got.took))
		})
	}
}

// Another server must be tried before the caller leaves, and while there is time left for
// its answer.
func TestHedgesLeaveTimeForAnotherServer(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct{ target, pause, left, want time.Duration }{
		{200 * time.Millisecond, 0, 6 * time.Second, 1200 * time.Millisecond},
		{500 * time.Millisecond, 400 * time.Millisecond, 9 * time.Second, 2200 * time.Millisecond},
		{500 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second, time.Second},
	} {
		req := &request{route: &route.Route{Target: test.target, PauseTarget: test.pause}, deadline: time.Now().Add(test.left)}
		got := newStreamWatch(req, placement.Choice{}, time.Now()).hedgeAfterEvent
		c.Check((got-test.want).Abs() < 20*time.Millisecond, qt.IsTrue, qt.Commentf("%v, want %v", got, test.want))
	}
}

// A stall of this process must not count as a silence of a server: after it all timeouts
// expired at once, before what had arrived was read.
func TestOwnStallIsNoSilence(t *testing.T) {
	c := qt.New(t)
	var called atomic.Int32
	call := func() { called.Add(1) }
	p := &progressWatch{
		suspectFirst: 30 * time.Millisecond, hedgeAfterStart: 30 * time.Millisecond, lookInterval: time.Hour,
		onSuspect: call, onResume: func() {}, onSilence: func(time.Duration, bool) { call() },
	}
	p.start()
	stall.Add(time.Minute)
	defer stall.Add(-time.Minute)
	<-time.After(100 * time.Millisecond)
	c.Check(p.stop(), qt.IsFalse)
	c.Check(called.Load(), qt.Equals, int32(0))
}

// The time after which weights are too old for a first event may pass during a stall of this
// process. The event may have arrived meanwhile and must be read before the attempt is ended.
func TestOwnStallDoesNotOutdateAnAttempt(t *testing.T) {
	c := qt.New(t)
	outdated := make(chan time.Time, 1)
	p := &progressWatch{
		suspectFirst: time.Minute, suspectNext: time.Minute, hedgeAfterStart: time.Minute, hedgeAfterEvent: time.Minute,
		firstEventDeadline: time.Now().Add(-time.Second), onOutdated: func(time.Duration) { outdated <- time.Now() },
	}
	began := time.Now()
	p.start()
	at := <-outdated
	p.stop()
	c.Check(at.Sub(began) >= unreadTime, qt.IsTrue, qt.Commentf("%v", at.Sub(began)))

	p.outdated.Store(false)
	p.stopped, p.firstEventDeadline = false, time.Now().Add(-2*time.Second)
	p.start()
	<-time.After(unreadTime / 2)
	p.handleEvent()
	<-time.After(2 * unreadTime)
	p.stop()
	c.Check(outdated, qt.HasLen, 0)
}
