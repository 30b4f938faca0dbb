package entry

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/limits"
	"github.com/laburnumloft/laburnumloft/core/routing"
	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// granted is a request that has a place at an agent.
type granted struct {
	*placement
	grant grant
}

// fullDispatcher returns a dispatcher of the agents a and b that are both full, and the
// requests at each. Its goroutine doesn't run.
func fullDispatcher(c *qt.C, now time.Time) (*dispatcher, map[string][]granted) {
	reports := []*rpc.MemberReport{
		{Id: "a", Region: "r", Version: "v1", Incarnation: 1, Sequence: 1}, {Id: "b", Region: "r", Version: "v1", Incarnation: 1, Sequence: 1},
	}
	d, at := newDispatcher("r", func(string) []*rpc.MemberReport { return reports }), map[string][]granted{}
	for i := 0; ; i++ {
		p := d.placement(&call{
			service: settings.Service{Name: "s", Version: "v1"}, params: settings.Parameters{Workspace: fmt.Sprint("w", i)},
			request: wire.Request{MaxTokens: 1}, deadline: now.Add(time.Hour),
		})
		d.handle(now, dispatchEvent{kind: eventSubmit, placement: p})
		if len(p.reply) == 0 {
			d.handle(now, dispatchEvent{kind: eventAbandon, placement: p})
			return d, at
		}
		answer := <-p.reply
		c.Assert(answer.failure == nil, qt.IsTrue)
		at[answer.grant.agent] = append(at[answer.grant.agent], granted{p, answer.grant})
	}
}

// retryRefused plays a refusal of a request by its agent.
func (d *dispatcher) retryRefused(now time.Time, r granted, failure wire.Error) {
	r.retry, r.last, r.refusedBy, r.refusedAs = true, &failure, r.grant.handle, routing.Refused
	d.handle(now, dispatchEvent{kind: eventSubmit, placement: r.placement})
}

func (d *dispatcher) end(now time.Time, r granted) {
	d.handle(now, dispatchEvent{kind: eventFinish, placement: r.placement, grant: r.grant, result: routing.Succeeded, tokens: 1})
}

// TestRefusedRequestWaitsForAFullAgent guards against a refusal to the caller while an
// agent that would serve the request is only full, and against places that held requests
// keep when their callers leave.
func TestRefusedRequestWaitsForAFullAgent(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	for _, leaves := range []bool{false, true} {
		d, at := fullDispatcher(c, now)
		refused, s := at["b"][0], d.services["s"]
		d.retryRefused(now, refused, wire.Error{Kind: wire.ErrorUnavailable, Run: wire.RunNotRun})
		c.Assert(refused.reply, qt.HasLen, 0)
		if leaves {
			d.handle(now, dispatchEvent{kind: eventAbandon, placement: refused.placement})
		}
		d.end(now, at["a"][0])
		places := len(at["a"]) + len(at["b"]) - 1
		if leaves {
			places--
		} else {
			c.Assert((<-refused.reply).grant.agent, qt.Equals, "a")
		}
		c.Check([]int{s.inFlight, s.lanes[""].queue.Running(), len(s.lanes[""].held)}, qt.DeepEquals, []int{places, places, 0})
	}
}

// TestHeldRequestIsNotBegunTooLate guards against a request that runs after its wait for room
// although it can't end by its deadline.
func TestHeldRequestIsNotBegunTooLate(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	d, at := fullDispatcher(c, now)
	refused := at["b"][0]
	d.retryRefused(now, refused, wire.Error{Kind: wire.ErrorUnavailable, Run: wire.RunNotRun})
	c.Assert(refused.reply, qt.HasLen, 0)
	// The first request to end shows that one token takes 59 minutes.
	d.end(now.Add(59*time.Minute), at["a"][0])
	failure := (<-refused.reply).failure
	c.Assert(failure != nil, qt.IsTrue)
	c.Check(failure.Message, qt.Contains, string(limits.RefusedDeadline))
}

// TestRefusedRequestWithoutAProspectIsAnswered guards against a refused request that is
// held although no agent is left that could serve it.
func TestRefusedRequestWithoutAProspectIsAnswered(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	d, at := fullDispatcher(c, now)
	refused := at["b"][0]
	d.retryRefused(now, refused, wire.Error{Kind: wire.ErrorUnavailable, Run: wire.RunNotRun})
	c.Assert(refused.reply, qt.HasLen, 0)
	remaining := d.serving("s")[1:]
	d.serving = func(string) []*rpc.MemberReport { return remaining }
	d.tick(now)
	c.Assert(refused.reply, qt.HasLen, 1)
	c.Check((<-refused.reply).failure, qt.Equals, refused.last)
}

// TestBusyAgentIsTriedAgain guards against a refusal to the caller after the only agent sent
// the request back from its queue, and against a wait that the deadline doesn't allow.
func TestBusyAgentIsTriedAgain(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	for retryAfter, wait := range map[time.Duration]bool{time.Second: true, 2 * time.Hour: false} {
		d, at := fullDispatcher(c, now)
		refused := at["b"][0]
		remaining := d.serving("s")[1:]
		d.serving = func(string) []*rpc.MemberReport { return remaining }
		d.tick(now)
		d.retryRefused(now, refused, wire.Error{Kind: wire.ErrorOverloaded, Run: wire.RunNotRun, RetryAfterMS: retryAfter.Milliseconds()})
		d.tick(now.Add(retryAfter - 1))
		if !wait {
			c.Check((<-refused.reply).failure, qt.Equals, refused.last)
			continue
		}
		c.Assert(refused.reply, qt.HasLen, 0)
		d.tick(now.Add(retryAfter))
		c.Check((<-refused.reply).grant.agent, qt.Equals, "b")
	}
}

// TestWaitingRequestsOutlastTheOnlyMember guards against a refusal of requests that wait
// while the only agent loads another version, and against waiting long for one that is gone.
func TestWaitingRequestsOutlastTheOnlyMember(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	for _, returns := range []bool{true, false} {
		d, at := fullDispatcher(c, now)
		reports := d.serving("s")
		d.serving = func(string) []*rpc.MemberReport { return nil }
		queued := d.placement(at["a"][0].call)
		d.handle(now, dispatchEvent{kind: eventSubmit, placement: queued})
		d.tick(now)
		d.tick(now.Add(memberWait - 1))
		c.Assert(queued.reply, qt.HasLen, 0)
		if returns {
			reports[0].Version = "v2"
			d.serving = func(string) []*rpc.MemberReport { return reports }
		}
		d.tick(now.Add(memberWait))
		c.Assert(queued.reply, qt.HasLen, 1)
		answer := <-queued.reply
		c.Check(answer.failure == nil, qt.Equals, returns)
	}
}
