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
)

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

// AcceptUntil returns when the process stops taking requests.
func (p Plan) AcceptUntil() time.Time {
	return p.begun.Add(min(maxAcceptPeriod, p.grace/acceptDivisor))
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
	return now.Before(p.AcceptUntil()) && !deadline.After(p.AnswerBy())
}
