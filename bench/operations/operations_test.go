package operations_test

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/standin/faults"
	"github.com/laburnumloft/laburnumloft/standin/plainservice"
)

// TestCalls guards the interface of tickets and one-shot calls: a repeated
// call never executes again, and refusals say truthfully what ran.
func TestCalls(t *testing.T) {
	f := newFixture(t)
	c := qt.New(t)

	body, key := newBody(), newKey()
	first := f.call(0, "open", key, body)
	c.Assert(first.told(), qt.Equals, "completed")
	again := f.call(1, "open", key, body)
	c.Assert(again.told(), qt.Equals, "completed")
	c.Assert(again.Ticket, qt.Equals, first.Ticket)
	c.Assert(f.call(1, "open", key, newBody()).Error.Kind, qt.Equals, wire.ErrorConflict)
	c.Assert(f.executions(body), qt.Equals, 1)

	body = newBody()
	ticket := f.reserve(0)
	c.Assert(f.get(1, ticket).State, qt.Equals, "reserved")
	c.Assert(f.run(1, ticket, body).told(), qt.Equals, "completed")
	c.Assert(f.run(0, ticket, body).told(), qt.Equals, "completed")
	c.Assert(f.run(0, ticket, newBody()).Error.Kind, qt.Equals, wire.ErrorConflict)
	c.Assert(f.cancel(0, ticket).State, qt.Equals, "done")
	c.Assert(f.executions(body), qt.Equals, 1)

	ticket = f.reserve(0)
	c.Assert(f.cancel(0, ticket).Outcome, qt.Equals, "not_run")
	c.Assert(f.run(1, ticket, newBody()).told(), qt.Equals, "not_run")

	c.Assert(f.call(0, "unknown", newKey(), body).Error.Kind, qt.Equals, wire.ErrorNotFound)
	c.Assert(f.call(0, "open", "order-17", body).Error.Kind, qt.Equals, wire.ErrorBadRequest)
	c.Assert(f.call(0, "open", "", body).code, qt.Equals, http.StatusBadRequest)

	f.switches(plainservice.Switches{Fail: true})
	failed := f.call(0, "open", newKey(), newBody())
	c.Assert(failed.told(), qt.Equals, "failed")
	c.Assert(failed.Status, qt.Equals, http.StatusUnprocessableEntity)
	f.switches(plainservice.Switches{AnswerBytes: 1 << 20})
	large := f.call(0, "open", newKey(), newBody())
	c.Assert(large.told(), qt.Equals, "completed")
	c.Assert(large.BodyOmitted, qt.IsTrue)
	c.Assert(len(large.Body), qt.Equals, 0)
}

// TestLogOutage guards against switching orders that need the log, and
// against a keyed call that is refused as not run although it ran.
func TestLogOutage(t *testing.T) {
	f := newFixture(t)
	c := qt.New(t)
	body, key := newBody(), newKey()
	c.Assert(f.call(0, "open", key, body).told(), qt.Equals, "completed")
	f.until(func() bool { return f.call(1, "open", key, body).told() == "completed" })
	f.logFaults(faults.Switches{Down: true})

	order := newBody()
	c.Assert(f.run(0, f.reserve(0), order).told(), qt.Equals, "completed")
	c.Assert(f.call(1, "open", key, body).told(), qt.Equals, "completed")

	fresh, freshBody := newKey(), newBody()
	refused := f.call(0, "open", fresh, freshBody, wire.FirstUseHeader, "true")
	c.Assert(refused.told(), qt.Equals, "not_run")
	c.Assert(f.call(1, "open", newKey(), freshBody).told(), qt.Equals, "unknown")
	c.Assert(f.executions(freshBody), qt.Equals, 0)

	f.logFaults(faults.Switches{})
	f.check(freshBody, refused)
	f.check(body)
	f.check(order)
}

// TestReplayedRequest guards against a transport that sends a request again
// when a reused connection fails or when it is redirected.
func TestReplayedRequest(t *testing.T) {
	f := newFixture(t)
	c := qt.New(t)
	f.switches(plainservice.Switches{CloseReused: true})
	for range 3 {
		body := newBody()
		f.check(body, f.call(0, "open", newKey(), body))
		c.Assert(f.executions(body), qt.Equals, 1)
	}
	f.switches(plainservice.Switches{Redirect: true})
	before := f.counts()
	c.Assert(f.call(0, "open", newKey(), newBody()).told(), qt.Equals, "failed")
	c.Assert(f.counts().Arrived, qt.Equals, before.Arrived+1)

	var all []plainservice.Execution
	f.getJSON("/v1/executions", &all)
	connections := map[string]bool{}
	for _, e := range all {
		c.Assert(connections[e.RemoteAddress], qt.IsFalse, qt.Commentf("connection %s was reused", e.RemoteAddress))
		connections[e.RemoteAddress] = true
		c.Assert(e.Key, qt.Equals, "")
	}
}

// TestCrossedBackendAnswer guards against an answer of another operation that
// is taken for the outcome.
func TestCrossedBackendAnswer(t *testing.T) {
	f := newFixture(t)
	f.switches(plainservice.Switches{AnswerTicket: "agent-1.1.1.other"})
	body := newBody()
	r := f.run(0, f.reserve(0), body)
	qt.Assert(t, r.told(), qt.Equals, "unknown")
	f.check(body, r)
}

// TestFenceReachesBackend guards against a late order of a dead incarnation
// that a backend server which checks fences can't tell from a new one, and
// against a refused order that is reported as anything but failed.
func TestFenceReachesBackend(t *testing.T) {
	f := newFixture(t)
	c := qt.New(t)
	f.switches(plainservice.Switches{ChecksFence: true})
	body := newBody()
	c.Assert(f.call(0, "open", newKey(), body).told(), qt.Equals, "completed")
	var all []plainservice.Execution
	f.getJSON("/v1/executions", &all)
	fence := all[len(all)-1].Fence
	offset, start, _ := strings.Cut(fence, ".")
	c.Assert(offset, qt.Not(qt.Equals), "0")
	c.Assert(strings.Contains(all[len(all)-1].Ticket, start), qt.IsTrue)

	newer := f.send(http.MethodPost, "http://"+f.agent.Backend+"/v1/call/open", `{}`, wire.FenceHeader, "999999.1")
	c.Assert(newer.code, qt.Equals, http.StatusOK)
	late := newBody()
	r := f.run(0, f.reserve(0), late)
	c.Assert(r.told(), qt.Equals, "failed")
	c.Assert(r.Status, qt.Equals, http.StatusPreconditionFailed)
	c.Assert(f.executions(late), qt.Equals, 0)
}
