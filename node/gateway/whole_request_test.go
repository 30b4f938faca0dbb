package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/route"
	"github.com/laburnumloft/laburnumloft/core/shutdown"
)

// listenForCallers starts the listener for callers of a gateway and returns its address.
func (r *testGateway) listenForCallers(c *qt.C, connections int) (server *http.Server, address string) {
	free, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address = free.Addr().String()
	c.Assert(free.Close(), qt.IsNil)
	server, err = Listen(ListenConfig{Address: address, Idle: time.Minute, MaxConnections: connections}, r.Gateway)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = server.Close() })
	return server, address
}

// rawRequest is a request in the parts in which it is sent.
type rawRequest struct {
	method string
	parts  []string
}

const (
	// partInterval is the time between two parts of a request.
	partInterval = 15 * time.Millisecond
	// largeAnswer is the size of the answers that don't fit into the buffers of net/http.
	largeAnswer = 40_000
	// crossing is how long after the end of the time in which requests are taken at least
	// those that come on open connections are refused.
	crossing = 200 * time.Millisecond
)

// wholeRequests are the kinds of requests that callers send on kept connections.
func wholeRequests(id string) []rawRequest {
	head := func(method, path, further string) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nId: %s\r\nLeft: 1500\r\nKey: key\r\n%s\r\n", method, path, id, further)
	}
	length := func(path string, bytes int) string {
		return head("POST", path, fmt.Sprintf("Content-Length: %d\r\n", bytes))
	}
	chunked := func(path string) string { return head("POST", path, "Transfer-Encoding: chunked\r\n") }
	chunk := func(bytes int) string { return fmt.Sprintf("%x\r\n%s\r\n", bytes, strings.Repeat("b", bytes)) }
	body := func(bytes int) string { return strings.Repeat("b", bytes) }
	const end = "0\r\n\r\n"
	// hanging are requests whose servers don't answer, until their own or the route's time
	// is over, which later configurations change.
	hanging := func(path string, left int) rawRequest {
		return rawRequest{"GET", []string{strings.Replace(head("GET", path, ""), "Left: 1500", fmt.Sprint("Left: ", left), 1)}}
	}
	unknown := strings.Replace(length("/order/1", 900), "Key: key", "Key: none", 1)
	return []rawRequest{
		{"GET", []string{head("GET", "/read/1", "")}},
		{"HEAD", []string{head("HEAD", "/read/1", "")}},
		{"GET", []string{head("GET", "/read/1", "")[:40], head("GET", "/read/1", "")[40:]}},
		{"GET", []string{head("GET", "/read/large", "")}},
		{"GET", []string{head("GET", "/stream/1", "")}},
		hanging("/read/hang", 40),
		hanging("/read/hang", 600),
		hanging("/stream/hang", 400),
		{"POST", []string{length("/order/1", 900) + body(900)}},
		{"POST", []string{length("/order/slow", 900) + body(900) + "\r\n"}},
		{"POST", []string{length("/order/1", 30_000), body(10_000), body(20_000)}},
		{"POST", []string{chunked("/order/1") + chunk(700) + end}},
		{"POST", []string{chunked("/read/large"), chunk(9000), chunk(300), end}},
		{"POST", []string{length("/none/1", 900) + body(900)}},
		{"POST", []string{length("/none/1", 900), body(900)}},
		{"POST", []string{chunked("/none/1"), chunk(5000), end}},
		{"POST", []string{unknown + body(900)}},
		{"POST", []string{unknown, body(900)}},
		{"POST", []string{length("/order/1", 70_000) + body(70_000)}},
		{"POST", []string{chunked("/order/1") + chunk(70_000) + end}},
		{"POST", []string{length("/stream/1", 900), body(900)}},
	}
}

// exchangeRaw sends a request and reads its answer. wholeAt is when all of the request was
// sent, zero if it wasn't; keep means that the connection can be used again.
func exchangeRaw(conn net.Conn, reader *bufio.Reader, request rawRequest) (wholeAt time.Time, keep bool, err error) {
	sent := make(chan time.Time, 1)
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
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(reader, &http.Request{Method: request.method})
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	wholeAt = <-sent
	return wholeAt, err == nil && !wholeAt.IsZero() && !resp.Close, err
}

// wholeRequestServer answers in all the ways that wholeRequests asks for.
func wholeRequestServer(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasSuffix(r.URL.Path, "/hang"):
		neverAnswer(w, r)
	case strings.HasSuffix(r.URL.Path, "/slow"):
		silentRead(60*time.Millisecond)(w, r)
	case strings.HasSuffix(r.URL.Path, "/large"):
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "s")
		_, _ = io.WriteString(w, strings.Repeat("a", largeAnswer))
	case strings.HasPrefix(r.URL.Path, "/stream/"):
		events(5, false)(w, r)
	default:
		answerWith(http.StatusOK)(w, r)
	}
}

// changedConfiguration returns one of a series in which routes, timeouts, keys and limits
// change.
func changedConfiguration(version int64) route.Configuration {
	cfg := configuration(version)
	timeouts := []time.Duration{2 * time.Second, 200 * time.Millisecond, 5 * time.Second}
	for n := range cfg.Routes {
		cfg.Routes[n].Timeout = timeouts[int(version)%len(timeouts)]
	}
	if version%4 == 1 {
		cfg.Routes = cfg.Routes[1:]
	}
	if version%5 == 1 {
		cfg.Workspaces[0].Keys = []string{"other"}
	}
	cfg.Limits.MaxBodyBytes = []int64{1 << 16, 1 << 12, 1 << 20}[int(version/2)%3]
	return cfg
}

// callSeries is a series of requests of all kinds by many callers at once.
type callSeries struct {
	c       *qt.C
	address string
	// mayCut reports whether a connection may have ended without an answer to a request
	// that was whole at that time, if a server didn't get it.
	mayCut func(wholeAt time.Time, err error) bool
	// ended is set when callers shall stop.
	ended    atomic.Bool
	answered []atomic.Int32
	// cut holds the ids of requests without an answer.
	cut sync.Map
}

// call sends requests on kept connections until the series ends or none can be opened.
func (s *callSeries) call(caller int) {
	var conn net.Conn
	var reader *bufio.Reader
	for n := caller; !s.ended.Load(); n++ {
		id := fmt.Sprint(caller, "-", n)
		kind := n % len(s.answered)
		request := wholeRequests(id)[kind]
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp4", s.address); err != nil {
				return
			}
			reader = bufio.NewReader(conn)
		}
		wholeAt, keep, err := exchangeRaw(conn, reader, request)
		switch {
		case err == nil:
			s.answered[kind].Add(1)
		case wholeAt.IsZero():
		default:
			s.cut.Store(id, true)
			if !s.mayCut(wholeAt, err) {
				s.c.Errorf("request %s %q: %v", id, request.parts[0][:40], err)
			}
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

// play lets callers send requests beside a series of configurations, calls end and checks
// that no request that a server got was left without an answer. It returns how many were
// not answered.
func (s *callSeries) play(r *testGateway, backend *server, changes int, end func()) (cut int) {
	const callers = 24
	s.answered = make([]atomic.Int32, len(wholeRequests("")))
	var wait sync.WaitGroup
	for n := range callers {
		wait.Go(func() { s.call(n) })
	}
	for version := range int64(changes) {
		s.c.Assert(r.Configure(changedConfiguration(version+2), "test"), qt.IsTrue)
		<-time.After(100 * time.Millisecond)
	}
	end()
	wait.Wait()
	answered := int32(0)
	for kind := range s.answered {
		answered += s.answered[kind].Load()
	}
	s.cut.Range(func(any, any) bool { cut++; return true })
	s.c.Logf("%d answered, %d without an answer", answered, cut)
	backend.mu.Lock()
	defer backend.mu.Unlock()
	for _, arrival := range backend.arrivals {
		_, found := s.cut.Load(arrival.Header.Get("Id"))
		s.c.Check(found, qt.IsFalse, qt.Commentf("request %s was passed on and got no answer", arrival.Header.Get("Id")))
	}
	return cut
}

// Every request that is sent whole on a kept connection must get a whole answer or a
// refusal, beside a series of configurations and a planned stop (incident LOST). Only a
// stop may close a connection, and only before anything of the request has been read: it is
// reset then, or closed before the request comes.
func TestWholeRequestsGetAnAnswer(t *testing.T) {
	c := qt.New(t)
	backend := newServer(c, wholeRequestServer)
	r := newTestGateway(c, backend)
	server, address := r.listenForCallers(c, 500)
	var plan atomic.Pointer[shutdown.Plan]
	s := &callSeries{c: c, address: address, mayCut: func(wholeAt time.Time, err error) bool {
		stop := plan.Load()
		return stop != nil && time.Now().After(stop.AcceptUntil()) && (errors.Is(err, syscall.ECONNRESET) || wholeAt.After(stop.KeepUntil()))
	}}
	s.play(r, backend, 40, func() {
		stop := shutdown.NewPlan(time.Now(), 3*time.Second)
		plan.Store(&stop)
		r.BeginDrain(stop)
		c.Check(Drain(server, r.Gateway, stop, r.cfg.Log), qt.IsNil)
	})
	for kind := range s.answered {
		c.Check(s.answered[kind].Load() > 0, qt.IsTrue, qt.Commentf("kind %d", kind))
	}
}

// Under the bound on connections, a connection may be closed for another one, but never
// after a server has got its request.
func TestClosedConnectionsHaveNoRequestPassedOn(t *testing.T) {
	c := qt.New(t)
	backend := newServer(c, wholeRequestServer)
	r := newTestGateway(c, backend)
	_, address := r.listenForCallers(c, 16)
	s := &callSeries{c: c, address: address, mayCut: func(time.Time, error) bool { return true }}
	cut := s.play(r, backend, 20, func() { s.ended.Store(true) })
	c.Check(cut > 0, qt.IsTrue, qt.Commentf("the bound was not reached"))
}

// A process that is slowed down may write after the request's deadline. The caller, which
// still waits, must get the refusal or the answer nevertheless.
func TestLateWritesReachTheCaller(t *testing.T) {
	for _, path := range []string{"/read/1", "/read/large"} {
		for _, answered := range []bool{true, false} {
			t.Run(fmt.Sprint(path, " answered ", answered), func(t *testing.T) {
				c := qt.New(t)
				arrived, locked := make(chan struct{}), make(chan struct{})
				s := newServer(c, func(w http.ResponseWriter, r *http.Request) {
					close(arrived)
					<-locked
					wholeRequestServer(w, r)
				})
				r := newTestGateway(c, s)
				_, address := r.listenForCallers(c, 0)
				const left = 300 * time.Millisecond
				deadline := time.Now().Add(left)
				if !answered {
					r.containment.mu.Lock()
				}
				result := make(chan error, 1)
				go func() {
					conn, err := net.Dial("tcp4", address)
					if err == nil {
						defer func() { _ = conn.Close() }()
						text := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nLeft: %d\r\nKey: key\r\nParts: aa\r\n\r\n", path, left.Milliseconds())
						_, _, err = exchangeRaw(conn, bufio.NewReader(conn), rawRequest{"GET", []string{text}})
					}
					result <- err
				}()
				if answered {
					// The answer is read, and then the lock keeps the request from going on.
					<-arrived
					r.containment.mu.Lock()
					close(locked)
				}
				<-time.After(time.Until(deadline.Add(2 * lastWriteTimeout)))
				r.containment.mu.Unlock()
				c.Check(<-result, qt.IsNil)
			})
		}
	}
}
