package limits

import (
	"container/heap"
	"math"
	"time"

	"github.com/laburnumloft/laburnumloft/core/invariant"
)

// Refusal is the reason why a queue refused or dropped an item.
type Refusal string

// Reasons of a refusal.
const (
	// RefusedQueueFull means that the queue holds MaxQueued items and that no
	// item of another workspace may be displaced, because no other workspace
	// has more waiting items per weight than this one would have.
	RefusedQueueFull Refusal = "queue_full"
	// RefusedWorkspaceFull means that the workspace has as many waiting items
	// as it may have.
	RefusedWorkspaceFull Refusal = "workspace_full"
	// RefusedDeadline means that the deadline can't be met.
	RefusedDeadline Refusal = "deadline"
	// RefusedDisplaced means that the item was removed from a full queue to
	// make room for a workspace with fewer waiting items per weight.
	RefusedDisplaced Refusal = "displaced"
)

// Bounds of the retry time that a refused caller gets.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 60 * time.Second
)

// rateTimeConstant is the time constant of the moving average of the service
// rate.
const rateTimeConstant = 2 * time.Second

// QueueConfig configures a FairQueue.
type QueueConfig struct {
	// MaxQueued is the maximum number of waiting items of all workspaces.
	MaxQueued int
	// MaxQueuedPerWorkspace is the maximum number of waiting items of a
	// workspace whose items don't set MaxQueued.
	MaxQueuedPerWorkspace int
	// HeadroomShare is the share of the capacity that only workspaces below
	// their fair share may use. It lets a request of a quiet workspace start at
	// once while a busy workspace uses the rest of the capacity.
	HeadroomShare float64
	// Credit is the maximum cost that a workspace of weight 1 can save up by
	// using less than its share. It lets an occasional burst of a quiet
	// workspace run before the items of a workspace that always has some
	// waiting.
	Credit float64
}

// Item is one waiting request.
type Item struct {
	// ID is chosen by the user of the queue and must be unique.
	ID        uint64
	Workspace string
	// Weight is the weight of the workspace in the fair shares; values below 1
	// count as 1.
	Weight int
	// MaxQueued is the maximum number of waiting items of the workspace; 0
	// means MaxQueuedPerWorkspace of the queue.
	MaxQueued int
	// Cost is the expected work, for example the number of tokens.
	Cost int
	// Priority orders items of one workspace; the largest goes first.
	Priority int
	// Deadline is the time by which the work must be finished.
	Deadline time.Time
	// OverShare is set by Pop when the workspace has used up its credit and its
	// share, so that the item must not use the headroom.
	OverShare bool
}

// FairQueue orders requests of many workspaces by weighted fair shares of
// their cost (start-time fair queueing). It orders the requests of one workspace
// by priority and then by deadline. The queue keeps the state of a workspace
// while the workspace has waiting or running items or has not regained its full
// credit.
type FairQueue struct {
	cfg         QueueConfig
	flows       map[string]*flow
	items       map[uint64]*queuedItem
	running     map[uint64]runningItem
	virtualTime float64
	// costPerSecond is the measured rate of finished cost.
	costPerSecond  float64
	rateMeasuredAt time.Time
	finishedCost   float64
	// runSecondsPerCost is the measured run time of one unit of cost.
	runSecondsPerCost float64
	queuedCost        int
	history           invariant.History
}

type flow struct {
	workspace   string
	weight      float64
	heap        itemHeap
	startTag    float64
	running     int
	runningCost int
	queuedCost  int
}

type runningItem struct {
	flow    *flow
	cost    int
	started time.Time
}

type queuedItem struct {
	Item
	flow  *flow
	index int
	seq   uint64
}

// NewFairQueue returns an empty queue.
func NewFairQueue(cfg QueueConfig) *FairQueue {
	return &FairQueue{
		cfg:     cfg,
		flows:   map[string]*flow{},
		items:   map[uint64]*queuedItem{},
		running: map[uint64]runningItem{},
	}
}

// PushResult is the outcome of Push.
type PushResult struct {
	// Refused is empty if the item was added.
	Refused Refusal
	// RetryAfter is the estimated time after which a retry of a refused item
	// may succeed.
	RetryAfter time.Duration
	// Displaced is the id of the item that was removed to make room, or 0.
	Displaced uint64
}

// Push adds an item or refuses it. It refuses an item at once if it is expected
// to miss its deadline, so that the caller can still try another server.
func (q *FairQueue) Push(now time.Time, item Item) PushResult {
	item.Weight, item.Cost = max(item.Weight, 1), max(item.Cost, 1)
	bound := item.MaxQueued
	if bound <= 0 {
		bound = q.cfg.MaxQueuedPerWorkspace
	}
	f := q.flow(item.Workspace)
	f.weight = float64(item.Weight)
	wait := q.expectedWait(f, item.Cost)
	result := PushResult{}
	switch {
	case len(f.heap) >= bound:
		result = PushResult{Refused: RefusedWorkspaceFull, RetryAfter: clampRetryAfter(wait)}
	case now.Add(wait + q.expectedRunTime(item.Cost)).After(item.Deadline):
		result = PushResult{Refused: RefusedDeadline, RetryAfter: clampRetryAfter(wait)}
	case len(q.items) >= q.cfg.MaxQueued:
		result.Displaced = q.displace(f)
		if result.Displaced == 0 {
			result = PushResult{Refused: RefusedQueueFull, RetryAfter: clampRetryAfter(wait)}
		}
	}
	if result.Refused != "" {
		q.removeIfIdle(f)
		return result
	}
	n := &queuedItem{Item: item, flow: f, seq: item.ID}
	f.startTag = max(f.startTag, q.virtualTime-q.cfg.Credit)
	heap.Push(&f.heap, n)
	q.items[item.ID] = n
	f.queuedCost += item.Cost
	q.queuedCost += item.Cost
	q.checkInvariants()
	return result
}

// displace makes room for one more item of f. It removes the last item of the
// workspace with the most waiting items per weight, if f would still have fewer
// per weight after the addition. It returns the id of the removed item, or 0 if
// none was removed.
func (q *FairQueue) displace(f *flow) uint64 {
	var largest *flow
	for _, other := range q.flows {
		if len(other.heap) == 0 {
			continue
		}
		if largest == nil || other.backlog() > largest.backlog() ||
			other.backlog() == largest.backlog() && other.workspace < largest.workspace {
			largest = other
		}
	}
	if largest == nil || largest == f || largest.backlog() <= (float64(len(f.heap))+1)/f.weight {
		return 0
	}
	last := 0
	for i := range largest.heap {
		if largest.heap.Less(last, i) {
			last = i
		}
	}
	id := largest.heap[last].ID
	q.remove(largest.heap[last])
	return id
}

func (f *flow) backlog() float64 { return float64(len(f.heap)) / f.weight }

// Pop removes and returns the next item to run, given that free more items may
// run. It also removes items that can no longer meet their deadline and returns
// the slice expired with their ids appended.
func (q *FairQueue) Pop(now time.Time, free int, expired []uint64) (item Item, ok bool, expiredIDs []uint64) {
	for {
		f := q.next(free)
		if f == nil {
			return Item{}, false, expired
		}
		n := f.heap[0]
		n.OverShare = q.overShare(f, free)
		if now.Add(q.expectedRunTime(n.Cost)).After(n.Deadline) {
			q.remove(n)
			expired = append(expired, n.ID)
			continue
		}
		q.virtualTime = max(q.virtualTime, f.startTag)
		f.startTag += float64(n.Cost) / f.weight
		f.running++
		f.runningCost += n.Cost
		q.running[n.ID] = runningItem{flow: f, cost: n.Cost, started: now}
		q.remove(n)
		q.checkInvariants()
		return n.Item, true, expired
	}
}

// next returns the flow with the smallest start tag among the flows that may use
// a free slot.
func (q *FairQueue) next(free int) *flow {
	if free <= 0 || len(q.items) == 0 {
		return nil
	}
	headroom := q.headroom(free)
	var best *flow
	for _, f := range q.flows {
		if len(f.heap) == 0 {
			continue
		}
		if best != nil && (f.startTag > best.startTag || f.startTag == best.startTag && f.workspace > best.workspace) {
			continue
		}
		if float64(free) <= headroom && q.overShare(f, free) {
			continue
		}
		best = f
	}
	return best
}

// headroom returns the number of slots reserved for workspaces below their
// share.
func (q *FairQueue) headroom(free int) float64 {
	return math.Round(q.cfg.HeadroomShare * float64(len(q.running)+free))
}

// overShare reports whether the flow has used up its credit and runs at least
// its share of the slots. A flow without running items is never over its share.
func (q *FairQueue) overShare(f *flow, free int) bool {
	if f.running == 0 || f.startTag < q.virtualTime {
		return false
	}
	weights := 0.0
	for _, other := range q.flows {
		if len(other.heap) > 0 || other.running > 0 {
			weights += other.weight
		}
	}
	slots := float64(len(q.running)+free) - q.headroom(free)
	return float64(f.running) >= f.weight/weights*slots
}

// Requeue returns a popped item that could not be placed to its position in the
// queue. It does not check the deadline or the bounds of the queue.
func (q *FairQueue) Requeue(item Item) {
	r, ok := q.running[item.ID]
	q.history.Check(ok, "item %d is returned to the queue but was not popped", item.ID)
	f := r.flow
	delete(q.running, item.ID)
	f.running--
	f.runningCost -= r.cost
	f.startTag -= float64(r.cost) / f.weight
	n := &queuedItem{Item: item, flow: f, seq: item.ID}
	heap.Push(&f.heap, n)
	q.items[item.ID] = n
	f.queuedCost += item.Cost
	q.queuedCost += item.Cost
	q.checkInvariants()
}

// Cancel removes a waiting item. It returns false if the item was not waiting.
func (q *FairQueue) Cancel(id uint64) bool {
	n, ok := q.items[id]
	if ok {
		q.remove(n)
		q.checkInvariants()
	}
	return ok
}

// Done records the end of a popped item. The cost that was actually served
// replaces the expected cost that Pop charged to the workspace.
func (q *FairQueue) Done(now time.Time, id uint64, served int) {
	r, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	f := r.flow
	f.running--
	f.runningCost -= r.cost
	f.startTag += float64(served-r.cost) / f.weight
	if served > 0 {
		unit := now.Sub(r.started).Seconds() / float64(served)
		if q.runSecondsPerCost == 0 {
			q.runSecondsPerCost = unit
		} else {
			q.runSecondsPerCost += 0.05 * (unit - q.runSecondsPerCost)
		}
		q.measureRate(now, float64(served))
	}
	q.removeIfIdle(f)
	q.checkInvariants()
}

// measureRate adds finished cost to the moving average of the service rate.
func (q *FairQueue) measureRate(now time.Time, cost float64) {
	q.finishedCost += cost
	if q.rateMeasuredAt.IsZero() {
		q.rateMeasuredAt = now
		return
	}
	elapsed := now.Sub(q.rateMeasuredAt)
	if elapsed < rateTimeConstant/10 {
		return
	}
	rate := q.finishedCost / elapsed.Seconds()
	share := min(1, elapsed.Seconds()/rateTimeConstant.Seconds())
	if q.costPerSecond == 0 {
		share = 1
	}
	q.costPerSecond += share * (rate - q.costPerSecond)
	q.rateMeasuredAt, q.finishedCost = now, 0
}

// expectedWait estimates how long a new item of the flow waits: the time to
// serve the waiting cost of its workspace at the workspace's share of the rate,
// but at most the time to serve all waiting cost at the full rate.
func (q *FairQueue) expectedWait(f *flow, cost int) time.Duration {
	if q.costPerSecond <= 0 || len(f.heap) == 0 {
		return 0
	}
	weights := 0.0
	for _, other := range q.flows {
		if len(other.heap) > 0 || other == f {
			weights += other.weight
		}
	}
	own := float64(f.queuedCost) / (q.costPerSecond * f.weight / weights)
	all := float64(q.queuedCost+cost) / q.costPerSecond
	return durationFromSeconds(min(own, all))
}

// expectedRunTime estimates how long an item of this cost runs.
func (q *FairQueue) expectedRunTime(cost int) time.Duration {
	return durationFromSeconds(q.runSecondsPerCost * float64(cost))
}

func durationFromSeconds(s float64) time.Duration {
	return time.Duration(min(s, 3600) * float64(time.Second))
}

func clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Len returns the number of waiting items.
func (q *FairQueue) Len() int { return len(q.items) }

// Running returns the number of popped items for which Done was not called.
func (q *FairQueue) Running() int { return len(q.running) }

// Workspaces returns the number of workspaces that have state in the queue.
func (q *FairQueue) Workspaces() int { return len(q.flows) }

func (q *FairQueue) flow(workspace string) *flow {
	f := q.flows[workspace]
	if f == nil {
		q.evictIdleFlows()
		f = &flow{workspace: workspace, weight: 1, startTag: q.virtualTime - q.cfg.Credit}
		q.flows[workspace] = f
	}
	return f
}

// evictIdleFlows removes all flows without waiting or running items once there
// are MaxQueued flows, even flows that have not regained their full credit. This
// bounds the number of flows by MaxQueued plus the number of running items, plus
// the new flow.
func (q *FairQueue) evictIdleFlows() {
	if len(q.flows) < q.cfg.MaxQueued {
		return
	}
	for name, f := range q.flows {
		if len(f.heap) == 0 && f.running == 0 {
			delete(q.flows, name)
		}
	}
}

// removeIfIdle removes the flow when it has no items and its full credit, which
// is also the state of a new flow.
func (q *FairQueue) removeIfIdle(f *flow) {
	if len(f.heap) == 0 && f.running == 0 && f.startTag <= q.virtualTime-q.cfg.Credit {
		delete(q.flows, f.workspace)
	}
}

func (q *FairQueue) remove(n *queuedItem) {
	heap.Remove(&n.flow.heap, n.index)
	delete(q.items, n.ID)
	n.flow.queuedCost -= n.Cost
	q.queuedCost -= n.Cost
	q.removeIfIdle(n.flow)
}

func (q *FairQueue) checkInvariants() {
	q.history.Check(len(q.items) <= q.cfg.MaxQueued+len(q.running), "queue holds %d items, limit %d", len(q.items), q.cfg.MaxQueued)
	q.history.Check(q.queuedCost >= 0, "queued cost %d is negative", q.queuedCost)
	q.history.Check(len(q.items) > 0 || q.queuedCost == 0, "empty queue has queued cost %d", q.queuedCost)
}

// itemHeap orders the waiting items of one workspace: priority, then deadline,
// then id.
type itemHeap []*queuedItem

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.seq < b.seq
}

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *itemHeap) Push(x any) {
	n := x.(*queuedItem)
	n.index = len(*h)
	*h = append(*h, n)
}

func (h *itemHeap) Pop() any {
	old := *h
	n := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return n
}
