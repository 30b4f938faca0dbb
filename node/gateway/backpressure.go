package gateway

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/laburnumloft/laburnumloft/core/backpressure"
	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

var backpressureTotal = expvar.NewMap("gateway_backpressure_total")

const (
	// maxLoggedServers limits the servers that the log line of a refused request lists.
	maxLoggedServers = 8
	// unreadableLogInterval is the shortest time between two log lines on unreadable
	// values.
	unreadableLogInterval = time.Second
	// pausedReturnSpread spreads callers that return after a quiet time.
	pausedReturnSpread = 500 * time.Millisecond
	// minPause is the shortest wait before a server is tried again.
	minPause = time.Millisecond
)

// errPermitExpired is returned if a permit expired before the request was sent, for
// example because the process was stopped meanwhile.
var errPermitExpired = errors.New("the permit for the limited server expired before the request was sent")

// permitKey is the context key of an attempt's permit.
type permitKey struct{}

// checkPermit returns an error if the permit of a request has expired.
func checkPermit(ctx context.Context) error {
	permit, ok := ctx.Value(permitKey{}).(backpressure.Permit)
	if ok && !permit.Valid(bootclock.Now()) {
		return errPermitExpired
	}
	return nil
}

// membership returns the current view of the entries.
func (g *Gateway) membership() backpressure.Membership {
	if g.cfg.Membership == nil {
		return backpressure.Membership{Self: g.cfg.ID, Candidates: map[string]time.Duration{g.cfg.ID: 0}, Live: 1, Known: 1}
	}
	return g.cfg.Membership()
}

// observeSignals records what an answer said about its server. The request was sent
// at sentAt.
func (g *Gateway) observeSignals(req *request, server placement.Server, signals backpressure.Signals, sentAt time.Time) {
	g.recordUnreadable(req, server, signals.Unreadable)
	g.mu.Lock()
	if signals.Empty() && g.pressure.Len() == 0 {
		g.mu.Unlock()
		return
	}
	now := bootclock.Now()
	changes := g.pressure.Observe(server.Instance(), signals, sentAt, now)
	if len(changes) > 0 {
		g.notifyWaiters()
	}
	g.mu.Unlock()
	g.recordChanges(changes, server.Service, "answer")
	concernsOthers := slices.ContainsFunc(changes, func(c backpressure.Change) bool { return c.Kind != backpressure.QuietBegun })
	if g.cfg.OnServerNotices != nil && concernsOthers {
		g.cfg.OnServerNotices([]backpressure.Notice{g.serverNotice(server.Instance())})
	}
}

// recordUnreadable counts values that can't be used, and logs some of them: a server
// may send them with every answer.
func (g *Gateway) recordUnreadable(req *request, server placement.Server, values []string) {
	if len(values) == 0 {
		return
	}
	backpressureTotal.Add("unreadable", int64(len(values)))
	now, last := time.Now().UnixNano(), g.unreadableLoggedAt.Load()
	if now-last < int64(unreadableLogInterval) || !g.unreadableLoggedAt.CompareAndSwap(last, now) {
		return
	}
	g.cfg.Log.Event("server_signal_unreadable", "server", server.ID, "incarnation", server.Instance().String(),
		"values", strings.Join(values, " "), "request", req.call.RequestID)
}

// serverNotice returns what other entries should know about a server.
func (g *Gateway) serverNotice(server backpressure.Server) backpressure.Notice {
	m := g.membership()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pressure.NoticeOf(server, m, bootclock.Now())
}

// ServerNotices returns what other entries should know about servers in need.
func (g *Gateway) ServerNotices() []backpressure.Notice {
	g.mu.Lock()
	known := g.pressure.Len()
	g.mu.Unlock()
	if known == 0 {
		return nil
	}
	m := g.membership()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pressure.Notices(m, bootclock.Now())
}

// AdoptServerNotices records notices of another process; source names its kind.
func (g *Gateway) AdoptServerNotices(notices []backpressure.Notice, source string) {
	now := bootclock.Now()
	var changes []backpressure.Change
	g.mu.Lock()
	for _, n := range notices {
		if n.ByAddress {
			instance, known := g.fleet.InstanceAt(n.Server.ID, n.Server.Born)
			if !known {
				continue
			}
			n.Server = instance
		}
		changes = append(changes, g.pressure.Adopt(n, now)...)
	}
	if len(changes) > 0 {
		g.notifyWaiters()
	}
	g.mu.Unlock()
	g.recordChanges(changes, "", source)
}

// recordChanges logs and counts changes in what is known about servers.
func (g *Gateway) recordChanges(changes []backpressure.Change, service, source string) {
	if len(changes) == 0 {
		return
	}
	m := g.membership()
	for _, c := range changes {
		backpressureTotal.Add(string(c.Kind), 1)
		args := []any{"server", c.Server.ID, "incarnation", c.Server.String(), "service", service, "source", source}
		switch c.Kind {
		case backpressure.LimitSet, backpressure.LimitChanged:
			g.mu.Lock()
			coordinator, share := g.pressure.Coordinator(c.Server, m, bootclock.Now())
			g.mu.Unlock()
			args = append(args, "limit", c.Rate, "coordinator", coordinator, "share", share, "live", m.Live, "known", m.Known)
		case backpressure.LimitWithdrawn:
			args = append(args, "limit", c.Rate)
		case backpressure.QuietBegun:
			args = append(args, "quiet_ms", c.QuietFor.Milliseconds())
		}
		g.cfg.Log.Event(string(c.Kind), args...)
	}
}

// acquirePermit gets a permit for a limited server from its coordinator, or from
// this entry if it is the coordinator.
func (g *Gateway) acquirePermit(ctx context.Context, server backpressure.Server) (backpressure.Permit, bool) {
	m := g.membership()
	replied := make(chan struct{})
	g.mu.Lock()
	now := bootclock.Now()
	if standing, _ := g.pressure.Standing(server, now); standing == backpressure.PermitNeeded {
		coordinator, ask := g.pressure.Ask(server, m, now)
		if coordinator != "" {
			g.pendingAsks[ask.ID] = replied
			g.mu.Unlock()
			g.awaitReply(ctx, server, coordinator, ask, replied)
			g.mu.Lock()
		}
	}
	defer g.mu.Unlock()
	permit, ok := g.pressure.TakePermit(server, bootclock.Now())
	backpressureTotal.Add(map[bool]string{true: "permits_used", false: "permits_denied"}[ok], 1)
	return permit, ok
}

// awaitReply sends a request for permits and waits for the reply.
func (g *Gateway) awaitReply(ctx context.Context, server backpressure.Server, coordinator string, ask backpressure.PermitRequest, replied chan struct{}) {
	if g.cfg.AskPermits != nil {
		g.cfg.AskPermits(coordinator, ask)
	}
	timeout := time.NewTimer(backpressure.AskTimeout)
	defer timeout.Stop()
	select {
	case <-replied:
		return
	case <-timeout.C:
	case <-ctx.Done():
		// The reply is still used if it arrives in time.
		<-timeout.C
	}
	g.mu.Lock()
	delete(g.pendingAsks, ask.ID)
	fallback := g.pressure.HandleTimeout(server, ask.ID, bootclock.Now())
	g.notifyWaiters()
	g.mu.Unlock()
	backpressureTotal.Add("permits_unanswered", 1)
	if fallback {
		g.cfg.Log.Event("coordinator_silent", "server", server.ID, "coordinator", coordinator)
	}
}

// GrantPermits handles another entry's request for permits.
func (g *Gateway) GrantPermits(r backpressure.PermitRequest) backpressure.PermitReply {
	m := g.membership()
	g.mu.Lock()
	reply, changes := g.pressure.Grant(r, m, bootclock.Now())
	g.mu.Unlock()
	g.recordChanges(changes, "", "entry")
	backpressureTotal.Add("permits_granted", int64(reply.Granted))
	return reply
}

// HandlePermitReply handles a coordinator's reply.
func (g *Gateway) HandlePermitReply(r backpressure.PermitReply) {
	g.mu.Lock()
	changes := g.pressure.HandleReply(r, bootclock.Now())
	if replied := g.pendingAsks[r.ID]; replied != nil {
		delete(g.pendingAsks, r.ID)
		close(replied)
	}
	g.notifyWaiters()
	g.mu.Unlock()
	g.recordChanges(changes, "", "entry")
}

// limitedReturn returns when a caller may return that was refused because of the
// limits of the servers, the first of which is available after earliest.
func (g *Gateway) limitedReturn(req *request, earliest time.Duration) time.Duration {
	m := g.membership()
	g.mu.Lock()
	defer g.mu.Unlock()
	rate := g.fleet.LimitedRate(req.service) / float64(max(m.Live, 1))
	after := g.returns.Reserve(req.service, rate, earliest, time.Until(req.deadline), bootclock.Now())
	if rate <= 0 {
		after += rand.N(pausedReturnSpread)
	}
	return after
}

// limitedServers lists the servers of a service that are in need, for log lines.
func (g *Gateway) limitedServers(service string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	ids := g.fleet.LimitedServers(service, bootclock.Now())
	return strings.Join(ids[:min(len(ids), maxLoggedServers)], ",")
}
