// Package callerconn ends the context of a request as soon as its caller closes the
// connection.
//
// net/http watches a connection for its end while a handler runs, but stops as soon as
// one more byte has arrived: a stray line end after a body, or the next request on the
// connection. The handler then learns of the end only at its next read or write.
// Connections of this package read on into a bounded buffer and see the end behind it.
//
// A caller that shuts down only its sending side counts as gone. Its FIN is the same as
// that of a caller that closes, and the difference shows only when something is written
// to it; until then a server would work for a caller that has left.
package callerconn

import (
	"context"
	"errors"
	"expvar"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// maxAhead is how many bytes behind a request a connection reads before its answer.
	// Callers that send more are not watched for their end from there on.
	maxAhead = 96 << 10
	// maxAheadTotal limits the bytes that all connections have read ahead.
	maxAheadTotal = 8 << 20
	// readBytes is the size of one read.
	readBytes = 4 << 10
	// minStall is by how much a read must pass its deadline for the process to have been
	// stalled; beside other work reads end a few milliseconds late. An interrupted read has a
	// deadline that is longer ago than maxStall.
	minStall = 50 * time.Millisecond
	maxStall = time.Hour
	// unreadTime is how long after a stall what has arrived is read. A caller can't send on
	// for longer than that.
	unreadTime = 100 * time.Millisecond
)

var (
	// ErrCallerLeft is the cause of the end of a request's context.
	ErrCallerLeft = errors.New("the caller has closed its connection")

	unwatched = expvar.NewInt("callers_not_watched_total")

	aheadTotal budget
)

// budget limits the bytes of all connections.
type budget struct {
	mu   sync.Mutex
	used int
}

func (b *budget) reserve(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > maxAheadTotal {
		return false
	}
	b.used += n
	return true
}

func (b *budget) release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// Listener wraps the accepted connections.
type Listener struct {
	net.Listener
	// open are the connections of a server that Shutdown can stop; nil for others.
	open *connections
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &conn{Conn: c, all: l.open, betweenRequests: true}
	l.open.add(accepted)
	return accepted, nil
}

type connKey struct{}

// ConnContext makes the connection known to Watch. It is an http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if wrapped := unwrap(c); wrapped != nil {
		return context.WithValue(ctx, connKey{}, wrapped)
	}
	return ctx
}

// unwrap returns the connection of this package below a connection with TLS.
func unwrap(c net.Conn) *conn {
	for {
		switch v := c.(type) {
		case *conn:
			return v
		case interface{ NetConn() net.Conn }:
			c = v.NetConn()
		default:
			return nil
		}
	}
}

// Configure makes a server use this package, and returns the listener to serve. The
// handler must be set before.
func Configure(server *http.Server, l net.Listener) net.Listener {
	listener := Listener{l, &connections{open: map[*conn]struct{}{}}}
	server.ConnContext = ConnContext
	server.Handler = configuredHandler{Watch(server.Handler), listener}
	recordState := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if wrapped := unwrap(c); wrapped != nil && state == http.StateIdle {
			wrapped.recordIdle()
		}
		if recordState != nil {
			recordState(c, state)
		}
	}
	return listener
}

// Watch returns a handler whose requests' contexts end with the cause ErrCallerLeft as
// soon as the caller has left. A write to such a caller fails at once.
//
// With HTTP/2 the protocol itself tells the end of each request.
func Watch(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c != nil && r.ProtoMajor != 1 {
			c.recordMultiplexed()
		}
		if c == nil || r.ProtoMajor != 1 {
			next.ServeHTTP(w, r)
			return
		}
		// net/http cancels the context of the request without a cause if it sees the end
		// first, and also when a read passes its deadline, which a caller that sends a body
		// too slowly must still be told.
		ctx, cancel := context.WithCancelCause(context.WithoutCancel(r.Context()))
		stop := context.AfterFunc(r.Context(), func() {
			if !c.readTimedOut() {
				cancel(ErrCallerLeft)
			}
		})
		unblock := context.AfterFunc(ctx, c.failWrites)
		unwatch := c.watch(func() { cancel(ErrCallerLeft) })
		defer func() {
			unwatch()
			stop()
			unblock()
			cancel(nil)
		}()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Left reports whether the context of a request ended because its caller has left.
func Left(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), ErrCallerLeft)
}

// conn reads ahead while a handler runs and no other read is in progress.
type conn struct {
	net.Conn

	mu sync.Mutex
	// onEnd is called at the end of the connection; nil while no handler runs.
	onEnd func()
	// reads counts the calls of Read in progress.
	reads int
	// looked means that the last read was net/http's look for the end of the
	// connection, which reads one byte, and that it found a byte.
	looked bool
	// timedOut means that the last read passed its deadline.
	timedOut bool
	// ahead holds the bytes that were read ahead, err the error behind them. left means
	// that err is the end of the connection.
	ahead []byte
	err   error
	left  bool
	// last holds the bytes of the read that reached the bound on all connections. They
	// follow ahead, don't count, and end the reading ahead until they are used. They are
	// part of a request that must not be lost.
	last []byte
	// closed means that Close was called, after which nothing is kept.
	closed bool
	// all holds the connection until it is closed; nil if it is not tracked.
	all *connections
	// betweenRequests means that no handler runs and the last answer is written, begun that
	// a part of the next request has been read. stopped means that a read that would begin
	// one finds the end instead.
	betweenRequests, begun, stopped bool
	// multiplexed means that the connection carries several requests at once (HTTP/2).
	multiplexed bool
	// answered means that an answer was written on the connection.
	answered bool
	// reader is closed when the goroutine that reads ahead has ended; nil if there is
	// none.
	reader   chan struct{}
	stopping bool
	deadline time.Time
	// extended is the deadline after which unreadTime was granted last.
	extended time.Time
}

// watch calls onEnd at the end of the connection until unwatch is called.
func (c *conn) watch(onEnd func()) (unwatch func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onEnd, c.betweenRequests = onEnd, false
	if c.answered {
		c.all.recordKeptUse()
	}
	if c.left {
		onEnd()
	}
	c.readAhead()
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.onEnd = nil
		c.stopReader()
	}
}

// failWrites ends a write that waits for a caller that has left.
func (c *conn) failWrites() { _ = c.SetWriteDeadline(time.Unix(1, 0)) }

func (c *conn) readTimedOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.timedOut
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopReader()
	if c.stopped && c.betweenRequests && !c.begun {
		return 0, io.EOF
	}
	n, err := c.readNext(p)
	c.begun = c.begun || c.betweenRequests && n > 0
	c.looked = n > 0 && len(p) == 1
	c.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
	c.readAhead()
	return n, err
}

// readNext reads what was read ahead, or else from the connection. The caller holds mu,
// which is released meanwhile.
func (c *conn) readNext(p []byte) (int, error) {
	if n := copy(p, c.ahead); n > 0 {
		if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
			c.ahead = nil
		}
		aheadTotal.release(n)
		return n, nil
	}
	if n := copy(p, c.last); n > 0 {
		if c.last = c.last[n:]; len(c.last) == 0 {
			c.last = nil
		}
		return n, nil
	}
	if c.err != nil {
		return 0, c.err
	}
	c.reads++
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendAfterStall() {
		c.mu.Unlock()
		n, err = c.Conn.Read(p)
		c.mu.Lock()
	}
	c.reads--
	return n, err
}

// extendAfterStall grants unreadTime, once for a deadline, if this process was stalled when
// the deadline passed, and reports whether it did. The deadline ended the read before it
// looked for what had arrived meanwhile. The caller holds mu.
func (c *conn) extendAfterStall() bool {
	now := time.Now()
	late := now.Sub(c.deadline)
	if c.deadline.IsZero() || late < minStall || late > maxStall || c.deadline.Equal(c.extended) {
		return false
	}
	c.extended = c.deadline
	return c.Conn.SetReadDeadline(now.Add(unreadTime)) == nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.reader != nil {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.all.remove(c)
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	aheadTotal.release(len(c.ahead))
	c.ahead, c.last, c.closed = nil, nil, true
	return err
}

// readAhead starts to read ahead if a handler runs and net/http no longer looks for the
// end of the connection. The caller holds mu.
func (c *conn) readAhead() {
	if c.onEnd == nil || !c.looked || c.reads > 0 || c.reader != nil || c.err != nil || len(c.ahead) >= maxAhead || c.last != nil {
		return
	}
	done := make(chan struct{})
	c.reader = done
	_ = c.Conn.SetReadDeadline(time.Time{})
	go c.runReader(done)
}

// stopReader ends the goroutine that reads ahead. The caller holds mu, which is
// released meanwhile.
func (c *conn) stopReader() {
	for c.reader != nil {
		done := c.reader
		c.stopping = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		c.mu.Unlock()
		<-done
		c.mu.Lock()
	}
}

// runReader reads until the connection ends, the buffer is full or stopReader ends it.
func (c *conn) runReader(done chan struct{}) {
	defer close(done)
	buffer := make([]byte, readBytes)
	for {
		n, err := c.Conn.Read(buffer)
		c.mu.Lock()
		if !c.keep(buffer[:n], err) {
			c.mu.Unlock()
			continue
		}
		c.reader, c.stopping = nil, false
		_ = c.Conn.SetReadDeadline(c.deadline)
		if c.left && c.onEnd != nil {
			c.onEnd()
		}
		c.mu.Unlock()
		return
	}
}

// keep stores what a read ahead returned, and reports whether the reader must end.
// The caller holds mu.
func (c *conn) keep(data []byte, err error) (end bool) {
	if c.closed {
		c.err = net.ErrClosed
		return true
	}
	if len(data) > 0 && !aheadTotal.reserve(len(data)) {
		unwatched.Add(1)
		c.last = data
	} else {
		c.ahead = append(c.ahead, data...)
	}
	switch {
	case err != nil && c.stopping && errors.Is(err, os.ErrDeadlineExceeded):
		return true
	case err != nil:
		c.err, c.left = err, true
		return true
	case c.last != nil:
		return true
	case len(c.ahead) >= maxAhead:
		unwatched.Add(1)
		return true
	default:
		return c.stopping
	}
}
