package entry

import (
	"context"
	"expvar"
	"math"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/laburnumloft/laburnumloft/core/limits"
	"github.com/laburnumloft/laburnumloft/core/routing"
	"github.com/laburnumloft/laburnumloft/node/lib/ring"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// Bounds and times of the dispatcher.
const (
	maxQueued             = 2048
	maxQueuedPerWorkspace = 512
	headroomShare         = 0.2
	creditTokens          = 1024
	dispatchBacklog       = 4096
	// membersInterval is how often a pool takes over the member reports.
	membersInterval = 100 * time.Millisecond
	// membersMinInterval bounds reads of the reports when a pool is empty.
	membersMinInterval = 10 * time.Millisecond
	// idlePool is how long an unused pool is kept.
	idlePool = 10 * time.Minute
	// maxHeld bounds the refused requests of a lane that wait for room at another agent.
	// Each one costs a choice whenever something changes.
	maxHeld = 32
	// memberWait is how long requests wait for a member after the last one has gone: the
	// only backend server of a service serves nothing while it loads a new version. It is
	// the longest silence that a sound server is expected to make.
	memberWait = 3 * time.Second
)

var (
	entryQueued   = expvar.NewInt("entry_queue_length_requests")
	entryInFlight = expvar.NewInt("entry_in_flight_requests")
	entrySetAside = expvar.NewInt("entry_set_aside_agents")
)

// placement is one request on its way to a backend server.
type placement struct {
	call *call
	item limits.Item
	lane string
	// reply takes one answer for each submission.
	reply    chan placed
	affinity uint64
	// maxUse is the utilization up to which a backend server may be filled.
	maxUse float64
	// tried are the backend servers that refused the request, ruledOut those of them that
	// were not only busy. The busy ones may be tried again after busyUntil.
	tried, ruledOut []routing.Handle
	busyUntil       time.Time
	// retry says that refusedBy refused the request with the last error.
	retry     bool
	last      *wire.Error
	refusedBy routing.Handle
	refusedAs routing.Result
	// silent means that the backend server has sent nothing for the stall timeout.
	silent atomic.Bool
}

// grant is a backend server chosen for a placement.
type grant struct {
	handle  routing.Handle
	agent   string
	address string
	// version is the one that the backend server serves.
	version string
}

type placed struct {
	grant   grant
	failure *wire.Error
}

// dispatcher owns the pools, the fair queues and the retry budget. One
// goroutine runs it; requests talk to it through a ring.
type dispatcher struct {
	events   *ring.Ring[dispatchEvent]
	serving  func(service string) []*rpc.MemberReport
	region   string
	services map[string]*serviceState
	budget   *limits.RetryBudget
	nextID   uint64
	life     context.Context
	stop     context.CancelFunc
	// backends is scratch space for member reports.
	backends []routing.Backend
}

// serviceState is what the dispatcher keeps of one service.
type serviceState struct {
	name      string
	pool      *routing.Pool
	lanes     map[string]*lane
	refreshed time.Time
	// hadMemberAt is when the pool last had a member.
	hadMemberAt time.Time
	used        time.Time
	setAside    int
	inFlight    int
}

// lane queues the requests of a service that may use the same regions, so
// that a full region doesn't hold up requests that may go elsewhere.
type lane struct {
	regions []string
	queue   *limits.FairQueue
	waiting map[uint64]*placement
	// held are refused requests that are out of the queue, so that they hold up no others,
	// and wait for room at an agent.
	held   []*placement
	length int
}

type eventKind int

const (
	eventSubmit eventKind = iota
	eventAbandon
	eventFinish
	eventLoad
)

type dispatchEvent struct {
	kind      eventKind
	placement *placement
	service   string
	grant     grant
	result    routing.Result
	tokens    int
	load      wire.Load
}

func newDispatcher(region string, serving func(service string) []*rpc.MemberReport) *dispatcher {
	life, stop := context.WithCancel(context.Background())
	return &dispatcher{
		events:   ring.New[dispatchEvent]("entry_dispatch", dispatchBacklog, ring.Block),
		serving:  serving,
		region:   region,
		services: map[string]*serviceState{},
		budget:   limits.NewRetryBudget(limits.DefaultRetryBudget),
		life:     life,
		stop:     stop,
	}
}

// placement describes a checked request to the dispatcher.
func (d *dispatcher) placement(c *call) *placement {
	return &placement{
		call: c,
		item: limits.Item{
			Workspace: c.params.Workspace, Weight: c.params.Share, MaxQueued: c.params.MaxQueued,
			Cost: c.request.MaxTokens, Priority: c.request.Priority, Deadline: c.deadline,
		},
		lane:     strings.Join(c.params.Regions, " "),
		reply:    make(chan placed, 1),
		affinity: routing.Affinity(c.params.Workspace, c.request.Prompt, affinityBytes),
	}
}

// place waits for a backend server or a refusal.
func (d *dispatcher) place(ctx context.Context, p *placement) (grant, *wire.Error) {
	if !d.events.Push(ctx, dispatchEvent{kind: eventSubmit, placement: p}) {
		return grant{}, leftQueue(ctx)
	}
	select {
	case answer := <-p.reply:
		return answer.grant, answer.failure
	case <-ctx.Done():
		d.events.Push(d.life, dispatchEvent{kind: eventAbandon, placement: p})
		return grant{}, leftQueue(ctx)
	case <-d.life.Done():
		return grant{}, &wire.Error{Kind: wire.ErrorLeaving, Message: "entry is stopping", Run: wire.RunNotRun}
	}
}

// leftQueue is the failure of a request that ended while it waited.
func leftQueue(ctx context.Context) *wire.Error {
	failure := upstreamError(ctx, ctx.Err(), false)
	failure.Run = wire.RunNotRun
	if failure.Kind == wire.ErrorTimeout {
		failure.Message, failure.RetryAfterMS = "deadline passed in the queue", jittered(time.Second)
	}
	return failure
}

// finish gives the place of a granted request back.
func (d *dispatcher) finish(p *placement, g grant, result routing.Result, tokens int) {
	d.events.Push(d.life, dispatchEvent{kind: eventFinish, placement: p, grant: g, result: result, tokens: tokens})
}

// measured takes over a load that came with a frame.
func (d *dispatcher) measured(p *placement, g grant, load wire.Load) {
	d.loadOf(p.call.service.Name, g, load)
}

func (d *dispatcher) loadOf(service string, g grant, load wire.Load) {
	d.events.Push(d.life, dispatchEvent{kind: eventLoad, service: service, grant: g, load: load})
}

func (d *dispatcher) run(ctx context.Context) {
	defer d.stop()
	ticker := time.NewTicker(membersInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-d.events.Items():
			d.handle(time.Now(), event)
		case now := <-ticker.C:
			d.tick(now)
		}
	}
}

func (d *dispatcher) handle(now time.Time, event dispatchEvent) {
	if event.kind == eventLoad {
		if s := d.services[event.service]; s != nil {
			s.pool.RecordLoad(now, event.grant.handle, event.load.Running, event.load.Queued, event.load.Limit)
			s.pool.Pause(now, event.grant.handle, time.Duration(event.load.PausedMS)*time.Millisecond)
			d.pump(now, s)
		}
		return
	}
	p := event.placement
	s := d.service(now, p.call)
	l := s.lane(p)
	switch event.kind {
	case eventSubmit:
		if p.retry {
			d.resubmit(now, s, l, p)
		} else {
			d.submit(now, s, l, p)
		}
	case eventAbandon:
		d.abandon(now, s, l, p)
	case eventFinish:
		s.pool.Done(now, event.grant.handle, event.result)
		s.inFlight--
		entryInFlight.Add(-1)
		l.queue.Done(now, p.item.ID, event.tokens)
	}
	d.pump(now, s)
}

// service returns the state of the call's service.
func (d *dispatcher) service(now time.Time, c *call) *serviceState {
	s := d.services[c.service.Name]
	if s == nil {
		s = &serviceState{
			name: c.service.Name, pool: routing.NewPool(routing.DefaultConfig(d.region)), lanes: map[string]*lane{},
		}
		d.services[c.service.Name] = s
	}
	s.used = now
	return s
}

func (s *serviceState) lane(p *placement) *lane {
	l := s.lanes[p.lane]
	if l == nil {
		l = &lane{
			regions: p.call.params.Regions,
			queue: limits.NewFairQueue(limits.QueueConfig{
				MaxQueued: maxQueued, MaxQueuedPerWorkspace: maxQueuedPerWorkspace, HeadroomShare: headroomShare, Credit: creditTokens,
			}),
			waiting: map[uint64]*placement{},
		}
		s.lanes[p.lane] = l
	}
	return l
}

func (d *dispatcher) submit(now time.Time, s *serviceState, l *lane, p *placement) {
	if s.pool.Summary(now).Members == 0 && now.Sub(s.refreshed) >= membersMinInterval {
		d.refresh(now, s)
	}
	d.budget.RecordAttempt(limits.RetryKey{Workspace: p.item.Workspace, Service: s.name})
	d.nextID++
	p.item.ID = d.nextID
	result := l.queue.Push(now, p.item)
	if result.Refused != "" {
		p.reply <- placed{failure: queueRefusal(result.Refused, result.RetryAfter)}
		return
	}
	l.waiting[p.item.ID] = p
	if result.Displaced != 0 {
		l.answer(l.waiting[result.Displaced], placed{failure: queueRefusal(limits.RefusedDisplaced, time.Second)})
	}
}

// resubmit puts a refused request back to its place in the queue, if the
// retry budget allows it.
func (d *dispatcher) resubmit(now time.Time, s *serviceState, l *lane, p *placement) {
	s.pool.Done(now, p.refusedBy, p.refusedAs)
	s.inFlight--
	entryInFlight.Add(-1)
	if !d.budget.TryRetry(limits.RetryKey{Workspace: p.item.Workspace, Service: s.name}) {
		l.queue.Done(now, p.item.ID, 0)
		entryRefusals.Add("retry_budget", 1)
		p.reply <- placed{failure: p.last}
		return
	}
	p.tried = append(p.tried, p.refusedBy)
	if p.last.Kind == wire.ErrorOverloaded {
		p.busyUntil = now.Add(time.Duration(p.last.RetryAfterMS) * time.Millisecond)
	} else {
		p.ruledOut = append(p.ruledOut, p.refusedBy)
	}
	l.queue.Requeue(p.item)
	l.waiting[p.item.ID] = p
}

// abandon removes a request whose caller left, also when it was granted a
// place at the same moment.
func (d *dispatcher) abandon(now time.Time, s *serviceState, l *lane, p *placement) {
	if l.queue.Cancel(p.item.ID) {
		delete(l.waiting, p.item.ID)
		return
	}
	if i := slices.Index(l.held, p); i >= 0 {
		l.held = slices.Delete(l.held, i, i+1)
		l.queue.Done(now, p.item.ID, 0)
		return
	}
	select {
	case answer := <-p.reply:
		if answer.failure == nil {
			s.pool.Done(now, answer.grant.handle, routing.Abandoned)
			s.inFlight--
			entryInFlight.Add(-1)
			l.queue.Done(now, p.item.ID, 0)
		}
	default:
	}
}

func (l *lane) answer(p *placement, answer placed) {
	delete(l.waiting, p.item.ID)
	p.reply <- answer
}

func queueRefusal(reason limits.Refusal, after time.Duration) *wire.Error {
	entryRefusals.Add(string(reason), 1)
	return &wire.Error{
		Kind: wire.ErrorOverloaded, Message: "service is busy: " + string(reason),
		RetryAfterMS: jittered(after), Run: wire.RunNotRun,
	}
}

// pump places waiting requests as long as backend servers have room.
func (d *dispatcher) pump(now time.Time, s *serviceState) {
	for _, l := range s.lanes {
		l.held = slices.DeleteFunc(l.held, func(p *placement) bool { return d.release(now, s, l, p) })
		for d.placeNext(now, s, l) {
		}
		length := l.queue.Len() + len(l.held)
		entryQueued.Add(int64(length - l.length))
		l.length = length
	}
}

func (d *dispatcher) placeNext(now time.Time, s *serviceState, l *lane) bool {
	if l.queue.Len() == 0 {
		return false
	}
	summary := s.pool.Summary(now)
	free := summary.Free
	if summary.Members == 0 {
		if s.awaitsMember(now) {
			return false
		}
		// Without a member for a while every request gets its refusal at once.
		free = l.queue.Len()
	}
	item, ok, expired := l.queue.Pop(now, free, nil)
	for _, id := range expired {
		l.answer(l.waiting[id], placed{failure: queueRefusal(limits.RefusedDeadline, time.Second)})
	}
	if !ok {
		return false
	}
	p := l.waiting[item.ID]
	p.maxUse = 1
	if item.OverShare {
		p.maxUse = 1 - headroomShare
	}
	if d.settle(now, s, l, p) {
		return true
	}
	if len(p.tried) == 0 {
		l.queue.Requeue(item)
		return false
	}
	if len(l.held) >= maxHeld {
		d.refuse(now, l, p)
		return true
	}
	delete(l.waiting, item.ID)
	l.held = append(l.held, p)
	return true
}

// release reports whether a held request need not be held any longer. One for which there is
// room goes back into the queue, which knows whether its deadline can still be met.
func (d *dispatcher) release(now time.Time, s *serviceState, l *lane, p *placement) bool {
	choice, status := s.choose(now, l, p)
	switch {
	case status == routing.Found:
		s.pool.Done(now, choice.Handle, routing.Abandoned)
		l.queue.Requeue(p.item)
		l.waiting[p.item.ID] = p
	case status == routing.Full || s.awaitsMember(now):
		return false
	default:
		d.refuse(now, l, p)
	}
	return true
}

// settle answers a request that is out of the queue, unless it has to wait for room.
func (d *dispatcher) settle(now time.Time, s *serviceState, l *lane, p *placement) bool {
	choice, status := s.choose(now, l, p)
	switch status {
	case routing.Found:
		s.inFlight++
		entryInFlight.Add(1)
		l.answer(p, placed{grant: grant{choice.Handle, choice.ID, choice.Address, choice.Version}})
	case routing.Full:
		return false
	default:
		if s.awaitsMember(now) {
			return false
		}
		d.refuse(now, l, p)
	}
	return true
}

// awaitsMember reports whether the last member has gone so recently that it may come back.
func (s *serviceState) awaitsMember(now time.Time) bool {
	return s.pool.Summary(now).Members == 0 && now.Sub(s.hadMemberAt) < memberWait
}

// refuse answers a request that is out of the queue and can't be placed.
func (d *dispatcher) refuse(now time.Time, l *lane, p *placement) {
	l.queue.Done(now, p.item.ID, 0)
	failure := p.last
	if failure == nil {
		entryRefusals.Add("no_backend_server", 1)
		failure = &wire.Error{
			Kind: wire.ErrorUnavailable, Message: "no backend server serves the service yet",
			RetryAfterMS: jittered(time.Second), Run: wire.RunNotRun,
		}
	}
	l.answer(p, placed{failure: failure})
}

// choose chooses a backend server. For a request that was refused, Full means that waiting
// has a prospect: a server that has not refused it is only at its limit, or no such server
// takes requests and one was only busy.
func (s *serviceState) choose(now time.Time, l *lane, p *placement) (routing.Choice, routing.ChoiceStatus) {
	r := routing.Request{
		MaxUtilization: p.maxUse,
		Version:        p.call.service.Version, OtherVersions: true, Affinity: p.affinity, Regions: l.regions, Tried: p.tried,
	}
	choice, status := s.pool.Choose(now, r)
	if status != routing.Full || len(p.tried) == 0 || s.takesRequests(now, r) {
		return choice, status
	}
	r.Tried = p.ruledOut
	switch {
	case len(p.ruledOut) == len(p.tried), p.busyUntil.After(p.item.Deadline), !s.takesRequests(now, r):
		return routing.Choice{}, routing.NoMember
	case now.Before(p.busyUntil):
		return routing.Choice{}, routing.Full
	}
	return s.pool.Choose(now, r)
}

// takesRequests reports whether some backend server takes the request once it has room.
func (s *serviceState) takesRequests(now time.Time, r routing.Request) bool {
	r.MaxUtilization = math.MaxFloat64
	choice, status := s.pool.Choose(now, r)
	if status == routing.Found {
		s.pool.Done(now, choice.Handle, routing.Abandoned)
	}
	return status == routing.Found
}

// tick takes over member reports and forgets unused services.
func (d *dispatcher) tick(now time.Time) {
	for name, s := range d.services {
		d.refresh(now, s)
		d.pump(now, s)
		if s.inFlight == 0 && now.Sub(s.used) > idlePool {
			entrySetAside.Add(int64(-s.setAside))
			delete(d.services, name)
		}
	}
}

// refresh takes over the members that serve the service, in any version: the
// pool prefers the intended one.
func (d *dispatcher) refresh(now time.Time, s *serviceState) {
	s.refreshed = now
	d.backends = d.backends[:0]
	for _, r := range d.serving(s.name) {
		d.backends = append(d.backends, routing.Backend{
			ID: r.GetId(), Address: r.GetAddress(), Region: r.GetRegion(), Version: r.GetVersion(),
			Incarnation: r.GetIncarnation(), Sequence: r.GetSequence(),
			Running: int(r.GetRunning()), Queued: int(r.GetQueued()),
		})
	}
	if len(d.backends) > 0 {
		s.hadMemberAt = now
	}
	s.pool.Update(now, d.backends)
	aside := s.pool.Summary(now).Ejected
	entrySetAside.Add(int64(aside - s.setAside))
	s.setAside = aside
}
