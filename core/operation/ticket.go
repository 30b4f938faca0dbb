package operation

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// State is the state of a ticket.
type State int

// States of a ticket.
const (
	// StateNotFound means that the table does not hold the ticket: another
	// agent or incarnation issued it, or it was evicted.
	StateNotFound State = iota
	StateReserved
	StateRunning
	StateDone
	StateCancelled
)

// String implements fmt.Stringer.
func (s State) String() string {
	names := [...]string{"not_found", "reserved", "running", "done", "cancelled"}
	if s < 0 || int(s) >= len(names) {
		return fmt.Sprintf("state(%d)", int(s))
	}
	return names[s]
}

// Outcome is the known result of an operation.
type Outcome int

// Outcomes of an operation.
const (
	// OutcomeNone means that the ticket is still reserved or running.
	OutcomeNone Outcome = iota
	// OutcomeCompleted means that the backend server reported success.
	OutcomeCompleted
	// OutcomeFailed means that the backend server reported a failure.
	OutcomeFailed
	// OutcomeNotRun means that no request was sent and none will ever be.
	OutcomeNotRun
	// OutcomeUnknown means that the operation may have taken effect.
	OutcomeUnknown
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	names := [...]string{"", "completed", "failed", "not_run", "unknown"}
	if o < 0 || int(o) >= len(names) {
		return fmt.Sprintf("outcome(%d)", int(o))
	}
	return names[o]
}

// TicketID is a parsed ticket id.
type TicketID struct {
	Agent       string
	Incarnation int64
	// Sequence increases with each ticket of the incarnation, so that a
	// repeated reservation does not reuse the id of an evicted ticket.
	Sequence uint64
	// RequestID is the request id of the reservation.
	RequestID string
}

// String returns the ticket id.
func (id TicketID) String() string {
	return fmt.Sprintf("%s.%d.%d.%s", id.Agent, id.Incarnation, id.Sequence, id.RequestID)
}

// ticketIDFields is the number of fields after the agent's id. The agent's id
// itself may contain the separator.
const ticketIDFields = 3

// ParseTicketID parses a ticket id. It returns false if the id is malformed.
func ParseTicketID(id string) (TicketID, bool) {
	parts := strings.Split(id, ".")
	if len(parts) <= ticketIDFields {
		return TicketID{}, false
	}
	tail := parts[len(parts)-ticketIDFields:]
	incarnation, err := strconv.ParseInt(tail[0], 10, 64)
	if err != nil {
		return TicketID{}, false
	}
	sequence, err := strconv.ParseUint(tail[1], 10, 64)
	if err != nil {
		return TicketID{}, false
	}
	parsed := TicketID{
		Agent:       strings.Join(parts[:len(parts)-ticketIDFields], "."),
		Incarnation: incarnation, Sequence: sequence, RequestID: tail[2],
	}
	// Other spellings of the same numbers, such as "+1" for "1", are rejected.
	return parsed, parsed.Agent != "" && parsed.RequestID != "" && parsed.String() == id
}

// Result is the result of an operation.
type Result struct {
	Outcome Outcome
	// Status and Body are the backend server's answer.
	Status int
	Body   []byte
	// BodyOmitted reports that the body was too large to keep or was dropped
	// to make room for newer ones.
	BodyOmitted bool
}

// Ticket is a snapshot of a ticket in the table.
type Ticket struct {
	ID    string
	State State
	Result
}

// ticketRecord is a ticket in the table with its internal state.
type ticketRecord struct {
	Ticket
	requestID  string
	reservedAt time.Time
	// request identifies the method and body that the ticket ran with.
	request   string
	sendCount int
}
