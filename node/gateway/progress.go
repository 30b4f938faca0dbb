package gateway

import (
	"sync/atomic"
	"time"

	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/route"
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
	// minHedgeInterval is the least time after which a server is looked for again, if
	// there was none to try beside a silent one.
	minHedgeInterval = 100 * time.Millisecond
)

// progressWatch watches the events of an attempt. If there are none for a while, it calls
// onSuspect once, and onSilence when another engine must be tried for the caller to stay.
// The attempt itself goes on: a sound engine may be silent for a second or two, and the
// other one may refuse, break off or be silent as well. It ends only at the request's
// deadline, when another run of the request wins, or at firstEventDeadline if the engine has
// sent no event by then.
type progressWatch struct {
	// firstTimeout and pauseTimeout are the times without a first and without a further
	// event until onSuspect is called, hedgeTimeout that until onSilence is.
	firstTimeout, pauseTimeout, hedgeTimeout time.Duration
	// deadline is the request's deadline.
	deadline, startedAt time.Time
	// lastEventAt is when the last event was forwarded, in Unix nanoseconds; 0 if none was.
	lastEventAt atomic.Int64
	// firstEventDeadline is the time after which the engine's weights are too old
	// for a first event; zero if there is none.
	firstEventDeadline time.Time
	onSuspect          func()
	// onSilence is called after hedgeTimeout and then again and again, onOutdated at
	// firstEventDeadline.
	onSilence, onOutdated func(silent time.Duration)
	suspected             atomic.Bool
	outdated, stopped     atomic.Bool
	timer                 *time.Timer
}

// newStreamWatch returns the watch of an attempt at a stream.
func newStreamWatch(req *request, choice placement.Choice) *progressWatch {
	p := &progressWatch{
		firstTimeout: max(minFirstEventTimeout, suspectTargets*req.route.Target),
		pauseTimeout: max(minPauseTimeout, time.Duration(suspectPauses*float64(req.route.PauseTarget))),
		hedgeTimeout: takeoverAfter(req.route), deadline: req.deadline,
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

// start starts the first timeout.
func (p *progressWatch) start() {
	p.startedAt = time.Now()
	// The timer's function may run before AfterFunc returns and p.timer is set.
	armed := make(chan struct{})
	p.timer = time.AfterFunc(p.capWait(p.firstTimeout), func() {
		<-armed
		p.check()
	})
	close(armed)
}

// capWait returns wait, or the time until firstEventDeadline if that is shorter.
func (p *progressWatch) capWait(wait time.Duration) time.Duration {
	if p.firstEventDeadline.IsZero() || p.started() {
		return wait
	}
	return min(wait, max(0, time.Until(p.firstEventDeadline)))
}

// check reports the silence and restarts the timer.
func (p *progressWatch) check() {
	if p.stopped.Load() {
		return
	}
	if !p.firstEventDeadline.IsZero() && !p.started() && !time.Now().Before(p.firstEventDeadline) {
		p.outdated.Store(true)
		p.onOutdated(p.silence())
		return
	}
	if p.suspected.CompareAndSwap(false, true) {
		p.onSuspect()
	}
	silent, next := p.silence(), p.pauseTimeout
	if left := p.hedgeAfter(silent) - silent; left > 0 {
		next = left
	} else {
		p.onSilence(silent)
	}
	p.timer.Reset(p.capWait(next))
}

// hedgeAfter returns the silence after which another engine must be tried. It also needs the
// time to finish the answer.
func (p *progressWatch) hedgeAfter(silent time.Duration) time.Duration {
	return min(p.hedgeTimeout, (time.Until(p.deadline)+silent)/hedgeTimeDivisor)
}

// pause stops the timeout while an event is written: a caller that reads slowly is no
// silence of the engine.
func (p *progressWatch) pause() { p.timer.Stop() }

// handleEvent restarts the timeout after an event of the engine.
func (p *progressWatch) handleEvent() {
	p.lastEventAt.Store(time.Now().UnixNano())
	p.suspected.Store(false)
	p.timer.Reset(p.pauseTimeout)
}

func (p *progressWatch) stop() {
	p.stopped.Store(true)
	p.timer.Stop()
}

func (p *progressWatch) started() bool { return p.lastEventAt.Load() != 0 }

// silence returns the time since the last event, or since the start if there was none.
func (p *progressWatch) silence() time.Duration {
	if at := p.lastEventAt.Load(); at != 0 {
		return time.Since(time.Unix(0, at))
	}
	return time.Since(p.startedAt)
}
