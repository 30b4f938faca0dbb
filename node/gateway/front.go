package gateway

import (
	"context"
	"errors"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/laburnumloft/laburnumloft/core/route"
)

// Reason is why the gateway ended a request by itself.
type Reason string

// Reasons, as they stand in log lines and counters.
const (
	ReasonNoConfiguration Reason = "no_configuration"
	ReasonNoRoute         Reason = "no_route"
	ReasonUnknownKey      Reason = "unknown_key"
	ReasonBodyTooLarge    Reason = "body_too_large"
	ReasonBodyUnread      Reason = "body_unread"
	ReasonNoService       Reason = "no_service"
	ReasonNoServer        Reason = "no_server"
	ReasonAllFull         Reason = "all_full"
	ReasonNoWeights       Reason = "no_weights"
	ReasonRefusedByAll    Reason = "refused_by_servers"
	ReasonBudget          Reason = "retry_budget"
	ReasonLateDeadline    Reason = "deadline"
	ReasonTimeout         Reason = "timeout"
	ReasonBroken          Reason = "answer_broken"
	ReasonStopping        Reason = "stopping"
	ReasonClientLeft      Reason = "client_left"
	ReasonNoID            Reason = "no_request_id"
)

// defaultDeadline applies when neither the caller nor the route sets one.
const defaultDeadline = 10 * time.Second

var (
	outcomes = expvar.NewMap("gateway_requests_total")
	attempts = expvar.NewMap("gateway_attempts_total")
)

// request is one caller's request on its way.
type request struct {
	call      Call
	route     *route.Route
	service   string
	workspace string
	priority  int
	body      []byte
	in        *http.Request
	start     time.Time
	// deadline is when the caller or the route gives up.
	deadline time.Time
	// late says that the target has passed before the request came: the
	// caller comes back after a refusal.
	late bool
	// model is the model that must be loaded; empty for plain services.
	model string
	// offers are the servers that the request was sent to, runs how many of
	// them may have run it.
	offers []string
	runs   int
	config int64
}

// ServeHTTP implements http.Handler for callers.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	req, reason := g.admit(w, r)
	if reason != "" {
		g.refuse(w, req, reason)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	if req.route.Kind == route.Stream {
		g.serveStream(ctx, w, req)
		return
	}
	g.serveWhole(ctx, w, req)
}

// admit checks a request against the configuration in force.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request) (*request, Reason) {
	req := &request{call: g.cfg.Codec.Call(r.Header), in: r, start: time.Now()}
	table := g.table.Load()
	if table == nil {
		return req, ReasonNoConfiguration
	}
	req.config = table.Version()
	if g.closing.Load() {
		return req, ReasonStopping
	}
	if req.route = table.Match(r.Host, r.URL.Path); req.route == nil {
		return req, ReasonNoRoute
	}
	workspace, ok := table.Authenticate(req.route, req.call.Key)
	if !ok {
		return req, ReasonUnknownKey
	}
	req.priority = req.route.Priority
	if workspace != nil {
		req.workspace = workspace.Name
		if workspace.Priority != nil {
			req.priority = *workspace.Priority
		}
	}
	req.service = req.route.Service(req.call.RequestID)
	service := table.Service(req.service)
	if service == nil {
		return req, ReasonNoService
	}
	req.model = service.ModelFor(req.call.Model)
	req.setDeadline()
	return req, g.readBody(w, req, table.Limits())
}

func (r *request) setDeadline() {
	wait := r.route.Timeout
	if wait <= 0 {
		wait = defaultDeadline
	}
	if d := r.call.Deadline; d > 0 {
		r.late = r.route.Timeout > 0 && r.route.Target > 0 && d < r.route.Timeout-r.route.Target
		wait = min(wait, d)
	}
	r.deadline = r.start.Add(wait)
}

// readBody keeps the body, since it may have to be sent more than once.
func (g *Gateway) readBody(w http.ResponseWriter, req *request, l route.Limits) Reason {
	if req.in.ContentLength == 0 {
		return ""
	}
	body := io.Reader(req.in.Body)
	if l.MaxBodyBytes > 0 {
		if req.in.ContentLength > l.MaxBodyBytes {
			return ReasonBodyTooLarge
		}
		body = http.MaxBytesReader(w, req.in.Body, l.MaxBodyBytes)
	}
	data, err := io.ReadAll(body)
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return ReasonBodyTooLarge
		}
		return ReasonBodyUnread
	}
	req.body = data
	return ""
}

// statuses are the answers to requests that the gateway ends by itself. Those
// with 503 promise that the request has not run.
var statuses = map[Reason]int{
	ReasonNoRoute:      http.StatusNotFound,
	ReasonUnknownKey:   http.StatusUnauthorized,
	ReasonBodyTooLarge: http.StatusRequestEntityTooLarge,
	ReasonBodyUnread:   http.StatusBadRequest,
	ReasonBroken:       http.StatusBadGateway,
	ReasonTimeout:      http.StatusGatewayTimeout,
}

// refuse ends a request that the gateway answers by itself.
func (g *Gateway) refuse(w http.ResponseWriter, req *request, reason Reason) {
	status, ok := statuses[reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	if req.runs > 0 && status == http.StatusServiceUnavailable {
		// A request that may have run must not be called refused.
		status = http.StatusBadGateway
	}
	outcomes.Add(string(reason), 1)
	args := []any{
		"request", req.call.RequestID, "reason", string(reason), "status", status, "configuration", req.config,
		"service", req.service, "workspace", req.workspace, "offers", len(req.offers), "runs", req.runs,
		"ms", time.Since(req.start).Milliseconds(), "late", req.late,
	}
	if status == http.StatusServiceUnavailable {
		after := g.retryAfter(req, reason)
		args = append(args, "retry_after_ms", after.Milliseconds())
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	g.cfg.Log.Event("request_ended", args...)
	w.Header().Set("Content-Type", "application/json")
	body := `{"error":"` + string(reason) + `"}`
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// The caller may be gone; nothing is left to tell it.
	_, _ = io.WriteString(w, body)
}
