package operation

// Step is the next step of a keyed call.
type Step int

// Steps of a keyed call.
const (
	// StepReserve reserves a ticket at an agent; HandleReserved or
	// HandleReserveFailed follows.
	StepReserve Step = iota
	// StepClaim appends a claim of the ticket to the log and waits until the
	// index has read it; HandleClaimRead follows.
	StepClaim
	// StepCancel cancels the call's own ticket; HandleCancelled follows.
	StepCancel
	// StepRun runs the ticket bound to the key; its outcome is the answer.
	StepRun
	// StepRefuse answers the caller with the result of Refusal.
	StepRefuse
)

// Reason is the reason why a keyed call was refused.
type Reason int

// Reasons of a refusal.
const (
	// ReasonNoAgent means that no agent reserved a ticket.
	ReasonNoAgent Reason = iota
	// ReasonKeyUnknown means that the index may have missed or evicted an
	// earlier claim of the key.
	ReasonKeyUnknown
	// ReasonClaimUnconfirmed means that the claim was not read back from the
	// log in time.
	ReasonClaimUnconfirmed
	// ReasonRequestMismatch means that the key is bound to a ticket with
	// another method or body.
	ReasonRequestMismatch
)

// Call is the state machine of one keyed call at one entry. Each method that
// handles an event returns the next step.
type Call struct {
	// Request identifies the method and body.
	Request string
	// FirstUse reports that the caller has not sent the key before and does
	// not send it again before this call is answered.
	FirstUse bool

	ownTicket, boundTicket string
	keyUnknown             bool
	refusal                Outcome
	reason                 Reason
}

// Begin starts the call with the state of its key in the index.
func (c *Call) Begin(claim Claim, state KeyState) Step {
	switch state {
	case KeyBound:
		return c.bind(claim)
	case KeyUnbound:
		return StepReserve
	default:
		return c.refuse(OutcomeUnknown, ReasonKeyUnknown)
	}
}

// HandleReserved handles the reservation of the call's own ticket.
func (c *Call) HandleReserved(ticket string) Step {
	c.ownTicket = ticket
	return StepClaim
}

// HandleReserveFailed handles a failed reservation, which ends the call.
func (c *Call) HandleReserveFailed() Step {
	return c.refuse(c.notRunOutcome(), ReasonNoAgent)
}

// HandleClaimRead handles the state of the key after the index has read the
// call's own claim. The caller passes KeyUnbound if the claim was not read back
// in time. Such a claim may still be in the log, and another entry may run its
// ticket, so the next step cancels the ticket.
func (c *Call) HandleClaimRead(claim Claim, state KeyState) Step {
	if state == KeyBound {
		return c.bind(claim)
	}
	c.keyUnknown = state == KeyUnknown
	return StepCancel
}

// HandleCancelled handles the agent's answer to the cancel, which ends the call.
// The caller passes OutcomeUnknown if the agent did not answer.
func (c *Call) HandleCancelled(outcome Outcome) Step {
	switch {
	case c.keyUnknown:
		return c.refuse(OutcomeUnknown, ReasonKeyUnknown)
	case outcome == OutcomeNotRun:
		return c.refuse(c.notRunOutcome(), ReasonClaimUnconfirmed)
	default:
		return c.refuse(OutcomeUnknown, ReasonClaimUnconfirmed)
	}
}

// Ticket returns the ticket to claim, cancel or run in the current step.
func (c *Call) Ticket() string {
	if c.boundTicket != "" {
		return c.boundTicket
	}
	return c.ownTicket
}

// UnusedTicket returns the call's own ticket if the key is bound to another
// ticket, and an empty string otherwise.
func (c *Call) UnusedTicket() string {
	if c.boundTicket == "" || c.ownTicket == c.boundTicket {
		return ""
	}
	return c.ownTicket
}

// Refusal returns the outcome and the reason of a refused call.
func (c *Call) Refusal() (Outcome, Reason) {
	return c.refusal, c.reason
}

func (c *Call) bind(claim Claim) Step {
	if claim.Request != c.Request {
		return c.refuse(OutcomeUnknown, ReasonRequestMismatch)
	}
	c.boundTicket = claim.Ticket
	return StepRun
}

// notRunOutcome returns the outcome of a call that ran nothing and never will.
// Unless this is the first use of the key, an earlier call with the same key
// may have run at any entry, so the outcome is unknown.
func (c *Call) notRunOutcome() Outcome {
	if c.FirstUse {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

func (c *Call) refuse(outcome Outcome, reason Reason) Step {
	c.refusal, c.reason = outcome, reason
	return StepRefuse
}
