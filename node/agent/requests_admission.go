package agent

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/laburnumloft/laburnumloft/core/limits"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
	"github.com/laburnumloft/laburnumloft/node/lib/ring"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// Bounds of an agent's queue. Entries queue as well and see all agents, so
// an agent keeps only what evens out the lag of load reports.
const (
	maxQueued             = 64
	maxQueuedPerWorkspace = 32
	// headroomShare is below that of entries, so that requests rarely wait
	// here for the headroom of this one backend server.
	headroomShare = 0.1
	// maxQueueWait is how long a request waits before it is sent back as not run.
	// It is shorter than the time after which entries take a silent agent
	// for dead.
	maxQueueWait     = time.Second
	creditTokens     = 1024
	admissionBacklog = 1024
	admissionTick    = 20 * time.Millisecond
)

var (
	agentQueued  = expvar.NewInt("agent_queue_length_requests")
	agentRunning = expvar.NewInt("agent_running_requests")
	agentLimit   = expvar.NewInt("agent_concurrency_limit_requests")
)

// admission lets requests through to the backend server. One goroutine owns
// the queue and the limit.
type admission struct {
	events  *ring.Ring[admissionEvent]
	ids     atomic.Uint64
	queue   *limits.FairQueue
	limit   *limits.Concurrency
	waiting map[uint64]chan *wire.Error
	gate    *backendGate
	// life ends when the owning goroutine ends.
	life context.Context
	stop context.CancelFunc

	// gapNanos and gaps sum the times between tokens since the last tick.
	gapNanos, gaps atomic.Int64
	// published is the load that other goroutines may read.
	published atomic.Pointer[wire.Load]
}

type admissionEvent struct {
	// item is set when a request enters.
	item  *limits.Item
	reply chan *wire.Error
	// leave is the id of a request that leaves, served its tokens.
	leave  uint64
	served int
}

func newAdmission(gate *backendGate) *admission {
	life, stop := context.WithCancel(context.Background())
	a := &admission{
		events: ring.New[admissionEvent]("agent_admission", admissionBacklog, ring.Block),
		queue: limits.NewFairQueue(limits.QueueConfig{
			MaxQueued: maxQueued, MaxQueuedPerWorkspace: maxQueuedPerWorkspace, HeadroomShare: headroomShare, Credit: creditTokens,
		}),
		limit:   limits.NewConcurrency(limits.DefaultConcurrency),
		waiting: map[uint64]chan *wire.Error{},
		gate:    gate,
		life:    life,
		stop:    stop,
	}
	a.publish()
	return a
}

// turn is the right to use the backend server until leave.
type turn struct {
	admission *admission
	id        uint64
}

// enter waits until the request may run or is refused.
func (a *admission) enter(ctx context.Context, item limits.Item) (*turn, *wire.Error) {
	item.ID = a.ids.Add(1)
	reply := make(chan *wire.Error, 1)
	t := &turn{admission: a, id: item.ID}
	if !a.events.Push(ctx, admissionEvent{item: &item, reply: reply}) {
		return nil, &wire.Error{Kind: wire.ErrorOverloaded, Message: "agent is busy", RetryAfterMS: 1000}
	}
	patience := time.NewTimer(maxQueueWait)
	defer patience.Stop()
	select {
	case <-patience.C:
		t.leave(0)
		return nil, &wire.Error{Kind: wire.ErrorOverloaded, Message: "request waited too long at the agent", RetryAfterMS: jittered(1000)}
	case failure := <-reply:
		if failure != nil {
			return nil, failure
		}
		return t, nil
	case <-ctx.Done():
		t.leave(0)
		return nil, &wire.Error{Kind: wire.ErrorTimeout, Message: "request left the queue: " + ctx.Err().Error()}
	case <-a.life.Done():
		return nil, &wire.Error{Kind: wire.ErrorLeaving, Message: "agent is stopping"}
	}
}

// leave gives the place back. It waits for room in the ring, because a lost
// place would stay in use for ever.
func (t *turn) leave(served int) {
	t.admission.events.Push(t.admission.life, admissionEvent{leave: t.id, served: served})
}

// observe adds the time between two tokens.
func (a *admission) observe(gap time.Duration) {
	a.gapNanos.Add(int64(gap))
	a.gaps.Add(1)
}

// load returns the load as of the latest event.
func (a *admission) load() *wire.Load {
	load := *a.published.Load()
	load.PausedMS = a.gate.pausedMS()
	return &load
}

func (a *admission) run(ctx context.Context) {
	defer a.stop()
	ticker := time.NewTicker(admissionTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-a.events.Items():
			a.handle(time.Now(), event)
		case now := <-ticker.C:
			a.tick(now)
		}
	}
}

func (a *admission) handle(now time.Time, event admissionEvent) {
	if event.item != nil {
		if failure := a.gate.refusal(); failure != nil {
			event.reply <- failure
			a.dispatch(now)
			return
		}
		result := a.queue.Push(now, *event.item)
		if result.Refused != "" {
			event.reply <- refusal(result.Refused, result.RetryAfter)
		} else {
			a.waiting[event.item.ID] = event.reply
		}
		if result.Displaced != 0 {
			a.answer(result.Displaced, refusal(limits.RefusedDisplaced, time.Second))
		}
	} else if a.queue.Cancel(event.leave) {
		delete(a.waiting, event.leave)
	} else {
		a.queue.Done(now, event.leave, event.served)
	}
	a.dispatch(now)
}

func refusal(reason limits.Refusal, after time.Duration) *wire.Error {
	return &wire.Error{
		Kind: wire.ErrorOverloaded, Message: "backend server is busy: " + string(reason),
		RetryAfterMS: jittered(after.Milliseconds()),
	}
}

func (a *admission) answer(id uint64, failure *wire.Error) {
	a.waiting[id] <- failure
	delete(a.waiting, id)
}

// dispatch lets requests through up to the limit.
func (a *admission) dispatch(now time.Time) {
	for {
		free := a.limit.Limit() - a.queue.Running()
		if a.gate.wait(bootclock.Now()) != 0 {
			// Expired items still have to be answered.
			free = 0
		}
		item, ok, expired := a.queue.Pop(now, free, nil)
		for _, id := range expired {
			a.answer(id, refusal(limits.RefusedDeadline, time.Second))
		}
		if !ok {
			break
		}
		if !a.gate.take(bootclock.Now()) {
			a.queue.Requeue(item)
			break
		}
		a.answer(item.ID, nil)
	}
	a.publish()
}

func (a *admission) tick(now time.Time) {
	gaps, nanos := a.gaps.Swap(0), a.gapNanos.Swap(0)
	if gaps > 0 {
		a.limit.Observe(time.Duration(nanos), int(gaps), a.queue.Running())
	}
	a.limit.Tick(now)
	a.dispatch(now)
}

func (a *admission) publish() {
	next := wire.Load{Running: a.queue.Running(), Queued: a.queue.Len(), Limit: a.limit.Limit()}
	last := a.published.Load()
	if last != nil && *last == next {
		return
	}
	if last == nil {
		last = &wire.Load{}
	}
	// The gauges add up over agents in one process.
	agentRunning.Add(int64(next.Running - last.Running))
	agentQueued.Add(int64(next.Queued - last.Queued))
	agentLimit.Add(int64(next.Limit - last.Limit))
	a.published.Store(&next)
}
