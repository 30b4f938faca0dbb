package operation

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// faultKind names the faults of one run.
type faultKind string

var faultKinds = []faultKind{
	"none", "agent crash", "entry crash", "pause", "lost answers", "doubled answers",
	"crossed answers", "racing entries", "log outage", "retention", "all",
}

func (k faultKind) has(kind faultKind) bool { return k == kind || k == "all" }

// testOperation is one operation that callers try to have run.
type testOperation struct {
	id, key, ticket string
	calls           int
	executed        int
	// resolved says that a caller was told what happened.
	resolved bool
	latest   *testCall
}

// message is something that is under way between two processes.
type message struct {
	deliver   func()
	mayDouble bool
	// ready reports whether the receiver takes it now.
	ready func() bool
}

// testAgent is an agent process with its table.
type testAgent struct {
	name        string
	incarnation int64
	paused      bool
	table       *Table
	waiters     map[string][]func(Ticket)
}

// testEntry is an entry process with its claim index.
type testEntry struct {
	run    int
	paused bool
	index  *Index
	calls  []*testCall
}

// testCall is one call at one entry.
type testCall struct {
	op                   *testOperation
	entry                *testEntry
	run                  int
	steps                Call
	settling, cancelling bool
	offset               int64
	pending              func(Ticket)
	asked                string
}

type testRecord struct {
	timeMS int64
	claim  *Claim
}

// world is the whole system with all its messages.
type world struct {
	t        *rapid.T
	fault    faultKind
	now      time.Time
	agents   []*testAgent
	entries  []*testEntry
	log      []testRecord
	oldest   int64
	logDown  bool
	messages []message
	answers  []*testAnswer
	ops      []*testOperation
	requests int
	starts   int64
	// notRun holds the tickets that were reported as not run.
	notRun map[string]bool
}

// testAnswer is an answer of the backend server on its way to the agent.
type testAnswer struct {
	agent       *testAgent
	incarnation int64
	// sent is the ticket of the request, named the one that the answer bears.
	sent, named string
}

func newWorld(t *rapid.T, fault faultKind) *world {
	w := &world{t: t, fault: fault, now: start, oldest: 1, notRun: map[string]bool{}}
	for i := range 2 {
		a := &testAgent{name: fmt.Sprintf("agent-%d", i)}
		w.startAgent(a)
		w.agents = append(w.agents, a)
	}
	for range 3 {
		e := &testEntry{}
		w.startEntry(e)
		w.entries = append(w.entries, e)
	}
	return w
}

func (w *world) startAgent(a *testAgent) {
	w.starts++
	a.incarnation, a.paused = w.starts, false
	a.waiters = map[string][]func(Ticket){}
	a.table = NewTable(a.name, a.incarnation, Limits{
		Tickets: w.bound(12), Running: 8, ReserveExpiry: time.Minute, BodyBytes: 8, TotalBodyBytes: 16,
	})
}

func (w *world) startEntry(e *testEntry) {
	e.run, e.paused = e.run+1, false
	e.index = NewIndex(w.bound(6))
	e.calls = nil
}

// bound returns the size of a table or index: a small one if the run is to
// make it forget.
func (w *world) bound(small int) int {
	if w.fault.has("retention") {
		return small
	}
	return 256
}

// pick draws a number below n.
func (w *world) pick(n int, label string) int {
	return rapid.IntRange(0, n-1).Draw(w.t, label)
}

func (w *world) post(m message) { w.messages = append(w.messages, m) }

// operation starts an operation, by ticket or by key.
func (w *world) operation() {
	op := &testOperation{id: fmt.Sprintf("op-%d", len(w.ops))}
	if w.pick(2, "keyed") == 1 {
		skew := int64(w.pick(2*30_000, "skew")) - 30_000
		op.key = testKey(w.now.UnixMilli()+skew, len(w.ops)+1)
	}
	w.ops = append(w.ops, op)
	w.call(op)
}

// repeat calls again for an earlier operation, perhaps at another entry.
func (w *world) repeat() {
	recent := min(len(w.ops), 12)
	if recent == 0 {
		return
	}
	op := w.ops[len(w.ops)-1-w.pick(recent, "operation")]
	if op.calls < 5 {
		w.call(op)
	}
}

func (w *world) call(op *testOperation) {
	entry := w.entries[0]
	if w.fault != "none" {
		entry = w.entries[w.pick(len(w.entries), "entry")]
	}
	c := &testCall{op: op, entry: entry, run: entry.run}
	c.steps = Call{Request: op.id, FirstUse: op.calls == 0 && w.pick(2, "first use") == 1}
	op.calls++
	op.latest = c
	if entry.paused {
		return
	}
	entry.calls = append(entry.calls, c)
	if op.key != "" {
		w.step(c, c.steps.Begin(entry.index.Lookup("w", "s", op.key)))
		return
	}
	switch {
	case op.ticket == "":
		// Another ticket would be another operation.
		w.reserve(c, func(t Ticket) { op.ticket = cmp.Or(op.ticket, t.ID) })
	case w.pick(4, "cancel") == 0:
		w.ask(c, op.ticket, w.cancelAt(op.ticket), func(t Ticket) {
			if t.Outcome == OutcomeNotRun {
				w.tell(c, op.ticket, OutcomeNotRun)
			}
		})
	default:
		w.run(c, op.ticket)
	}
}

// step carries out a step of a keyed call.
func (w *world) step(c *testCall, step Step) {
	switch step {
	case StepReserve:
		w.reserve(c, func(t Ticket) { w.step(c, c.steps.Reserved(t.ID)) })
	case StepClaim:
		c.settling = true
		w.append(c)
	case StepCancel:
		ticket := c.steps.Ticket()
		c.cancelling = true
		w.ask(c, ticket, w.cancelAt(ticket), func(t Ticket) {
			outcome := OutcomeUnknown
			if t.Outcome == OutcomeNotRun {
				outcome = OutcomeNotRun
			}
			w.step(c, c.steps.Cancelled(outcome))
		})
	case StepRun:
		w.run(c, c.steps.Ticket())
	case StepRefuse:
		outcome, _ := c.steps.Refusal()
		w.tell(c, c.steps.Ticket(), outcome)
	}
}

// tell gives the caller the outcome of an attempt and checks that it is true.
// After not_run the caller may use a key for a new attempt, but the ticket of
// the old one must never run.
func (w *world) tell(c *testCall, ticket string, outcome Outcome) {
	op := c.op
	if c.steps.FirstUse && op.latest != c {
		// The caller has given up this call to send the key again.
		return
	}
	op.resolved = op.resolved || outcome != OutcomeUnknown && outcome != OutcomeNone
	switch outcome {
	case OutcomeNotRun:
		w.notRun[ticket] = true
		if op.executed > 0 {
			w.t.Fatalf("%s was reported as not run and was executed", op.id)
		}
	case OutcomeCompleted:
		if op.executed == 0 {
			w.t.Fatalf("%s was reported as completed and was not executed", op.id)
		}
	}
}

func (w *world) reserve(c *testCall, then func(Ticket)) {
	w.requests++
	id := fmt.Sprintf("r%d", w.requests)
	agent := w.agents[w.pick(len(w.agents), "agent")]
	w.send(c, "", agent, func(reply func(Ticket)) {
		if ticket, err := agent.table.Reserve(w.now, id); err == nil {
			reply(ticket)
		}
	}, then)
}

func (w *world) run(c *testCall, ticket string) {
	w.ask(c, ticket, func(agent *testAgent, reply func(Ticket)) {
		state, action, err := agent.table.Run(w.now, ticket, c.op.id)
		switch {
		case err != nil:
		case action == ActionAnswer:
			reply(state)
		default:
			agent.waiters[ticket] = append(agent.waiters[ticket], reply)
			if action == ActionSend {
				w.sendToBackend(agent, ticket, c.op)
			}
		}
	}, func(t Ticket) { w.tell(c, ticket, t.Outcome) })
}

func (w *world) cancelAt(ticket string) func(*testAgent, func(Ticket)) {
	return func(agent *testAgent, reply func(Ticket)) { reply(agent.table.Cancel(w.now, ticket)) }
}

// ask sends a request about a ticket to the agent that it names.
func (w *world) ask(c *testCall, ticket string, at func(*testAgent, func(Ticket)), then func(Ticket)) {
	name, _ := ParseName(ticket)
	for _, agent := range w.agents {
		if agent.name == name.Agent {
			w.send(c, ticket, agent, func(reply func(Ticket)) { at(agent, reply) }, then)
		}
	}
}

// send passes a request to an agent and its answer back. Both can be lost,
// late and doubled; an answer for another ticket is dropped by the entry.
func (w *world) send(c *testCall, ticket string, agent *testAgent, at func(func(Ticket)), then func(Ticket)) {
	c.pending, c.asked = then, ticket
	ask := ticket
	reply := func(t Ticket) {
		w.post(message{mayDouble: true, ready: c.listens, deliver: func() {
			if !c.alive() || c.pending == nil || c.asked != ask || ask != "" && t.ID != ask {
				return
			}
			then := c.pending
			c.pending = nil
			then(t)
		}})
	}
	w.post(message{mayDouble: true, ready: func() bool { return !agent.paused }, deliver: func() { at(reply) }})
}

func (c *testCall) alive() bool   { return c.entry.run == c.run }
func (c *testCall) listens() bool { return !c.alive() || !c.entry.paused }

// sendToBackend sends the one request of a ticket. Between the agent's
// decision and its sending the agent can be paused or die.
func (w *world) sendToBackend(agent *testAgent, ticket string, op *testOperation) {
	incarnation := agent.incarnation
	w.post(message{
		ready: func() bool { return agent.incarnation != incarnation || !agent.paused },
		deliver: func() {
			if agent.incarnation != incarnation {
				return
			}
			if w.fault.has("lost answers") && w.pick(8, "connect") == 0 {
				w.finish(agent, incarnation, ticket, OutcomeNotRun)
				return
			}
			w.post(message{ready: always, deliver: func() { w.execute(agent, incarnation, ticket, op) }})
		},
	})
}

func always() bool { return true }

func (w *world) execute(agent *testAgent, incarnation int64, ticket string, op *testOperation) {
	op.executed++
	if op.executed > 1 {
		w.t.Fatalf("%s was executed %d times", op.id, op.executed)
	}
	if w.notRun[ticket] {
		w.t.Fatalf("%s was executed after %s was reported as not run", op.id, ticket)
	}
	answer := &testAnswer{agent: agent, incarnation: incarnation, sent: ticket, named: ticket}
	w.answers = append(w.answers, answer)
	w.post(message{
		mayDouble: true,
		ready:     func() bool { return agent.incarnation != incarnation || !agent.paused },
		deliver: func() {
			outcome := OutcomeCompleted
			if answer.named != answer.sent {
				outcome = OutcomeUnknown
			}
			w.finish(agent, incarnation, ticket, outcome)
		},
	})
}

// finish records the end of the request and wakes the waiting runs.
func (w *world) finish(agent *testAgent, incarnation int64, ticket string, outcome Outcome) {
	if agent.incarnation != incarnation {
		return
	}
	state := agent.table.Finish(w.now, ticket, Result{Outcome: outcome, Body: []byte("answer")})
	for _, reply := range agent.waiters[ticket] {
		reply(state)
	}
	delete(agent.waiters, ticket)
}

// append sends the claim of a call to the log.
func (w *world) append(c *testCall) {
	claim := &Claim{Workspace: "w", Service: "s", Key: c.op.key, Ticket: c.steps.Ticket(), Request: c.steps.Request}
	w.post(message{mayDouble: true, ready: always, deliver: func() {
		if w.logDown {
			return
		}
		w.log = append(w.log, testRecord{w.now.UnixMilli(), claim})
		offset := w.oldest + int64(len(w.log)) - 1
		w.post(message{mayDouble: true, ready: c.listens, deliver: func() {
			if c.alive() && c.settling {
				c.offset = offset
				w.settle(c)
			}
		}})
	}})
}

// tail lets an entry read the claims stream.
func (w *world) tail() {
	e := w.entries[w.pick(len(w.entries), "tail")]
	if e.paused || w.logDown {
		return
	}
	e.index.Oldest(w.oldest)
	for range 1 + w.pick(4, "page") {
		at := e.index.Next() - w.oldest
		if at < int64(len(w.log)) {
			e.index.Apply(e.index.Next(), w.log[at].timeMS, w.log[at].claim)
		}
	}
	for _, c := range e.calls {
		w.settle(c)
	}
}

func (w *world) settle(c *testCall) {
	if !c.settling {
		return
	}
	claim, verdict := c.entry.index.Lookup("w", "s", c.op.key)
	if verdict == VerdictBound || c.offset > 0 && c.entry.index.Next() > c.offset {
		c.settling = false
		w.step(c, c.steps.Settled(claim, verdict))
	}
}

// expire lets a call at an entry run into its time limit.
func (w *world) expire() {
	e := w.entries[w.pick(len(w.entries), "expire")]
	if e.paused || len(e.calls) == 0 {
		return
	}
	c := e.calls[len(e.calls)-1-w.pick(min(len(e.calls), 4), "call")]
	switch {
	case c.settling:
		c.settling = false
		w.step(c, c.steps.Settled(Claim{}, VerdictUnbound))
	case c.pending != nil:
		c.pending = nil
		if c.cancelling {
			w.step(c, c.steps.Cancelled(OutcomeUnknown))
		} else if c.asked != "" {
			w.tell(c, c.asked, OutcomeUnknown)
		} else if c.op.key != "" {
			w.step(c, c.steps.NotReserved())
		}
	}
}

// deliver delivers a message, twice if it is doubled, or loses it.
func (w *world) deliver() {
	if len(w.messages) == 0 {
		return
	}
	at := w.pick(len(w.messages), "message")
	m := w.messages[at]
	if !m.ready() {
		return
	}
	w.messages[at] = w.messages[len(w.messages)-1]
	w.messages = w.messages[:len(w.messages)-1]
	if w.fault.has("lost answers") && w.pick(10, "lose") == 0 {
		return
	}
	if w.fault.has("doubled answers") && m.mayDouble && w.pick(3, "double") == 0 {
		w.post(m)
	}
	m.deliver()
}

// disturb injects a fault of the run's kind.
func (w *world) disturb() {
	agent := w.agents[w.pick(len(w.agents), "agent")]
	entry := w.entries[w.pick(len(w.entries), "entry")]
	kinds := []faultKind{"agent crash", "entry crash", "pause", "crossed answers", "log outage", "retention"}
	kind := kinds[w.pick(len(kinds), "fault")]
	if !w.fault.has(kind) {
		return
	}
	switch kind {
	case "agent crash":
		w.startAgent(agent)
	case "entry crash":
		w.startEntry(entry)
	case "pause":
		agent.paused, entry.paused = w.pick(2, "pause") == 0, w.pick(2, "pause") == 0
	case "crossed answers":
		if n := len(w.answers); n > 1 {
			a, b := w.answers[n-1], w.answers[n-2]
			a.named, b.named = b.named, a.named
		}
	case "log outage":
		w.logDown = !w.logDown
	case "retention":
		drop := w.pick(len(w.log)+1, "drop")
		w.log = w.log[drop:]
		w.oldest += int64(drop)
		w.now = w.now.Add(time.Duration(w.pick(90, "seconds")) * time.Second)
	}
}

// act takes one step of the whole system.
func (w *world) act() {
	w.now = w.now.Add(time.Duration(w.pick(40, "milliseconds")) * time.Millisecond)
	switch w.pick(16, "action") {
	case 0:
		w.repeat()
	case 1, 2, 3:
		w.tail()
	case 4:
		if w.fault != "none" && w.pick(8, "expires") == 0 {
			w.expire()
		}
	case 5:
		if w.pick(4, "disturbs") == 0 {
			w.disturb()
		}
	default:
		w.deliver()
	}
}

// settleAll ends all pauses and outages and delivers what is under way.
func (w *world) settleAll() {
	w.logDown = false
	for _, e := range w.entries {
		e.paused = false
	}
	for _, a := range w.agents {
		a.paused = false
	}
	for range 400 {
		w.deliver()
		w.deliver()
		w.tail()
	}
}

const (
	operationsPerRun  = 100
	stepsPerOperation = 60
)

// tally counts operations, and as unknown those whose callers were told
// nothing but unknown or got no answer at all.
type tally struct{ operations, unknown, executed int }

// runWorld runs operations under one kind of fault.
func runWorld(t *rapid.T, counts map[faultKind]*tally) {
	fault := faultKinds[rapid.IntRange(0, len(faultKinds)-1).Draw(t, "fault kind")]
	w := newWorld(t, fault)
	for range operationsPerRun {
		w.operation()
		for range stepsPerOperation {
			w.act()
		}
	}
	w.settleAll()
	count := counts[fault]
	if count == nil {
		count = &tally{}
		counts[fault] = count
	}
	for _, op := range w.ops {
		count.operations++
		if op.executed > 0 {
			count.executed++
		}
		if !op.resolved {
			count.unknown++
		}
	}
}

// TestRandomisedOperations guards against any order of crashes, pauses, lost,
// doubled and crossed answers and racing entries that runs an operation twice
// or reports one as not run that is or will be run.
func TestRandomisedOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runWorld(t, map[faultKind]*tally{}) })
}
