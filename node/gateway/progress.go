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
// ends the attempt.
type progress struct {
	pause time.Duration
	// outdated says that the engine's weights are too old to begin after the
	// first wait, so that the attempt ends even if no other engine may follow.
	outdated bool
	begun    atomic.Bool
	stalled  atomic.Bool
	timer    *time.Timer
}

// watchProgress starts to watch an attempt, which cancel ends.
func (g *Gateway) watchProgress(req *request, choice placement.Choice, cancel context.CancelFunc) *progress {
	first := max(minFirstEvent, firstEventTargets*req.route.Target)
	p := &progress{pause: max(minPause, time.Duration(pauseTargets*float64(req.route.PauseTarget)))}
	if choice.Bounded && choice.BeginWithin < first {
		first, p.outdated = choice.BeginWithin, true
	}
	// This attempt counts as a run by then.
	repeatable := req.route.Repeatable() && req.runs+1 < max(req.route.MaxAttempts, 1)
	service := req.service
	// The timer's function may run before AfterFunc returns.
	armed := make(chan struct{})
	p.timer = time.AfterFunc(first, func() {
		<-armed
		tooOld := p.outdated && !p.begun.Load()
		if !tooOld && !(repeatable && g.hasRepeats(service)) {
			p.timer.Reset(p.pause)
			return
		}
		p.stalled.Store(true)
		cancel()
	})
	close(armed)
	return p
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
	return g.budget.Allows(limits.RetryKey{Service: service})
}
