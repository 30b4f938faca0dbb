package operation

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/laburnumloft/laburnumloft/core/logera"
)

// TestMain sets seed 1 unless a flag gives another, so that every run gives the
// same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// faultKind is the kind of faults injected in one run.
type faultKind string

var faultKinds = []faultKind{
	"none", "agent crash", "entry crash", "pause", "lost answers", "doubled answers",
	"crossed answers", "racing entries", "log outage", "retention", "restored log", "all",
}

func (k faultKind) includes(kind faultKind) bool { return k == kind || k == "all" }

// testOperation is one operation that callers request, perhaps repeatedly.
type testOperation struct {
	id, key, ticket string
	calls           int
	executed        int
	// outcomeKnown reports that a caller got an outcome other than unknown.
	outcomeKnown bool
	latestCall   *testCall
}

// message is a message in flight between two processes.
type message struct {
	deliver      func()
	mayDuplicate bool
	// ready reports whether the message can be delivered now.
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
	incarnation int
	paused      bool
	index       *Index
	calls       []*testCall
}

// testCall is one call at one entry.
type testCall struct {
	op                            *testOperation
	entry                         *testEntry
	entryIncarnation              int
	steps                         Call
	awaitingClaim, awaitingCancel bool
	offset                        int64
	onReply                       func(Ticket)
	pendingTicket                 string
}

type testRecord struct {
	timeMS int64
	claim  *Claim
}

// simulation holds the simulated agents, entries and log and all messages in
// flight.
type simulation struct {
	t       *rapid.T
	fault   faultKind
	now     time.Time
	agents  []*testAgent
	entries []*testEntry
	log     []testRecord
	oldest  int64
	// era counts the restores of the log, and eraBegan is the time of the last one.
	era             int64
	eraBegan        time.Time
	logDown         bool
	messages        []message
	answers         []*testAnswer
	ops             []*testOperation
	requests        int
	lastIncarnation int64
	// notRun holds the tickets that were reported as not run.
	notRun map[string]bool
}

// testAnswer is an answer of the backend server on its way to the agent.
type testAnswer struct {
	agent       *testAgent
	incarnation int64
	// sentTicket is the ticket of the request, answerTicket the one in the
	// answer.
	sentTicket, answerTicket string
}

func newSimulation(t *rapid.T, fault faultKind) *simulation {
	s := &simulation{t: t, fault: fault, now: start, oldest: 1, notRun: map[string]bool{}}
	for i := range 2 {
		a := &testAgent{name: fmt.Sprintf("agent-%d", i)}
		s.startAgent(a)
		s.agents = append(s.agents, a)
	}
	for range 3 {
		e := &testEntry{}
		s.startEntry(e)
		s.entries = append(s.entries, e)
	}
	return s
}

func (s *simulation) startAgent(a *testAgent) {
	s.lastIncarnation++
	a.incarnation, a.paused = s.lastIncarnation, false
	a.waiters = map[string][]func(Ticket){}
	a.table = NewTable(a.name, a.incarnation, Limits{
		Tickets: s.capacity(12), Running: 8, ReserveExpiry: time.Minute, BodyBytes: 8, TotalBodyBytes: 16,
	})
}

func (s *simulation) startEntry(e *testEntry) {
	e.incarnation, e.paused = e.incarnation+1, false
	e.index = NewIndex(s.capacity(6))
	e.calls = nil
}

// capacity returns the size of a table or index, a small one if the run tests
// eviction.
func (s *simulation) capacity(small int) int {
	if s.fault.includes("retention") {
		return small
	}
	return 256
}

// pick draws a number from 0 to n-1.
func (s *simulation) pick(n int, label string) int {
	return rapid.IntRange(0, n-1).Draw(s.t, label)
}

func (s *simulation) enqueue(m message) { s.messages = append(s.messages, m) }

// startOperation starts an operation, by ticket or by key.
func (s *simulation) startOperation() {
	op := &testOperation{id: fmt.Sprintf("op-%d", len(s.ops))}
	if s.pick(2, "keyed") == 1 {
		skew := int64(s.pick(2*30_000, "skew")) - 30_000
		op.key = testKey(s.now.UnixMilli()+skew, len(s.ops)+1)
	}
	s.ops = append(s.ops, op)
	s.call(op)
}

// repeatOperation repeats the call of an earlier operation, perhaps at another
// entry.
func (s *simulation) repeatOperation() {
	recent := min(len(s.ops), 12)
	if recent == 0 {
		return
	}
	op := s.ops[len(s.ops)-1-s.pick(recent, "operation")]
	if op.calls < 5 {
		s.call(op)
	}
}

func (s *simulation) call(op *testOperation) {
	entry := s.entries[0]
	if s.fault != "none" {
		entry = s.entries[s.pick(len(s.entries), "entry")]
	}
	c := &testCall{op: op, entry: entry, entryIncarnation: entry.incarnation}
	c.steps = Call{Request: op.id, FirstUse: op.calls == 0 && s.pick(2, "first use") == 1}
	op.calls++
	op.latestCall = c
	if entry.paused {
		return
	}
	entry.calls = append(entry.calls, c)
	if op.key != "" {
		s.performStep(c, c.steps.Begin(entry.index.Lookup("w", "s", op.key)))
		return
	}
	switch {
	case op.ticket == "":
		// Keep the first ticket, because a call with another is another operation.
		s.reserve(c, func(t Ticket) { op.ticket = cmp.Or(op.ticket, t.ID) })
	case s.pick(4, "cancel") == 0:
		s.sendToIssuer(c, op.ticket, s.cancelRequest(op.ticket), func(t Ticket) {
			if t.Outcome == OutcomeNotRun {
				s.reportOutcome(c, op.ticket, OutcomeNotRun)
			}
		})
	default:
		s.runTicket(c, op.ticket)
	}
}

// performStep carries out a step of a keyed call.
func (s *simulation) performStep(c *testCall, step Step) {
	switch step {
	case StepReserve:
		s.reserve(c, func(t Ticket) { s.performStep(c, c.steps.HandleReserved(t.ID)) })
	case StepClaim:
		c.awaitingClaim = true
		s.appendClaim(c)
	case StepCancel:
		ticket := c.steps.Ticket()
		c.awaitingCancel = true
		s.sendToIssuer(c, ticket, s.cancelRequest(ticket), func(t Ticket) {
			outcome := OutcomeUnknown
			if t.Outcome == OutcomeNotRun {
				outcome = OutcomeNotRun
			}
			s.performStep(c, c.steps.HandleCancelled(outcome))
		})
	case StepRun:
		s.runTicket(c, c.steps.Ticket())
	case StepRefuse:
		outcome, _ := c.steps.Refusal()
		s.reportOutcome(c, c.steps.Ticket(), outcome)
	}
}

// reportOutcome reports the outcome of an attempt to the caller and checks that
// it is correct. After not_run the caller may use the key for a new attempt, but
// the ticket of the old attempt must never run.
func (s *simulation) reportOutcome(c *testCall, ticket string, outcome Outcome) {
	op := c.op
	if c.steps.FirstUse && op.latestCall != c {
		// The caller has abandoned this call and sent the key again.
		return
	}
	op.outcomeKnown = op.outcomeKnown || outcome != OutcomeUnknown && outcome != OutcomeNone
	switch outcome {
	case OutcomeNotRun:
		s.notRun[ticket] = true
		if op.executed > 0 {
			s.t.Fatalf("%s was reported as not run and was executed", op.id)
		}
	case OutcomeCompleted:
		if op.executed == 0 {
			s.t.Fatalf("%s was reported as completed and was not executed", op.id)
		}
	}
}

func (s *simulation) reserve(c *testCall, then func(Ticket)) {
	s.requests++
	id := fmt.Sprintf("r%d", s.requests)
	agent := s.agents[s.pick(len(s.agents), "agent")]
	s.sendToAgent(c, "", agent, func(reply func(Ticket)) {
		if ticket, err := agent.table.Reserve(s.now, id); err == nil {
			reply(ticket)
		}
	}, then)
}

func (s *simulation) runTicket(c *testCall, ticket string) {
	s.sendToIssuer(c, ticket, func(agent *testAgent, reply func(Ticket)) {
		state, action, err := agent.table.Run(s.now, ticket, c.op.id)
		switch {
		case err != nil:
		case action == ActionAnswer:
			reply(state)
		default:
			agent.waiters[ticket] = append(agent.waiters[ticket], reply)
			if action == ActionSend {
				s.sendToBackend(agent, ticket, c.op)
			}
		}
	}, func(t Ticket) { s.reportOutcome(c, ticket, t.Outcome) })
}

func (s *simulation) cancelRequest(ticket string) func(*testAgent, func(Ticket)) {
	return func(agent *testAgent, reply func(Ticket)) { reply(agent.table.Cancel(s.now, ticket)) }
}

// sendToIssuer sends a request about a ticket to the agent that issued it.
func (s *simulation) sendToIssuer(c *testCall, ticket string, handle func(*testAgent, func(Ticket)), then func(Ticket)) {
	id, _ := ParseTicketID(ticket)
	for _, agent := range s.agents {
		if agent.name == id.Agent {
			s.sendToAgent(c, ticket, agent, func(reply func(Ticket)) { handle(agent, reply) }, then)
		}
	}
}

// sendToAgent sends a request to an agent and its answer back to the entry. Both
// can be lost, delayed and duplicated. The entry drops an answer for another
// ticket.
func (s *simulation) sendToAgent(c *testCall, ticket string, agent *testAgent, handle func(func(Ticket)), then func(Ticket)) {
	c.onReply, c.pendingTicket = then, ticket
	requestTicket := ticket
	reply := func(t Ticket) {
		s.enqueue(message{mayDuplicate: true, ready: c.canReceive, deliver: func() {
			if !c.alive() || c.onReply == nil || c.pendingTicket != requestTicket || requestTicket != "" && t.ID != requestTicket {
				return
			}
			then := c.onReply
			c.onReply = nil
			then(t)
		}})
	}
	s.enqueue(message{mayDuplicate: true, ready: func() bool { return !agent.paused }, deliver: func() { handle(reply) }})
}

func (c *testCall) alive() bool      { return c.entry.incarnation == c.entryIncarnation }
func (c *testCall) canReceive() bool { return !c.alive() || !c.entry.paused }

// sendToBackend sends the only request of a ticket. The agent can be paused or
// crash between its decision to send and the sending.
func (s *simulation) sendToBackend(agent *testAgent, ticket string, op *testOperation) {
	incarnation := agent.incarnation
	s.enqueue(message{
		ready: func() bool { return agent.incarnation != incarnation || !agent.paused },
		deliver: func() {
			if agent.incarnation != incarnation {
				return
			}
			if s.fault.includes("lost answers") && s.pick(8, "connect") == 0 {
				s.finish(agent, incarnation, ticket, OutcomeNotRun)
				return
			}
			s.enqueue(message{ready: always, deliver: func() { s.execute(agent, incarnation, ticket, op) }})
		},
	})
}

func always() bool { return true }

func (s *simulation) execute(agent *testAgent, incarnation int64, ticket string, op *testOperation) {
	op.executed++
	if op.executed > 1 {
		s.t.Fatalf("%s was executed %d times", op.id, op.executed)
	}
	if s.notRun[ticket] {
		s.t.Fatalf("%s was executed after %s was reported as not run", op.id, ticket)
	}
	answer := &testAnswer{agent: agent, incarnation: incarnation, sentTicket: ticket, answerTicket: ticket}
	s.answers = append(s.answers, answer)
	s.enqueue(message{
		mayDuplicate: true,
		ready:        func() bool { return agent.incarnation != incarnation || !agent.paused },
		deliver: func() {
			outcome := OutcomeCompleted
			if answer.answerTicket != answer.sentTicket {
				outcome = OutcomeUnknown
			}
			s.finish(agent, incarnation, ticket, outcome)
		},
	})
}

// finish records the result of a request and answers all calls that wait for it.
func (s *simulation) finish(agent *testAgent, incarnation int64, ticket string, outcome Outcome) {
	if agent.incarnation != incarnation {
		return
	}
	state := agent.table.Finish(s.now, ticket, Result{Outcome: outcome, Body: []byte("answer")})
	for _, reply := range agent.waiters[ticket] {
		reply(state)
	}
	delete(agent.waiters, ticket)
}

// appendClaim appends the claim of a call to the log.
func (s *simulation) appendClaim(c *testCall) {
	claim := &Claim{Workspace: "w", Service: "s", Key: c.op.key, Ticket: c.steps.Ticket(), Request: c.steps.Request}
	s.enqueue(message{mayDuplicate: true, ready: always, deliver: func() {
		if s.logDown {
			return
		}
		s.log = append(s.log, testRecord{s.now.UnixMilli(), claim})
		offset := s.oldest + int64(len(s.log)) - 1
		s.enqueue(message{mayDuplicate: true, ready: c.canReceive, deliver: func() {
			if c.alive() && c.awaitingClaim {
				c.offset = offset
				s.checkClaim(c)
			}
		}})
	}})
}

// readClaims lets an entry read from the claims stream and checks the claims of
// its calls.
func (s *simulation) readClaims() {
	e := s.entries[s.pick(len(s.entries), "tail")]
	if e.paused || s.logDown {
		return
	}
	if read, _ := logera.Split(e.index.Next()); read < s.era {
		e.index.BeginEra(logera.Position(s.era, 1), s.eraBegan.UnixMilli())
	}
	e.index.SkipTo(s.oldest)
	for range 1 + s.pick(4, "page") {
		at := e.index.Next() - s.oldest
		if at < int64(len(s.log)) {
			e.index.Apply(e.index.Next(), s.log[at].timeMS, s.log[at].claim)
		}
	}
	for _, c := range e.calls {
		s.checkClaim(c)
	}
}

func (s *simulation) checkClaim(c *testCall) {
	if !c.awaitingClaim {
		return
	}
	claim, state := c.entry.index.Lookup("w", "s", c.op.key)
	if state == KeyBound || c.offset > 0 && c.entry.index.Next() > c.offset {
		c.awaitingClaim = false
		s.performStep(c, c.steps.HandleClaimRead(claim, state))
	}
}

// expireCall makes a call at an entry time out.
func (s *simulation) expireCall() {
	e := s.entries[s.pick(len(s.entries), "expire")]
	if e.paused || len(e.calls) == 0 {
		return
	}
	c := e.calls[len(e.calls)-1-s.pick(min(len(e.calls), 4), "call")]
	switch {
	case c.awaitingClaim:
		c.awaitingClaim = false
		s.performStep(c, c.steps.HandleClaimRead(Claim{}, KeyUnbound))
	case c.onReply != nil:
		c.onReply = nil
		if c.awaitingCancel {
			s.performStep(c, c.steps.HandleCancelled(OutcomeUnknown))
		} else if c.pendingTicket != "" {
			s.reportOutcome(c, c.pendingTicket, OutcomeUnknown)
		} else if c.op.key != "" {
			s.performStep(c, c.steps.HandleReserveFailed())
		}
	}
}

// deliver delivers or loses a message. A duplicated message stays in flight and
// is delivered again later.
func (s *simulation) deliver() {
	if len(s.messages) == 0 {
		return
	}
	at := s.pick(len(s.messages), "message")
	m := s.messages[at]
	if !m.ready() {
		return
	}
	s.messages[at] = s.messages[len(s.messages)-1]
	s.messages = s.messages[:len(s.messages)-1]
	if s.fault.includes("lost answers") && s.pick(10, "lose") == 0 {
		return
	}
	if s.fault.includes("doubled answers") && m.mayDuplicate && s.pick(3, "double") == 0 {
		s.enqueue(m)
	}
	m.deliver()
}

// injectFault draws a kind of fault and injects it if the run includes that kind.
func (s *simulation) injectFault() {
	agent := s.agents[s.pick(len(s.agents), "agent")]
	entry := s.entries[s.pick(len(s.entries), "entry")]
	kinds := []faultKind{"agent crash", "entry crash", "pause", "crossed answers", "log outage", "retention", "restored log"}
	kind := kinds[s.pick(len(kinds), "fault")]
	if !s.fault.includes(kind) {
		return
	}
	switch kind {
	case "agent crash":
		s.startAgent(agent)
	case "entry crash":
		s.startEntry(entry)
	case "pause":
		agent.paused, entry.paused = s.pick(2, "pause") == 0, s.pick(2, "pause") == 0
	case "crossed answers":
		if n := len(s.answers); n > 1 {
			a, b := s.answers[n-1], s.answers[n-2]
			a.answerTicket, b.answerTicket = b.answerTicket, a.answerTicket
		}
	case "log outage":
		s.logDown = !s.logDown
	case "retention":
		drop := s.pick(len(s.log)+1, "drop")
		s.log = s.log[drop:]
		s.oldest += int64(drop)
		s.now = s.now.Add(time.Duration(s.pick(90, "seconds")) * time.Second)
	case "restored log":
		s.restoreLog(s.pick(min(len(s.log), 8)+1, "lost"))
		// An entry that starts knows nothing but the copy.
		if s.pick(2, "entry") == 0 {
			s.startEntry(entry)
		}
		s.now = s.now.Add(time.Duration(s.pick(90, "seconds")) * time.Second)
	}
}

// restoreLog brings the log back from a copy that lacks the newest records.
func (s *simulation) restoreLog(lost int) {
	s.log = s.log[:len(s.log)-lost]
	_, offset := logera.Split(s.oldest)
	s.era, s.eraBegan = s.era+1, s.now
	s.oldest = logera.Position(s.era, offset)
}

// advance moves the clock on and performs one random action.
func (s *simulation) advance() {
	s.now = s.now.Add(time.Duration(s.pick(40, "milliseconds")) * time.Millisecond)
	switch s.pick(16, "action") {
	case 0:
		s.repeatOperation()
	case 1, 2, 3:
		s.readClaims()
	case 4:
		if s.fault != "none" && s.pick(8, "expires") == 0 {
			s.expireCall()
		}
	case 5:
		if s.pick(4, "disturbs") == 0 {
			s.injectFault()
		}
	default:
		s.deliver()
	}
}

// drain ends all pauses and outages and delivers the messages in flight.
func (s *simulation) drain() {
	s.logDown = false
	for _, e := range s.entries {
		e.paused = false
	}
	for _, a := range s.agents {
		a.paused = false
	}
	for range 400 {
		s.deliver()
		s.deliver()
		s.readClaims()
	}
}

const (
	operationsPerRun  = 100
	stepsPerOperation = 60
)

// outcomeCounts counts the operations of a run. An operation counts as unknown
// if its callers got only unknown outcomes or no answer at all.
type outcomeCounts struct{ operations, unknown, executed int }

// runSimulation runs operations under one kind of fault and adds the outcomes to
// counts.
func runSimulation(t *rapid.T, counts map[faultKind]*outcomeCounts) {
	fault := faultKinds[rapid.IntRange(0, len(faultKinds)-1).Draw(t, "fault kind")]
	s := newSimulation(t, fault)
	for range operationsPerRun {
		s.startOperation()
		for range stepsPerOperation {
			s.advance()
		}
	}
	s.drain()
	count := counts[fault]
	if count == nil {
		count = &outcomeCounts{}
		counts[fault] = count
	}
	for _, op := range s.ops {
		count.operations++
		if op.executed > 0 {
			count.executed++
		}
		if !op.outcomeKnown {
			count.unknown++
		}
	}
}

// TestRandomisedOperations guards against an operation that is run twice, or
// reported as not run although it was or will be run, after any sequence of
// crashes, pauses, lost, duplicated and crossed answers and racing entries.
func TestRandomisedOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runSimulation(t, map[faultKind]*outcomeCounts{}) })
}
