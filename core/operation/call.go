package operation

// Step is what a keyed call has to do next.
type Step int

// Steps of a keyed call.
const (
	// StepReserve takes a ticket; Reserved or NotReserved follows.
	StepReserve Step = iota
	// StepClaim appends a claim of the ticket and reads the stream back;
	// Settled follows.
	StepClaim
	// StepCancel cancels the own ticket; Cancelled follows.
	StepCancel
	// StepRun runs the bound ticket, whose outcome is the answer.
	StepRun
	// StepRefuse answers with Refusal.
	StepRefuse
)

// Reason says why a keyed call was refused.
type Reason int

// Reasons of a refusal.
const (
	// ReasonNoAgent means that no agent gave a ticket.
	ReasonNoAgent Reason = iota
	// ReasonUnvouched means that an earlier claim of the key may have been
	// missed or forgotten.
	ReasonUnvouched
	// ReasonUnsettled means that the claim was not read back.
	ReasonUnsettled
	// ReasonOtherRequest means that the key was used with another request.
	ReasonOtherRequest
)

// Call decides the steps of one keyed call at one entry.
type Call struct {
	// Request identifies the method and body.
	Request string
	// FirstUse says that the key was never sent before and is not sent again
	// before this call is answered.
	FirstUse bool

	own, ticket string
	unvouched   bool
	refusal     Outcome
	reason      Reason
}

// Begin starts the call with what the index says of its key.
func (c *Call) Begin(claim Claim, verdict Verdict) Step {
	switch verdict {
	case VerdictBound:
		return c.bind(claim)
	case VerdictUnbound:
		return StepReserve
	default:
		return c.refuse(OutcomeUnknown, ReasonUnvouched)
	}
}

// Reserved continues with the call's own ticket.
func (c *Call) Reserved(ticket string) Step {
	c.own = ticket
	return StepClaim
}

// NotReserved ends a call that got no ticket.
func (c *Call) NotReserved() Step {
	return c.refuse(c.notRun(), ReasonNoAgent)
}

// Settled continues with what the index says of the key after it has read
// the call's own claim. The verdict is VerdictUnbound if the claim was not
// read back in time. Such a claim may stand in the log all the same and
// another entry may take it up, so the ticket is cancelled first.
func (c *Call) Settled(claim Claim, verdict Verdict) Step {
	if verdict == VerdictBound {
		return c.bind(claim)
	}
	c.unvouched = verdict == VerdictUnvouched
	return StepCancel
}

// Cancelled ends the call with the agent's answer to the cancel, which is
// OutcomeUnknown if there is none.
func (c *Call) Cancelled(outcome Outcome) Step {
	switch {
	case c.unvouched:
		return c.refuse(OutcomeUnknown, ReasonUnvouched)
	case outcome == OutcomeNotRun:
		return c.refuse(c.notRun(), ReasonUnsettled)
	default:
		return c.refuse(OutcomeUnknown, ReasonUnsettled)
	}
}

// Ticket returns the ticket to claim, cancel or run at the present step.
func (c *Call) Ticket() string {
	if c.ticket != "" {
		return c.ticket
	}
	return c.own
}

// Surplus returns the own ticket of a call whose key is bound to another one.
func (c *Call) Surplus() string {
	if c.ticket == "" || c.own == c.ticket {
		return ""
	}
	return c.own
}

// Refusal returns the outcome and the reason of a refused call.
func (c *Call) Refusal() (Outcome, Reason) {
	return c.refusal, c.reason
}

func (c *Call) bind(claim Claim) Step {
	if claim.Request != c.Request {
		return c.refuse(OutcomeUnknown, ReasonOtherRequest)
	}
	c.ticket = claim.Ticket
	return StepRun
}

// notRun is the outcome of a call that ran nothing and never will. An
// earlier call with the same key may have run at any entry.
func (c *Call) notRun() Outcome {
	if c.FirstUse {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

func (c *Call) refuse(outcome Outcome, reason Reason) Step {
	c.refusal, c.reason = outcome, reason
	return StepRefuse
}
