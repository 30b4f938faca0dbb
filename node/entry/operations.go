package entry

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/twitchtv/twirp"

	"github.com/laburnumloft/laburnumloft/core/operation"
	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/telemetry"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// Times and attempts of calls to agents. Reserve, Run, Cancel and Get may be
// repeated: the agent's ticket table makes a repetition harmless.
const (
	agentAttempts    = 3
	agentRetryWait   = 50 * time.Millisecond
	ticketTimeout    = 2 * time.Second
	runTimeout       = 35 * time.Second
	runTimeoutMargin = 5 * time.Second
)

// errWrongTicket means that an answer belongs to another ticket.
var errWrongTicket = errors.New("agent answered for another ticket")

// routeOperations adds the paths of tickets and one-shot calls.
func (e *Entry) routeOperations(mux *http.ServeMux) {
	const service = "/v1/workspaces/{workspace}/services/{service}"
	mux.HandleFunc("POST "+service+"/tickets", e.handleReserve)
	mux.HandleFunc("POST "+service+"/calls/{method}", e.handleCall)
	mux.HandleFunc("POST /v1/tickets/{ticket}/run", e.handleRun)
	mux.HandleFunc("POST /v1/tickets/{ticket}/cancel", e.handleCancelTicket)
	mux.HandleFunc("GET /v1/tickets/{ticket}", e.handleGet)
}

// plainService returns a plain service that the workspace may use.
func (e *Entry) plainService(workspace, service string) (settings.Service, *wire.Error) {
	state, _, _ := e.settings.current()
	svc, _, ok := state.Service(service)
	if !ok || svc.Kind != settings.KindPlain || !state.MayUse(workspace, service) {
		return settings.Service{}, &wire.Error{
			Kind: wire.ErrorNotFound, Message: "workspace " + workspace + " has no plain service " + service,
		}
	}
	return svc, nil
}

func findMethod(svc settings.Service, name string) (settings.Method, *wire.Error) {
	for _, m := range svc.Methods {
		if m.Name == name {
			return m, nil
		}
	}
	return settings.Method{}, &wire.Error{Kind: wire.ErrorNotFound, Message: "settings name no method " + name}
}

func (e *Entry) handleReserve(w http.ResponseWriter, r *http.Request) {
	workspace, service := r.PathValue("workspace"), r.PathValue("service")
	if _, failure := e.plainService(workspace, service); failure != nil {
		wire.WriteError(w, *failure)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), ticketTimeout)
	defer cancel()
	ticket, failure := e.reserve(ctx, workspace, service)
	if failure != nil {
		wire.WriteError(w, *failure)
		return
	}
	wire.WriteJSON(w, http.StatusOK, wire.Reservation{
		Ticket: ticket.GetTicket(), Agent: ticket.GetAgent(), Incarnation: ticket.GetIncarnation(),
	})
}

// plainAgents returns the agents of a plain service that the workspace may
// use, in random order with those of the entry's region first.
func (e *Entry) plainAgents(workspace, service string) []*rpc.MemberReport {
	state, _, _ := e.settings.current()
	params, _ := state.Workspace(workspace)
	agents := slices.Clone(e.members.serving(service, ""))
	if len(params.Regions) > 0 {
		agents = slices.DeleteFunc(agents, func(a *rpc.MemberReport) bool { return !slices.Contains(params.Regions, a.GetRegion()) })
	}
	rand.Shuffle(len(agents), func(i, j int) { agents[i], agents[j] = agents[j], agents[i] })
	remote := func(a *rpc.MemberReport) int {
		if a.GetRegion() == e.cfg.Region {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(agents, func(a, b *rpc.MemberReport) int { return remote(a) - remote(b) })
	return agents
}

// reserve takes a ticket at one of the agents of the service.
func (e *Entry) reserve(ctx context.Context, workspace, service string) (*rpc.Ticket, *wire.Error) {
	agents := e.plainAgents(workspace, service)
	req := &rpc.ReserveRequest{RequestId: uuid.NewString(), Service: service, Workspace: workspace}
	for _, agent := range agents[:min(len(agents), agentAttempts)] {
		ticket, err := e.operations(agent).Reserve(ctx, req)
		if err == nil {
			return ticket, nil
		}
		e.logger.Named("operations").Warn("reservation failed", "agent", agent.GetId(), "error", err)
	}
	return nil, &wire.Error{
		Kind: wire.ErrorUnavailable, Message: "no agent of the service takes reservations", Run: wire.RunNotRun, RetryAfterMS: 1000,
	}
}

// operations returns a client of an agent.
func (e *Entry) operations(agent *rpc.MemberReport) rpc.Operations {
	return rpc.NewOperationsProtobufClient("http://"+agent.GetAddress(), e.client)
}

// ticketAgent returns the agent that a ticket names.
func (e *Entry) ticketAgent(ticket string) (*rpc.MemberReport, *wire.Error) {
	name, ok := operation.ParseTicketID(ticket)
	if !ok {
		return nil, &wire.Error{Kind: wire.ErrorNotFound, Message: "malformed ticket"}
	}
	for _, report := range e.members.all() {
		if report.GetId() == name.Agent {
			return report, nil
		}
	}
	return nil, &wire.Error{Kind: wire.ErrorUnavailable, Message: "agent of the ticket is not known here", Run: wire.RunUnknown}
}

func (e *Entry) handleRun(w http.ResponseWriter, r *http.Request) {
	var body wire.TicketRun
	if failure := wire.ReadJSON(r, e.cfg.MaxBodyBytes, &body); failure != nil {
		wire.WriteError(w, *failure)
		return
	}
	writeTicket(w, func() (*rpc.Ticket, *wire.Error) {
		agent, failure := e.ticketAgent(r.PathValue("ticket"))
		if failure != nil {
			return nil, failure
		}
		state, _, _ := e.settings.current()
		svc, _, _ := state.Service(agent.GetService())
		method, failure := findMethod(svc, body.Method)
		if failure != nil {
			return nil, failure
		}
		return e.run(r.Context(), r.PathValue("ticket"), method, body.Body)
	})
}

// run runs a ticket and waits for its outcome.
func (e *Entry) run(ctx context.Context, ticket string, method settings.Method, body []byte) (*rpc.Ticket, *wire.Error) {
	timeout := runTimeout
	if method.TimeoutMS > 0 {
		timeout = time.Duration(method.TimeoutMS)*time.Millisecond + runTimeoutMargin
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, span := telemetry.Span(ctx, "entry.run_ticket")
	answer, failure := e.askAgent(ctx, ticket, func(client rpc.Operations) (*rpc.Ticket, error) {
		return client.Run(ctx, &rpc.RunRequest{
			Ticket: ticket, Method: method.Name, Body: body, TimeoutMs: uint32(timeout.Milliseconds()),
		})
	})
	span.End()
	return answer, failure
}

func (e *Entry) handleCancelTicket(w http.ResponseWriter, r *http.Request) {
	ticket := r.PathValue("ticket")
	answer, failure := e.cancel(r.Context(), ticket)
	writeState(w, answer, failure)
}

// cancel makes a reserved ticket permanently not run.
func (e *Entry) cancel(ctx context.Context, ticket string) (*rpc.Ticket, *wire.Error) {
	ctx, stop := context.WithTimeout(ctx, ticketTimeout)
	defer stop()
	return e.askAgent(ctx, ticket, func(client rpc.Operations) (*rpc.Ticket, error) {
		return client.Cancel(ctx, &rpc.TicketRequest{Ticket: ticket})
	})
}

func (e *Entry) handleGet(w http.ResponseWriter, r *http.Request) {
	ticket := r.PathValue("ticket")
	ctx, cancel := context.WithTimeout(r.Context(), ticketTimeout)
	defer cancel()
	answer, failure := e.askAgent(ctx, ticket, func(client rpc.Operations) (*rpc.Ticket, error) {
		return client.Get(ctx, &rpc.TicketRequest{Ticket: ticket})
	})
	writeState(w, answer, failure)
}

// askAgent asks the agent that the ticket names and repeats the question
// while no answer comes. Without an answer the outcome is unknown.
func (e *Entry) askAgent(ctx context.Context, ticket string, ask func(rpc.Operations) (*rpc.Ticket, error)) (*rpc.Ticket, *wire.Error) {
	agent, failure := e.ticketAgent(ticket)
	if failure != nil {
		return nil, failure
	}
	client := e.operations(agent)
	var lastErr error
	for attempt := range agentAttempts {
		if attempt > 0 {
			sleep(ctx, time.Duration(attempt)*agentRetryWait)
		}
		answer, err := ask(client)
		if err == nil && answer.GetTicket() == ticket {
			return answer, nil
		}
		if err == nil {
			err = errWrongTicket
		}
		if refusal := agentRefusal(err); refusal != nil {
			return nil, refusal
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, &wire.Error{
		Kind: wire.ErrorUpstream, Message: "agent gave no answer: " + lastErr.Error(), Run: wire.RunUnknown,
	}
}

// agentRefusal translates an answer in which the agent left the ticket as it
// was. The error has no run status, because the ticket may have run before.
func agentRefusal(err error) *wire.Error {
	var refused twirp.Error
	if !errors.As(err, &refused) {
		return nil
	}
	switch refused.Code() {
	case twirp.ResourceExhausted:
		return &wire.Error{Kind: wire.ErrorOverloaded, Message: refused.Msg(), RetryAfterMS: 1000}
	case twirp.FailedPrecondition:
		return &wire.Error{Kind: wire.ErrorConflict, Message: refused.Msg()}
	case twirp.InvalidArgument:
		return &wire.Error{Kind: wire.ErrorBadRequest, Message: refused.Msg()}
	}
	return nil
}

// writeTicket answers with the outcome of an operation.
func writeTicket(w http.ResponseWriter, run func() (*rpc.Ticket, *wire.Error)) {
	ticket, failure := run()
	if failure == nil {
		failure = outcomeError(ticket)
	}
	writeState(w, ticket, failure)
}

// writeState answers with the state of a ticket.
func writeState(w http.ResponseWriter, ticket *rpc.Ticket, failure *wire.Error) {
	if failure != nil {
		wire.WriteError(w, *failure)
		return
	}
	wire.WriteJSON(w, http.StatusOK, ticketAnswer(ticket))
}

// outcomeError returns the error for an operation that the backend server
// did not answer.
func outcomeError(t *rpc.Ticket) *wire.Error {
	switch t.GetOutcome() {
	case rpc.Outcome_COMPLETED, rpc.Outcome_FAILED:
		return nil
	case rpc.Outcome_NOT_RUN:
		return &wire.Error{Kind: wire.ErrorCancelled, Message: "operation was not run and its ticket is closed", Run: wire.RunNotRun}
	default:
		return &wire.Error{Kind: wire.ErrorUpstream, Message: "outcome is unknown", Run: wire.RunUnknown}
	}
}

func ticketAnswer(t *rpc.Ticket) wire.TicketAnswer {
	states := map[rpc.TicketState]string{
		rpc.TicketState_NOT_FOUND: "not_found", rpc.TicketState_RESERVED: "reserved", rpc.TicketState_RUNNING: "running",
		rpc.TicketState_DONE: "done", rpc.TicketState_CANCELLED: "cancelled",
	}
	outcomes := map[rpc.Outcome]string{
		rpc.Outcome_COMPLETED: "completed", rpc.Outcome_FAILED: "failed",
		rpc.Outcome_NOT_RUN: "not_run", rpc.Outcome_UNKNOWN: "unknown",
	}
	answer := wire.TicketAnswer{
		Ticket: t.GetTicket(), State: states[t.GetState()], Outcome: outcomes[t.GetOutcome()],
		Status: int(t.GetStatus()), BodyOmitted: t.GetBodyOmitted(),
	}
	if body := t.GetBody(); json.Valid(body) {
		answer.Body = body
	} else if len(body) > 0 {
		// A string always encodes.
		answer.Body, _ = json.Marshal(string(body))
	}
	return answer
}
