package limits

import (
	"container/heap"
	"math"
	"time"

	"github.com/laburnumloft/laburnumloft/core/invariant"
)

// Refusal says why a queue refused an item.
type Refusal string

// Reasons of a refusal.
const (
	// RefusedQueueFull means that the whole queue is at its bound and the
	// workspace uses at least its share of it.
	RefusedQueueFull Refusal = "queue_full"
	// RefusedWorkspaceFull means that the workspace is at its own bound.
	RefusedWorkspaceFull Refusal = "workspace_full"
	// RefusedDeadline means that the deadline can't be met.
	RefusedDeadline Refusal = "deadline"
	// RefusedDisplaced means that the item made room for a workspace that
	// used less of a full queue.
	RefusedDisplaced Refusal = "displaced"
)

// Bounds of the estimate that a refused caller gets.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 60 * time.Second
)

// rateWindow is the time constant of the measured service rate.
const rateWindow = 2 * time.Second

// QueueConfig sets the bounds of a FairQueue.
type QueueConfig struct {
	// MaxQueued bounds the waiting items of all workspaces.
	MaxQueued int
	// MaxQueuedPerWorkspace bounds the waiting items of one workspace that
	// states no bound of its own.
	MaxQueuedPerWorkspace int
	// HeadroomShare is the share of the capacity that only workspaces below
	// their fair share may use. It lets a quiet workspace start at once
	// while a busy one fills everything else.
	HeadroomShare float64
	// Credit is how much cost a workspace of weight 1 may save up by using
	// less than its share. It keeps the random clumps of a quiet workspace
	// in front of one that always has something waiting.
	Credit float64
}

// Item is one waiting request.
type Item struct {
	// ID is chosen by the caller of the queue and must be unique.
	ID        uint64
	Workspace string
	// Weight is the share of the workspace; values below 1 count as 1.
	Weight int
	// MaxQueued bounds the waiting items of the workspace; 0 means the
	// configured bound.
	MaxQueued int
	// Cost is the expected work, for example the number of tokens.
	Cost int
	// Priority orders items of one workspace; larger goes first.
	Priority int
	// Deadline is when the work must be finished.
	Deadline time.Time
}

// FairQueue orders requests of many workspaces by weighted fair shares of
// their cost (start-time fair queueing). Inside one workspace it orders by
// priority and then by deadline. A workspace exists in the queue only while
// it has waiting or running items or has used more than its share lately.
type FairQueue struct {
	cfg     QueueConfig
	flows   map[string]*flow
	items   map[uint64]*node
	running map[uint64]runningItem
	virtual float64
	// costPerSecond is the measured rate of finished cost.
	costPerSecond float64
	rateAt        time.Time
	finishedCost  float64
	// unitSeconds is the measured time that one unit of cost takes to run.
	unitSeconds float64
	queuedCost  int
	history     invariant.History
}

type flow struct {
	workspace   string
	weight      float64
	heap        itemHeap
	finish      float64
	running     int
	runningCost int
	queuedCost  int
}

type runningItem struct {
	flow    *flow
	cost    int
	started time.Time
}

type node struct {
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
		items:   map[uint64]*node{},
		running: map[uint64]runningItem{},
	}
}

// PushResult is the outcome of Push.
type PushResult struct {
	// Refused is empty if the item waits.
	Refused Refusal
	// RetryAfter is set if the item was refused.
	RetryAfter time.Duration
	// Displaced is the id of another item that made room, or 0.
	Displaced uint64
}

// Push adds an item or refuses it. It refuses at once when the expected
// wait and run time exceed the deadline, so that the caller can go
// elsewhere while there is time.
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
		result = PushResult{Refused: RefusedWorkspaceFull, RetryAfter: retryAfter(wait)}
	case now.Add(wait + q.runTime(item.Cost)).After(item.Deadline):
		result = PushResult{Refused: RefusedDeadline, RetryAfter: retryAfter(wait)}
	case len(q.items) >= q.cfg.MaxQueued:
		result.Displaced = q.displace(f)
		if result.Displaced == 0 {
			result = PushResult{Refused: RefusedQueueFull, RetryAfter: retryAfter(wait)}
		}
	}
	if result.Refused != "" {
		q.release(f)
		return result
	}
	n := &node{Item: item, flow: f, seq: item.ID}
	f.finish = max(f.finish, q.virtual-q.cfg.Credit)
	heap.Push(&f.heap, n)
	q.items[item.ID] = n
	f.queuedCost += item.Cost
	q.queuedCost += item.Cost
	q.check()
	return result
}

// displace drops the last item of the workspace that holds the most waiting
// items per weight, if that is more than the flow f would hold.
func (q *FairQueue) displace(f *flow) uint64 {
	var worst *flow
	for _, other := range q.flows {
		if len(other.heap) == 0 {
			continue
		}
		if worst == nil || other.backlog() > worst.backlog() ||
			other.backlog() == worst.backlog() && other.workspace < worst.workspace {
			worst = other
		}
	}
	if worst == nil || worst == f || worst.backlog() <= (float64(len(f.heap))+1)/f.weight {
		return 0
	}
	last := 0
	for i := range worst.heap {
		if worst.heap.Less(last, i) {
			last = i
		}
	}
	id := worst.heap[last].ID
	q.remove(worst.heap[last])
	return id
}

func (f *flow) backlog() float64 { return float64(len(f.heap)) / f.weight }

// Pop takes the next item to run when free more items may run. The ids of
// items that can't meet their deadline any more are appended to expired.
func (q *FairQueue) Pop(now time.Time, free int, expired []uint64) (item Item, ok bool, dropped []uint64) {
	for {
		f := q.next(free)
		if f == nil {
			return Item{}, false, expired
		}
		n := f.heap[0]
		if now.Add(q.runTime(n.Cost)).After(n.Deadline) {
			q.remove(n)
			expired = append(expired, n.ID)
			continue
		}
		q.virtual = max(q.virtual, f.finish)
		f.finish += float64(n.Cost) / f.weight
		f.running++
		f.runningCost += n.Cost
		q.running[n.ID] = runningItem{flow: f, cost: n.Cost, started: now}
		q.remove(n)
		q.check()
		return n.Item, true, expired
	}
}

// next returns the flow with the smallest start tag that may use a place.
func (q *FairQueue) next(free int) *flow {
	if free <= 0 || len(q.items) == 0 {
		return nil
	}
	places := float64(len(q.running) + free)
	headroom := math.Round(q.cfg.HeadroomShare * places)
	weights := 0.0
	for _, f := range q.flows {
		if len(f.heap) > 0 || f.running > 0 {
			weights += f.weight
		}
	}
	var best *flow
	for _, f := range q.flows {
		if len(f.heap) == 0 {
			continue
		}
		share := f.weight / weights * (places - headroom)
		if float64(free) <= headroom && f.running > 0 && float64(f.running) >= share && f.finish >= q.virtual {
			continue
		}
		if best == nil || f.finish < best.finish || f.finish == best.finish && f.workspace < best.workspace {
			best = f
		}
	}
	return best
}

// Unpop returns a popped item that could not be placed to the queue, with
// its place in the order and without a deadline or bound check.
func (q *FairQueue) Unpop(item Item) {
	r, ok := q.running[item.ID]
	q.history.Check(ok, "item %d returned to the queue was not popped", item.ID)
	f := r.flow
	delete(q.running, item.ID)
	f.running--
	f.runningCost -= r.cost
	f.finish -= float64(r.cost) / f.weight
	n := &node{Item: item, flow: f, seq: item.ID}
	heap.Push(&f.heap, n)
	q.items[item.ID] = n
	f.queuedCost += item.Cost
	q.queuedCost += item.Cost
	q.check()
}

// Cancel removes a waiting item and reports whether it waited.
func (q *FairQueue) Cancel(id uint64) bool {
	n, ok := q.items[id]
	if ok {
		q.remove(n)
		q.check()
	}
	return ok
}

// Done reports the end of a popped item. Served is the cost that was spent;
// it corrects the charge that Pop made from the expected cost.
func (q *FairQueue) Done(now time.Time, id uint64, served int) {
	r, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	f := r.flow
	f.running--
	f.runningCost -= r.cost
	f.finish += float64(served-r.cost) / f.weight
	if served > 0 {
		unit := now.Sub(r.started).Seconds() / float64(served)
		if q.unitSeconds == 0 {
			q.unitSeconds = unit
		} else {
			q.unitSeconds += 0.05 * (unit - q.unitSeconds)
		}
		q.measureRate(now, float64(served))
	}
	q.release(f)
	q.check()
}

// measureRate folds finished cost into the service rate.
func (q *FairQueue) measureRate(now time.Time, cost float64) {
	q.finishedCost += cost
	if q.rateAt.IsZero() {
		q.rateAt = now
		return
	}
	elapsed := now.Sub(q.rateAt)
	if elapsed < rateWindow/10 {
		return
	}
	rate := q.finishedCost / elapsed.Seconds()
	share := min(1, elapsed.Seconds()/rateWindow.Seconds())
	if q.costPerSecond == 0 {
		share = 1
	}
	q.costPerSecond += share * (rate - q.costPerSecond)
	q.rateAt, q.finishedCost = now, 0
}

// expectedWait estimates how long a new item of the flow waits: the cost
// ahead of it in its own workspace, at that workspace's share of the rate.
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
	return seconds(min(own, all))
}

// runTime estimates how long an item runs once it is popped.
func (q *FairQueue) runTime(cost int) time.Duration {
	return seconds(q.unitSeconds * float64(cost))
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, 3600) * float64(time.Second))
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Len returns the number of waiting items.
func (q *FairQueue) Len() int { return len(q.items) }

// Running returns the number of popped items that are not done.
func (q *FairQueue) Running() int { return len(q.running) }

// Workspaces returns how many workspaces the queue remembers.
func (q *FairQueue) Workspaces() int { return len(q.flows) }

func (q *FairQueue) flow(workspace string) *flow {
	f := q.flows[workspace]
	if f == nil {
		q.forgetIdle()
		f = &flow{workspace: workspace, weight: 1, finish: q.virtual - q.cfg.Credit}
		q.flows[workspace] = f
	}
	return f
}

// forgetIdle removes workspaces whose debt has been caught up with. The
// number of remembered workspaces stays below the bound on waiting items
// plus running items plus those with debt; the latter are cut at MaxQueued.
func (q *FairQueue) forgetIdle() {
	if len(q.flows) < q.cfg.MaxQueued {
		return
	}
	for name, f := range q.flows {
		if len(f.heap) == 0 && f.running == 0 {
			delete(q.flows, name)
		}
	}
}

// release forgets the flow if it is idle and owes nothing.
func (q *FairQueue) release(f *flow) {
	if len(f.heap) == 0 && f.running == 0 && f.finish <= q.virtual-q.cfg.Credit {
		delete(q.flows, f.workspace)
	}
}

func (q *FairQueue) remove(n *node) {
	heap.Remove(&n.flow.heap, n.index)
	delete(q.items, n.ID)
	n.flow.queuedCost -= n.Cost
	q.queuedCost -= n.Cost
	q.release(n.flow)
}

func (q *FairQueue) check() {
	q.history.Check(len(q.items) <= q.cfg.MaxQueued+len(q.running), "queue holds %d items, bound %d", len(q.items), q.cfg.MaxQueued)
	q.history.Check(q.queuedCost >= 0, "queued cost %d is negative", q.queuedCost)
	q.history.Check(len(q.items) > 0 || q.queuedCost == 0, "empty queue has cost %d", q.queuedCost)
}

// itemHeap orders one workspace's items.
type itemHeap []*node

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
	n := x.(*node)
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
