package gateway

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/core/limits"
	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

const (
	// slowConnectAfter is the time after which a connect is given up for another server
	// that is free. A round trip between regions takes under 10 ms; a lost first packet is
	// sent again after a second.
	slowConnectAfter = 400 * time.Millisecond
	// connectLookInterval is the time until another server is looked for again.
	connectLookInterval = 200 * time.Millisecond
	// connectTimeDivisor gives the part of a request's time that a connect may take while
	// all other servers are full. Its caller then has time to come back.
	connectTimeDivisor = 2
)

// connectKey is the context key of an attempt's connecting.
type connectKey struct{}

// connecting is the connect of one attempt. A virtual machine that stands still for a second
// completes no connection meanwhile, so that a slow connect is given up only if another
// server could take the request, or may after a part of its time. Nothing has been sent by
// then, so that even an order may go elsewhere.
type connecting struct {
	g      *Gateway
	choice placement.Choice
	// req is the request as it was when the attempt began.
	req request
	// giveUpAt is when the connect is given up if there are other servers.
	giveUpAt time.Time
	// ended is closed when the attempt has ended.
	ended context.Context

	mu         sync.Mutex
	slow, over bool
}

func newConnecting(ctx context.Context, g *Gateway, req *request, choice placement.Choice) *connecting {
	c := &connecting{g: g, choice: choice, req: *req, ended: ctx}
	c.giveUpAt = time.Now().Add(time.Until(req.deadline) / connectTimeDivisor)
	c.req.waiter, c.req.only, c.req.tried = nil, nil, slices.Clone(req.tried)
	return c
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialer returns a function that connects to the server. The connect lasts as long as the
// attempt unless the request can go elsewhere or the server may no longer get it.
func (c *connecting) dialer(d *net.Dialer) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return c.dial(ctx, d, network, address)
	}
}

func (c *connecting) dial(dialCtx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error) {
	// net/http doesn't end a dial when its request ends.
	ctx, cancel := context.WithCancelCause(dialCtx)
	defer cancel(nil)
	defer context.AfterFunc(c.ended, func() { cancel(context.Cause(c.ended)) })()
	ready := make(chan struct{})
	var timer *time.Timer
	timer = time.AfterFunc(slowConnectAfter, func() {
		<-ready
		if err := c.look(); err != nil {
			cancel(err)
			return
		}
		timer.Reset(connectLookInterval)
	})
	close(ready)
	conn, err := dialer.DialContext(ctx, network, address)
	slow := c.finish()
	timer.Stop()
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, err
	}
	if slow && !c.stillAllowed() {
		_ = conn.Close()
		return nil, errNotAllowed
	}
	return conn, nil
}

// look returns the reason for which a slow connect must be given up, if there is one.
func (c *connecting) look() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.over:
		return nil
	case !c.stillAllowed():
		return errNotAllowed
	case c.g.couldGoElsewhere(&c.req):
		return errSlowConnect
	case !time.Now().Before(c.giveUpAt) && c.g.hasOtherServer(&c.req):
		return errConnectTimeout
	}
	if !c.slow {
		c.slow = true
		c.g.recordSilence(c.choice)
		c.g.cfg.Log.Event("connect_slow", "request", c.req.call.RequestID, "service", c.req.service, "server", c.choice.Server.ID)
	}
	return nil
}

// finish ends the looks. It reports whether the connect was slow.
func (c *connecting) finish() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = true
	if c.slow {
		c.g.endSilence(c.choice)
	}
	return c.slow
}

// stillAllowed reports whether the server may still get the request. It may have begun to
// leave, have changed its weights, or be gone since it was chosen.
func (c *connecting) stillAllowed() bool {
	if _, found := c.g.quarantined(c.req.identity); found {
		return false
	}
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	return c.g.fleet.MaySend(bootclock.Now(), c.choice.Handle, c.req.query())
}

// couldGoElsewhere reports whether a server that a request was not sent to could take it
// now, and whether the retry budget allows that.
func (g *Gateway) couldGoElsewhere(req *request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.CanRetry(limits.RetryKey{Service: req.service}) && g.fleet.CanServe(bootclock.Now(), req.query())
}

// hasOtherServer reports whether there is a server that a request was not sent to and that
// can take it now or may soon.
func (g *Gateway) hasOtherServer(req *request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.MayServe(bootclock.Now(), req.query())
}
