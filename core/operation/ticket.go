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

// Outcome is what is known of an operation's effect.
type Outcome int

// Outcomes of an operation.
const (
	// OutcomeNone means that the ticket is still reserved or running.
	OutcomeNone Outcome = iota
	// OutcomeCompleted means that the backend server reported success.
	OutcomeCompleted
	// OutcomeFailed means that the backend server itself reported a failure.
	OutcomeFailed
	// OutcomeNotRun is certain and final: nothing was and nothing will be sent.
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

// Name is a parsed ticket id.
type Name struct {
	Agent       string
	Incarnation int64
	// Sequence grows with each ticket of the incarnation. It keeps a repeated
	// reservation from reviving the id of a ticket that was evicted.
	Sequence uint64
	// RequestID is the id of the reservation.
	RequestID string
}

// String returns the ticket id.
func (n Name) String() string {
	return fmt.Sprintf("%s.%d.%d.%s", n.Agent, n.Incarnation, n.Sequence, n.RequestID)
}

// nameFields is the number of fields after the agent's id, which may itself
// contain the separator.
const nameFields = 3

// ParseName reads a ticket id.
func ParseName(id string) (Name, bool) {
	parts := strings.Split(id, ".")
	if len(parts) <= nameFields {
		return Name{}, false
	}
	tail := parts[len(parts)-nameFields:]
	incarnation, err := strconv.ParseInt(tail[0], 10, 64)
	if err != nil {
		return Name{}, false
	}
	sequence, err := strconv.ParseUint(tail[1], 10, 64)
	if err != nil {
		return Name{}, false
	}
	n := Name{
		Agent:       strings.Join(parts[:len(parts)-nameFields], "."),
		Incarnation: incarnation, Sequence: sequence, RequestID: tail[2],
	}
	// A second spelling of one ticket, such as "+1" for "1", is not an id.
	return n, n.Agent != "" && n.RequestID != "" && n.String() == id
}

// Result is the recorded result of an operation.
type Result struct {
	Outcome Outcome
	// Status and Body are the backend server's answer.
	Status int
	Body   []byte
	// BodyOmitted says that the body was too large to keep or was dropped to
	// make room.
	BodyOmitted bool
}

// Ticket is a copy of a ticket's state.
type Ticket struct {
	ID    string
	State State
	Result
}

// record is a ticket in the table.
type record struct {
	Ticket
	requestID  string
	reservedAt time.Time
	// request identifies the method and body that the ticket ran with.
	request string
	sends   int
}
