package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/twitchtv/twirp"

	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

const testTicket = "agent-1.7.1.r1"

// fakeAgent answers with what a test sets and counts the calls.
type fakeAgent struct {
	rpc.Operations
	run      func(call int64) *rpc.Ticket
	call     func() (*rpc.Ticket, error)
	runs     atomic.Int64
	calls    atomic.Int64
	reserved atomic.Int64
}

func (f *fakeAgent) Run(context.Context, *rpc.RunRequest) (*rpc.Ticket, error) {
	return f.run(f.runs.Add(1)), nil
}

func (f *fakeAgent) Reserve(context.Context, *rpc.ReserveRequest) (*rpc.Ticket, error) {
	f.reserved.Add(1)
	return &rpc.Ticket{Ticket: testTicket}, nil
}

func (f *fakeAgent) Call(context.Context, *rpc.CallRequest) (*rpc.Ticket, error) {
	f.calls.Add(1)
	return f.call()
}

// newTestEntry returns an entry that knows n agents, all at the fake.
func newTestEntry(t *testing.T, fake *fakeAgent, n int) *Entry {
	server := httptest.NewServer(rpc.NewOperationsServer(fake))
	t.Cleanup(server.Close)
	e := New(Config{
		ID: "entry-1", LogURL: "http://127.0.0.1:1", MembershipURL: "http://127.0.0.1:1",
		MaxBodyBytes: 1 << 20, Logger: hclog.NewNullLogger(),
	})
	var reports []*rpc.MemberReport
	for range n {
		reports = append(reports, &rpc.MemberReport{Id: "agent-1", Service: "saklar", Address: strings.TrimPrefix(server.URL, "http://")})
	}
	e.members.snapshot.Store(&memberSnapshot{
		reports: reports, serving: map[serviceVersion][]*rpc.MemberReport{{"saklar", ""}: reports},
	})
	return e
}

func ticket(id string, outcome rpc.Outcome) *rpc.Ticket {
	return &rpc.Ticket{Ticket: id, State: rpc.TicketState_DONE, Outcome: outcome}
}

// TestCrossedAgentAnswer guards against an answer for another ticket that is
// taken for the outcome: it is dropped, and the right answer is asked for.
func TestCrossedAgentAnswer(t *testing.T) {
	method := settings.Method{Name: "open"}
	fake := &fakeAgent{run: func(int64) *rpc.Ticket { return ticket("agent-1.7.2.r2", rpc.Outcome_NOT_RUN) }}
	e := newTestEntry(t, fake, 1)
	if _, failure := e.run(t.Context(), testTicket, method, nil); failure == nil || failure.Run != wire.RunUnknown {
		t.Fatalf("only crossed answers: %+v", failure)
	}
	fake.run = func(call int64) *rpc.Ticket {
		if call == 1 {
			return ticket("agent-1.7.2.r2", rpc.Outcome_NOT_RUN)
		}
		return ticket(testTicket, rpc.Outcome_COMPLETED)
	}
	fake.runs.Store(0)
	answer, failure := e.run(t.Context(), testTicket, method, nil)
	if failure != nil || answer.GetOutcome() != rpc.Outcome_COMPLETED {
		t.Fatalf("crossed, then right: %v, %+v", answer, failure)
	}
}

// TestKeyAfterRetention guards against a key that is claimed again at an
// entry which never saw its first claim, because the log has dropped it.
func TestKeyAfterRetention(t *testing.T) {
	fake := &fakeAgent{}
	e := newTestEntry(t, fake, 1)
	key := uuid.Must(uuid.NewV7()).String()
	later := time.Now().Add(time.Hour).UnixMilli()
	e.claims.apply(&wire.LogPage{
		Oldest: 40, Next: 41, Records: []wire.LogRecord{{Offset: 40, TimeMS: later, Data: []byte(`{}`)}},
	})
	_, failure := e.callKeyed(t.Context(), keyedCall{
		workspace: "field", service: "saklar", key: key, method: settings.Method{Name: "open"}, firstUse: true,
	})
	if failure == nil || failure.Run != wire.RunUnknown || fake.reserved.Load()+fake.runs.Load() != 0 {
		t.Fatalf("failure %+v, %d reservations, %d runs", failure, fake.reserved.Load(), fake.runs.Load())
	}
}

// TestRetriesAreBounded guards against retries of idempotent calls that
// multiply the load of agents that fail.
func TestRetriesAreBounded(t *testing.T) {
	fake := &fakeAgent{call: func() (*rpc.Ticket, error) { return nil, twirp.NewError(twirp.Unavailable, "down") }}
	e := newTestEntry(t, fake, 3)
	const calls = 200
	for range calls {
		if _, failure := e.callIdempotent(t.Context(), "field", "saklar", settings.Method{Name: "state", Idempotent: true}, nil); failure == nil {
			t.Fatal("a call succeeded")
		}
	}
	most := int64(calls + calls*retryDeposit + retryReserve)
	if got := fake.calls.Load(); got <= calls || got > most {
		t.Fatalf("%d calls reached agents, want more than %d and at most %d", got, calls, most)
	}
}

// TestLeavingEntryClaimsNothing guards against a leaving entry that refuses a
// repeated run or keyed call as not run, although it may have run before.
func TestLeavingEntryClaimsNothing(t *testing.T) {
	e := newTestEntry(t, &fakeAgent{}, 1)
	for path, want := range map[string]string{
		"/v1/tickets/" + testTicket + "/run":            `"run":"unknown"`,
		"/v1/workspaces/w/services/saklar/calls/open":   `"run":"unknown"`,
		"/v1/workspaces/w/services/saklar/tickets":      `"run":"not_run"`,
		"/v1/workspaces/w/services/juru-tulis/requests": `"run":"not_run"`,
		"/v1/tickets/" + testTicket + "/cancel":         `"run":"unknown"`,
	} {
		w := httptest.NewRecorder()
		e.redirect(w, httptest.NewRequest(http.MethodPost, path, nil))
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("%s: %s", path, w.Body.String())
		}
	}
}
