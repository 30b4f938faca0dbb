package intake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/node/lib/callerconn"
)

// startServer serves with bounds and returns its address. The handler answers with the error
// of reading the body, and holds requests to /hold until release is closed.
func startServer(c *qt.C, bodyBytes int64, connections int, release chan struct{}) (address string) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		SetWorkspace(r, "w", time.Now().Add(300*time.Millisecond))
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.Header().Set("Connection", "close")
			_, _ = fmt.Fprint(w, errors.Is(err, ErrGivenUp), errors.Is(err, ErrTooSlow))
			return
		}
		if r.URL.Path == "/hold" {
			<-release
		}
		_, _ = fmt.Fprint(w, "whole")
	})}
	limited := Limit(server, listener, "test", connections, nil)
	server.Handler = NewBodies(bodyBytes, nil).Handler(server.Handler)
	limited = callerconn.Configure(server, limited)
	go func() { _ = server.Serve(limited) }()
	c.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// send opens a connection and writes to it.
func send(c *qt.C, address, text string) net.Conn {
	conn, err := net.Dial("tcp4", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	c.Assert(err, qt.IsNil)
	return conn
}

// answer reads an answer's body, or returns "closed".
func answer(conn net.Conn) string {
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "closed"
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return string(body)
}

func post(path string, length int, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, body)
}

// A body that doesn't go on must end at its deadline, and at once when another one needs
// its room; the connection of a whole one can be used again.
func TestBodiesThatDoNotEnd(t *testing.T) {
	c := qt.New(t)
	address := startServer(c, 1<<20, 0, nil)
	c.Check(answer(send(c, address, post("/", 10, "half"))), qt.Equals, "false true")
	large := strings.Repeat("b", 800<<10)
	first := send(c, address, post("/", 1<<20, large))
	<-time.After(50 * time.Millisecond)
	second := send(c, address, post("/", 300<<10, large[:300<<10]))
	c.Check(answer(first), qt.Equals, "true false")
	c.Check(answer(second), qt.Equals, "whole")
	_, err := io.WriteString(second, post("/", 4, "body"))
	c.Assert(err, qt.IsNil)
	c.Check(answer(second), qt.Equals, "whole")
}

// When a listener has too many connections, the one that has been idle longest goes first,
// then one whose request does not come; those that are served stay.
func TestWhichConnectionIsClosed(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	address := startServer(c, 1<<20, 3, release)
	pause := func() { <-time.After(30 * time.Millisecond) }
	served := send(c, address, post("/hold", 4, "body"))
	pause()
	unfinished := send(c, address, post("/", 10, "half")[:20])
	pause()
	idleConn := send(c, address, "")
	pause()
	second := send(c, address, post("/hold", 4, "body"))
	c.Check(answer(idleConn), qt.Equals, "closed")
	third := send(c, address, post("/hold", 4, "body"))
	c.Check(answer(unfinished), qt.Equals, "closed")
	pause()
	c.Check(answer(send(c, address, post("/", 4, "body"))), qt.Equals, "closed")
	close(release)
	for _, conn := range []net.Conn{served, second, third} {
		c.Check(answer(conn), qt.Equals, "whole")
	}
	c.Check(answer(send(c, address, post("/", 4, "body"))), qt.Equals, "whole")
}

// victimOnce makes a listener with one connection close the first one, by opening another,
// when called. It returns once the first one has been chosen.
type victimOnce struct {
	once    sync.Once
	address string
	closed  chan struct{}
	other   chan net.Conn
}

func (v *victimOnce) close() {
	v.once.Do(func() {
		conn, err := net.Dial("tcp4", v.address)
		if err == nil {
			_, err = io.WriteString(conn, post("/second", 4, "body"))
		}
		if err == nil {
			<-v.closed
			v.other <- conn
		}
	})
}

// hookedBody calls atEnd before its reader learns of the end.
type hookedBody struct {
	io.ReadCloser
	atEnd func()
}

func (b hookedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.atEnd()
	}
	return n, err
}

// A connection that is closed for another one between the reading of its whole request and
// the record of that must not have the request handled: a server would run it, and its
// answer could not be written (incident LOST).
func TestRequestsOfClosedConnectionsAreNotHandled(t *testing.T) {
	for _, withBody := range []bool{false, true} {
		t.Run(fmt.Sprint("body ", withBody), func(t *testing.T) {
			c := qt.New(t)
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			victim := &victimOnce{address: listener.Addr().String(), closed: make(chan struct{}, 1), other: make(chan net.Conn, 1)}
			handled := make(chan string, 2)
			server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, r.Body); err == nil {
					handled <- r.URL.Path
				}
				_, _ = fmt.Fprint(w, "whole")
			})}
			limited := Limit(server, listener, "test", 1, func(string, int) { victim.closed <- struct{}{} })
			request := "GET /first HTTP/1.1\r\nHost: h\r\n\r\n"
			if withBody {
				request = post("/first", 4, "body")
				next := server.Handler
				server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					r.Body = hookedBody{r.Body, victim.close}
					next.ServeHTTP(w, r)
				})
			} else {
				recordState := server.ConnState
				server.ConnState = func(conn net.Conn, state http.ConnState) {
					recordState(conn, state)
					if state == http.StateActive {
						victim.close()
					}
				}
			}
			limited = callerconn.Configure(server, limited)
			go func() { _ = server.Serve(limited) }()
			c.Cleanup(func() { _ = server.Close() })
			c.Check(answer(send(c, victim.address, request)), qt.Equals, "closed")
			other := <-victim.other
			defer func() { _ = other.Close() }()
			c.Check(answer(other), qt.Equals, "whole")
			c.Check(<-handled, qt.Equals, "/second")
		})
	}
}
