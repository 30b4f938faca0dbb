package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/limits"
	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/prompt"
	"github.com/laburnumloft/laburnumloft/core/route"
	"github.com/laburnumloft/laburnumloft/core/shutdown"
	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

// testCodec uses header names that differ from those of any platform.
type testCodec struct{}

func (testCodec) Call(h http.Header) Call {
	c := Call{RequestID: h.Get("Id"), Key: h.Get("Key")}
	for id := range strings.SplitSeq(h.Get("Parts"), ",") {
		if id != "" {
			c.PromptParts = append(c.PromptParts, prompt.ParsePart(id))
		}
	}
	if own := h.Get("Own"); own != "" {
		c.OwnPart = prompt.ParsePart(own)
	}
	if ms, err := strconv.Atoi(h.Get("Left")); err == nil {
		c.Deadline = time.Duration(ms) * time.Millisecond
	}
	return c
}

func (testCodec) Prepare(h http.Header, o AttemptInfo) {
	h.Del("Key")
	h.Set("Left", strconv.FormatInt(o.Timeout.Milliseconds(), 10))
	h.Set("Instance", o.InstanceID)
	h.Set("Workspace", o.Workspace)
	if o.Resumes {
		h.Set("Last", strconv.FormatInt(o.LastEvent, 10))
	}
}

func (testCodec) Answer(resp *http.Response) Answer {
	a := Answer{
		RequestID: resp.Header.Get("Id"), Signed: resp.Header.Get("Signature") != "",
		NotRun: resp.Header.Get("Not-Run") != "", Misdirected: resp.StatusCode == http.StatusMisdirectedRequest,
	}
	a.Signals.ParseRate("Rate", resp.Header["Rate"])
	a.Signals.ParseLeaving("Gone-Soon", resp.Header["Gone-Soon"])
	a.Signals.ParseQuiet("Wait", resp.Header["Wait"])
	return a
}

// server is a backend server with one scripted answer per request; the last
// answer repeats.
type server struct {
	*httptest.Server
	mu       sync.Mutex
	arrivals []*http.Request
	bodies   []string
}

type answerFunc func(w http.ResponseWriter, r *http.Request)

func newServer(c *qt.C, answers ...answerFunc) *server {
	s := &server{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		n := min(len(s.arrivals), len(answers)-1)
		s.arrivals = append(s.arrivals, r)
		s.bodies = append(s.bodies, string(body))
		s.mu.Unlock()
		answers[n](w, r)
	}))
	c.Cleanup(s.Close)
	return s
}

func (s *server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.arrivals)
}

func answerWith(status int) answerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "s")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "body")
	}
}

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func unsigned(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	_, _ = io.WriteString(w, "body")
}

func wrongRequestID(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Id", "another")
	w.Header().Set("Signature", "s")
	_, _ = io.WriteString(w, "secret of another caller")
}

// cutBody announces a longer body than it sends.
func cutBody(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signature", "s")
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
	panic(http.ErrAbortHandler)
}

func closeConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func neverAnswer(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// events sends the events after the caller's last one up to end. If cut is set,
// it then aborts the connection in the middle of the next event.
func events(end int, cut bool) answerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		first := 1
		if last, err := strconv.Atoi(r.Header.Get("Last")); err == nil {
			first = last + 1
		}
		for i := first; i <= end; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: t%d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
		if cut {
			_, _ = fmt.Fprintf(w, "id: %d\nda", end+1)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// testGateway is a gateway in front of servers of one service.
type testGateway struct {
	*Gateway
	front *httptest.Server
	log   *bytes.Buffer
}

func newTestGateway(c *qt.C, servers ...*server) *testGateway {
	r := &testGateway{log: &bytes.Buffer{}}
	r.Gateway = New(Config{
		ID: "entry", Zone: "z", Codec: testCodec{}, Log: decision.New(decision.Config{Output: r.log}),
		RetryRatio: 0.2, RetrySlack: 1000, WeightsDeadline: 8 * time.Second, Seed: 1,
		Regions: map[string]string{"z": "home", "other": "elsewhere"},
	})
	r.Configure(configuration(1), "test")
	for i, s := range servers {
		r.PutServer(placement.Server{ID: fmt.Sprint("s", i), Address: strings.TrimPrefix(s.URL, "http://"), Service: "svc", Zone: "z"})
	}
	r.front = httptest.NewServer(r)
	c.Cleanup(r.front.Close)
	return r
}

func configuration(version int64) route.Configuration {
	shares := []route.Share{{Service: "svc", Weight: 1}}
	base := route.Route{Host: "h.example", Timeout: 2 * time.Second, Target: 200 * time.Millisecond, Shares: shares}
	order, read, stream, unresumable := base, base, base, base
	order.Prefix, order.Kind, order.MaxAttempts = "/order/", route.Unsafe, 2
	read.Prefix, read.Kind, read.MaxAttempts = "/read/", route.Safe, 2
	stream.Prefix, stream.Kind, stream.MaxAttempts, stream.Resumable = "/stream/", route.Stream, 2, true
	unresumable.Prefix, unresumable.Kind, unresumable.MaxAttempts = "/once/", route.Stream, 2
	return route.Configuration{
		Version: version, Routes: []route.Route{order, read, stream, unresumable}, Services: []route.Service{{Name: "svc"}},
		Workspaces: []route.Workspace{{Name: "w", Keys: []string{"key"}}}, Limits: route.Limits{MaxBodyBytes: 1 << 16},
	}
}

func (r *testGateway) request(c *qt.C, method, path, body string) *http.Request {
	req, err := http.NewRequestWithContext(c.Context(), method, r.front.URL+path, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	req.Host = "h.example"
	req.Header.Set("Id", "request-1")
	req.Header.Set("Key", "key")
	req.Header.Set("Left", "1500")
	return req
}

func (r *testGateway) do(c *qt.C, method, path, body string) (*http.Response, string, error) {
	resp, err := http.DefaultClient.Do(r.request(c, method, path, body))
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// Checks the status that the caller gets for each kind of server answer, and the
// number of requests to the servers. 503 guarantees that the request has not run.
func TestOutcomes(t *testing.T) {
	for _, test := range []struct {
		name, path string
		answers    []answerFunc
		status     int
		arrivals   int
	}{
		{"order answered", "/order/1", []answerFunc{answerWith(200)}, 200, 1},
		{"order answered with 500", "/order/1", []answerFunc{answerWith(500)}, 500, 1},
		{"order reset", "/order/1", []answerFunc{closeConnection, answerWith(200)}, 502, 1},
		{"order unsigned", "/order/1", []answerFunc{unsigned, answerWith(200)}, 502, 1},
		{"order with wrong request id", "/order/1", []answerFunc{wrongRequestID, answerWith(200)}, 502, 1},
		{"order truncated", "/order/1", []answerFunc{cutBody, answerWith(200)}, 502, 1},
		{"order hangs", "/order/1", []answerFunc{neverAnswer}, 504, 1},
		{"order not run, then run", "/order/1", []answerFunc{notRun, answerWith(200)}, 200, 2},
		{"order never run", "/order/1", []answerFunc{notRun}, 503, 2},
		{"read reset, then answered", "/read/1", []answerFunc{closeConnection, answerWith(200)}, 200, 2},
		{"read truncated, then answered", "/read/1", []answerFunc{cutBody, answerWith(200)}, 200, 2},
		{"read with wrong request id, then answered", "/read/1", []answerFunc{wrongRequestID, answerWith(200)}, 200, 2},
		{"read fails, then answered", "/read/1", []answerFunc{answerWith(500), answerWith(200)}, 200, 2},
		{"read hangs, then answered", "/read/1", []answerFunc{neverAnswer, answerWith(200)}, 200, 2},
		{"read fails at both", "/read/1", []answerFunc{answerWith(500)}, 500, 2},
		{"read reset at both", "/read/1", []answerFunc{closeConnection}, 502, 2},
		{"stream complete", "/stream/1", []answerFunc{events(5, false)}, 200, 1},
		{"stream cut, then resumed", "/stream/1", []answerFunc{events(2, true), events(5, false)}, 200, 2},
		{"stream reset, then complete", "/stream/1", []answerFunc{closeConnection, events(5, false)}, 200, 2},
		{"stream not run anywhere", "/stream/1", []answerFunc{notRun}, 503, 2},
		{"non-resumable stream reset", "/once/1", []answerFunc{closeConnection, events(5, false)}, 502, 1},
		{"no route", "/none/1", []answerFunc{answerWith(200)}, 404, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			// Both servers share one script, so that it doesn't matter which
			// one is chosen first.
			s := newServer(c, test.answers...)
			r := newTestGateway(c, s)
			r.PutServer(placement.Server{ID: "second", Address: strings.TrimPrefix(s.URL, "http://"), Service: "svc", Zone: "z"})
			resp, body, err := r.do(c, http.MethodPost, test.path, "payload")
			c.Assert(err, qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, test.status, qt.Commentf("%s", body))
			c.Check(s.count(), qt.Equals, test.arrivals)
			if strings.Contains(test.path, "stream") && test.status == 200 {
				c.Check(body, qt.Equals, "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\nid: 4\ndata: t4\n\nid: 5\ndata: t5\n\n")
			}
			if resp.StatusCode == http.StatusServiceUnavailable {
				c.Check(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			}
			c.Check(strings.Contains(body, "secret"), qt.IsFalse)
			for _, b := range s.bodies {
				c.Check(b, qt.Equals, "payload")
			}
		})
	}
}

// A caller must not mistake a stream that can't be completed for a complete one:
// the gateway must abort the connection.
func TestIncompleteStreamIsAborted(t *testing.T) {
	c := qt.New(t)
	s := newServer(c, events(2, true))
	r := newTestGateway(c, s)
	resp, body, err := r.do(c, http.MethodPost, "/once/1", "x")
	c.Assert(resp != nil || err != nil, qt.IsTrue)
	c.Assert(err, qt.Not(qt.IsNil))
	c.Assert(strings.Contains(body, "da\n"), qt.IsFalse)
}

// slowEvents pauses before each event that it sends.
func slowEvents(end int, pause time.Duration) answerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "s")
		for i := 1; i <= end; i++ {
			<-time.After(pause)
			_, _ = fmt.Fprintf(w, "id: %d\ndata: t%d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// A slow but healthy engine must keep its stream if no other engine may or can take
// over, because the route isn't resumable, the retry budget is used up, or no other
// engine has room or is in a home of the request. Similar systems cut such streams.
func TestSlowStreamKeptWithoutAlternative(t *testing.T) {
	for _, test := range []struct {
		name, path string
		slack      float64
	}{{"not resumable", "/once/1", 1000}, {"no budget", "/stream/1", 0}, {"no other server", "/stream/1", 1000}, {"no other home", "/stream/1", 1000}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newServer(c, slowEvents(2, minFirstEventTimeout+100*time.Millisecond))
			r := newTestGateway(c, s)
			cfg := configuration(2)
			for i := range cfg.Routes {
				cfg.Routes[i].Timeout = 6 * time.Second
				if test.name == "no other home" {
					cfg.Routes[i].Homes = []string{"home"}
					r.PutServer(placement.Server{ID: "away", Address: "127.0.0.1:1", Service: "svc", Zone: "other"})
				}
			}
			c.Assert(r.Configure(cfg, "test"), qt.IsTrue)
			r.cfg.RetryRatio, r.cfg.RetrySlack = 0, test.slack
			r.mu.Lock()
			r.setEntryCount(1)
			if test.slack == 0 {
				r.budget.TryRetry(limits.RetryKey{Service: "svc"})
			}
			r.mu.Unlock()
			req := r.request(c, http.MethodPost, test.path, "x")
			req.Header.Set("Left", "6000")
			resp, err := http.DefaultClient.Do(req)
			c.Assert(err, qt.IsNil)
			body, err := io.ReadAll(resp.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(string(body), qt.Equals, "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n")
			c.Assert(s.count(), qt.Equals, 1)
		})
	}
}

// An attempt without a first event must end before its engine's weights become
// outdated, even if no other engine may take over. Otherwise an engine that delayed
// a request begins it with outdated weights: in the scenario pldpr-padam-large at
// scale-1, requests that had waited for 2.6 s violated VERSION 104 times.
func TestAttemptEndsWhenWeightsAreOutdated(t *testing.T) {
	c := qt.New(t)
	durations := make(chan time.Duration, 1)
	s := newServer(c, func(_ http.ResponseWriter, r *http.Request) {
		arrived := time.Now()
		<-r.Context().Done()
		durations <- time.Since(arrived)
	})
	r := newTestGateway(c)
	cfg := configuration(2)
	for i := range cfg.Routes {
		cfg.Routes[i].Timeout = 6 * time.Second
	}
	cfg.Services[0].Engine = &route.Engine{Models: []string{"m"}}
	c.Assert(r.Configure(cfg, "test"), qt.IsTrue)
	r.PutServer(placement.Server{ID: "e", Address: strings.TrimPrefix(s.URL, "http://"), Service: "svc", Zone: "z", Slots: 4, WeightVersion: 1})
	const untilOutdated = minFirstEventTimeout + 500*time.Millisecond
	r.RecordPublishedWeights("m", 2, r.cfg.WeightsDeadline-enforceMargin+placement.FirstEventMargin-untilOutdated)
	req := r.request(c, http.MethodPost, "/once/1", "x")
	req.Header.Set("Left", "6000")
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	duration := <-durations
	c.Assert(duration <= untilOutdated+200*time.Millisecond, qt.IsTrue, qt.Commentf("attempt ended after %v, want at most 200ms more than %v", duration, untilOutdated))
}

// The timeouts of a stream must follow the route's targets: if they allow long
// pauses, an engine that stays within them must keep its stream.
func TestStreamTimeoutFollowsRoute(t *testing.T) {
	c := qt.New(t)
	s := newServer(c, slowEvents(2, minFirstEventTimeout+100*time.Millisecond))
	r := newTestGateway(c, s)
	cfg := configuration(2)
	for i := range cfg.Routes {
		cfg.Routes[i].Timeout, cfg.Routes[i].Target, cfg.Routes[i].PauseTarget = 6*time.Second, time.Second, time.Second
	}
	c.Assert(r.Configure(cfg, "test"), qt.IsTrue)
	req := r.request(c, http.MethodPost, "/stream/1", "x")
	req.Header.Set("Left", "6000")
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(body), qt.Equals, "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n")
	c.Assert(s.count(), qt.Equals, 1)
}

// endless sends bytes until the client closes the connection.
func endless(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signature", "s")
	for block := bytes.Repeat([]byte("x"), 64<<10); ; {
		if _, err := w.Write(block); err != nil {
			return
		}
	}
}

// endlessHead sends a head without end until the client closes the connection.
func endlessHead(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nFiller: ")
	for filler := strings.Repeat("x", 32<<10); err == nil; {
		_, err = io.WriteString(conn, filler)
	}
}

// Faulty servers may send endless answers to many requests at once. Each request
// must fail, and all answers together must stay within the memory limit, or the
// process runs out of memory.
func TestEndlessAnswersStayWithinMemoryLimit(t *testing.T) {
	for name, answer := range map[string]answerFunc{"body": endless, "head": endlessHead} {
		t.Run(name, func(t *testing.T) { checkEndlessAnswers(qt.New(t), answer) })
	}
}

func checkEndlessAnswers(c *qt.C, answer answerFunc) {
	const requests, limit = 100, 24 << 20
	s := newServer(c, answer)
	r := newTestGateway(c, s)
	r.answers.limit = limit
	var maxHeap uint64
	sampled := make(chan struct{})
	ctx, cancel := context.WithCancel(c.Context())
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	go func() {
		defer close(sampled)
		for ctx.Err() == nil {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			maxHeap = max(maxHeap, m.HeapAlloc)
			<-time.After(5 * time.Millisecond)
		}
	}()
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() {
			resp, _, err := r.do(c, http.MethodPost, "/order/1", "x")
			c.Check(err, qt.IsNil)
			if err == nil {
				c.Check(resp.StatusCode/100, qt.Equals, 5)
			}
		})
	}
	wg.Wait()
	cancel()
	<-sampled
	c.Assert(r.answers.used.Load(), qt.Equals, int64(0))
	// Factor 4: copying a growing buffer briefly doubles it, and the garbage
	// collector runs when the heap is twice the live data.
	c.Assert(maxHeap-before.HeapAlloc < 4*limit, qt.IsTrue, qt.Commentf("heap grew by %d MB", (maxHeap-before.HeapAlloc)>>20))
}

// A server must get the authenticated workspace, never the key, and no more time
// than remains until the caller's deadline.
func TestForwardedRequest(t *testing.T) {
	c := qt.New(t)
	s := newServer(c, answerWith(200))
	r := newTestGateway(c, s)
	req := r.request(c, http.MethodPost, "/order/a%2Fb?q=1", "x")
	req.Header.Set("Workspace", "forged")
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	got := s.arrivals[0]
	c.Assert(got.Header.Get("Key"), qt.Equals, "")
	c.Assert(got.Header.Get("Workspace"), qt.Equals, "w")
	c.Assert(got.Header.Get("Instance"), qt.Equals, "s0")
	c.Assert(got.Host, qt.Equals, "h.example")
	c.Assert(got.RequestURI, qt.Equals, "/order/a%2Fb?q=1")
	remaining, err := strconv.Atoi(got.Header.Get("Left"))
	c.Assert(err, qt.IsNil)
	c.Assert(remaining > 1000 && remaining <= 1500, qt.IsTrue)
}

// Requests without a valid key, with too large a body, or before the first
// configuration must get a specific status and reach no server.
func TestAdmissionRefusals(t *testing.T) {
	c := qt.New(t)
	s := newServer(c, answerWith(200))
	r := newTestGateway(c, s)
	req := r.request(c, http.MethodPost, "/order/1", "x")
	req.Header.Set("Key", "gone")
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusUnauthorized)
	resp, _, err = r.do(c, http.MethodPost, "/order/1", strings.Repeat("x", 1<<16+1))
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
	empty := New(Config{Codec: testCodec{}, Log: decision.New(decision.Config{Output: io.Discard})})
	recorder := httptest.NewRecorder()
	empty.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	c.Assert(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(empty.Ready(), qt.IsFalse)
	c.Assert(s.count(), qt.Equals, 0)
}

// An older configuration must never replace the active one, whatever its source.
func TestConfigurationNeverGoesBack(t *testing.T) {
	c := qt.New(t)
	r := newTestGateway(c)
	c.Assert(r.Configure(configuration(7), "store"), qt.IsTrue)
	c.Assert(r.Configure(configuration(6), "peer"), qt.IsFalse)
	c.Assert(r.Configure(configuration(7), "peer"), qt.IsFalse)
	c.Assert(r.Table().Version(), qt.Equals, int64(7))
}

// When a caller disconnects, its request at the server must be cancelled.
func TestCallerDisconnects(t *testing.T) {
	c := qt.New(t)
	cancelled := make(chan struct{})
	arrived := make(chan struct{})
	s := newServer(c, func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(cancelled)
	})
	r := newTestGateway(c, s)
	ctx, cancel := context.WithCancel(c.Context())
	req := r.request(c, http.MethodPost, "/order/1", "x").WithContext(ctx)
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	<-arrived
	cancel()
	select {
	case <-cancelled:
	case <-time.After(time.Second):
		c.Fatal("the server's request was not cancelled within 1 s of the caller's disconnect")
	}
}

// A server may answer before it has read a long body. The caller must still get
// this answer, and the server must get no other bytes in place of the body's rest.
func TestEarlyAnswer(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			req, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 413 Too Large\r\nId: %s\r\nSignature: s\r\nContent-Length: 4\r\n\r\nbody", req.Header.Get("Id"))
			}
			time.AfterFunc(time.Second, func() { _ = conn.Close() })
		}
	}()
	r := newTestGateway(c)
	r.PutServer(placement.Server{ID: "s", Address: listener.Addr().String(), Service: "svc", Zone: "z"})
	resp, body, err := r.do(c, http.MethodPost, "/order/1", strings.Repeat("x", 1<<16))
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, 413)
	c.Assert(body, qt.Equals, "body")
}

// Request smuggling: requests hidden in the body of another one, or sent with
// duplicate lengths or malformed headers, must reach no server.
func TestSmuggling(t *testing.T) {
	c := qt.New(t)
	s := newServer(c, answerWith(200))
	r := newTestGateway(c, s)
	for _, raw := range []string{
		"POST /order/1 HTTP/1.1\r\nHost: h.example\r\nId: a\r\nKey: key\r\nContent-Length: 3\r\nContent-Length: 30\r\n\r\nabc",
		"POST /order/1 HTTP/1.1\r\nHost: h.example\r\nId: a\r\nKey: key\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
		"POST /order/1 HTTP/1.1\r\nHost: h.example\r\nId: a\r\nKey : key\r\n\r\n",
	} {
		conn, err := net.Dial("tcp4", strings.TrimPrefix(r.front.URL, "http://"))
		c.Assert(err, qt.IsNil)
		_, _ = io.WriteString(conn, raw)
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		line, _ := bufio.NewReader(conn).ReadString('\n')
		c.Check(strings.Contains(line, " 400 ") || strings.Contains(line, " 501 "), qt.IsTrue, qt.Commentf("%q", line))
		_ = conn.Close()
	}
	c.Assert(s.count(), qt.Equals, 0)
}

// A planned stop must complete requests in flight and refuse later ones.
func TestDrain(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	s := newServer(c, func(w http.ResponseWriter, r *http.Request) {
		<-release
		answerWith(200)(w, r)
	})
	r := newTestGateway(c, s)
	server, err := Listen(ListenConfig{Address: "127.0.0.1:0", Idle: time.Minute}, r.Gateway)
	c.Assert(err, qt.IsNil)
	result := make(chan int, 1)
	go func() {
		resp, _, err := r.do(c, http.MethodPost, "/order/1", "x")
		if err != nil {
			result <- 0
			return
		}
		result <- resp.StatusCode
	}()
	for s.count() == 0 {
		<-time.After(time.Millisecond)
	}
	plan := shutdown.NewPlan(time.Now(), 3*time.Second)
	r.BeginDrain(plan)
	c.Assert(r.Ready(), qt.IsFalse)
	drained := make(chan error, 1)
	go func() { drained <- Drain(server, r.Gateway, plan, r.cfg.Log) }()
	for !r.closing.Load() {
		<-time.After(time.Millisecond)
	}
	resp, _, err := r.do(c, http.MethodPost, "/order/2", "x")
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	close(release)
	c.Assert(<-result, qt.Equals, 200)
	c.Assert(<-drained, qt.IsNil)
}

// Retries must stop when the retry budget is used up, even if untried servers
// remain.
func TestRetryBudget(t *testing.T) {
	c := qt.New(t)
	s := newServer(c, notRun)
	r := newTestGateway(c, s)
	r.PutServer(placement.Server{ID: "second", Address: strings.TrimPrefix(s.URL, "http://"), Service: "svc", Zone: "z"})
	r.cfg.RetryRatio, r.cfg.RetrySlack = 0, 0
	r.mu.Lock()
	r.setEntryCount(1)
	r.mu.Unlock()
	const requests = 20
	for range requests {
		resp, _, err := r.do(c, http.MethodPost, "/order/1", "x")
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	}
	c.Assert(s.count() <= requests+1, qt.IsTrue, qt.Commentf("servers received %d requests for 20 caller requests, want at most 21", s.count()))
}

// The age of published weights must include the time of a suspension. Otherwise a
// resumed VM uses older weights for longer than allowed.
func TestSuspensionCountsForPublishedWeights(t *testing.T) {
	c := qt.New(t)
	r := newTestGateway(c)
	r.PutServer(placement.Server{ID: "e", Address: "10.0.0.1:1", Service: "svc", Zone: "z", Slots: 4, WeightVersion: 1})
	r.RecordPublishedWeights("m", 2, 0)
	place := func() Reason {
		req := &request{in: r.request(c, http.MethodPost, "/stream/1", "x"), service: "svc", model: "m", route: &route.Route{}, deadline: time.Now().Add(time.Second)}
		_, reason := r.place(c.Context(), req)
		return reason
	}
	c.Assert(place(), qt.Equals, Reason(""))
	bootclock.AddSuspension(8 * time.Second)
	c.Assert(place(), qt.Equals, ReasonNoWeights)
}

// serverAt returns the record of an instance of a test server.
func serverAt(s *server, id string, born int64) placement.Server {
	return placement.Server{ID: id, Address: strings.TrimPrefix(s.URL, "http://"), Service: "svc", Zone: "z", Born: born}
}

// A path with an encoded slash must not be taken for the route of the decoded path, and an
// encoded letter must not hide a route.
func TestEncodedPathsSelectRoutes(t *testing.T) {
	c := qt.New(t)
	r := newTestGateway(c, newServer(c, answerWith(http.StatusOK)))
	for path, want := range map[string]int{"/read/1": http.StatusOK, "/re%61d/1": http.StatusOK, "/read%2F1": http.StatusNotFound} {
		resp, _, err := r.do(c, http.MethodGet, path, "")
		c.Assert(err, qt.IsNil)
		c.Check(resp.StatusCode, qt.Equals, want, qt.Commentf("%s", path))
	}
}

// A request that was refused by one server, while all others pause after refusals, must be
// sent on when the first pause ends. It waited for the next report or record of any server,
// or until it had to be refused (TestWorkEndsWhenItsCallerLeaves beside load).
func TestWaitEndsWithThePauseOfAServer(t *testing.T) {
	c := qt.New(t)
	r := newTestGateway(c, newServer(c, answerWith(http.StatusOK)))
	patient := configuration(2)
	for i := range patient.Routes {
		patient.Routes[i].Target = 4 * time.Second
	}
	r.Configure(patient, "test")
	choice, miss := r.fleet.Choose(bootclock.Now(), placement.Query{Service: "svc"})
	c.Assert(miss, qt.Equals, placement.Found)
	r.releaseServer(choice, placement.Shed)
	start := time.Now()
	resp, _, err := r.do(c, http.MethodPost, "/order/1", "x")
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
	c.Check(time.Since(start) < 400*time.Millisecond, qt.IsTrue, qt.Commentf("the request waited for %v", time.Since(start)))
}
