package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/membership"
	"github.com/laburnumloft/laburnumloft/node/lib/callerconn"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// ErrCut is returned when a forced stop cut requests in flight.
var ErrCut = eris.New("stop was forced with requests in flight")

// closeTimeout bounds the end of idle connections after the drain.
const closeTimeout = 3 * time.Second

// health is the answer of GET /v1/health.
type health struct {
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"`
}

func (e *Entry) handleHealth(w http.ResponseWriter, _ *http.Request) {
	leaving := e.tracker.Leaving()
	h := health{Ready: !leaving && len(e.members.members().Members) > 0, Leaving: leaving}
	status := http.StatusOK
	if !h.Ready {
		status = http.StatusServiceUnavailable
	}
	wire.WriteJSON(w, status, h)
}

// isWork tells requests that a leaving entry must not start from those that
// only read or that concern its own streams.
func isWork(r *http.Request) bool {
	return r.Method == http.MethodPost
}

// leavingBody sends a caller on to another entry.
type leavingBody struct {
	Error wire.Error           `json:"error"`
	Entry *wire.DiscoveryEntry `json:"entry,omitempty"`
}

// redirect answers a late arrival with another entry's address.
func (e *Entry) redirect(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(requestIDHeader)
	w.Header().Set(requestIDHeader, id)
	body := leavingBody{Error: wire.Error{
		Kind: wire.ErrorLeaving, Message: "this entry is leaving", RequestID: id, Run: wire.RunNotRun,
	}}
	if concernsOperation(r) {
		body.Error.Run = wire.RunUnknown
	}
	other := e.otherEntry()
	if other == nil {
		body.Error.RetryAfterMS = 1000
		wire.WriteError(w, body.Error)
		return
	}
	body.Error.Message += "; use " + other.Address
	body.Entry = other
	w.Header().Set("Location", "http://"+other.Address+r.URL.RequestURI())
	wire.WriteJSON(w, http.StatusTemporaryRedirect, body)
}

// concernsOperation tells the requests whose ticket or key may have been run
// before, so that a refusal must not say that their operation was not run.
func concernsOperation(r *http.Request) bool {
	return strings.HasPrefix(r.URL.Path, "/v1/tickets/") || strings.Contains(r.URL.Path, "/calls/")
}

// otherEntry returns a live entry, near if there is one.
func (e *Entry) otherEntry() *wire.DiscoveryEntry {
	var best []wire.DiscoveryEntry
	bestDistance := 3
	for _, m := range e.members.members().Members {
		if m.Role != wire.RoleEntry || m.State != wire.MemberLive || m.ID == e.cfg.ID {
			continue
		}
		distance := 2
		switch {
		case m.Zone == e.cfg.Zone && m.Region == e.cfg.Region:
			distance = 0
		case m.Region == e.cfg.Region:
			distance = 1
		}
		if distance < bestDistance {
			best, bestDistance = nil, distance
		}
		if distance == bestDistance {
			best = append(best, wire.DiscoveryEntry{ID: m.ID, Address: m.Address, Zone: m.Zone, Region: m.Region})
		}
	}
	if len(best) == 0 {
		return nil
	}
	return &best[rand.IntN(len(best))]
}

// announceLeaving tells other entries, which takes this one out of discovery.
func (e *Entry) announceLeaving(ctx context.Context) {
	e.members.ask(ctx, func(now time.Time, view *membership.View) membership.Output {
		return view.Leave(now)
	})
}

// shutdown lets everything in flight end, then closes the servers.
func (e *Entry) shutdown(force context.Context, servers []*http.Server) error {
	e.tracker.StartLeaving()
	e.logger.Info("entry is leaving", "in_flight", len(e.tracker.InFlight()))
	ctx, cancel := context.WithTimeout(force, e.cfg.DrainTimeout)
	defer cancel()
	e.announceLeaving(ctx)
	if !e.tracker.Drain(ctx) {
		cut := e.tracker.InFlight()
		e.logger.Error("stop was forced; requests were cut", "request_ids", cut)
		return errors.Join(eris.Wrapf(ErrCut, "%d requests", len(cut)), closeAll(servers))
	}
	ctx, cancelClose := context.WithTimeout(ctx, closeTimeout)
	defer cancelClose()
	for _, server := range servers {
		if callerconn.Shutdown(ctx, server) != nil {
			// Only reads and heartbeats are left.
			_ = server.Close()
		}
	}
	e.logger.Info("entry stopped; nothing was cut")
	return nil
}

func closeAll(servers []*http.Server) error {
	var failures []error
	for _, server := range servers {
		failures = append(failures, server.Close())
	}
	return errors.Join(failures...)
}
