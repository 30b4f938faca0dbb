// Package shutdown decides in a planned stop which requests a process still takes and
// when those in flight must have their answer. It does no I/O and reads no clock.
package shutdown

import "time"

const (
	// maxAcceptPeriod limits how long new requests are taken after a stop request. In
	// this time callers switch to other processes.
	maxAcceptPeriod = 2500 * time.Millisecond
	// acceptDivisor limits it to a part of the grace period.
	acceptDivisor = 3
	// exitReserve is the part of the grace period reserved for process exit, and
	// answerReserve the part before it in which the last answers are written.
	exitReserve   = 300 * time.Millisecond
	answerReserve = 200 * time.Millisecond
	// keptReserve is the part before the last answers in which requests on open
	// connections are refused and these connections are closed.
	keptReserve = 300 * time.Millisecond
)

// QuietPeriod is the time without a request on a kept connection after which the others
// are closed early. Callers that ask for the entries again stop using connections to this
// one within the two seconds that an answer holds.
const QuietPeriod = 2 * time.Second

// Plan is the schedule of one planned stop.
type Plan struct {
	begun time.Time
	grace time.Duration
}

// NewPlan returns the plan of a stop that was requested at begun and is forced after
// the grace period.
func NewPlan(begun time.Time, grace time.Duration) Plan {
	return Plan{begun, max(grace, 0)}
}

// AcceptUntil returns when the process stops taking new connections.
func (p Plan) AcceptUntil() time.Time {
	return p.begun.Add(min(maxAcceptPeriod, p.grace/acceptDivisor))
}

// KeepUntil returns when the process stops taking requests on open connections and closes
// idle ones at the latest.
func (p Plan) KeepUntil() time.Time {
	until := p.AnswerBy().Add(-keptReserve)
	if accept := p.AcceptUntil(); accept.After(until) {
		return accept
	}
	return until
}

// AnswerBy returns when requests in flight are ended, so that their callers get an
// answer before the process exits.
func (p Plan) AnswerBy() time.Time {
	return p.begun.Add(max(0, p.grace-exitReserve-answerReserve))
}

// ExitBy returns when the process must exit by itself.
func (p Plan) ExitBy() time.Time { return p.begun.Add(max(0, p.grace-exitReserve)) }

// Takes reports whether a request that may last until its deadline is taken now. One
// that might not end within the grace period is refused at once: its caller can go
// elsewhere, and it has not run.
func (p Plan) Takes(now, deadline time.Time) bool {
	return now.Before(p.KeepUntil()) && !deadline.After(p.AnswerBy())
}
