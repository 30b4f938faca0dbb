package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/route"
	"github.com/laburnumloft/laburnumloft/node/lib/stall"
)

const (
	// suspectTargets is the time without a first event after which an engine is suspected
	// to have died, as a multiple of the route's target; minFirstEventTimeout is its lower
	// bound.
	suspectTargets       = 2
	minFirstEventTimeout = 1200 * time.Millisecond
	// suspectPauses is the same between two events, as a multiple of the route's pause
	// target. minPauseTimeout is its lower bound; it is longer than an engine's pass with
	// a full batch and long prompts.
	suspectPauses   = 1.5
	minPauseTimeout = 900 * time.Millisecond
	// callerPatience, callerTargets and callerPauses say after which time without an event
	// callers leave a stream: the longest of that time and of these multiples of the
	// route's target and pause target.
	callerPatience = 2 * time.Second
	callerTargets  = 4
	callerPauses   = 8
	// takeoverTime is how long before its caller leaves another engine is tried beside a
	// silent one. In that time it must connect and read the prompt. It is takeoverTargets
	// of the route's target if that is longer.
	takeoverTime    = 800 * time.Millisecond
	takeoverTargets = 2
	// hedgeTimeDivisor gives the part of the time until the deadline that a silence may
	// take; the rest is left to another engine.
	hedgeTimeDivisor = 3
	// hedgeLookInterval is the time until another server is looked for again, if there was
	// none to try beside a silent one.
	hedgeLookInterval = 200 * time.Millisecond
)

// progressWatch watches the progress of an attempt. If there is none for a while, it calls
// onSuspect, and onSilence when another engine must be tried for the caller to stay. The
// attempt itself goes on: a sound engine may be silent for a second or two, and the other
// one may refuse, break off or be silent as well. It ends only at the request's deadline,
// when another chain leads, or at firstEventDeadline if the engine has sent no event by
// then.
type progressWatch struct {
	// suspectFirst and suspectNext are the times without a first and without a further
	// event until onSuspect is called; hedgeAfterStart and hedgeAfterEvent are those until
	// onSilence is called, which is then repeated every lookInterval.
	suspectFirst, suspectNext        time.Duration
	hedgeAfterStart, hedgeAfterEvent time.Duration
	lookInterval                     time.Duration
	startedAt                        time.Time
	// firstEventDeadline is the time after which the engine's weights are too old
	// for a first event; zero if there is none.
	firstEventDeadline time.Time
	// onSuspect and onResume are called in turns.
	onSuspect, onResume func()
	onSilence           func(silent time.Duration, first bool)
	onOutdated          func(silent time.Duration)
	outdated            atomic.Bool

	mu    sync.Mutex
	timer *time.Timer
	// lastEventAt is when the last event was forwarded; zero if none was.
	lastEventAt time.Time
	// stalledBefore is for how long this process had been stalled when the silence began.
	stalledBefore time.Duration
	suspected     bool
	// looked means that onSilence was called in this silence.
	looked, stopped bool
}

// newStreamWatch returns the watch of an attempt at a stream whose caller has been without
// an event since a time.
func newStreamWatch(req *request, choice placement.Choice, callerSince time.Time) *progressWatch {
	target, left := req.route.Target, time.Until(req.deadline)
	after := takeoverAfter(req.route)
	p := &progressWatch{
		suspectFirst:    max(minFirstEventTimeout, suspectTargets*target),
		suspectNext:     max(minPauseTimeout, time.Duration(suspectPauses*float64(req.route.PauseTarget))),
		hedgeAfterStart: min(max(after-time.Since(callerSince), takeoverTargets*target), left/hedgeTimeDivisor),
		hedgeAfterEvent: min(after, left/hedgeTimeDivisor), lookInterval: hedgeLookInterval,
	}
	if choice.HasFirstEventTimeout {
		p.firstEventDeadline = time.Now().Add(choice.FirstEventTimeout)
	}
	return p
}

// takeoverAfter returns how long after an event of a stream another server must begin to
// take it over for the caller to stay.
func takeoverAfter(r *route.Route) time.Duration {
	patience := max(callerPatience, callerTargets*r.Target, callerPauses*r.PauseTarget)
	return patience - max(takeoverTime, takeoverTargets*r.Target)
}

// start starts the timeouts.
func (p *progressWatch) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startedAt, p.stalledBefore = time.Now(), stall.Total()
	p.timer = time.AfterFunc(p.next(0), p.check)
}

// next returns the time until the next timeout, after a silence. The caller holds mu.
func (p *progressWatch) next(silent time.Duration) time.Duration {
	suspectAfter, hedgeAfter := p.suspectFirst, p.hedgeAfterStart
	if !p.lastEventAt.IsZero() {
		suspectAfter, hedgeAfter = p.suspectNext, p.hedgeAfterEvent
	}
	next := hedgeAfter - silent
	if p.looked {
		next = p.lookInterval
	}
	if !p.suspected {
		next = min(next, suspectAfter-silent)
	}
	if !p.firstEventDeadline.IsZero() && p.lastEventAt.IsZero() {
		next = min(next, time.Until(p.firstEventDeadline))
	}
	return max(0, next)
}

// check handles the timeouts that have expired and restarts the timer.
func (p *progressWatch) check() {
	silent, look, first := p.expired()
	switch {
	case p.outdated.Load():
		p.onOutdated(silent)
	case look:
		p.onSilence(silent, first)
	}
}

// expired records the timeouts that have expired. It reports whether another server must be
// looked for, for the first time in this silence or again.
func (p *progressWatch) expired() (silent time.Duration, look, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	silent = p.silence()
	if p.stopped {
		return silent, false, false
	}
	suspectAfter, hedgeAfter := p.suspectFirst, p.hedgeAfterStart
	if !p.lastEventAt.IsZero() {
		suspectAfter, hedgeAfter = p.suspectNext, p.hedgeAfterEvent
	} else if !p.firstEventDeadline.IsZero() && !time.Now().Before(p.firstEventDeadline) {
		p.outdated.Store(true)
		return silent, false, false
	}
	if silent >= suspectAfter && !p.suspected {
		p.suspected = true
		p.onSuspect()
	}
	if silent >= hedgeAfter {
		look, first = true, !p.looked
		p.looked = true
	}
	p.timer.Reset(p.next(silent))
	return silent, look, first
}

// pause stops the timeouts while an event is written: a caller that reads slowly is no
// silence of the engine.
func (p *progressWatch) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer.Stop()
}

// handleEvent restarts the timeouts after an event of the engine.
func (p *progressWatch) handleEvent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastEventAt, p.stalledBefore, p.looked = time.Now(), stall.Total(), false
	p.resume()
	p.timer.Reset(p.next(0))
}

// resume ends the suspicion. The caller holds mu.
func (p *progressWatch) resume() {
	if p.suspected {
		p.suspected = false
		p.onResume()
	}
}

// stop ends the watch and reports whether the engine was suspected at last.
func (p *progressWatch) stop() (suspected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.timer.Stop()
	suspected = p.suspected
	p.resume()
	return suspected
}

// silence returns the time since the last event, or since the start if there was none,
// without the time in which this process did not run: what arrived meanwhile is read only
// now. The caller holds mu.
func (p *progressWatch) silence() time.Duration {
	since := p.startedAt
	if !p.lastEventAt.IsZero() {
		since = p.lastEventAt
	}
	return time.Since(since) - (stall.Total() - p.stalledBefore)
}
