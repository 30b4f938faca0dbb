package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/laburnumloft/laburnumloft/core/limits"
	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

const (
	// firstEventTargets is the timeout for an engine's first event as a multiple
	// of the route's target; minFirstEventTimeout is its lower bound. When the
	// timeout expires, the request goes to another engine.
	firstEventTargets    = 2
	minFirstEventTimeout = 1200 * time.Millisecond
	// pauseTargets is the timeout between two events as a multiple of the
	// route's pause target. minPauseTimeout is its lower bound; it is longer
	// than an engine's pass with a full batch and long prompts. When the timeout
	// expires, the stream resumes on another engine.
	pauseTargets    = 1.5
	minPauseTimeout = 900 * time.Millisecond
)

// progressWatch cancels an attempt at an engine that sends no events, if another
// engine may take over. If none may or can, because the stream can't be resumed, the
// retry budget is used up or no other engine has room, a slow engine is better than
// none. The attempt then
// ends only at the request's deadline, or at firstEventDeadline if the engine
// has sent no event by then.
type progressWatch struct {
	pauseTimeout time.Duration
	// firstEventDeadline is the time after which the engine's weights are too old
	// for a first event; zero if there is none.
	firstEventDeadline time.Time
	mayRetry           func() bool
	cancel             context.CancelFunc
	started            atomic.Bool
	// cancelled means that the watch cancelled the attempt; outdated means that
	// the reason was the engine's old weights.
	cancelled, outdated atomic.Bool
	timer               *time.Timer
}

// watchProgress starts the watch of an attempt, which it ends with cancel.
func (g *Gateway) watchProgress(req *request, choice placement.Choice, cancel context.CancelFunc) *progressWatch {
	// When the watch fires, this attempt counts as a run.
	repeatable := req.mayRerunAfter(1)
	others := req.query()
	others.Tried = slices.Clone(req.tried)
	p := &progressWatch{
		pauseTimeout: max(minPauseTimeout, time.Duration(pauseTargets*float64(req.route.PauseTarget))),
		cancel:       cancel, mayRetry: func() bool { return repeatable && g.canMove(others) },
	}
	if choice.HasFirstEventTimeout {
		p.firstEventDeadline = time.Now().Add(choice.FirstEventTimeout)
	}
	first := p.capWait(max(minFirstEventTimeout, firstEventTargets*req.route.Target))
	// The timer's function may run before AfterFunc returns and p.timer is set.
	armed := make(chan struct{})
	p.timer = time.AfterFunc(first, func() {
		<-armed
		p.check()
	})
	close(armed)
	return p
}

// capWait returns wait, or the time until firstEventDeadline if that is shorter.
func (p *progressWatch) capWait(wait time.Duration) time.Duration {
	if p.firstEventDeadline.IsZero() || p.started.Load() {
		return wait
	}
	return min(wait, max(0, time.Until(p.firstEventDeadline)))
}

// check cancels the attempt, or restarts the timer for a later check.
func (p *progressWatch) check() {
	outdated := !p.firstEventDeadline.IsZero() && !p.started.Load() && !time.Now().Before(p.firstEventDeadline)
	if !outdated && !p.mayRetry() {
		p.timer.Reset(p.capWait(p.pauseTimeout))
		return
	}
	p.outdated.Store(outdated)
	p.cancelled.Store(true)
	p.cancel()
}

// handleEvent restarts the timeout after an event of the engine.
func (p *progressWatch) handleEvent() {
	p.started.Store(true)
	p.timer.Reset(p.pauseTimeout)
}

func (p *progressWatch) stop() { p.timer.Stop() }

// canMove reports whether the retry budget allows a retry and a server can take it.
func (g *Gateway) canMove(others placement.Query) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.CanRetry(limits.RetryKey{Service: others.Service}) && g.fleet.CanServe(bootclock.Now(), others)
}
