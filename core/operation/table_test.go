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
// against a doubled answer that replaces the recorded one.
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
		t.Fatalf("outcome %v after a doubled answer and a cancel", got.Outcome)
	}
	if _, _, err := table.Run(start, id, "close"); !errors.Is(err, ErrOtherRequest) {
		t.Fatalf("run with another request: %v", err)
	}
}

// TestCancelIsFinal guards against a run after a confirmed cancel and after
// the expiry of a reservation.
func TestCancelIsFinal(t *testing.T) {
	table := NewTable("agent", 7, testLimits())
	cancelled, expired := reserve(t, table, "r1"), reserve(t, table, "r2")
	table.Cancel(start, cancelled)
	later := start.Add(time.Minute)
	for _, id := range []string{cancelled, expired} {
		ticket, action, _ := table.Run(later, id, "open")
		if action != ActionAnswer || ticket.Outcome != OutcomeNotRun {
			t.Fatalf("run of %s: action %v, outcome %v", id, action, ticket.Outcome)
		}
	}
}

// TestForeignTicketIsNeverRun guards against a run of a ticket that another
// agent or incarnation issued, or that was evicted, and against a claim that
// such a ticket was not run.
func TestForeignTicketIsNeverRun(t *testing.T) {
	table := NewTable("agent", 8, testLimits())
	old := reserve(t, table, "r0")
	table.Cancel(start, old)
	for i := range 4 {
		reserve(t, table, fmt.Sprintf("s%d", i))
	}
	other := Name{Agent: "agent", Incarnation: 7, Sequence: 1, RequestID: "s0"}.String()
	for _, id := range []string{old, other, "agent.8.99.s0"} {
		ticket, action, _ := table.Run(start, id, "open")
		if action != ActionAnswer || ticket.State != StateNotFound || ticket.Outcome != OutcomeUnknown {
			t.Fatalf("run of %s: action %v, %+v", id, action, ticket)
		}
	}
	if _, err := table.Reserve(start, "s9"); !errors.Is(err, ErrFull) {
		t.Fatalf("reservation in a full table: %v", err)
	}
}

// TestLateReservationGetsNewTicket guards against a doubled reservation that
// revives the id of an evicted ticket, which a doubled run would run again.
func TestLateReservationGetsNewTicket(t *testing.T) {
	table := NewTable("agent", 8, testLimits())
	id := reserve(t, table, "r0")
	table.Run(start, id, "open")
	table.Finish(start, id, Result{Outcome: OutcomeCompleted})
	for i := range 4 {
		table.Cancel(start, reserve(t, table, fmt.Sprintf("s%d", i)))
	}
	if again := reserve(t, table, "r0"); again == id {
		t.Fatal("evicted ticket was issued again")
	}
	if _, action, _ := table.Run(start, id, "open"); action != ActionAnswer {
		t.Fatalf("evicted ticket ran again: action %v", action)
	}
}

// TestBodiesAreBounded guards against answer bodies that outgrow the table.
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
			t.Fatalf("ticket %d: %+v", i, got)
		}
	}
}
