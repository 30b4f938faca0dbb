package callerconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testServer runs a handler that tells when it starts and how its context ends.
type testServer struct {
	address        string
	started, ended chan string
	// release ends handlers whose callers stay.
	release chan struct{}
}

func newTestServer(c *qt.C) *testServer {
	s := &testServer{started: make(chan string, 64), ended: make(chan string, 64), release: make(chan struct{})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.started <- r.URL.Path
		select {
		case <-r.Context().Done():
			s.ended <- fmt.Sprint(r.URL.Path, " left ", Left(r.Context()))
		case <-s.release:
			_, _ = fmt.Fprintf(w, "%s %d\n", r.URL.Path, len(body))
		}
	})}
	wrapped := Configure(server, listener)
	go func() { _ = server.Serve(wrapped) }()
	c.Cleanup(func() { _ = server.Close() })
	s.address = listener.Addr().String()
	return s
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func post(path string, body int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, body, strings.Repeat("b", body))
}

// usedAhead returns how many bytes all connections have read ahead.
func usedAhead() int {
	aheadTotal.mu.Lock()
	defer aheadTotal.mu.Unlock()
	return aheadTotal.used
}

func receive(c *qt.C, from chan string) string {
	select {
	case v := <-from:
		return v
	case <-time.After(2 * time.Second):
		c.Fatal("the handler did not go on")
		return ""
	}
}

// The context of a request must end with its caller whatever follows the request, and a
// single look of net/http that takes a byte must not end the watch (fails if a Go
// version looks in another way).
func TestContextEndsWithTheCaller(t *testing.T) {
	for name, further := range map[string][]string{
		"nothing":                 nil,
		"stray line end":          {"\r\n"},
		"byte by byte":            {"G", "E", "T", " ", "/next"},
		"next request":            {get("/next")},
		"large next request":      {post("/next", 60_000)},
		"several requests":        {get("/next"), get("/next2"), post("/next3", 10_000)},
		"with the request itself": {""},
	} {
		for _, request := range []string{get("/a"), post("/a", 10), post("/a", 60_000)} {
			t.Run(fmt.Sprint(name, " ", len(request)), func(t *testing.T) {
				c := qt.New(t)
				s := newTestServer(c)
				conn, err := net.Dial("tcp4", s.address)
				c.Assert(err, qt.IsNil)
				if len(further) == 1 && further[0] == "" {
					request += get("/next")
				}
				_, err = io.WriteString(conn, request)
				c.Assert(err, qt.IsNil)
				c.Assert(receive(c, s.started), qt.Equals, "/a")
				for _, bytes := range further {
					_, err = io.WriteString(conn, bytes)
					c.Assert(err, qt.IsNil)
					<-time.After(5 * time.Millisecond)
				}
				c.Assert(len(s.ended), qt.Equals, 0)
				c.Assert(conn.Close(), qt.IsNil)
				c.Assert(receive(c, s.ended), qt.Equals, "/a left true")
			})
		}
	}
}

// Requests that were read ahead must be served in order, with their whole bodies.
func TestRequestsReadAheadAreServed(t *testing.T) {
	c := qt.New(t)
	s := newTestServer(c)
	conn, err := net.Dial("tcp4", s.address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	want := ""
	go func() {
		for n := range 40 {
			size := n * 997
			_, _ = io.WriteString(conn, post(fmt.Sprint("/", n), size))
			<-time.After(time.Duration(n%3) * time.Millisecond)
		}
	}()
	reader := bufio.NewReader(conn)
	for n := range 40 {
		c.Assert(receive(c, s.started), qt.Equals, fmt.Sprint("/", n))
		<-time.After(time.Duration(n%4) * time.Millisecond)
		s.release <- struct{}{}
		resp, err := http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		want = fmt.Sprintf("/%d %d\n", n, n*997)
		c.Assert(string(body), qt.Equals, want)
	}
	c.Assert(usedAhead(), qt.Equals, 0)
}

// Callers that send without end before their answer must not use up the memory.
func TestBytesAheadAreBounded(t *testing.T) {
	c := qt.New(t)
	s := newTestServer(c)
	const callers = 120
	block := strings.Repeat("x", 64<<10)
	var conns []net.Conn
	for range callers {
		conn, err := net.Dial("tcp4", s.address)
		c.Assert(err, qt.IsNil)
		conns = append(conns, conn)
		_, err = io.WriteString(conn, get("/a"))
		c.Assert(err, qt.IsNil)
		go func() {
			_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
			for {
				if _, err := io.WriteString(conn, block); err != nil {
					return
				}
			}
		}()
	}
	for range callers {
		receive(c, s.started)
	}
	<-time.After(1200 * time.Millisecond)
	used := usedAhead()
	c.Assert(used <= maxAheadTotal, qt.IsTrue, qt.Commentf("%d bytes", used))
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// A request must be served whole if the bytes that were read of it ahead of the answer before
// it reach the bound on all connections. It was dropped without an answer.
func TestRequestsAtTheBoundAreServed(t *testing.T) {
	c := qt.New(t)
	s := newTestServer(c)
	conn, err := net.Dial("tcp4", s.address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, get("/a"))
	c.Assert(err, qt.IsNil)
	c.Assert(receive(c, s.started), qt.Equals, "/a")
	c.Assert(aheadTotal.reserve(maxAheadTotal), qt.IsTrue)
	defer aheadTotal.release(maxAheadTotal)
	before := unwatched.Value()
	_, err = io.WriteString(conn, post("/next", 10_000))
	c.Assert(err, qt.IsNil)
	for begun := time.Now(); unwatched.Value() == before; {
		c.Assert(time.Since(begun) < 5*time.Second, qt.IsTrue, qt.Commentf("nothing was read ahead"))
		<-time.After(time.Millisecond)
	}
	close(s.release)
	reader := bufio.NewReader(conn)
	for _, want := range []string{"/a 0\n", "/next 10000\n"} {
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(string(body), qt.Equals, want)
	}
}

// A body that does not arrive in time must not count as a caller that has left, whose
// answer is dropped.
func TestReadDeadlineIsNotTheCallersEnd(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		_, err := io.ReadAll(r.Body)
		select {
		case <-r.Context().Done():
		case <-time.After(100 * time.Millisecond):
		}
		_, _ = fmt.Fprint(w, err != nil, Left(r.Context()))
	})}
	wrapped := Configure(server, listener)
	go func() { _ = server.Serve(wrapped) }()
	c.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp4", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, strings.TrimSuffix(post("/", 10), "b"))
	c.Assert(err, qt.IsNil)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(answer.Body)
	c.Assert(err, qt.IsNil)
	c.Check(string(body), qt.Equals, "true false")
}

// acceptOne returns both ends of a connection of a Listener.
func acceptOne(c *qt.C) (caller net.Conn, accepted net.Conn) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = inner.Close() })
	caller, err = net.Dial("tcp4", inner.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = caller.Close() })
	accepted, err = Listener{Listener: inner}.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = accepted.Close() })
	return caller, accepted
}

// A caller whose bytes arrived while this process was stalled must not be taken for one that
// is idle or slow: the deadline of the read had passed before they were read.
func TestBytesOfAStallAreRead(t *testing.T) {
	c := qt.New(t)
	caller, accepted := acceptOne(c)
	sent := post("/", 3*readBytes)
	_, err := io.WriteString(caller, sent)
	c.Assert(err, qt.IsNil)
	<-time.After(20 * time.Millisecond)
	c.Assert(accepted.SetReadDeadline(time.Now().Add(-time.Second)), qt.IsNil)
	got, buffer := 0, make([]byte, readBytes)
	for got < len(sent) {
		n, err := accepted.Read(buffer)
		c.Assert(err, qt.IsNil, qt.Commentf("after %d bytes", got))
		got += n
	}
	// A later deadline is one of its own.
	for range 2 {
		_, err = io.WriteString(caller, "more")
		c.Assert(err, qt.IsNil)
		<-time.After(20 * time.Millisecond)
		c.Assert(accepted.SetReadDeadline(time.Now().Add(-time.Second)), qt.IsNil)
		n, err := accepted.Read(buffer)
		c.Assert(err, qt.IsNil)
		c.Check(string(buffer[:n]), qt.Equals, "more")
	}
}

// A caller that sends a byte now and then must not put off the end of its time, and a read
// that is interrupted must end at once.
func TestSlowCallersStayBoundedAfterAStall(t *testing.T) {
	c := qt.New(t)
	caller, accepted := acceptOne(c)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
				_, _ = io.WriteString(caller, "b")
			}
		}
	}()
	c.Assert(accepted.SetReadDeadline(time.Now().Add(-time.Second)), qt.IsNil)
	began, buffer := time.Now(), make([]byte, 1)
	var err error
	for err == nil && time.Since(began) < 2*time.Second {
		_, err = accepted.Read(buffer)
	}
	c.Check(err, qt.ErrorIs, os.ErrDeadlineExceeded)
	c.Check(time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))

	c.Assert(accepted.SetReadDeadline(time.Unix(1, 0)), qt.IsNil)
	_, err = accepted.Read(buffer)
	c.Check(err, qt.ErrorIs, os.ErrDeadlineExceeded)
}
