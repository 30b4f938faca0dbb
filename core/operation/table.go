package operation

import (
	"errors"
	"strings"
	"time"

	"github.com/laburnumloft/laburnumloft/core/invariant"
)

// Errors of the table. None of them changes the state of a ticket.
var (
	// ErrFull means that every ticket of the table is reserved or running.
	ErrFull = errors.New("ticket table is full")
	// ErrBusy means that the backend server has its share of running operations.
	ErrBusy = errors.New("too many operations are running")
	// ErrOtherRequest means that the ticket ran with another method or body.
	ErrOtherRequest = errors.New("ticket was run with another request")
	// ErrRequestID means that a reservation has an unusable request id.
	ErrRequestID = errors.New("request id is empty, too long or contains a separator")
)

// maxRequestID bounds the id of a reservation in bytes.
const maxRequestID = 64

// Limits bound a table.
type Limits struct {
	// Tickets bounds the tickets that are kept in any state.
	Tickets int
	// Running bounds the operations at the backend server.
	Running int
	// ReserveExpiry is how long a ticket stays reserved.
	ReserveExpiry time.Duration
	// BodyBytes bounds the answer body of one ticket, TotalBodyBytes that of
	// all tickets.
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

// Action tells the caller what a call to Run requires.
type Action int

// Actions after Run.
const (
	// ActionAnswer means that the ticket's state is the answer.
	ActionAnswer Action = iota
	// ActionSend means that the caller must send exactly one request to the
	// backend server and report its end with Finish.
	ActionSend
	// ActionWait means that the request was sent before; its end is reported
	// by Finish.
	ActionWait
)

// Table is the ticket table of one agent incarnation. It is not safe for
// concurrent use.
type Table struct {
	agent       string
	incarnation int64
	limits      Limits
	sequence    uint64
	tickets     map[string]*record
	byRequest   map[string]string
	// reserved holds ids in the order of reservation, finished in the order
	// of the outcome, withBody the finished ids whose body is kept.
	reserved, finished, withBody []string
	running, bodyBytes           int
	history                      invariant.History
}

// NewTable returns an empty table.
func NewTable(agent string, incarnation int64, limits Limits) *Table {
	return &Table{
		agent: agent, incarnation: incarnation, limits: limits,
		tickets: map[string]*record{}, byRequest: map[string]string{},
	}
}

// Reserve returns a ticket for the request id, the same one when it is
// repeated while the table holds it.
func (t *Table) Reserve(now time.Time, requestID string) (Ticket, error) {
	t.expire(now)
	if requestID == "" || len(requestID) > maxRequestID || strings.Contains(requestID, ".") {
		return Ticket{}, ErrRequestID
	}
	if id, ok := t.byRequest[requestID]; ok {
		return t.tickets[id].Ticket, nil
	}
	if len(t.tickets) >= t.limits.Tickets && !t.evict() {
		return Ticket{}, ErrFull
	}
	t.sequence++
	name := Name{Agent: t.agent, Incarnation: t.incarnation, Sequence: t.sequence, RequestID: requestID}
	r := &record{Ticket: Ticket{ID: name.String(), State: StateReserved}, requestID: requestID, reservedAt: now}
	t.history.Check(t.tickets[r.ID] == nil, "ticket %s is issued once", r.ID)
	t.tickets[r.ID] = r
	t.byRequest[requestID] = r.ID
	t.reserved = append(t.reserved, r.ID)
	t.history.Addf("reserve %s", r.ID)
	t.check()
	return r.Ticket, nil
}

// Run moves a reserved ticket to running. The request identifies the method
// and body; a repeated run must name the same.
func (t *Table) Run(now time.Time, id, request string) (Ticket, Action, error) {
	t.expire(now)
	r := t.tickets[id]
	if r == nil {
		return missing(id), ActionAnswer, nil
	}
	if r.sends > 0 && r.request != request {
		return Ticket{ID: id, State: r.State}, ActionAnswer, ErrOtherRequest
	}
	switch r.State {
	case StateReserved:
		if t.running >= t.limits.Running {
			return r.Ticket, ActionAnswer, ErrBusy
		}
		t.start(r, request)
		return r.Ticket, ActionSend, nil
	case StateRunning:
		return r.Ticket, ActionWait, nil
	default:
		return r.Ticket, ActionAnswer, nil
	}
}

func (t *Table) start(r *record, request string) {
	r.State = StateRunning
	r.request = request
	r.sends++
	t.running++
	t.history.Addf("run %s", r.ID)
	t.history.Check(r.sends == 1, "ticket %s sends one request", r.ID)
	t.check()
}

// Finish records the end of a running ticket. Of several ends of one ticket
// the first is kept, so a late or doubled answer changes nothing.
func (t *Table) Finish(now time.Time, id string, result Result) Ticket {
	t.expire(now)
	r := t.tickets[id]
	if r == nil {
		return missing(id)
	}
	if r.State != StateRunning {
		return r.Ticket
	}
	t.history.Check(result.Outcome != OutcomeNone, "ticket %s ends with an outcome", id)
	t.running--
	if len(result.Body) > t.limits.BodyBytes {
		result.Body, result.BodyOmitted = nil, true
	}
	r.Result = result
	t.end(r, StateDone)
	t.keepBody(r)
	t.check()
	return r.Ticket
}

// Cancel makes a reserved ticket permanently not run. A ticket in another
// state is returned as it is.
func (t *Table) Cancel(now time.Time, id string) Ticket {
	t.expire(now)
	r := t.tickets[id]
	if r == nil {
		return missing(id)
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
		return missing(id)
	}
	return r.Ticket
}

// Len returns the numbers of tickets that are kept and that are running.
func (t *Table) Len() (kept, running int) {
	return len(t.tickets), t.running
}

// missing is the answer for a ticket that the table does not hold. It may
// have run before it was evicted, or at another incarnation.
func missing(id string) Ticket {
	return Ticket{ID: id, State: StateNotFound, Result: Result{Outcome: OutcomeUnknown}}
}

func (t *Table) cancel(r *record) {
	t.history.Check(r.sends == 0, "cancelled ticket %s was never sent", r.ID)
	r.Outcome = OutcomeNotRun
	t.end(r, StateCancelled)
	t.check()
}

func (t *Table) end(r *record, state State) {
	r.State = state
	t.finished = append(t.finished, r.ID)
	t.history.Addf("%s %s %s", state, r.Outcome, r.ID)
}

// expire cancels tickets that stayed reserved for too long.
func (t *Table) expire(now time.Time) {
	for len(t.reserved) > 0 {
		r := t.tickets[t.reserved[0]]
		if r != nil && r.State == StateReserved {
			if now.Sub(r.reservedAt) < t.limits.ReserveExpiry {
				return
			}
			t.cancel(r)
		}
		t.reserved = t.reserved[1:]
	}
}

// evict forgets the ticket that ended first.
func (t *Table) evict() bool {
	if len(t.finished) == 0 {
		return false
	}
	r := t.tickets[t.finished[0]]
	t.finished = t.finished[1:]
	t.history.Check(r.State == StateDone || r.State == StateCancelled, "evicted ticket %s has ended", r.ID)
	t.bodyBytes -= len(r.Body)
	delete(t.tickets, r.ID)
	delete(t.byRequest, r.requestID)
	return true
}

// keepBody drops the oldest bodies until all fit.
func (t *Table) keepBody(r *record) {
	if len(r.Body) == 0 {
		return
	}
	t.bodyBytes += len(r.Body)
	t.withBody = append(t.withBody, r.ID)
	for t.bodyBytes > t.limits.TotalBodyBytes || len(t.withBody) > t.limits.Tickets {
		if old := t.tickets[t.withBody[0]]; old != nil {
			t.bodyBytes -= len(old.Body)
			old.Body, old.BodyOmitted = nil, true
		}
		t.withBody = t.withBody[1:]
	}
}

// check asserts the bounds and the counts of the table.
func (t *Table) check() {
	t.history.Check(len(t.tickets) <= t.limits.Tickets, "%d tickets are kept", len(t.tickets))
	t.history.Check(t.running >= 0 && t.running <= t.limits.Running, "%d operations are running", t.running)
	t.history.Check(t.bodyBytes >= 0 && t.bodyBytes <= t.limits.TotalBodyBytes, "%d body bytes are kept", t.bodyBytes)
	t.history.Check(len(t.finished)+t.running <= len(t.tickets), "%d tickets have ended", len(t.finished))
}
