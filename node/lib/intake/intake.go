// Package intake bounds what the callers of a process make it hold: the bytes of all
// bodies together, and the connections of each listener. Which bodies are given up is
// decided by core/intake.
package intake

import (
	"context"
	"errors"
	"expvar"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	core "github.com/laburnumloft/laburnumloft/core/intake"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

// Errors of reading a body.
var (
	// ErrGivenUp means that the body was given up because the process holds too many
	// bytes of bodies.
	ErrGivenUp = errors.New("the process holds too many bytes of bodies")
	// ErrTooSlow means that the body did not arrive in time.
	ErrTooSlow = errors.New("the body did not arrive in time")
)

var (
	bodiesTotal = expvar.NewMap("intake_bodies_total")
	bodyBytes   = expvar.NewInt("intake_body_bytes")
)

// DefaultBodyBytes is the bound on all bodies of a process whose VM's memory is not known.
const DefaultBodyBytes = 64 << 20

// logInterval is the shortest time between two log lines of one kind. Under a crowd there
// would be thousands a second.
const logInterval = time.Second

// Log writes a line about an event with its fields.
type Log interface {
	Event(event string, args ...any)
}

// Logger returns a Log that writes warnings.
func Logger(logger hclog.Logger) Log { return warnings{logger} }

type warnings struct{ logger hclog.Logger }

// Event implements Log.
func (w warnings) Event(event string, args ...any) { w.logger.Warn(event, args...) }

// LogGivenUp returns a function that logs bodies that were given up.
func LogGivenUp(log Log) func(held, limit int64) {
	var every interval
	return func(held, limit int64) {
		if count, due := every.next(); due {
			log.Event("bodies_given_up", "count", count, "held_bytes", held, "limit_bytes", limit)
		}
	}
}

// LogClosed returns a function that logs connections that were closed for others.
func LogClosed(log Log) func(listener string, most int) {
	var every interval
	return func(listener string, most int) {
		if count, due := every.next(); due {
			log.Event("connections_closed", "listener", listener, "count", count, "limit", most)
		}
	}
}

// interval counts events between log lines.
type interval struct {
	mu    sync.Mutex
	last  time.Time
	count int
}

// next counts an event. If a line is due, it returns the number of events since the last.
func (i *interval) next() (count int, due bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.count++
	if time.Since(i.last) < logInterval {
		return 0, false
	}
	count, i.count, i.last = i.count, 0, time.Now()
	return count, true
}

// Bodies bounds the bytes of all bodies of a process.
type Bodies struct {
	// onGivenUp is called with what the process held when it gave up a body; may be nil.
	onGivenUp func(held, limit int64)

	mu     sync.Mutex
	budget *core.Budget
	// interrupts end the reads of the bodies that are being read.
	interrupts map[*core.Body]func()
}

// NewBodies returns a bound in bytes.
func NewBodies(limit int64, onGivenUp func(held, limit int64)) *Bodies {
	return &Bodies{onGivenUp: onGivenUp, budget: core.NewBudget(limit), interrupts: map[*core.Body]func(){}}
}

// SetLargest sets the size of the largest body that callers may send.
func (b *Bodies) SetLargest(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.SetLargest(bytes)
}

// bodyKey is the context key of a request's body.
type bodyKey struct{}

// Handler returns a handler whose requests' bodies count until next returns. A read of a
// body that is given up fails with ErrGivenUp.
func (b *Bodies) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 || r.Body == nil {
			next.ServeHTTP(w, r)
			return
		}
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		if err != nil {
			host = r.RemoteAddr
		}
		c := &body{ReadCloser: r.Body, all: b, held: &core.Body{Address: host}, controller: http.NewResponseController(w)}
		b.begin(c)
		defer b.end(c)
		r.Body = c
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), bodyKey{}, c)))
	})
}

// SetWorkspace sets the workspace to which the body of a request counts, and the time at
// which the body must have arrived.
func SetWorkspace(r *http.Request, workspace string, deadline time.Time) {
	c, _ := r.Context().Value(bodyKey{}).(*body)
	if c == nil {
		return
	}
	c.all.mu.Lock()
	c.all.budget.SetWorkspace(c.held, workspace)
	c.all.mu.Unlock()
	// Writers without deadlines, in tests, have no slow callers.
	_ = c.controller.SetReadDeadline(deadline)
}

func (b *Bodies) begin(c *body) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Begin(c.held, bootclock.Now())
	b.interrupts[c.held] = func() { _ = c.controller.SetReadDeadline(time.Unix(1, 0)) }
}

func (b *Bodies) end(c *body) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.End(c.held)
	delete(b.interrupts, c.held)
	bodyBytes.Set(b.budget.Held())
}

// reserve counts bytes of a body and reports whether it may be read on.
func (b *Bodies) reserve(c *body, n int) bool {
	b.mu.Lock()
	givenUp, ok := b.budget.Reserve(c.held, int64(n), bootclock.Now())
	held, limit := b.budget.Held(), b.budget.Limit()
	bodyBytes.Set(held)
	var interrupts []func()
	for _, other := range givenUp {
		interrupts = append(interrupts, b.interrupts[other])
	}
	b.mu.Unlock()
	for _, interrupt := range interrupts {
		if interrupt != nil {
			interrupt()
		}
	}
	if !ok || len(givenUp) > 0 {
		b.recordGivenUp(held, limit)
	}
	return ok
}

// complete records that a body is whole and reports whether it may be kept.
func (b *Bodies) complete(c *body) bool {
	b.mu.Lock()
	ok := b.budget.Complete(c.held)
	delete(b.interrupts, c.held)
	held, limit := b.budget.Held(), b.budget.Limit()
	b.mu.Unlock()
	if !ok {
		b.recordGivenUp(held, limit)
	}
	return ok
}

func (b *Bodies) recordGivenUp(held, limit int64) {
	bodiesTotal.Add("given_up", 1)
	if b.onGivenUp != nil {
		b.onGivenUp(held, limit)
	}
}

// body is a request's body whose bytes count.
type body struct {
	io.ReadCloser
	all        *Bodies
	held       *core.Body
	controller *http.ResponseController
	ended      error
}

// Read implements io.Reader.
func (c *body) Read(p []byte) (int, error) {
	if c.ended != nil {
		return 0, c.ended
	}
	n, err := c.ReadCloser.Read(p)
	if n > 0 && !c.all.reserve(c, n) {
		c.ended = ErrGivenUp
		return 0, c.ended
	}
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		_ = c.controller.SetReadDeadline(time.Time{})
		if c.ended = io.EOF; !c.all.complete(c) {
			c.ended = ErrGivenUp
		}
	case isTimeout(err):
		if c.ended = ErrTooSlow; !c.all.reserve(c, 0) {
			c.ended = ErrGivenUp
		}
	default:
		c.ended = err
	}
	return n, c.ended
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
