package gateway

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/laburnumloft/laburnumloft/core/eligibility"
	"github.com/laburnumloft/laburnumloft/core/prompt"
	"github.com/laburnumloft/laburnumloft/core/quarantine"
	"github.com/laburnumloft/laburnumloft/core/route"
	"github.com/laburnumloft/laburnumloft/core/waiting"
	"github.com/laburnumloft/laburnumloft/node/lib/intake"
)

// Reason is the reason for which the gateway itself ended a request.
type Reason string

// Reasons, with the values that log lines and counters contain.
const (
	ReasonNoConfiguration Reason = "no_configuration"
	ReasonNoRoute         Reason = "no_route"
	ReasonUnknownKey      Reason = "unknown_key"
	ReasonBodyTooLarge    Reason = "body_too_large"
	ReasonBodyUnread      Reason = "body_unread"
	// ReasonBodiesFull means that the body was given up because the process holds too many
	// bytes of bodies, ReasonBodyLate that it did not arrive before the deadline.
	ReasonBodiesFull   Reason = "bodies_full"
	ReasonBodyLate     Reason = "body_late"
	ReasonNoService    Reason = "no_service"
	ReasonNoServer     Reason = "no_server"
	ReasonAllFull      Reason = "all_full"
	ReasonNoWeights    Reason = "no_weights"
	ReasonLimited      Reason = "servers_limited"
	ReasonRefusedByAll Reason = "refused_by_servers"
	ReasonRetryBudget  Reason = "retry_budget"
	ReasonDeadline     Reason = "deadline"
	ReasonTimeout      Reason = "timeout"
	ReasonBroken       Reason = "answer_broken"
	ReasonStopping     Reason = "stopping"
	ReasonClientLeft   Reason = "client_left"
	ReasonNoID         Reason = "no_request_id"
	// ReasonConfigurationMissing means that the active configuration doesn't allow the
	// request, but that another entry has a newer one.
	ReasonConfigurationMissing Reason = "configuration_missing"
	// ReasonNoHome means that no server stands in a region that the route and the
	// workspace allow.
	ReasonNoHome Reason = "no_home"
	// ReasonCold means that the servers have just started and bear only a low rate.
	ReasonCold Reason = "servers_cold"
	// ReasonTooLarge means that the request fits into the memory of no engine.
	ReasonTooLarge Reason = "request_too_large"
	// ReasonQuarantined means that a part of the prompt crashes engines.
	ReasonQuarantined Reason = "prompt_quarantined"
)

// defaultDeadline applies if neither the caller nor the route sets a deadline.
const defaultDeadline = 10 * time.Second

var (
	outcomes = expvar.NewMap("gateway_requests_total")
	attempts = expvar.NewMap("gateway_attempts_total")
)

// request is the state of one caller's request.
type request struct {
	call      Call
	route     *route.Route
	service   string
	workspace string
	priority  int
	body      blocks
	in        *http.Request
	start     time.Time
	// deadline is the earlier of the caller's and the route's deadline.
	deadline time.Time
	// pastTarget means that the caller had already waited longer than the route's
	// target when the request arrived, because it retries after a refusal.
	pastTarget bool
	// model must be loaded on the server; it is empty for plain services.
	model string
	// tried lists the servers that were sent the request.
	tried []string
	// runs counts the attempts that are in flight or may have run. All chains share it; nil
	// before the first one.
	runs *atomic.Int32
	// placeBy is until when the rest of a begun stream waits for a server; zero for other
	// requests.
	placeBy time.Time
	// isHedge means that the next or running attempt is beside another one.
	isHedge bool
	// begun means that the caller had a part of the answer when a hedge began.
	begun bool
	// only lists the only servers that the next attempt may go to; empty for all.
	only          []string
	configVersion int64
	// identity is what a quarantine may match.
	identity quarantine.Request
	// verdict is the quarantine that ended the request.
	verdict quarantine.Verdict
	// availableIn is the time until a limited server may take a request, if that
	// ended the request.
	availableIn time.Duration
	// regions are those in which the request may be served.
	regions eligibility.Regions
	// tokens estimates what the request holds of an engine's memory, and maxTokens is the
	// most that it may hold.
	tokens, maxTokens float64
	// exclusions counts the servers that the last decision excluded.
	exclusions eligibility.Exclusions
	// returning means that the caller's time had begun to run before the request
	// arrived, because it was refused or failed before.
	returning bool
	// waiter is the request's place in the queue; nil while it does not wait, and where
	// requests are not ordered.
	waiter *waiting.Waiter
	// missed is the request's own last decision in the queue.
	missed missed
	// reserve is how much earlier than for requests of the highest rank a server is full,
	// in requests.
	reserve float64
}

// ServeHTTP implements http.Handler for callers' requests.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer g.logPanic(r)
	req, reason := g.admit(w, r)
	if reason != "" {
		g.refuse(w, req, reason)
		return
	}
	ctx, end := context.WithCancelCause(r.Context())
	defer end(nil)
	defer atDeadline(req, func() { end(context.DeadlineExceeded) })()
	defer context.AfterFunc(g.stopped, func() { end(errStopping) })()
	defer g.watchCaller(w, req)()
	w = answerWriter{w, g, req}
	if req.route.Kind == route.Stream {
		g.serveStream(ctx, w, req)
		return
	}
	g.serveBuffered(ctx, w, req)
}

// maxLoggedStack is how many bytes of a stack a log line holds.
const maxLoggedStack = 2 << 10

// logPanic logs that a handler ends by a panic, which closes the caller's connection without
// an answer. Nothing else tells of that request.
func (g *Gateway) logPanic(r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	// A stream that can't be completed ends this way, and has been logged.
	if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		outcomes.Add("handler_panicked", 1)
		stack := debug.Stack()
		g.cfg.Log.Event("handler_panicked", "request", g.cfg.Codec.Call(r.Header).RequestID, "cause", fmt.Sprint(cause), "stack", string(stack[:min(len(stack), maxLoggedStack)]))
	}
	panic(cause)
}

// lastWriteTimeout is how long after a request's deadline a write to a caller that does
// not read may last. Until it ends, the request keeps its place at the server.
const lastWriteTimeout = 250 * time.Millisecond

// watchCaller limits the writes to the caller, and logs when the caller is seen to have
// left. The returned function ends that.
func (g *Gateway) watchCaller(w http.ResponseWriter, req *request) (end func()) {
	controller := http.NewResponseController(w)
	// Writers without deadlines, in tests, don't block.
	_ = controller.SetWriteDeadline(req.deadline.Add(lastWriteTimeout))
	stop := context.AfterFunc(req.in.Context(), func() {
		g.cfg.Log.Event("caller_left", "request", req.call.RequestID, "service", req.service, "ms", time.Since(req.start).Milliseconds())
	})
	return func() {
		if stop() {
			_ = controller.SetWriteDeadline(time.Time{})
		}
	}
}

// wholeWriteTimeout is how long the write of a refusal or of a whole answer may last at
// least. It counts from the write, because a process that is slowed down may come to it
// after the request's deadline while the caller still waits. The place at the server has
// been released by then.
const wholeWriteTimeout = time.Second

// setConnectionHeader makes an answer end the caller's connection during a planned stop. It is
// called when the header is written, because the stop may begin while a request is served.
func (g *Gateway) setConnectionHeader(h http.Header) {
	if g.draining.Load() {
		h.Set("Connection", "close")
	}
}

// answerWriter gives the write of a refusal or of a whole answer time. Streams keep the
// limit of watchCaller.
type answerWriter struct {
	http.ResponseWriter
	g   *Gateway
	req *request
}

// Unwrap is for http.ResponseController.
func (w answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w answerWriter) WriteHeader(status int) {
	// Only the answer 200 of a stream is written while it arrives.
	if w.req.route.Kind != route.Stream || status != http.StatusOK {
		w.extendDeadline()
	}
	w.g.setConnectionHeader(w.Header())
	w.ResponseWriter.WriteHeader(status)
}

// extendDeadline sets the write deadline anew, unless the caller is known to have left.
func (w answerWriter) extendDeadline() {
	until := time.Now().Add(wholeWriteTimeout)
	if usual := w.req.deadline.Add(lastWriteTimeout); usual.After(until) {
		until = usual
	}
	setWriteDeadline(w.ResponseWriter, w.req, until)
}

// setWriteDeadline limits the writes to the caller, unless it is known to have left.
func setWriteDeadline(w http.ResponseWriter, req *request, until time.Time) {
	controller := http.NewResponseController(w)
	// Writers without deadlines, in tests, don't block.
	_ = controller.SetWriteDeadline(until)
	if req.in.Context().Err() != nil {
		// The caller's end may have ended its writes just before.
		_ = controller.SetWriteDeadline(time.Unix(1, 0))
	}
}

// admit validates a request against the active configuration.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request) (*request, Reason) {
	req := &request{call: g.cfg.Codec.Call(r.Header), in: r, start: time.Now()}
	table := g.table.Load()
	if table == nil {
		return req, ReasonNoConfiguration
	}
	req.configVersion = table.Version()
	if g.closing.Load() {
		return req, ReasonStopping
	}
	if req.route = table.Match(r.Host, writtenPath(r)); req.route == nil {
		return req, g.unlessConfigurationMissing(table, ReasonNoRoute)
	}
	workspace, ok := table.Authenticate(req.route, req.call.Key)
	if !ok {
		return req, g.unlessConfigurationMissing(table, ReasonUnknownKey)
	}
	if reason := g.assign(req, table, workspace); reason != "" {
		return req, reason
	}
	if plan := g.stopPlan.Load(); plan != nil && !plan.Takes(req.start, req.deadline) {
		return req, ReasonStopping
	}
	reason := g.readBody(w, req, table.Limits())
	req.identify()
	return req, reason
}

// assign sets what follows from a request's route and workspace, which is nil for none.
func (g *Gateway) assign(req *request, table *route.Table, workspace *route.Workspace) Reason {
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
		return ReasonNoService
	}
	req.model = service.ModelFor(req.call.Model)
	req.regions = route.Regions(req.route, workspace)
	req.maxTokens = float64(max(req.call.PromptTokens, 0) + max(req.call.OutputTokens, 0))
	req.tokens = g.estimateTokens(req)
	req.setDeadline()
	if g.cfg.OrderedWaiting {
		req.reserve = req.waitingRequest().Reserve()
	}
	return ""
}

// unlessConfigurationMissing returns the reason to refuse a request that the active
// configuration doesn't allow. A newer one may allow it, and callers don't come back after
// a final refusal.
func (g *Gateway) unlessConfigurationMissing(table *route.Table, reason Reason) Reason {
	if g.configurationMissing(table) {
		return ReasonConfigurationMissing
	}
	return reason
}

// returnThreshold is the used part of a caller's time from which on a request counts as a
// later attempt. Callers round their deadlines to milliseconds.
const returnThreshold = 50 * time.Millisecond

func (r *request) setDeadline() {
	timeout := r.route.Timeout
	if timeout <= 0 {
		timeout = defaultDeadline
	}
	if d := r.call.Deadline; d > 0 {
		r.pastTarget = r.route.Timeout > 0 && r.route.Target > 0 && d < r.route.Timeout-r.route.Target
		r.returning = r.route.Timeout > 0 && d < r.route.Timeout-returnThreshold
		timeout = min(timeout, d)
	}
	r.deadline = r.start.Add(timeout)
}

// readBody buffers the body because retries must send it again.
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
	intake.SetWorkspace(req.in, req.workspace, req.deadline)
	var tooLarge *http.MaxBytesError
	var err error
	switch req.body, err = readBlocks(body, req.in.ContentLength); {
	case err == nil:
		return ""
	case errors.As(err, &tooLarge):
		return ReasonBodyTooLarge
	case errors.Is(err, intake.ErrGivenUp):
		return ReasonBodiesFull
	case errors.Is(err, intake.ErrTooSlow):
		return ReasonBodyLate
	default:
		return ReasonBodyUnread
	}
}

// statuses maps reasons to HTTP status codes; all other reasons have 503, which
// guarantees that the request has not run.
var statuses = map[Reason]int{
	ReasonNoRoute:      http.StatusNotFound,
	ReasonUnknownKey:   http.StatusUnauthorized,
	ReasonBodyTooLarge: http.StatusRequestEntityTooLarge,
	ReasonBodyUnread:   http.StatusBadRequest,
	ReasonBodyLate:     http.StatusRequestTimeout,
	ReasonBroken:       http.StatusBadGateway,
	ReasonTimeout:      http.StatusGatewayTimeout,
}

// refuse answers a request with a reason instead of a server's answer.
func (g *Gateway) refuse(w http.ResponseWriter, req *request, reason Reason) {
	status, ok := statuses[reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	if req.runCount() > 0 && status == http.StatusServiceUnavailable {
		// 503 guarantees that the request has not run, but this one may have.
		status = http.StatusBadGateway
	}
	outcomes.Add(string(reason), 1)
	args := []any{
		"request", req.call.RequestID, "reason", string(reason), "status", status, "configuration", req.configVersion,
		"service", req.service, "workspace", req.workspace, "offers", len(req.tried), "runs", req.runCount(),
		"ms", time.Since(req.start).Milliseconds(), "late", req.pastTarget, "parts", prompt.Summary(req.call.PromptParts), "whole", req.identity.WholeID(),
	}
	if reason == ReasonQuarantined {
		args = append(args, "quarantine", req.verdict.ID(), "crashes", req.verdict.Crashes)
	}
	if reason == ReasonLimited {
		args = append(args, "limited_servers", g.limitedServers(req.service), "available_ms", req.availableIn.Milliseconds())
	}
	if excluded := req.exclusions.String(); excluded != "" {
		recordExclusions(req.exclusions)
		args = append(args, "excluded", excluded)
	}
	if status == http.StatusServiceUnavailable {
		after := g.retryAfter(req, reason)
		args = append(args, "retry_after_ms", after.Milliseconds())
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	g.setConnectionHeader(w.Header())
	g.cfg.Log.Event("request_ended", args...)
	if req.in.ContentLength != 0 && req.body == nil {
		g.leaveBody(w, reason)
	}
	w.Header().Set("Content-Type", "application/json")
	body := `{"error":"` + string(reason) + `"}`
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, err := io.WriteString(w, body)
	g.logUnwritten(req, err)
}

// logUnwritten logs that an answer could not be written to a caller that is not known to
// have left.
func (g *Gateway) logUnwritten(req *request, err error) {
	if err == nil || req.in.Context().Err() != nil {
		return
	}
	outcomes.Add("answer_unwritten", 1)
	g.cfg.Log.Event("answer_unwritten", "request", req.call.RequestID, "service", req.service, "cause", err.Error(),
		"ms", time.Since(req.start).Milliseconds(), "past_deadline_ms", time.Since(req.deadline).Milliseconds())
}

// unreadBodyTimeout is how long the rest of a body may take whose request was refused
// before it was read. Without an end of the body the connection can't be used again.
const unreadBodyTimeout = time.Second

// leaveBody ends a request whose body was not read to its end.
func (g *Gateway) leaveBody(w http.ResponseWriter, reason Reason) {
	switch reason {
	case ReasonBodyTooLarge, ReasonBodyUnread, ReasonBodiesFull, ReasonBodyLate:
		w.Header().Set("Connection", "close")
	default:
		// Writers without deadlines, in tests, have no slow callers.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}
