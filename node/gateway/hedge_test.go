package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
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
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

// withAttempts sets the attempts of all routes.
func (r *testGateway) withAttempts(c *qt.C, attempts int) {
	cfg := configuration(3)
	for i := range cfg.Routes {
		cfg.Routes[i].Timeout, cfg.Routes[i].MaxAttempts = 6*time.Second, attempts
	}
	c.Assert(r.Configure(cfg, "test"), qt.IsTrue)
}

// besideSilent calls path while a first server has the request, adds the others then, and
// returns what the caller got.
func besideSilent(c *qt.C, r *testGateway, path string, first *server, others ...*server) answered {
	done := make(chan answered, 1)
	go func() { done <- r.call(c, path, "request") }()
	waitFor(c, func() bool { return first.count() == 1 })
	for i, other := range others {
		r.addServer(fmt.Sprint("other", i), other.URL, nil)
	}
	return <-done
}

// A run that has won and breaks off must return to the silent server also where the route
// has attempts left but no further server exists. The stream was cut.
func TestStreamReturnsToTheSilentServer(t *testing.T) {
	for _, attempts := range []int{2, 3} {
		t.Run(fmt.Sprint(attempts, " attempts"), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			silent := newServer(c, silentStream(silentBetweenEvents, 2500*time.Millisecond))
			r := silenceGateway(c, silent)
			r.withAttempts(c, attempts)
			got := besideSilent(c, r, "/stream/1", silent, newServer(c, breakAfterFirstEvent))
			c.Check(got.err, qt.IsNil)
			c.Check(got.body, qt.Equals, wholeStream)
		})
	}
}

// A silent server that goes on ends the run beside it. If it then breaks off, the request
// must return to the server of that run. The stream was cut.
func TestStreamReturnsToTheServerOfAnEndedHedge(t *testing.T) {
	c := qt.New(t)
	silent := newServer(c, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "s")
		for i := 1; i <= 3; i++ {
			if i == 3 {
				<-time.After(1500 * time.Millisecond)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: t%d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
		<-time.After(50 * time.Millisecond)
		panic(http.ErrAbortHandler)
	})
	other := newServer(c, silentStream(silentBeforeHeader, 600*time.Millisecond))
	r := silenceGateway(c, silent)
	got := besideSilent(c, r, "/stream/1", silent, other)
	c.Check(got.err, qt.IsNil)
	c.Check(got.body, qt.Equals, wholeStream)
	c.Check(other.count() >= 1, qt.IsTrue)
}

// With one retry in the budget, a run beside a silent server that breaks off after its
// first event must not cost the stream: the silent server would have finished.
func TestHedgeBreaksWithoutASecondRetry(t *testing.T) {
	c := qt.New(t)
	silent := newServer(c, silentStream(silentBetweenEvents, 2500*time.Millisecond))
	r := silenceGateway(c, silent)
	r.mu.Lock()
	r.budget = limits.NewRetryBudget(limits.RetryBudgetConfig{Ratio: 0, Burst: 1, MaxKeys: 4})
	r.mu.Unlock()
	got := besideSilent(c, r, "/stream/1", silent, newServer(c, breakAfterFirstEvent))
	c.Check(got.err, qt.IsNil)
	c.Check(got.body, qt.Equals, wholeStream)
}

// Streams of a sound server that was silent for a moment and finished all of them must not
// exclude it for seconds.
func TestSoundServerIsNotSetAside(t *testing.T) {
	for _, streams := range []int{1, 2, 8} {
		t.Run(fmt.Sprint(streams, " streams"), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			silent := newServer(c, silentStream(silentBetweenEvents, 1500*time.Millisecond))
			r := silenceGateway(c, silent)
			done := make(chan answered, streams)
			for i := range streams {
				go func() { done <- r.call(c, "/once/1", fmt.Sprint("request-", i)) }()
			}
			waitFor(c, func() bool { return silent.count() == streams })
			r.addServer("other", newServer(c, events(silentEvents, false)).URL, nil)
			for range streams {
				c.Check((<-done).body, qt.Equals, wholeStream)
			}
			finished := time.Now()
			r.mu.Lock()
			usable := func() bool {
				return r.fleet.CanServe(bootclock.Now(), placement.Query{Service: "svc", Tried: []string{"other"}})
			}
			excluded := !usable()
			r.mu.Unlock()
			c.Check(excluded, qt.IsFalse)
			for excluded && time.Since(finished) < 10*time.Second {
				<-time.After(20 * time.Millisecond)
				r.mu.Lock()
				excluded = !usable()
				r.mu.Unlock()
			}
			c.Logf("%d streams, all finished: server excluded for a further %v", streams, time.Since(finished).Round(100*time.Millisecond))
		})
	}
}

// A run that begins as another one wins must end, and the memory of its answer must be
// released.
func TestLateHedgeReleasesItsAnswer(t *testing.T) {
	c := qt.New(t)
	s := newServer(c, answerWith(http.StatusOK))
	r := newTestGateway(c, s)
	in := r.request(c, http.MethodPost, "/read/1", "x")
	table := r.table.Load()
	req := &request{
		call: r.cfg.Codec.Call(in.Header), in: in, start: time.Now(), deadline: time.Now().Add(2 * time.Second),
		route: table.Match("h.example", "/read/1"), service: "svc", tried: []string{"another"},
	}
	race := &race{}
	first := r.newChain(context.Background(), req, race, buffered{})
	beside := newHedges(first)
	// The first chain finishes before the hedge begins.
	c.Assert(race.finish(first), qt.IsTrue)
	hedged, ok := beside.prepare()
	c.Assert(ok, qt.IsTrue)
	c.Assert(beside.start(hedged), qt.IsTrue)
	<-beside.close().done
	c.Check(s.count(), qt.Equals, 0, qt.Commentf("requests sent after the answer"))
	c.Check(r.answers.used.Load(), qt.Equals, int64(0), qt.Commentf("bytes of answers reserved for good"))
}

// An engine's final answer to a stream must reach the caller at once, also while another
// run is silent.
func TestFinalAnswerBesideASilentRun(t *testing.T) {
	badRequest := func(w http.ResponseWriter, r *http.Request) { answerWith(http.StatusBadRequest)(w, r) }
	late := func(w http.ResponseWriter, r *http.Request) {
		<-time.After(1500 * time.Millisecond)
		badRequest(w, r)
	}
	for _, test := range []struct {
		name          string
		first, second answerFunc
	}{{"of the first", late, neverAnswer}, {"of the hedge", neverAnswer, badRequest}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			first := newServer(c, test.first)
			r := silenceGateway(c, first)
			got := besideSilent(c, r, "/stream/1", first, newServer(c, test.second))
			c.Check(got.status, qt.Equals, http.StatusBadRequest)
			c.Check(got.took < 2*time.Second, qt.IsTrue, qt.Commentf("after %v", got.took))
		})
	}
}

// A server that becomes free a moment after the first look must be tried before callers
// leave.
func TestServerFreeAfterTheFirstLook(t *testing.T) {
	for _, at := range silencePoints[:3] {
		t.Run(string(at), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			silent := newServer(c, silentStream(at, time.Hour))
			r := silenceGateway(c, silent)
			done := make(chan answered, 1)
			go func() { done <- r.call(c, "/stream/1", "request") }()
			waitFor(c, func() bool { return silent.count() == 1 })
			<-time.After(1300 * time.Millisecond)
			r.addServer("other", newServer(c, events(silentEvents, false)).URL, nil)
			got := <-done
			c.Check(got.body, qt.Equals, wholeStream)
			c.Check(got.took < 2*time.Second, qt.IsTrue, qt.Commentf("after %v", got.took))
		})
	}
}

// The time until a hedge begins must count from the caller's last event or its request,
// not from the attempt: callers leave by that.
func TestPatienceCountsFromTheRequest(t *testing.T) {
	c := qt.New(t)
	breaks := newServer(c, func(http.ResponseWriter, *http.Request) {
		<-time.After(900 * time.Millisecond)
		panic(http.ErrAbortHandler)
	})
	r := silenceGateway(c, breaks)
	r.withAttempts(c, 3)
	silent := newServer(c, neverAnswer)
	done := make(chan answered, 1)
	go func() { done <- r.call(c, "/stream/1", "request") }()
	waitFor(c, func() bool { return breaks.count() == 1 })
	r.addServer("silent", silent.URL, nil)
	waitFor(c, func() bool { return silent.count() == 1 })
	r.addServer("other", newServer(c, events(silentEvents, false)).URL, nil)
	got := <-done
	c.Check(got.body, qt.Equals, wholeStream)
	c.Check(got.took < callerPatience, qt.IsTrue, qt.Commentf("after %v", got.took))
}

// A stream that two servers broke off must not be sent to the first one again, which was
// not left for its silence.
func TestBrokenAtBothIsNotSentAgain(t *testing.T) {
	c := qt.New(t)
	breakAfter := func(wait time.Duration) answerFunc {
		return func(http.ResponseWriter, *http.Request) {
			<-time.After(wait)
			panic(http.ErrAbortHandler)
		}
	}
	first, second := newServer(c, breakAfter(1400*time.Millisecond)), newServer(c, breakAfter(600*time.Millisecond))
	r := silenceGateway(c, first)
	got := besideSilent(c, r, "/stream/1", first, second)
	c.Check(got.status, qt.Equals, http.StatusBadGateway)
	c.Check(first.count()+second.count(), qt.Equals, 2)
}

// The body of an engine's error to a stream may arrive after its header.
func TestErrorBodyAfterItsHeader(t *testing.T) {
	c := qt.New(t)
	s := newServer(c, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "s")
		w.WriteHeader(http.StatusBadRequest)
		_ = http.NewResponseController(w).Flush()
		<-time.After(50 * time.Millisecond)
		_, _ = io.WriteString(w, strings.Repeat("x", 64<<10))
	})
	r := silenceGateway(c, s)
	got := r.call(c, "/stream/1", "request")
	c.Check(got.status, qt.Equals, http.StatusBadRequest)
	c.Check(len(got.body), qt.Equals, 64<<10)
}

// Runs that begin, win and lose at about the same time, and callers that leave meanwhile,
// must leave no place at a server, no reserved memory and no waiter behind, and no event
// may be lost or repeated.
func TestHedgesLeaveNothingBehind(t *testing.T) {
	c := qt.New(t)
	jitter := func(from, spread time.Duration) time.Duration {
		return from + time.Duration(rand.Int64N(int64(spread)))
	}
	answer := func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/read/") {
			silentRead(jitter(80*time.Millisecond, 50*time.Millisecond))(w, r)
			return
		}
		silentStream(silencePoints[rand.IntN(4)], jitter(1150*time.Millisecond, 250*time.Millisecond))(w, r)
	}
	var servers []*server
	for range 4 {
		servers = append(servers, newServer(c, answer))
	}
	r := silenceGateway(c, servers...)
	r.cfg.OrderedWaiting = true
	cfg := configuration(3)
	for i := range cfg.Routes {
		cfg.Routes[i].Timeout, cfg.Routes[i].MaxAttempts = 6*time.Second, 3
		if cfg.Routes[i].Kind == route.Safe {
			cfg.Routes[i].Target = 20 * time.Millisecond
		}
	}
	c.Assert(r.Configure(cfg, "test"), qt.IsTrue)
	before := runtime.NumGoroutine()
	var all sync.WaitGroup
	var cut, whole, other atomic.Int64
	var statuses sync.Map
	one := func(path, left string, leaveAfter time.Duration) {
		ctx, cancel := context.WithTimeout(c.Context(), leaveAfter)
		defer cancel()
		req := r.request(c, http.MethodPost, path, "x").WithContext(ctx)
		req.Header.Set("Left", left)
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
		if err != nil {
			other.Add(1)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		count, _ := statuses.LoadOrStore(fmt.Sprint(path, " ", resp.StatusCode), new(atomic.Int64))
		count.(*atomic.Int64).Add(1)
		switch {
		case ctx.Err() != nil:
		case err != nil:
			cut.Add(1)
		case path == "/stream/1" && resp.StatusCode == 200 && string(body) == wholeStream:
			whole.Add(1)
		case path == "/stream/1" && resp.StatusCode != http.StatusServiceUnavailable:
			c.Check(string(body), qt.Equals, wholeStream)
		}
	}
	for i := range 300 {
		all.Go(func() {
			leave := 8 * time.Second
			if i%4 == 0 {
				leave = jitter(1100*time.Millisecond, 300*time.Millisecond)
			}
			one("/stream/1", "6000", leave)
		})
		all.Go(func() {
			for range 10 {
				leave := time.Second
				if i%4 == 0 {
					leave = jitter(70*time.Millisecond, 60*time.Millisecond)
				}
				one("/read/1", "200", leave)
			}
		})
	}
	all.Wait()
	<-time.After(500 * time.Millisecond)
	statuses.Range(func(k, v any) bool { c.Logf("%v: %d", k, v.(*atomic.Int64).Load()); return true })
	c.Logf("whole %d, cut %d, ended without a header %d", whole.Load(), cut.Load(), other.Load())
	c.Check(cut.Load(), qt.Equals, int64(0))
	c.Check(r.answers.used.Load(), qt.Equals, int64(0))
	r.mu.Lock()
	for _, queue := range r.queues {
		c.Check(queue.Len(), qt.Equals, 0)
	}
	for range 4 {
		choice, miss := r.fleet.Choose(bootclock.Now().Add(time.Minute), placement.Query{Service: "svc"})
		c.Check(miss, qt.Equals, placement.Found)
		c.Check(choice.Load, qt.Equals, 0.0)
		r.fleet.Done(bootclock.Now(), choice.Handle, placement.Canceled)
	}
	r.mu.Unlock()
	arrivals := 0
	for _, s := range servers {
		arrivals += s.count()
	}
	for _, s := range servers {
		s.CloseClientConnections()
	}
	<-time.After(300 * time.Millisecond)
	c.Logf("%d arrivals, goroutines %d before, %d after", arrivals, before, runtime.NumGoroutine())
	for _, kind := range []string{"silent_hedged", "silent_kept"} {
		c.Logf("%s: %v", kind, attempts.Get(kind))
	}
}

// The lines on a silence that nothing can be done about must stay few.
func TestLinesOfOneSilentRead(t *testing.T) {
	c := qt.New(t)
	s := newServer(c, neverAnswer)
	r := silenceGateway(c, s)
	written := r.writeLog()
	began := time.Now()
	got := r.call(c, "/read/1", "request")
	written()
	lines := strings.Count(r.log.String(), "attempt_silent")
	c.Check(lines <= 3, qt.IsTrue, qt.Commentf("%d lines of one request in %v, status %d", lines, time.Since(began), got.status))
}

// The silence that a failed attempt is logged with must not grow while a run beside it is
// awaited.
func TestLoggedSilence(t *testing.T) {
	c := qt.New(t)
	breaks := newServer(c, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "s")
		_, _ = io.WriteString(w, "id: 1\ndata: t1\n\n")
		_ = http.NewResponseController(w).Flush()
		<-time.After(1500 * time.Millisecond)
		panic(http.ErrAbortHandler)
	})
	r := silenceGateway(c, breaks)
	written := r.writeLog()
	got := besideSilent(c, r, "/stream/1", breaks, newServer(c, silentStream(silentBeforeHeader, 3*time.Second)))
	written()
	c.Check(got.body, qt.Equals, wholeStream)
	for line := range strings.SplitSeq(r.log.String(), "\n") {
		var failed struct {
			Event    string `json:"@message"`
			Server   string `json:"server"`
			SilentMS int    `json:"silent_ms"`
		}
		if json.Unmarshal([]byte(line), &failed) == nil && failed.Event == "attempt_failed" && failed.Server == "s0" {
			c.Check(failed.SilentMS < 2000, qt.IsTrue, qt.Commentf("silent for 1500 ms, logged as %d", failed.SilentMS))
		}
	}
}

// writeLog writes the lines of the log until the returned function is called.
func (r *testGateway) writeLog() (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.cfg.Log.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// A run that has won with one event and is then silent for good must not keep the request
// from the server that it was taken from. The stream was cut at its deadline.
func TestHedgeFallsSilentForGood(t *testing.T) {
	c := qt.New(t)
	silent := newServer(c, silentStream(silentBetweenEvents, 2500*time.Millisecond))
	r := silenceGateway(c, silent)
	other := newServer(c, func(w http.ResponseWriter, q *http.Request) {
		last, _ := strconv.Atoi(q.Header.Get("Last"))
		events(last+1, false)(w, q)
		<-q.Context().Done()
	})
	got := besideSilent(c, r, "/stream/1", silent, other)
	c.Check(got.err, qt.IsNil, qt.Commentf("after %v", got.took))
	c.Check(got.body, qt.Equals, wholeStream)
}

// The run beside a failed one that wins and then breaks off is the one that the line on the
// cut stream must name.
func TestCutStreamNamesItsLastServer(t *testing.T) {
	c := qt.New(t)
	breaks := newServer(c, func(http.ResponseWriter, *http.Request) {
		<-time.After(1400 * time.Millisecond)
		panic(http.ErrAbortHandler)
	})
	other := newServer(c, func(w http.ResponseWriter, q *http.Request) {
		<-time.After(500 * time.Millisecond)
		events(2, true)(w, q)
	})
	r := silenceGateway(c, breaks)
	r.mu.Lock()
	r.budget = limits.NewRetryBudget(limits.RetryBudgetConfig{Ratio: 0, Burst: 1, MaxKeys: 4})
	r.mu.Unlock()
	written := r.writeLog()
	_ = besideSilent(c, r, "/stream/1", breaks, other)
	written()
	for line := range strings.SplitSeq(r.log.String(), "\n") {
		if strings.Contains(line, "stream_cut") {
			c.Check(strings.Contains(line, `"server":"other0"`), qt.IsTrue, qt.Commentf("%s", line))
		}
	}
}

// A server that may be returned to but is gone must not use up the retry budget.
func TestReturnToAServerThatIsGoneTakesOneRetry(t *testing.T) {
	c := qt.New(t)
	const budget = 20
	silent := newServer(c, silentStream(silentBetweenEvents, 5*time.Second))
	r := silenceGateway(c, silent)
	r.mu.Lock()
	r.budget = limits.NewRetryBudget(limits.RetryBudgetConfig{Ratio: 0, Burst: budget, MaxKeys: 4})
	r.mu.Unlock()
	besideSilent(c, r, "/stream/1", silent, newServer(c, func(w http.ResponseWriter, q *http.Request) {
		r.RemoveServer("s0", "test")
		breakAfterFirstEvent(w, q)
	}))
	used := budget
	r.mu.Lock()
	for r.budget.TryRetry(limits.RetryKey{Service: "svc"}) {
		used--
	}
	r.mu.Unlock()
	c.Check(used <= 2, qt.IsTrue, qt.Commentf("%d retries used", used))
}

// lateReturn is a buffered exchanger whose ended exchanges return late, as on a busy
// machine.
type lateReturn struct {
	buffered
	by time.Duration
}

func (l lateReturn) exchange(ctx context.Context, end context.CancelCauseFunc, c *chain, choice placement.Choice, w *progressWatch) result {
	r := l.buffered.exchange(ctx, end, c, choice, w)
	if ctx.Err() != nil {
		<-time.After(l.by)
	}
	return r
}

// A hedge that began after another one had answered took the place of its result: the caller
// got 502, and the memory of the answer was never released.
func TestAnswerOfAnEarlierHedgeIsKept(t *testing.T) {
	c := qt.New(t)
	silent := newServer(c, neverAnswer)
	r := silenceGateway(c, silent)
	in := r.request(c, http.MethodPost, "/read/1", "x")
	req := &request{
		call: r.cfg.Codec.Call(in.Header), in: in, start: time.Now(), deadline: time.Now().Add(2 * time.Second),
		route: r.table.Load().Match("h.example", "/read/1"), service: "svc",
	}
	ctx, cancel := context.WithDeadline(context.Background(), req.deadline)
	defer cancel()
	done := make(chan result, 1)
	go func() { done <- r.newChain(ctx, req, &race{}, lateReturn{by: 300 * time.Millisecond}).run(r.place) }()
	waitFor(c, func() bool { return silent.count() == 1 })
	r.addServer("other", newServer(c, answerWith(http.StatusOK)).URL, nil)
	got := <-done
	c.Check(got.reason, qt.Equals, Reason(""))
	got.release()
	c.Check(r.answers.used.Load(), qt.Equals, int64(0))
}

// Hedges must not offer a request to more servers than attempts that follow each other do.
func TestHedgesKeepTheBoundOnOffers(t *testing.T) {
	c := qt.New(t)
	silent := newServer(c, silentStream(silentBetweenEvents, 4500*time.Millisecond))
	r := silenceGateway(c, silent)
	r.mu.Lock()
	r.budget = limits.NewRetryBudget(limits.RetryBudgetConfig{Ratio: 0, Burst: 20, MaxKeys: 4})
	r.mu.Unlock()
	var others []*server
	for range 25 {
		others = append(others, newServer(c, notRun))
	}
	got := besideSilent(c, r, "/stream/1", silent, others...)
	offers := 0
	for _, o := range others {
		offers += o.count()
	}
	c.Check(got.body, qt.Equals, wholeStream)
	c.Check(offers < maxServersTried, qt.IsTrue, qt.Commentf("%d further servers were offered the request", offers))
}

// An attempt that is refused beside a silent hedge must go on at a free server; it waited
// for the hedge until the deadline.
func TestRefusedBesideASilentHedge(t *testing.T) {
	for _, path := range []string{"/stream/1", "/read/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			wait := 1500 * time.Millisecond
			if path == "/read/1" {
				wait = 3300 * time.Millisecond
			}
			first := newServer(c, func(w http.ResponseWriter, q *http.Request) {
				<-time.After(wait)
				notRun(w, q)
			})
			r := silenceGateway(c, first)
			done := make(chan answered, 1)
			go func() { done <- r.call(c, path, "request") }()
			waitFor(c, func() bool { return first.count() == 1 })
			hedge := newServer(c, neverAnswer)
			r.addServer("hedge", hedge.URL, nil)
			waitFor(c, func() bool { return hedge.count() == 1 })
			third := newServer(c, events(silentEvents, false))
			r.addServer("third", third.URL, nil)
			got := <-done
			c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s after %v", got.body, got.took))
			c.Check(third.count(), qt.Equals, 1)
		})
	}
}
