package intake

import (
	"cmp"
	"errors"
	"expvar"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

var connectionsTotal = expvar.NewMap("intake_connections_total")

// connectionState is what a connection waits for. Of two connections the one in the lower
// state is closed first.
type connectionState int

const (
	// idle connections hold no request.
	idle connectionState = iota
	// reading connections hold the beginning of one.
	reading
	// serving connections hold a whole request.
	serving
)

// connections bounds the connections of one listener.
type connections struct {
	net.Listener
	name string
	most int
	// onClosed is called with the listener's name when a connection was closed for
	// another one; may be nil.
	onClosed func(listener string, most int)

	mu sync.Mutex
	// open are the connections by remote address.
	open map[string]*connection
}

type connection struct {
	net.Conn
	all   *connections
	state connectionState
	since time.Time
}

// Limit bounds the connections of a server's listener and returns the listener to serve.
// When there are more, the one that has been idle longest is closed, then the one that
// has been sending a request longest; if all hold whole requests, the new one is closed. 0
// means no bound. The server's handler must be set before.
func Limit(server *http.Server, l net.Listener, name string, most int, onClosed func(listener string, most int)) net.Listener {
	if most <= 0 {
		return l
	}
	c := &connections{Listener: l, name: name, most: most, onClosed: onClosed, open: map[string]*connection{}}
	server.ConnState = c.recordState
	server.Handler = c.handler(server.Handler)
	return c
}

// Accept implements net.Listener.
func (c *connections) Accept() (net.Conn, error) {
	for {
		conn, err := c.Listener.Accept()
		if err != nil {
			return nil, err
		}
		accepted := &connection{Conn: conn, all: c, since: time.Now()}
		victim, ok := c.add(accepted)
		if victim != nil {
			connectionsTotal.Add(c.name, 1)
			_ = victim.Conn.Close()
			if c.onClosed != nil {
				c.onClosed(c.name, c.most)
			}
		}
		if ok {
			return accepted, nil
		}
	}
}

// add adds a connection. It returns the one that must be closed, which may be the new one,
// and whether the new one stays.
func (c *connections) add(accepted *connection) (victim *connection, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) >= c.most {
		if victim = c.victim(); victim == nil {
			return accepted, false
		}
		delete(c.open, victim.key())
	}
	c.open[accepted.key()] = accepted
	return victim, true
}

// victim returns the connection to close for a new one, or nil if all hold whole requests.
// The caller holds mu.
func (c *connections) victim() (victim *connection) {
	for _, open := range c.open {
		if open.state == serving {
			continue
		}
		if victim == nil || cmp.Or(cmp.Compare(open.state, victim.state), open.since.Compare(victim.since)) < 0 {
			victim = open
		}
	}
	return victim
}

func (c *connection) key() string { return c.RemoteAddr().String() }

// Close implements net.Conn.
func (c *connection) Close() error {
	c.all.mu.Lock()
	if c.all.open[c.key()] == c {
		delete(c.all.open, c.key())
	}
	c.all.mu.Unlock()
	return c.Conn.Close()
}

// recordState is an http.Server.ConnState.
func (c *connections) recordState(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateActive:
		c.setState(conn.RemoteAddr().String(), reading)
	case http.StateIdle:
		c.setState(conn.RemoteAddr().String(), idle)
	}
}

func (c *connections) setState(key string, state connectionState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if open := c.open[key]; open != nil && open.state != state {
		open.state, open.since = state, time.Now()
	}
}

// serve records that a request is whole. It returns false if its connection has been chosen
// to be closed for another one.
func (c *connections) serve(key string) bool {
	c.setState(key, serving)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[key] != nil
}

// handler returns a handler that records when a request is whole. A request whose
// connection has been chosen to be closed is not handled, because its answer can't be
// written.
func (c *connections) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		whole := func() bool { return c.serve(r.RemoteAddr) }
		if r.ContentLength == 0 || r.Body == nil {
			if !whole() {
				panic(http.ErrAbortHandler)
			}
		} else {
			r.Body = &watchedBody{r.Body, whole}
		}
		next.ServeHTTP(w, r)
	})
}

// watchedBody calls onEnd when its end has been read. A body for which that returns false
// is not whole.
type watchedBody struct {
	io.ReadCloser
	onEnd func() bool
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.onEnd() {
		return n, net.ErrClosed
	}
	return n, err
}
