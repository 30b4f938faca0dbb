package operation

import (
	"errors"
	"strings"
	"time"

	"github.com/laburnumloft/laburnumloft/core/invariant"
)

// Errors of the table. A call that returns one of them has not changed the
// state of a ticket.
var (
	// ErrFull means that every ticket in the full table is reserved or running,
	// so that none can be evicted.
	ErrFull = errors.New("ticket table is full of reserved and running tickets")
	// ErrBusy means that the maximum number of operations is running.
	ErrBusy = errors.New("too many operations are running at the backend server")
	// ErrRequestMismatch means that the ticket ran with another method or body.
	ErrRequestMismatch = errors.New("ticket was run with another method or body")
	// ErrInvalidRequestID means that the request id of a reservation is invalid.
	ErrInvalidRequestID = errors.New("request id is empty, too long or contains a separator")
)

// maxRequestIDBytes is the maximum length of a request id in bytes.
const maxRequestIDBytes = 64

// Limits are the limits of a table.
type Limits struct {
	// Tickets is the maximum number of tickets in any state.
	Tickets int
	// Running is the maximum number of operations at the backend server.
	Running int
	// ReserveExpiry is the time after which a reserved ticket is cancelled.
	ReserveExpiry time.Duration
	// BodyBytes is the maximum size of the answer body of one ticket,
	// TotalBodyBytes that of the bodies of all tickets.
	BodyBytes, TotalBodyBytes int
}

// DefaultLimits keep a table under about 24 MiB: 16,384 tickets of at most
// 500 bytes and 16 MiB of answer bodies.
func DefaultLimits() Limits {
	return Limits{
		Tickets: 16384, Running: 64, ReserveExpiry: 5 * time.Minute,
		BodyBytes: 64 << 10, TotalBodyBytes: 16 << 20,
	}
}

// Action is what the caller of Run must do next.
type Action int

// Actions that Run returns.
const (
	// ActionAnswer means that the returned ticket or error is the answer.
	ActionAnswer Action = iota
	// ActionSend means that the caller must send exactly one request to the
	// backend server and report its end with Finish.
	ActionSend
	// ActionWait means that the request was already sent and that a call to
	// Finish will report its end.
	ActionWait
)

// Table is the ticket table of one agent incarnation. It is not safe for
// concurrent use.
type Table struct {
	agent       string
	incarnation int64
	limits      Limits
	sequence    uint64
	tickets     map[string]*ticketRecord
	byRequest   map[string]string
	// reservedOrder holds ids in the order of reservation, finishedOrder in
	// the order of the outcome. bodyOrder holds the ids of finished tickets
	// whose body is kept, in the order of the outcome.
	reservedOrder, finishedOrder, bodyOrder []string
	running, bodyBytes                      int
	history                                 invariant.History
}

// NewTable returns an empty table.
func NewTable(agent string, incarnation int64, limits Limits) *Table {
	return &Table{
		agent: agent, incarnation: incarnation, limits: limits,
		tickets: map[string]*ticketRecord{}, byRequest: map[string]string{},
	}
}

// Reserve returns a ticket for the request id. A repeated reservation returns
// the same ticket as long as the table holds it.
func (t *Table) Reserve(now time.Time, requestID string) (Ticket, error) {
	t.expire(now)
	if requestID == "" || len(requestID) > maxRequestIDBytes || strings.Contains(requestID, ".") {
		return Ticket{}, ErrInvalidRequestID
	}
	if id, ok := t.byRequest[requestID]; ok {
		return t.tickets[id].Ticket, nil
	}
	if len(t.tickets) >= t.limits.Tickets && !t.evict() {
		return Ticket{}, ErrFull
	}
	t.sequence++
	ticketID := TicketID{Agent: t.agent, Incarnation: t.incarnation, Sequence: t.sequence, RequestID: requestID}
	r := &ticketRecord{Ticket: Ticket{ID: ticketID.String(), State: StateReserved}, requestID: requestID, reservedAt: now}
	t.history.Check(t.tickets[r.ID] == nil, "ticket %s issued twice", r.ID)
	t.tickets[r.ID] = r
	t.byRequest[requestID] = r.ID
	t.reservedOrder = append(t.reservedOrder, r.ID)
	t.history.Addf("reserve %s", r.ID)
	t.checkInvariants()
	return r.Ticket, nil
}

// Run moves a reserved ticket to running. The request identifies the method
// and body, which must be the same in a repeated run.
func (t *Table) Run(now time.Time, id, request string) (Ticket, Action, error) {
	t.expire(now)
	r := t.tickets[id]
	if r == nil {
		return notFound(id), ActionAnswer, nil
	}
	if r.sendCount > 0 && r.request != request {
		return Ticket{ID: id, State: r.State}, ActionAnswer, ErrRequestMismatch
	}
	switch r.State {
	case StateReserved:
		if t.running >= t.limits.Running {
			return r.Ticket, ActionAnswer, ErrBusy
		}
		t.markRunning(r, request)
		return r.Ticket, ActionSend, nil
	case StateRunning:
		return r.Ticket, ActionWait, nil
	default:
		return r.Ticket, ActionAnswer, nil
	}
}

func (t *Table) markRunning(r *ticketRecord, request string) {
	r.State = StateRunning
	r.request = request
	r.sendCount++
	t.running++
	t.history.Addf("run %s", r.ID)
	t.history.Check(r.sendCount == 1, "ticket %s sends more than one request", r.ID)
	t.checkInvariants()
}

// Finish records the result of a running ticket. Only the first result of a
// ticket is recorded, so a late or duplicate answer changes nothing.
func (t *Table) Finish(now time.Time, id string, result Result) Ticket {
	t.expire(now)
	r := t.tickets[id]
	if r == nil {
		return notFound(id)
	}
	if r.State != StateRunning {
		return r.Ticket
	}
	t.history.Check(result.Outcome != OutcomeNone, "ticket %s finished without an outcome", id)
	t.running--
	if len(result.Body) > t.limits.BodyBytes {
		result.Body, result.BodyOmitted = nil, true
	}
	r.Result = result
	t.markEnded(r, StateDone)
	t.storeBody(r)
	t.checkInvariants()
	return r.Ticket
}

// Cancel moves a reserved ticket to cancelled, so that it never runs. A ticket
// in another state is returned unchanged.
func (t *Table) Cancel(now time.Time, id string) Ticket {
	t.expire(now)
	r := t.tickets[id]
	if r == nil {
		return notFound(id)
	}
	if r.State == StateReserved {
		t.cancel(r)
	}
	return r.Ticket
}

// Get returns the state of a ticket.
func (t *Table) Get(now time.Time, id string) Ticket {
	t.expire(now)
	r := t.tickets[id]
	if r == nil {
		return notFound(id)
	}
	return r.Ticket
}

// Len returns the number of tickets in the table and how many of them are
// running.
func (t *Table) Len() (kept, running int) {
	return len(t.tickets), t.running
}

// notFound returns the answer for a ticket that is not in the table. Its
// outcome is unknown, because the ticket may have run before it was evicted or
// in another incarnation.
func notFound(id string) Ticket {
	return Ticket{ID: id, State: StateNotFound, Result: Result{Outcome: OutcomeUnknown}}
}

func (t *Table) cancel(r *ticketRecord) {
	t.history.Check(r.sendCount == 0, "ticket %s cancelled after its request was sent", r.ID)
	r.Outcome = OutcomeNotRun
	t.markEnded(r, StateCancelled)
	t.checkInvariants()
}

func (t *Table) markEnded(r *ticketRecord, state State) {
	r.State = state
	t.finishedOrder = append(t.finishedOrder, r.ID)
	t.history.Addf("%s %s %s", state, r.Outcome, r.ID)
}

// expire cancels the tickets that have been reserved for ReserveExpiry.
func (t *Table) expire(now time.Time) {
	for len(t.reservedOrder) > 0 {
		r := t.tickets[t.reservedOrder[0]]
		if r != nil && r.State == StateReserved {
			if now.Sub(r.reservedAt) < t.limits.ReserveExpiry {
				return
			}
			t.cancel(r)
		}
		t.reservedOrder = t.reservedOrder[1:]
	}
}

// evict removes the ticket that ended first. It returns false if no ticket has
// ended.
func (t *Table) evict() bool {
	if len(t.finishedOrder) == 0 {
		return false
	}
	r := t.tickets[t.finishedOrder[0]]
	t.finishedOrder = t.finishedOrder[1:]
	t.history.Check(r.State == StateDone || r.State == StateCancelled, "ticket %s evicted before it ended", r.ID)
	t.bodyBytes -= len(r.Body)
	delete(t.tickets, r.ID)
	delete(t.byRequest, r.requestID)
	return true
}

// storeBody accounts for the body of a finished ticket and drops the oldest
// bodies until the total is within the limits.
func (t *Table) storeBody(r *ticketRecord) {
	if len(r.Body) == 0 {
		return
	}
	t.bodyBytes += len(r.Body)
	t.bodyOrder = append(t.bodyOrder, r.ID)
	for t.bodyBytes > t.limits.TotalBodyBytes || len(t.bodyOrder) > t.limits.Tickets {
		if old := t.tickets[t.bodyOrder[0]]; old != nil {
			t.bodyBytes -= len(old.Body)
			old.Body, old.BodyOmitted = nil, true
		}
		t.bodyOrder = t.bodyOrder[1:]
	}
}

// checkInvariants checks the limits and the counts of the table.
func (t *Table) checkInvariants() {
	t.history.Check(len(t.tickets) <= t.limits.Tickets, "%d tickets in the table, more than its limit", len(t.tickets))
	t.history.Check(t.running >= 0 && t.running <= t.limits.Running, "%d running operations, outside the limits", t.running)
	t.history.Check(t.bodyBytes >= 0 && t.bodyBytes <= t.limits.TotalBodyBytes, "%d body bytes in the table, outside the limits", t.bodyBytes)
	t.history.Check(len(t.finishedOrder)+t.running <= len(t.tickets), "%d ended tickets and the running ones exceed the tickets in the table", len(t.finishedOrder))
}
