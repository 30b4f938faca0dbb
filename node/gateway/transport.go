package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/laburnumloft/laburnumloft/node/lib/lifecycle"
	"github.com/laburnumloft/laburnumloft/node/lib/response"
)

// newTransport returns the transport to backend servers. Every request uses a
// new connection: on a reused connection a late or extra answer could be
// attributed to the next request, and net/http may resend a request when a
// reused connection turns out to be closed.
func newTransport() http.RoundTripper {
	// Keep-alive probes are off: they cost four system calls, and the request's
	// timeout or deadline closes a dead connection long before the probes
	// would detect it. There is no limit on unacknowledged bytes either: it would
	// also end the connection of a server that reads nothing for a while, and an
	// order can't be sent again.
	dialer := &net.Dialer{KeepAlive: -1}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		connect := dialer.DialContext
		if c, ok := ctx.Value(connectKey{}).(*connecting); ok {
			connect = c.dialer(dialer)
		}
		conn, err := connect(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if err := checkPermit(ctx); err != nil {
			_ = conn.Close()
			return nil, err
		}
		if a, ok := ctx.Value(attemptKey{}).(*attemptEnd); ok {
			return newServerConn(conn, a), nil
		}
		return conn, nil
	}
	return response.NewTransport(&http.Transport{
		DialContext:            dial,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: lifecycle.MaxResponseHeaderBytes,
		WriteBufferSize:        4 << 10,
		ReadBufferSize:         4 << 10,
	})
}

// errAttemptDone is the cause of the end of an attempt's context after the attempt.
var errAttemptDone = errors.New("the attempt is over")

// attemptKey is the context key of an attempt's end.
type attemptKey struct{}

// attemptEnd tells the connection of an attempt how the attempt ended.
type attemptEnd struct {
	ctx       context.Context
	bodyBytes int
	// onReset is called after the connection of a cancelled attempt was reset; since
	// is the time from the cancellation until then.
	onReset     func(cause error, since time.Duration)
	cancelledAt atomic.Int64
}

// beginAttempt returns the context of an attempt. end must be called when the attempt
// is over.
func beginAttempt(ctx context.Context, bodyBytes int, onReset func(cause error, since time.Duration)) (attemptCtx context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attemptEnd{ctx: ctx, bodyBytes: bodyBytes, onReset: onReset}
	stop := context.AfterFunc(ctx, func() { a.cancelledAt.CompareAndSwap(0, time.Now().UnixNano()) })
	return context.WithValue(ctx, attemptKey{}, a), func() {
		stop()
		cancel(errAttemptDone)
	}
}

// serverConn is the connection of one attempt. The end of a cancelled attempt must
// reach the server at once. An orderly close would wait behind bytes of the request
// that the server has not read; a reset drops them.
//
// Connections with a large request are set to be reset from the start, so that they
// are when this process is killed, too.
type serverConn struct {
	net.Conn
	attempt *attemptEnd
	closed  atomic.Bool
}

// largeRequestBytes is the size of a body from which on a server's receive window may
// be too small for a request.
const largeRequestBytes = 4 << 10

func newServerConn(conn net.Conn, a *attemptEnd) *serverConn {
	c := &serverConn{Conn: conn, attempt: a}
	if a.bodyBytes >= largeRequestBytes {
		c.setReset(true)
	}
	return c
}

// setReset chooses between a reset and an orderly end at the next close.
func (c *serverConn) setReset(reset bool) {
	seconds := -1
	if reset {
		seconds = 0
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// Without the option the close is an orderly one.
		_ = tcp.SetLinger(seconds)
	}
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	cause := context.Cause(c.attempt.ctx)
	if c.closed.Swap(true) {
		return c.Conn.Close()
	}
	if cause == nil || errors.Is(cause, errAttemptDone) {
		if c.attempt.bodyBytes >= largeRequestBytes {
			c.setReset(false)
		}
		return c.Conn.Close()
	}
	c.setReset(true)
	err := c.Conn.Close()
	since := time.Duration(0)
	if at := c.attempt.cancelledAt.Load(); at != 0 {
		since = time.Since(time.Unix(0, at))
	}
	c.attempt.onReset(cause, since)
	return err
}
