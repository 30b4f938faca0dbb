package gateway

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/backpressure"
	"github.com/laburnumloft/laburnumloft/core/evacuation"
	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/route"
	"github.com/laburnumloft/laburnumloft/node/decision"
)

var (
	configuredSeed = flag.Uint64("configured.seed", 1, "seed of TestWholeRequestsBesideEveryChange")
	configuredTime = flag.Duration("configured.time", 3*time.Second, "time of TestWholeRequestsBesideEveryChange")
)

const (
	// configuredPlaces is how many requests a server of the test runs at once.
	configuredPlaces = 6
	// configuredCallers is more than the places of all servers.
	configuredCallers = 40
	// configuredBodies bounds the bytes of all bodies while the configuration allows only
	// small ones; the callers send more at once.
	configuredBodies = 256 << 10
	// longestConfiguredTimeout is the longest timeout that a configuration of the test sets.
	longestConfiguredTimeout = 700 * time.Millisecond
	// unansweredSlack is how long after the end of its time a request may be without an
	// answer (the users' rules CONFIG and LOST).
	unansweredSlack = 500 * time.Millisecond
)

// pausingServer is a server with a few places that falls silent and goes on, and that names
// limits and cold starts.
type pausingServer struct {
	*server
	id      string
	running atomic.Int32
	// rate is the value of the header that names the server's limit; empty for none.
	rate atomic.Value

	mu      sync.Mutex
	resumed chan struct{}
}

func newPausingServer(c *qt.C, id string) *pausingServer {
	p := &pausingServer{id: id, resumed: make(chan struct{})}
	close(p.resumed)
	p.rate.Store("")
	p.server = newServer(c, p.serve)
	return p
}

// await waits while the server is silent.
func (p *pausingServer) await(r *http.Request) {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	select {
	case <-resumed:
	case <-r.Context().Done():
	}
}

// silence makes the server silent for a while.
func (p *pausingServer) silence(length time.Duration) {
	resumed := make(chan struct{})
	p.mu.Lock()
	p.resumed = resumed
	p.mu.Unlock()
	time.AfterFunc(length, func() { close(resumed) })
}

func (p *pausingServer) serve(w http.ResponseWriter, r *http.Request) {
	defer p.running.Add(-1)
	if rate := p.rate.Load().(string); rate != "" {
		w.Header().Set("Rate", rate)
	}
	if p.running.Add(1) > configuredPlaces {
		notRun(w, r)
		return
	}
	p.await(r)
	<-time.After(20 * time.Millisecond)
	p.await(r)
	w.Header().Set("Given", r.Header.Get("Left"))
	if strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/once/") {
		events(5, false)(w, r)
		return
	}
	answerWith(http.StatusOK)(w, r)
}

// record is the server's record in the registry.
func (p *pausingServer) record(service, zone string, cold time.Duration) placement.Server {
	return placement.Server{ID: p.id, Address: strings.TrimPrefix(p.URL, "http://"), Service: service, Zone: zone, Slots: configuredPlaces, ColdRemaining: cold}
}

// newConfiguredGateway returns a gateway with the options that are deployed. Its neighbour
// coordinates a part of the servers and does not always reply.
func newConfiguredGateway(c *qt.C, random *rand.Rand) *testGateway {
	r := &testGateway{log: &bytes.Buffer{}}
	var mu sync.Mutex
	silent := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(3) == 0
	}
	r.Gateway = New(Config{
		ID: "entry", Zone: "z", Codec: testCodec{}, Log: decision.New(decision.Config{Output: r.log}),
		RetryRatio: 0.2, RetrySlack: 200, WeightsDeadline: 8 * time.Second, Seed: 1,
		Regions: map[string]string{"z": "home", "y": "home", "other": "elsewhere"}, OrderedWaiting: true, SpreadByRoom: true,
		ColdOverage: 1.5, ColdSlack: 5, MaxTotalBodyBytes: configuredBodies,
		Membership: func() backpressure.Membership {
			return backpressure.Membership{Self: "entry", Candidates: map[string]time.Duration{"entry": 0, "neighbour": 0}, Live: 2, Known: 2}
		},
		AskPermits: func(_ string, ask backpressure.PermitRequest) {
			if !silent() {
				go r.HandlePermitReply(backpressure.PermitReply{ID: ask.ID, Granted: 1, Notice: ask.Notice})
			}
		},
	})
	return r
}

// everyChange returns a configuration in which routes, shares, services, timeouts, targets,
// attempts, homes, keys and limits differ from those before.
func everyChange(version int64, random *rand.Rand) route.Configuration {
	cfg := configuration(version)
	cfg.Services = []route.Service{{Name: "svc", ColdPerSecond: float64(random.IntN(3) * 10), ColdStart: time.Second}, {Name: "lone"}}
	if random.IntN(12) == 0 {
		cfg.Services = cfg.Services[random.IntN(2):][:1]
	}
	for n := range cfg.Routes {
		r := &cfg.Routes[n]
		r.Timeout = []time.Duration{longestConfiguredTimeout, 200 * time.Millisecond, 60 * time.Millisecond}[random.IntN(3)]
		r.Target = []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 0}[random.IntN(3)]
		r.MaxAttempts, r.Priority = random.IntN(4), random.IntN(3)
		r.Shares = [][]route.Share{{{Service: "svc", Weight: 1}}, {{Service: "lone", Weight: 1}}, {{Service: "svc", Weight: 1}, {Service: "lone", Weight: 2}}, {{Service: "gone", Weight: 1}}}[[]int{0, 0, 0, 0, 0, 1, 2, 2, 2, 3}[random.IntN(10)]]
		r.Homes = [][]string{nil, {"home"}, {"elsewhere"}}[max(0, random.IntN(10)-7)]
	}
	if random.IntN(8) == 0 {
		first := random.IntN(len(cfg.Routes))
		cfg.Routes = append(cfg.Routes[:first], cfg.Routes[first+1:]...)
	}
	if random.IntN(10) == 0 {
		cfg.Workspaces[0].Keys = []string{"other"}
	}
	cfg.Limits.MaxBodyBytes = []int64{1 << 16, 1 << 12, 1 << 20, 0}[random.IntN(4)]
	return cfg
}

// change makes one change of the servers, zones or what servers say.
func (r *testGateway) change(offset int64, servers []*pausingServer, random *rand.Rand) {
	p := servers[random.IntN(len(servers))]
	service := []string{"svc", "lone", "gone"}[random.IntN(3)]
	switch random.IntN(20) {
	case 0:
		r.RemoveServer(p.id, "test")
	case 1:
		r.PutServer(p.record(service, "z", 0))
	case 2:
		r.PutServer(p.record("svc", "y", time.Second))
	case 3:
		r.AdoptEvacuations([]evacuation.Notice{{Zone: []string{"z", "y"}[random.IntN(2)], Evacuated: random.IntN(4) == 0, Offset: offset}}, "store")
	case 4:
		p.rate.Store([]string{"", "", "5", "0", "100"}[random.IntN(5)])
	case 5:
		p.silence(time.Duration(100+random.IntN(300)) * time.Millisecond)
	case 6:
		r.Evacuations()
	default:
		p.rate.Store("")
		r.PutServer(p.record([]string{"svc", "svc", "lone"}[random.IntN(3)], "z", 0))
		r.AdoptEvacuations([]evacuation.Notice{{Zone: "z", Offset: offset}}, "store")
	}
}

// everyRequest returns a request of a random kind, in the parts in which it is sent.
func everyRequest(id string, left time.Duration, random *rand.Rand) rawRequest {
	path := []string{"/order/", "/order/", "/read/", "/stream/", "/once/"}[random.IntN(5)]
	head := fmt.Sprintf("POST %s1 HTTP/1.1\r\nHost: h.example\r\nId: %s\r\nLeft: %d\r\nKey: key\r\n", path, id, left.Milliseconds())
	size := []int{10, 900, 5000, 60_000}[random.IntN(4)]
	body := strings.Repeat("b", size)
	var text string
	if random.IntN(2) == 0 {
		text = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, size, body)
	} else {
		text = fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, size, body)
	}
	switch random.IntN(3) {
	case 0:
		cut := 1 + random.IntN(len(text)-1)
		return rawRequest{"POST", []string{text[:cut], text[cut:]}}
	case 1:
		cut := 1 + random.IntN(len(head)-1)
		return rawRequest{"POST", []string{text[:cut], text[cut : len(head)+4], text[len(head)+4:]}}
	default:
		return rawRequest{"POST", []string{text}}
	}
}

const (
	// notWhole counts requests whose refusal ended the connection before they were sent
	// whole, timedOut streams that ended with their route's timeout.
	notWhole, timedOut = 0, -1
)

// configuredCalls counts what became of requests that were sent whole.
type configuredCalls struct {
	c       *qt.C
	address string
	ended   atomic.Bool

	mu sync.Mutex
	// statuses counts whole answers by status; notWhole and timedOut stand for the rest.
	statuses map[int]int
	// unanswered are the ids of requests without a whole answer, and late counts those whose
	// answer came later than unansweredSlack after the end of their time.
	unanswered []string
	late       int
}

// call sends requests on kept connections, at times two at once, until the play ends.
func (s *configuredCalls) call(caller int, random *rand.Rand) {
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; !s.ended.Load(); n++ {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp4", s.address); err != nil {
				s.c.Error(err)
				return
			}
			reader = bufio.NewReader(conn)
		}
		left := []time.Duration{150 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond}[random.IntN(3)]
		id := fmt.Sprint(caller, "-", n)
		request := everyRequest(id, left, random)
		pipelined := random.IntN(6) == 0
		if pipelined {
			// The second request is whole before the first one is answered.
			request.parts[len(request.parts)-1] += everyRequest(id+"b", left, random).text()
		}
		began := time.Now()
		keep := s.exchange(id, conn, reader, request, began.Add(min(left, longestConfiguredTimeout)))
		if keep && pipelined {
			keep = s.exchange(id+"b", conn, reader, rawRequest{"POST", nil}, time.Now().Add(min(left, longestConfiguredTimeout)))
		}
		if !keep {
			_ = conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

func (r rawRequest) text() string { return strings.Join(r.parts, "") }

// exchange sends a request, reads its answer and reports whether the connection can be used
// again.
func (s *configuredCalls) exchange(id string, conn net.Conn, reader *bufio.Reader, request rawRequest, until time.Time) (keep bool) {
	began, sent := time.Now(), make(chan time.Time, 1)
	go func() {
		for n, part := range request.parts {
			if n > 0 {
				<-time.After(partInterval)
			}
			if _, err := io.WriteString(conn, part); err != nil {
				sent <- time.Time{}
				return
			}
		}
		sent <- time.Now()
	}()
	_ = conn.SetReadDeadline(until.Add(5 * time.Second))
	resp, err := http.ReadResponse(reader, &http.Request{Method: request.method})
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	answeredAt, wholeAt := time.Now(), <-sent
	s.mu.Lock()
	defer s.mu.Unlock()
	streamAtItsEnd := err != nil && resp != nil && isAtItsEnd(answeredAt.Sub(began), resp.Header.Get("Given"))
	switch {
	case wholeAt.IsZero():
		// The answer, a refusal, ended the connection before the request was whole.
		s.statuses[notWhole]++
		if err != nil {
			s.c.Errorf("request %s, not sent whole: %v", id, err)
		}
	case streamAtItsEnd:
		s.statuses[timedOut]++
	case err != nil:
		s.unanswered = append(s.unanswered, id)
		s.c.Errorf("request %s: %v, %v before the end of its time", id, err, until.Sub(answeredAt))
	default:
		s.statuses[resp.StatusCode]++
		if answeredAt.After(until.Add(unansweredSlack)) {
			s.late++
			s.c.Errorf("request %s: %d, %v after the end of its time", id, resp.StatusCode, answeredAt.Sub(until))
		}
	}
	return err == nil && !wholeAt.IsZero() && !resp.Close
}

// isAtItsEnd reports whether a begun stream has used seven tenths of the time in milliseconds
// that its server was given: the route's timeout may end it, which the users don't judge.
func isAtItsEnd(took time.Duration, given string) bool {
	ms, err := strconv.Atoi(given)
	return err == nil && took >= time.Duration(ms)*time.Millisecond*7/10
}

// Every request that is sent whole on a kept connection must get a whole answer or a refusal
// in time, while configurations every few milliseconds take routes, services, homes, keys,
// time and limits away and give them back, and servers are silent, cold, limited, moved,
// taken away and evacuated (incident LOST, a whole request without an answer beside a
// configuration).
func TestWholeRequestsBesideEveryChange(t *testing.T) {
	c := qt.New(t)
	c.Logf("seed %d, %v", *configuredSeed, *configuredTime)
	random := rand.New(rand.NewPCG(*configuredSeed, 1))
	logCtx, stopLog := context.WithCancel(context.Background())
	logged := make(chan struct{})
	r := newConfiguredGateway(c, rand.New(rand.NewPCG(*configuredSeed, 2)))
	go func() { r.cfg.Log.Run(logCtx); close(logged) }()
	var servers []*pausingServer
	for n := range 4 {
		p := newPausingServer(c, fmt.Sprint("s", n))
		servers = append(servers, p)
		r.PutServer(p.record([]string{"svc", "svc", "svc", "lone"}[n], "z", 0))
	}
	r.Configure(configuration(1), "test")
	_, address := r.listenForCallers(c, 500)
	s := &configuredCalls{c: c, address: address, statuses: map[int]int{}}
	var wait sync.WaitGroup
	for n := range configuredCallers {
		wait.Go(func() { s.call(n, rand.New(rand.NewPCG(*configuredSeed, uint64(100+n)))) })
	}
	version := int64(1)
	for begun := time.Now(); time.Since(begun) < *configuredTime; <-time.After(time.Duration(1+random.IntN(8)) * time.Millisecond) {
		version++
		r.Configure(everyChange(version, random), "test")
		r.change(version, servers, random)
	}
	s.ended.Store(true)
	wait.Wait()
	stopLog()
	<-logged
	for line := range strings.Lines(r.log.String()) {
		if slices.ContainsFunc(s.unanswered, func(id string) bool { return strings.Contains(line, `"`+id+`"`) }) {
			c.Log(line)
		}
	}
	c.Logf("%d configurations, statuses %v, %d unanswered, %d late", version-1, s.statuses, len(s.unanswered), s.late)
	c.Check(s.statuses[http.StatusOK] > 0, qt.IsTrue)
	// No place or wait is left behind.
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, queue := range r.queues {
		c.Check(queue.Len(), qt.Equals, 0, qt.Commentf("requests that wait for %s", name))
	}
	c.Check(r.limitedWaiting, qt.HasLen, 0)
}
