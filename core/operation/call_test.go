package operation

import "testing"

// TestRefusalOutcome guards against a keyed call that is refused as not run
// although an earlier call with the same key may have run, or although another
// entry may still run the claimed ticket.
func TestRefusalOutcome(t *testing.T) {
	cases := []struct {
		name      string
		firstUse  bool
		keyState  KeyState
		cancelled Outcome
		want      Outcome
	}{
		{"first use, cancelled", true, KeyUnbound, OutcomeNotRun, OutcomeNotRun},
		{"later use, cancelled", false, KeyUnbound, OutcomeNotRun, OutcomeUnknown},
		{"cancel not answered", true, KeyUnbound, OutcomeUnknown, OutcomeUnknown},
		{"run by another entry", true, KeyUnbound, OutcomeCompleted, OutcomeUnknown},
		{"state of the key unknown", true, KeyUnknown, OutcomeNotRun, OutcomeUnknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := Call{Request: "r", FirstUse: tc.firstUse}
			if step := c.Begin(Claim{}, KeyUnbound); step != StepReserve {
				t.Fatalf("Begin: step %v, want StepReserve", step)
			}
			if step := c.HandleReserved("t1"); step != StepClaim {
				t.Fatalf("reservation: step %v, want StepClaim", step)
			}
			if step := c.HandleClaimRead(Claim{}, tc.keyState); step != StepCancel || c.Ticket() != "t1" {
				t.Fatalf("claim not bound: step %v for ticket %q, want StepCancel for t1", step, c.Ticket())
			}
			c.HandleCancelled(tc.cancelled)
			if got, _ := c.Refusal(); got != tc.want {
				t.Fatalf("refused with outcome %v, want %v", got, tc.want)
			}
		})
	}
}

// TestBoundClaimIsRun guards against an entry that runs its own ticket although
// the key is bound to an earlier claim, and against a call that runs although the
// key is bound to a different request.
func TestBoundClaimIsRun(t *testing.T) {
	c := Call{Request: "r"}
	c.Begin(Claim{}, KeyUnbound)
	c.HandleReserved("t2")
	if step := c.HandleClaimRead(Claim{Ticket: "t1", Request: "r"}, KeyBound); step != StepRun || c.Ticket() != "t1" || c.UnusedTicket() != "t2" {
		t.Fatalf("step %v, ticket %q, unused ticket %q; want StepRun, t1, t2", step, c.Ticket(), c.UnusedTicket())
	}
	other := Call{Request: "other"}
	if step := other.Begin(Claim{Ticket: "t1", Request: "r"}, KeyBound); step != StepRefuse {
		t.Fatalf("key bound to another request: step %v, want StepRefuse", step)
	}
}
