package operation

import "testing"

// TestRefusalIsTrue guards against a keyed call that is refused as not run
// although an earlier call with its key may have run, or although another
// entry may still run the claimed ticket.
func TestRefusalIsTrue(t *testing.T) {
	cases := []struct {
		name      string
		firstUse  bool
		settled   Verdict
		cancelled Outcome
		want      Outcome
	}{
		{"first use, cancelled", true, VerdictUnbound, OutcomeNotRun, OutcomeNotRun},
		{"later use, cancelled", false, VerdictUnbound, OutcomeNotRun, OutcomeUnknown},
		{"cancel not answered", true, VerdictUnbound, OutcomeUnknown, OutcomeUnknown},
		{"run by another entry", true, VerdictUnbound, OutcomeCompleted, OutcomeUnknown},
		{"key not vouched for", true, VerdictUnvouched, OutcomeNotRun, OutcomeUnknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := Call{Request: "r", FirstUse: tc.firstUse}
			if step := c.Begin(Claim{}, VerdictUnbound); step != StepReserve {
				t.Fatalf("begin: step %v", step)
			}
			if step := c.Reserved("t1"); step != StepClaim {
				t.Fatalf("reserved: step %v", step)
			}
			if step := c.Settled(Claim{}, tc.settled); step != StepCancel || c.Ticket() != "t1" {
				t.Fatalf("settled: step %v for ticket %q", step, c.Ticket())
			}
			c.Cancelled(tc.cancelled)
			if got, _ := c.Refusal(); got != tc.want {
				t.Fatalf("refusal %v, want %v", got, tc.want)
			}
		})
	}
}

// TestBoundClaimIsRun guards against an entry that runs its own ticket when
// another claim of the key came first, or runs a key with another request.
func TestBoundClaimIsRun(t *testing.T) {
	c := Call{Request: "r"}
	c.Begin(Claim{}, VerdictUnbound)
	c.Reserved("t2")
	if step := c.Settled(Claim{Ticket: "t1", Request: "r"}, VerdictBound); step != StepRun || c.Ticket() != "t1" || c.Surplus() != "t2" {
		t.Fatalf("step %v, ticket %q, surplus %q", step, c.Ticket(), c.Surplus())
	}
	other := Call{Request: "other"}
	if step := other.Begin(Claim{Ticket: "t1", Request: "r"}, VerdictBound); step != StepRefuse {
		t.Fatalf("step %v for another request", step)
	}
}
