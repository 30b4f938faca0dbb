package operation

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

var start = time.UnixMilli(1_700_000_000_000)

func testLimits() Limits {
	return Limits{Tickets: 4, Running: 2, ReserveExpiry: time.Minute, BodyBytes: 8, TotalBodyBytes: 12}
}

func reserve(t *testing.T, table *Table, id string) string {
	t.Helper()
	ticket, err := table.Reserve(start, id)
	if err != nil {
		t.Fatalf("Reserve(%s): %v", id, err)
	}
	return ticket.ID
}

// TestRunSendsOnce guards against a second request for a repeated run and
// against a duplicate answer that replaces the recorded one.
func TestRunSendsOnce(t *testing.T) {
	table := NewTable("agent.1", 7, testLimits())
	id := reserve(t, table, "r1")
	want := []Action{ActionSend, ActionWait, ActionAnswer}
	for i, action := range want {
		if _, got, err := table.Run(start, id, "open"); got != action || err != nil {
			t.Fatalf("run %d: action %v, error %v, want %v", i, got, err, action)
		}
		if i == 1 {
			table.Finish(start, id, Result{Outcome: OutcomeCompleted, Status: 200})
			table.Finish(start, id, Result{Outcome: OutcomeUnknown})
		}
	}
	if got := table.Get(start, id); got.Outcome != OutcomeCompleted || table.Cancel(start, id).State != StateDone {
		t.Fatalf("outcome %v after a duplicate answer and a cancel, want completed", got.Outcome)
	}
	if _, _, err := table.Run(start, id, "close"); !errors.Is(err, ErrRequestMismatch) {
		t.Fatalf("run with another request: error %v", err)
	}
}

// TestCancelIsFinal guards against a ticket that runs after a confirmed cancel
// or after its reservation has expired.
func TestCancelIsFinal(t *testing.T) {
	table := NewTable("agent", 7, testLimits())
	cancelled, expired := reserve(t, table, "r1"), reserve(t, table, "r2")
	table.Cancel(start, cancelled)
	later := start.Add(time.Minute)
	for _, id := range []string{cancelled, expired} {
		ticket, action, _ := table.Run(later, id, "open")
		if action != ActionAnswer || ticket.Outcome != OutcomeNotRun {
			t.Fatalf("run of %s: action %v, outcome %v; want ActionAnswer, not_run", id, action, ticket.Outcome)
		}
	}
}

// TestForeignTicketIsNeverRun guards against a run of a ticket that was evicted
// or that another agent or incarnation issued, and against an answer that such a
// ticket was not run.
func TestForeignTicketIsNeverRun(t *testing.T) {
	table := NewTable("agent", 8, testLimits())
	old := reserve(t, table, "r0")
	table.Cancel(start, old)
	for i := range 4 {
		reserve(t, table, fmt.Sprintf("s%d", i))
	}
	otherIncarnation := TicketID{Agent: "agent", Incarnation: 7, Sequence: 1, RequestID: "s0"}.String()
	for _, id := range []string{old, otherIncarnation, "agent.8.99.s0"} {
		ticket, action, _ := table.Run(start, id, "open")
		if action != ActionAnswer || ticket.State != StateNotFound || ticket.Outcome != OutcomeUnknown {
			t.Fatalf("run of %s: action %v, ticket %+v; want ActionAnswer, not_found, unknown", id, action, ticket)
		}
	}
	if _, err := table.Reserve(start, "s9"); !errors.Is(err, ErrFull) {
		t.Fatalf("reservation in a full table: error %v, want ErrFull", err)
	}
}

// TestLateReservationGetsNewTicket guards against a table that issues the id of
// an evicted ticket again when its reservation arrives twice. A duplicate run
// request for that ticket would then run the operation a second time.
func TestLateReservationGetsNewTicket(t *testing.T) {
	table := NewTable("agent", 8, testLimits())
	id := reserve(t, table, "r0")
	table.Run(start, id, "open")
	table.Finish(start, id, Result{Outcome: OutcomeCompleted})
	for i := range 4 {
		table.Cancel(start, reserve(t, table, fmt.Sprintf("s%d", i)))
	}
	if again := reserve(t, table, "r0"); again == id {
		t.Fatal("id of an evicted ticket was issued again")
	}
	if _, action, _ := table.Run(start, id, "open"); action != ActionAnswer {
		t.Fatalf("run of an evicted ticket: action %v, want ActionAnswer", action)
	}
}

// TestBodiesAreBounded guards against answer bodies that exceed the limits of
// the table.
func TestBodiesAreBounded(t *testing.T) {
	table := NewTable("agent", 8, testLimits())
	sizes := []int{9, 8, 8}
	var ids []string
	for i, size := range sizes {
		id := reserve(t, table, fmt.Sprintf("r%d", i))
		table.Run(start, id, "open")
		table.Finish(start, id, Result{Outcome: OutcomeCompleted, Body: make([]byte, size)})
		ids = append(ids, id)
	}
	for i, omitted := range []bool{true, true, false} {
		if got := table.Get(start, ids[i]); got.BodyOmitted != omitted || got.Outcome != OutcomeCompleted {
			t.Fatalf("ticket %d: body omitted or outcome differs: %+v", i, got)
		}
	}
}
