package wire

import "encoding/json"

// Headers of a call to a plain service.
const (
	// TicketHeader carries the ticket. If a response has this header, its value
	// must be the ticket of the request.
	TicketHeader = "Operation-Ticket"
	// FenceHeader carries the fencing number as OFFSET.START_MS.
	FenceHeader = "Operation-Fence"
)

// Headers of a one-shot call.
const (
	// KeyHeader carries the idempotency key, a UUID of version 7.
	KeyHeader = "Idempotency-Key"
	// FirstUseHeader is "true" if the caller has never sent the key before.
	FirstUseHeader = "Idempotency-First-Use"
)

// Reservation is the response to a request for a ticket.
type Reservation struct {
	Ticket      string `json:"ticket"`
	Agent       string `json:"agent"`
	Incarnation int64  `json:"incarnation"`
}

// TicketRun is a request to run the call of a ticket.
type TicketRun struct {
	Method string          `json:"method"`
	Body   json.RawMessage `json:"body"`
}

// TicketAnswer is the state of a ticket or the result of a call.
type TicketAnswer struct {
	Ticket  string `json:"ticket,omitempty"`
	State   string `json:"state"`
	Outcome string `json:"outcome,omitempty"`
	// Status and Body are from the backend server's response. A body that is not
	// JSON is encoded as a JSON string.
	Status int             `json:"status,omitempty"`
	Body   json.RawMessage `json:"body,omitempty"`
	// BodyOmitted means that the body was too large to keep.
	BodyOmitted bool `json:"body_omitted,omitempty"`
}

// ClaimRecord is a record of the log stream of claims. A record without a key is a
// time marker in the stream.
type ClaimRecord struct {
	Workspace string `json:"workspace,omitempty"`
	Service   string `json:"service,omitempty"`
	Key       string `json:"key,omitempty"`
	Ticket    string `json:"ticket,omitempty"`
	// Request is the SHA-256 of method and body in hexadecimal.
	Request string `json:"request,omitempty"`
}
