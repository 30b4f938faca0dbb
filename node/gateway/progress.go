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
	startedAt    time.Time
	// lastEventAt is when the last event arrived, in Unix nanoseconds; 0 if none did.
	lastEventAt atomic.Int64
	// firstEventDeadline is the time after which the engine's weights are too old
	// for a first event; zero if there is none.
	firstEventDeadline time.Time
	alternative        func() alternative
	// onSilence logs what was decided on a silent attempt.
	onSilence func(silent time.Duration, a alternative, decision string)
	cancel    context.CancelFunc
	started   atomic.Bool
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
		startedAt:    time.Now(), cancel: cancel,
		alternative: func() alternative { return g.findAlternative(repeatable, others) },
		onSilence:   g.logSilence(req, choice),
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
	a := p.alternative()
	if !outdated && !a.usable() {
		p.onSilence(p.silence(), a, "kept")
		p.timer.Reset(p.capWait(p.pauseTimeout))
		return
	}
	decision := "moved"
	if outdated {
		decision = "outdated"
	}
	p.onSilence(p.silence(), a, decision)
	p.outdated.Store(outdated)
	p.cancelled.Store(true)
	p.cancel()
}

// handleEvent restarts the timeout after an event of the engine.
func (p *progressWatch) handleEvent() {
	p.started.Store(true)
	p.lastEventAt.Store(time.Now().UnixNano())
	p.timer.Reset(p.pauseTimeout)
}

func (p *progressWatch) stop() { p.timer.Stop() }

// silence returns the time since the last event, or since the start if there was none.
func (p *progressWatch) silence() time.Duration {
	if at := p.lastEventAt.Load(); at != 0 {
		return time.Since(time.Unix(0, at))
	}
	return time.Since(p.startedAt)
}

// alternative is what another attempt beside or after a silent one would need.
type alternative struct {
	// runsLeft means that the request may run once more, retry that the retry budget
	// holds a retry, and server that a server could take the request now.
	runsLeft, retry, server bool
}

func (a alternative) usable() bool { return a.runsLeft && a.retry && a.server }

// findAlternative looks for another attempt at the servers that a query allows.
func (g *Gateway) findAlternative(runsLeft bool, others placement.Query) alternative {
	g.mu.Lock()
	defer g.mu.Unlock()
	return alternative{
		runsLeft: runsLeft, retry: g.budget.CanRetry(limits.RetryKey{Service: others.Service}),
		server: g.fleet.CanServe(bootclock.Now(), others),
	}
}

// logSilence returns the function that logs what was decided on a silent attempt, and on
// what grounds.
func (g *Gateway) logSilence(req *request, choice placement.Choice) func(silent time.Duration, a alternative, decision string) {
	id, service := req.call.RequestID, req.service
	return func(silent time.Duration, a alternative, decision string) {
		attempts.Add("silent_"+decision, 1)
		g.cfg.Log.Event("attempt_silent", "request", id, "service", service, "server", choice.Server.ID, "silent_ms", silent.Milliseconds(),
			"runs_left", a.runsLeft, "retry", a.retry, "server_free", a.server, "decision", decision)
	}
}
