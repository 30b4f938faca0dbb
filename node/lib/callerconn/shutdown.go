package callerconn

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// lastRequests is how long a server that stops still answers requests on open
	// connections: those that were under way when its listener closed. Requests take up to
	// about 100 ms between regions.
	lastRequests = 300 * time.Millisecond
	// lastHeads is how much longer a request may take whose head has been read in part.
	lastHeads = time.Second
	// idlePollInterval is the time between two looks for connections between requests.
	idlePollInterval = 10 * time.Millisecond
)

// configuredHandler is the handler of a server that Shutdown can stop.
type configuredHandler struct {
	http.Handler
	listener Listener
}

// connections are the open connections of a server.
type connections struct {
	mu      sync.Mutex
	open    map[*conn]struct{}
	stopped bool
	// keptUsed is when the last request began on a connection that had answered one
	// before; zero if there was none.
	keptUsed time.Time
}

func (a *connections) add(c *conn) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open[c] = struct{}{}
	c.stopped = a.stopped
}

func (a *connections) remove(c *conn) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.open, c)
}

// recordKeptUse records that a request has begun on a connection that has answered one.
func (a *connections) recordKeptUse() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.keptUsed = time.Now()
}

// isQuiet reports whether no kept connection was used for a time.
func (a *connections) isQuiet(period time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.keptUsed.IsZero() || time.Since(a.keptUsed) >= period
}

// list returns the open connections.
func (a *connections) list() (open []*conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.open {
		open = append(open, c)
	}
	return open
}

// stop makes all connections end instead of beginning another request.
func (a *connections) stop() {
	a.mu.Lock()
	a.stopped = true
	a.mu.Unlock()
	for _, c := range a.list() {
		c.stop()
	}
}

// awaitBusy waits until all connections have a handler that runs or writes its answer, for
// the given time at most, and half of the time that is left, because the last answers need
// time as well.
func (a *connections) awaitBusy(ctx context.Context, most time.Duration) {
	if deadline, ok := ctx.Deadline(); ok {
		most = min(most, time.Until(deadline)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	a.awaitIdle(ctx, func() bool { return false })
}

// awaitIdle waits until no connection is between requests, enough returns true or ctx ends.
func (a *connections) awaitIdle(ctx context.Context, enough func() bool) {
	for slices.ContainsFunc(a.list(), (*conn).isIdle) && !enough() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(idlePollInterval):
		}
	}
}

// recordIdle records that an answer has been written and the next request may begin.
func (c *conn) recordIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.multiplexed {
		return
	}
	c.answered = true
	c.betweenRequests, c.begun = true, c.looked || len(c.ahead) > 0 || c.last != nil
}

// recordMultiplexed leaves the end of a connection to net/http, which tells the caller of an
// HTTP/2 connection which of its requests are still served.
func (c *conn) recordMultiplexed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.multiplexed, c.betweenRequests = true, false
}

func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.betweenRequests
}

// stop makes the connection end instead of beginning another request.
func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if c.betweenRequests && !c.begun {
		// Ends a read that waits. net/http answers nothing to it.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// AwaitUnused closes the listener of a server of Configure and waits until no connection is
// between requests, no kept connection was used for the quiet period, or ctx ends. The
// handler must end each connection with its answer.
func AwaitUnused(ctx context.Context, server *http.Server, quiet time.Duration) {
	h, ok := server.Handler.(configuredHandler)
	if !ok {
		return
	}
	_ = h.listener.Close()
	open := h.listener.open
	open.awaitIdle(ctx, func() bool { return open.isQuiet(quiet) })
}

// Shutdown is http.Server.Shutdown for a server of Configure, without its loss of requests:
// net/http drops a request whose head it reads while it shuts down. The handler must refuse
// requests by now. It gets those that arrive within lastRequests on open connections; later
// ones are not read, and their callers see that. Connections with HTTP/2 are left to net/http.
func Shutdown(ctx context.Context, server *http.Server) error {
	h, ok := server.Handler.(configuredHandler)
	if !ok {
		return server.Shutdown(ctx)
	}
	// An error means that the listener is closed already.
	_ = h.listener.Close()
	open := h.listener.open
	open.awaitBusy(ctx, lastRequests)
	open.stop()
	// Connections on which a request has begun come to the handler, the others end.
	open.awaitBusy(ctx, lastHeads)
	return server.Shutdown(ctx)
}
