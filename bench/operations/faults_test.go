package operations_test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/bench/harness"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/standin/faults"
	"github.com/laburnumloft/laburnumloft/standin/plainservice"
)

// operationCase is one operation that a fault meets at one step.
type operationCase struct {
	// target is the process that the signal goes to: agent or entry.
	target string
	// kill ends the process, otherwise it is paused.
	kill bool
	// step is where the operation stands: reserved, sent, executed, answered.
	step string
	// keyed selects a one-shot call with a key instead of a ticket.
	keyed bool
}

func (o operationCase) String() string {
	signal, kind := "pause", "ticket"
	if o.kill {
		signal = "kill"
	}
	if o.keyed {
		kind = "keyed"
	}
	return strings.Join([]string{kind, signal, o.target, o.step}, "-")
}

func operationCases() []operationCase {
	var cases []operationCase
	for _, target := range []string{"agent", "entry"} {
		for _, kill := range []bool{true, false} {
			for _, step := range []string{"reserved", "sent", "executed", "answered"} {
				cases = append(cases, operationCase{target, kill, step, false})
				if step != "reserved" {
					cases = append(cases, operationCase{target, kill, step, true})
				}
			}
		}
	}
	return cases
}

// TestProcessFaults kills and pauses the agent and the entry at each step of
// an operation. It guards against a second execution after a takeover by
// another entry or incarnation, and against a false not_run for an operation
// whose agent died after sending or whose entry died after the agent finished.
func TestProcessFaults(t *testing.T) {
	f := newFixture(t)
	for _, o := range operationCases() {
		if !t.Run(o.String(), func(t *testing.T) {
			f.TB = t
			f.runCase(o)
		}) {
			return
		}
	}
}

func (f *fixture) runCase(o operationCase) {
	body := newBody()
	ask := f.asker(o, body)
	var replies []reply
	var pending []<-chan reply
	before := f.counts()
	switch o.step {
	case "reserved":
		f.strike(o)
		pending = append(pending, begin(func() reply { return ask(0) }))
	case "answered":
		replies = append(replies, ask(0))
		f.strike(o)
	default:
		f.switches(plainservice.Switches{HoldBefore: o.step == "sent", HoldAfter: o.step == "executed"})
		pending = append(pending, begin(func() reply { return ask(0) }))
		f.arrived(before, 1)
		if o.step == "executed" {
			f.until(func() bool { return f.executions(body) == 1 })
		}
		f.strike(o)
	}
	pending = append(pending, begin(func() reply { return ask(1) }))
	f.switches(plainservice.Switches{})
	f.recover(o)
	for _, done := range pending {
		replies = append(replies, <-done)
	}
	f.ready()
	final := ask(1)
	f.check(body, append(replies, final)...)
	if !o.kill || o.target == "entry" {
		qt.Assert(f, final.told(), qt.Equals, "completed")
	} else {
		qt.Assert(f, final.told(), qt.Equals, "unknown")
	}
}

// asker returns a function that asks for the operation through one entry.
func (f *fixture) asker(o operationCase, body string) func(entry int) reply {
	if o.keyed {
		key := newKey()
		return func(entry int) reply { return f.call(entry, "open", key, body) }
	}
	ticket := f.reserve(1)
	return func(entry int) reply { return f.run(entry, ticket, body) }
}

func (f *fixture) process(o operationCase) **harness.Process {
	if o.target == "agent" {
		return &f.agent
	}
	return &f.entries[0]
}

func (f *fixture) strike(o operationCase) {
	f.Helper()
	if o.kill {
		qt.Assert(f, (*f.process(o)).Kill(), qt.IsNil)
		return
	}
	qt.Assert(f, (*f.process(o)).Stop(), qt.IsNil)
}

func (f *fixture) recover(o operationCase) {
	f.Helper()
	if !o.kill {
		qt.Assert(f, (*f.process(o)).Continue(), qt.IsNil)
		return
	}
	again, err := f.cluster.Restart(*f.process(o))
	qt.Assert(f, err, qt.IsNil)
	*f.process(o) = again
}

// TestRacingEntries guards against two entries that run one key under
// different tickets, with and without lost append answers.
func TestRacingEntries(t *testing.T) {
	f := newFixture(t)
	for round := range 10 {
		if round%2 == 1 {
			f.logFaults(faults.Switches{Method: http.MethodPost, PathPrefix: "/v1/streams/claims", LoseAnswers: 2})
		}
		body, key := newBody(), newKey()
		var pending []<-chan reply
		for i := range 6 {
			pending = append(pending, begin(func() reply { return f.call(i%2, "open", key, body) }))
		}
		var replies []reply
		for _, done := range pending {
			replies = append(replies, <-done)
		}
		f.check(body, replies...)
		for _, r := range replies {
			qt.Assert(t, r.told(), qt.Equals, "completed", qt.Commentf("%+v", r))
			qt.Assert(t, r.Ticket, qt.Equals, replies[0].Ticket)
		}
	}
}

// claimed waits until the log holds a claim of the key.
func (f *fixture) claimed(key string) {
	f.Helper()
	f.until(func() bool {
		r, err := http.Get(f.cluster.LogURL + "/v1/streams/claims/records?from=1&limit=1000")
		if err != nil {
			return false
		}
		defer r.Body.Close()
		return strings.Contains(pageText(r), key)
	})
}

// TestLostAppendAnswerIsTakenUp guards against an entry that reports not_run
// because its append had no answer, while another entry read the claim and
// ran its ticket.
func TestLostAppendAnswerIsTakenUp(t *testing.T) {
	f := newFixture(t)
	f.proxy.loseAppends.Store(true)
	f.proxy.blockReads.Store(true)
	body, key := newBody(), newKey()
	first := begin(func() reply { return f.call(0, "open", key, body, wire.FirstUseHeader, "true") })
	f.claimed(key)
	second := f.call(1, "open", key, body)
	qt.Assert(t, second.told(), qt.Equals, "completed")
	r := <-first
	qt.Assert(t, r.told(), qt.Equals, "unknown", qt.Commentf("%+v", r))
	f.check(body, r, second)
}

// TestLostAppendAnswerIsCancelled guards against a claim that is run by
// another entry after the entry that appended it has reported not_run.
func TestLostAppendAnswerIsCancelled(t *testing.T) {
	f := newFixture(t)
	f.proxy.loseAppends.Store(true)
	f.proxy.blockReads.Store(true)
	body, key := newBody(), newKey()
	first := f.call(0, "open", key, body, wire.FirstUseHeader, "true")
	qt.Assert(t, first.told(), qt.Equals, "not_run", qt.Commentf("%+v", first))
	second := f.call(1, "open", key, body)
	qt.Assert(t, second.told(), qt.Equals, "not_run", qt.Commentf("%+v", second))
	f.check(body, first, second)
	// A repetition at the entry that refused it can't be a first use.
	third := f.call(0, "open", key, body, wire.FirstUseHeader, "true")
	qt.Assert(t, third.told(), qt.Equals, "unknown", qt.Commentf("%+v", third))
}

// TestBackendFaults guards against an outcome other than unknown when the
// backend server's answer is lost, and against a cancel that is confirmed
// after the request was sent.
func TestBackendFaults(t *testing.T) {
	f := newFixture(t)
	c := qt.New(t)
	f.switches(plainservice.Switches{LoseAnswer: true})
	for i := range 4 {
		body := newBody()
		ticket := f.reserve(i % 2)
		r := f.run(i%2, ticket, body)
		c.Assert(r.told(), qt.Equals, "unknown")
		c.Assert(f.get(1, ticket).Outcome, qt.Equals, "unknown")
		f.check(body, r)
	}
	f.switches(plainservice.Switches{})

	backend := f.cluster.Find(f.agent.Backend)
	body, ticket := newBody(), f.reserve(0)
	c.Assert(backend.Stop(), qt.IsNil)
	done := begin(func() reply { return f.run(0, ticket, body) })
	f.until(func() bool { return f.get(1, ticket).State == "running" })
	cancelled := f.cancel(1, ticket)
	c.Assert(cancelled.State, qt.Equals, "running")
	c.Assert(backend.Continue(), qt.IsNil)
	f.check(body, <-done, cancelled)
	c.Assert(f.executions(body), qt.Equals, 1)

	// Nothing listens at the backend's address, so nothing was sent.
	body = newBody()
	c.Assert(backend.Kill(), qt.IsNil)
	c.Assert(f.run(0, f.reserve(0), body).told(), qt.Equals, "not_run")
}

// TestPausesUnderLoad pauses agent and entry at arbitrary moments, among
// them between the agent's decision and its sending.
func TestPausesUnderLoad(t *testing.T) {
	f := newFixture(t)
	const operations = 60
	type result struct {
		body    string
		replies []reply
	}
	results := make(chan result, operations)
	for worker := range 6 {
		go func() {
			for i := range operations / 6 {
				body, key := newBody(), newKey()
				r := result{body: body}
				if i%2 == 0 {
					r.replies = []reply{f.call(worker%2, "open", key, body), f.call((worker+1)%2, "open", key, body)}
				} else if ticket := f.reserve(worker % 2); ticket != "" {
					cancelled := begin(func() reply { return f.cancel((worker+1)%2, ticket) })
					r.replies = []reply{f.run(worker%2, ticket, body), <-cancelled}
				}
				results <- r
			}
		}()
	}
	targets := []*harness.Process{f.agent, f.entries[0], f.entries[1]}
	told := map[string]int{}
	for i := range operations {
		target := targets[i%len(targets)]
		qt.Assert(t, target.Stop(), qt.IsNil)
		_ = f.counts()
		qt.Assert(t, target.Continue(), qt.IsNil)
		r := <-results
		f.check(r.body, r.replies...)
		for _, reply := range r.replies {
			told[reply.told()]++
		}
	}
	t.Log(fmt.Sprint("outcomes told: ", told))
}

// TestPlannedStop guards against a stop of the agent that cuts an operation,
// also one whose entry has died, and against one that starts new work.
func TestPlannedStop(t *testing.T) {
	f := newFixture(t)
	c := qt.New(t)
	reserved, before := f.reserve(1), f.counts()
	f.switches(plainservice.Switches{HoldBefore: true})
	first, second := newBody(), newBody()
	done := begin(func() reply { return f.call(1, "open", newKey(), first) })
	orphan := begin(func() reply { return f.call(0, "open", newKey(), second) })
	f.arrived(before, 2)
	c.Assert(f.entries[0].Kill(), qt.IsNil)
	c.Assert((<-orphan).told(), qt.Equals, "unknown")

	c.Assert(f.agent.Cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	f.until(func() bool {
		return f.send(http.MethodGet, "http://"+f.agent.Address+"/v1/health", "").code == http.StatusServiceUnavailable
	})
	late := newBody()
	refused := f.run(1, reserved, late)
	c.Assert(refused.told(), qt.Equals, "not_run", qt.Commentf("%+v", refused))
	f.switches(plainservice.Switches{})
	c.Assert((<-done).told(), qt.Equals, "completed")
	<-f.agent.Done()
	c.Assert(f.agent.Cmd.ProcessState.ExitCode(), qt.Equals, 0)
	f.check(late, refused)
	for _, body := range []string{first, second} {
		c.Assert(f.executions(body), qt.Equals, 1)
	}
}
