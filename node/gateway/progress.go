package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/laburnumloft/laburnumloft/core/limits"
	"github.com/laburnumloft/laburnumloft/core/placement"
)

const (
	// firstEventTargets is how many times the target an engine may take to its
	// first event before another one gets the request, minFirstEvent the least
	// such time.
	firstEventTargets = 2
	minFirstEvent     = 1200 * time.Millisecond
	// pauseTargets is how many times the route's longest pause an engine may be
	// silent before the stream goes on at another one, minPause the least such
	// time: more than a pass with a full batch and long prompts.
	pauseTargets = 1.5
	minPause     = 900 * time.Millisecond
)

// progress ends an attempt at an engine that makes no events, if another engine
// may go on with it. Where none may, because the stream can't be resumed or the
// budget is used up, a slow engine is better than none, and only the deadline
// ends the attempt; or the moment at which the engine's weights are too old to
// begin, if it has not begun by then.
type progress struct {
	pause time.Duration
	// beginBy is that moment; zero if there is none.
	beginBy time.Time
	mayMove func() bool
	cancel  context.CancelFunc
	begun   atomic.Bool
	// stalled says that the attempt was ended here, outdated that it was for
	// the engine's old weights.
	stalled, outdated atomic.Bool
	timer             *time.Timer
}

// watchProgress starts to watch an attempt, which cancel ends.
func (g *Gateway) watchProgress(req *request, choice placement.Choice, cancel context.CancelFunc) *progress {
	// This attempt counts as a run by then.
	repeatable, service := req.mayRunAgainAfter(1), req.service
	p := &progress{
		pause:  max(minPause, time.Duration(pauseTargets*float64(req.route.PauseTarget))),
		cancel: cancel, mayMove: func() bool { return repeatable && g.hasRepeats(service) },
	}
	if choice.HasFirstEventTimeout {
		p.beginBy = time.Now().Add(choice.FirstEventTimeout)
	}
	first := p.until(max(minFirstEvent, firstEventTargets*req.route.Target))
	// The timer's function may run before AfterFunc returns.
	armed := make(chan struct{})
	p.timer = time.AfterFunc(first, func() {
		<-armed
		p.look()
	})
	close(armed)
	return p
}

// until returns a wait, or the time until beginBy if that is sooner.
func (p *progress) until(wait time.Duration) time.Duration {
	if p.beginBy.IsZero() || p.begun.Load() {
		return wait
	}
	return min(wait, max(0, time.Until(p.beginBy)))
}

// look ends the attempt, or looks again later.
func (p *progress) look() {
	tooOld := !p.beginBy.IsZero() && !p.begun.Load() && !time.Now().Before(p.beginBy)
	if !tooOld && !p.mayMove() {
		p.timer.Reset(p.until(p.pause))
		return
	}
	p.outdated.Store(tooOld)
	p.stalled.Store(true)
	p.cancel()
}

// event notes that the engine made an event.
func (p *progress) event() {
	p.begun.Store(true)
	p.timer.Reset(p.pause)
}

func (p *progress) stop() { p.timer.Stop() }

// hasRepeats reports whether the retry budget of a service allows a repeat.
func (g *Gateway) hasRepeats(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.CanRetry(limits.RetryKey{Service: service})
}
