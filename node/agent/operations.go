package agent

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"
	"go.opentelemetry.io/otel/trace"

	"github.com/laburnumloft/laburnumloft/core/operation"
	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/ring"
	"github.com/laburnumloft/laburnumloft/node/lib/telemetry"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// Bounds of the operations duty.
const (
	maxOperationBody       = 256 << 10
	commandRing            = 256
	maxWaitersPerTicket    = 64
	maxIdempotentCalls     = 64
	defaultOperationTime   = 30 * time.Second
	longestOperationTime   = 10 * time.Minute
	operationRequestPrefix = "laburnumloft-operation\n"
)

// errTooManyWaiters means that too many repeated runs wait for one outcome.
var errTooManyWaiters = eris.New("too many runs wait for this ticket")

// commandKind selects what a command does with the ticket table.
type commandKind int

const (
	commandReserve commandKind = iota
	commandRun
	commandCancel
	commandGet
)

// command is a request to the goroutine that owns the ticket table.
type command struct {
	kind commandKind
	// id is a ticket, for commandReserve the id of the reservation.
	id string
	// The other fields are set for commandRun only.
	request, method string
	body            []byte
	timeout         time.Duration
	fence           wire.Fence
	// caller is the span that asked.
	caller trace.SpanContext
	reply  chan commandReply
}

type commandReply struct {
	ticket operation.Ticket
	err    error
}

// finished is the end of the one request of a ticket.
type finished struct {
	ticket string
	result operation.Result
}

// operationsDuty owns the ticket table and implements rpc.Operations.
type operationsDuty struct {
	agent    *Agent
	backend  *operationBackend
	table    *operation.Table
	commands *ring.Ring[command]
	ends     *ring.Ring[finished]
	waiters  map[string][]chan commandReply
	sends    sync.WaitGroup
	calls    chan struct{}
}

func newOperationsDuty(a *Agent) *operationsDuty {
	return &operationsDuty{
		agent:    a,
		backend:  newOperationBackend(a.cfg.BackendURL, a.gate),
		table:    operation.NewTable(a.cfg.ID, a.incarnation, operation.DefaultLimits()),
		commands: ring.New[command]("operation_commands", commandRing, ring.Refuse),
		ends:     ring.New[finished]("operation_ends", commandRing, ring.Block),
		waiters:  map[string][]chan commandReply{},
		calls:    make(chan struct{}, maxIdempotentCalls),
	}
}

// run is the only goroutine that touches the ticket table.
func (d *operationsDuty) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-d.commands.Items():
			d.execute(c)
		case end := <-d.ends.Items():
			ticket := d.table.Finish(time.Now(), end.ticket, end.result)
			for _, waiter := range d.waiters[end.ticket] {
				waiter <- commandReply{ticket: ticket}
			}
			delete(d.waiters, end.ticket)
		}
	}
}

func (d *operationsDuty) execute(c command) {
	now := time.Now()
	var answer commandReply
	switch c.kind {
	case commandReserve:
		answer.ticket, answer.err = d.table.Reserve(now, c.id)
	case commandCancel:
		answer.ticket = d.table.Cancel(now, c.id)
	case commandGet:
		answer.ticket = d.table.Get(now, c.id)
	case commandRun:
		var action operation.Action
		answer.ticket, action, answer.err = d.table.Run(now, c.id, c.request)
		if action == operation.ActionSend {
			d.sends.Go(func() { d.send(c) })
		}
		if action != operation.ActionAnswer {
			answer.err = d.addWaiter(c)
			if answer.err == nil {
				return
			}
		}
	}
	c.reply <- answer
}

func (d *operationsDuty) addWaiter(c command) error {
	if len(d.waiters[c.id]) >= maxWaitersPerTicket {
		return errTooManyWaiters
	}
	d.waiters[c.id] = append(d.waiters[c.id], c.reply)
	return nil
}

// send sends the one request of a ticket. It does not depend on the entry
// that asked for it, so that the outcome is recorded if that entry dies.
func (d *operationsDuty) send(c command) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	ctx, span := telemetry.Span(trace.ContextWithSpanContext(ctx, c.caller), "agent.run_operation")
	defer span.End()
	result := d.backend.send(ctx, c.id, c.fence, c.method, c.body)
	d.ends.Push(context.Background(), finished{ticket: c.id, result: result})
}

// drain waits for the ends of the requests that were sent.
func (d *operationsDuty) drain(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		d.sends.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "operations were cut off")
	}
}

// ask passes a command to the table and waits for its answer.
func (d *operationsDuty) ask(ctx context.Context, c command) (*rpc.Ticket, error) {
	c.reply, c.caller = make(chan commandReply, 1), trace.SpanContextFromContext(ctx)
	if !d.commands.Push(ctx, c) {
		return nil, twirp.NewError(twirp.ResourceExhausted, "too many ticket requests wait")
	}
	select {
	case answer := <-c.reply:
		if answer.err != nil {
			return nil, operationError(answer.err)
		}
		return d.message(answer.ticket), nil
	case <-ctx.Done():
		return nil, twirp.WrapError(twirp.NewError(twirp.DeadlineExceeded, "outcome is not known yet"), ctx.Err())
	}
}

func operationError(err error) error {
	code := twirp.ResourceExhausted
	switch {
	case errors.Is(err, operation.ErrRequestMismatch):
		code = twirp.FailedPrecondition
	case errors.Is(err, operation.ErrInvalidRequestID):
		code = twirp.InvalidArgument
	}
	return twirp.NewError(code, err.Error())
}

// Reserve implements rpc.Operations.
func (d *operationsDuty) Reserve(ctx context.Context, req *rpc.ReserveRequest) (*rpc.Ticket, error) {
	if req.GetService() != d.agent.cfg.Service || d.agent.cfg.Kind != settings.KindPlain {
		return nil, twirp.NewError(twirp.InvalidArgument, "agent has no such plain service")
	}
	if d.agent.state.isLeaving() {
		return nil, twirp.NewError(twirp.Unavailable, "agent is leaving")
	}
	if failure := d.agent.gate.refusal(); failure != nil {
		return nil, twirp.NewError(twirp.Unavailable, failure.Message)
	}
	return d.ask(ctx, command{kind: commandReserve, id: req.GetRequestId()})
}

// Run implements rpc.Operations.
func (d *operationsDuty) Run(ctx context.Context, req *rpc.RunRequest) (*rpc.Ticket, error) {
	if d.agent.state.isLeaving() {
		// A reserved ticket is new work; one that runs keeps its waiters.
		answer, err := d.Cancel(ctx, &rpc.TicketRequest{Ticket: req.GetTicket()})
		if err != nil || answer.GetState() != rpc.TicketState_RUNNING {
			return answer, err
		}
	}
	method, offset, err := d.method(req.GetMethod(), req.GetBody())
	if err != nil {
		return nil, err
	}
	return d.ask(ctx, command{
		kind: commandRun, id: req.GetTicket(), method: method.Name, body: req.GetBody(),
		request: requestDigest(method.Name, req.GetBody()),
		timeout: operationTime(method), fence: wire.Fence{Offset: offset, StartMS: d.agent.incarnation},
	})
}

// Cancel implements rpc.Operations.
func (d *operationsDuty) Cancel(ctx context.Context, req *rpc.TicketRequest) (*rpc.Ticket, error) {
	return d.ask(ctx, command{kind: commandCancel, id: req.GetTicket()})
}

// Get implements rpc.Operations.
func (d *operationsDuty) Get(ctx context.Context, req *rpc.TicketRequest) (*rpc.Ticket, error) {
	return d.ask(ctx, command{kind: commandGet, id: req.GetTicket()})
}

// Call implements rpc.Operations. The entry may repeat it, so the agent's
// own settings must name the method idempotent too.
func (d *operationsDuty) Call(ctx context.Context, req *rpc.CallRequest) (*rpc.Ticket, error) {
	method, offset, err := d.method(req.GetMethod(), req.GetBody())
	if err != nil {
		return nil, err
	}
	if !method.Idempotent {
		return nil, twirp.NewError(twirp.InvalidArgument, "method is not idempotent")
	}
	if d.agent.state.isLeaving() {
		return nil, twirp.NewError(twirp.Unavailable, "agent is leaving")
	}
	if failure := d.agent.gate.refusal(); failure != nil {
		return nil, twirp.NewError(twirp.Unavailable, failure.Message)
	}
	select {
	case d.calls <- struct{}{}:
		defer func() { <-d.calls }()
	default:
		return nil, twirp.NewError(twirp.ResourceExhausted, operation.ErrBusy.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, operationTime(method))
	defer cancel()
	fence := wire.Fence{Offset: offset, StartMS: d.agent.incarnation}
	result := d.backend.send(ctx, "", fence, method.Name, req.GetBody())
	return d.message(operation.Ticket{State: operation.StateDone, Result: result}), nil
}

// method returns the method from the settings in force and their offset.
func (d *operationsDuty) method(name string, body []byte) (settings.Method, int64, error) {
	if len(body) > maxOperationBody {
		return settings.Method{}, 0, twirp.NewErrorf(twirp.InvalidArgument, "body exceeds %d bytes", maxOperationBody)
	}
	state, _ := d.agent.state.current()
	svc, offset, ok := state.Service(d.agent.cfg.Service)
	if ok && svc.Kind == settings.KindPlain {
		for _, m := range svc.Methods {
			if m.Name == name {
				return m, offset, nil
			}
		}
	}
	return settings.Method{}, 0, twirp.NewErrorf(twirp.InvalidArgument, "settings name no method %q", name)
}

func operationTime(m settings.Method) time.Duration {
	if m.TimeoutMS <= 0 {
		return defaultOperationTime
	}
	return min(time.Duration(m.TimeoutMS)*time.Millisecond, longestOperationTime)
}

// requestDigest identifies a method and body.
func requestDigest(method string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(operationRequestPrefix + method + "\n"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

func (d *operationsDuty) message(t operation.Ticket) *rpc.Ticket {
	return &rpc.Ticket{
		Ticket: t.ID, Agent: d.agent.cfg.ID, Incarnation: d.agent.incarnation, Address: d.agent.cfg.Listen,
		State: ticketStates[t.State], Outcome: ticketOutcomes[t.Outcome],
		Status: uint32(t.Status), Body: t.Body, BodyOmitted: t.BodyOmitted,
	}
}

var ticketStates = map[operation.State]rpc.TicketState{
	operation.StateNotFound:  rpc.TicketState_NOT_FOUND,
	operation.StateReserved:  rpc.TicketState_RESERVED,
	operation.StateRunning:   rpc.TicketState_RUNNING,
	operation.StateDone:      rpc.TicketState_DONE,
	operation.StateCancelled: rpc.TicketState_CANCELLED,
}

var ticketOutcomes = map[operation.Outcome]rpc.Outcome{
	operation.OutcomeNone:      rpc.Outcome_OUTCOME_UNSPECIFIED,
	operation.OutcomeCompleted: rpc.Outcome_COMPLETED,
	operation.OutcomeFailed:    rpc.Outcome_FAILED,
	operation.OutcomeNotRun:    rpc.Outcome_NOT_RUN,
	operation.OutcomeUnknown:   rpc.Outcome_UNKNOWN,
}

func (s *agentState) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}
