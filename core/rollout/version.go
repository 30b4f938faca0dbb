package rollout

import (
	"time"

	"github.com/laburnumloft/laburnumloft/core/invariant"
)

// VersionState is the state of a version at one agent.
type VersionState string

// States of a version.
const (
	// StateEmpty means that the agent has no version and none is intended.
	StateEmpty VersionState = "empty"
	// StateFetching means that chunks are missing.
	StateFetching VersionState = "fetching"
	// StateVerified means that all hashes hold but no load order was given.
	StateVerified VersionState = "verified"
	// StateLoading means that a load order was given, or that the engine no
	// longer confirms the version.
	StateLoading VersionState = "loading"
	// StateServing means that the engine confirmed version and digest.
	StateServing VersionState = "serving"
	// StateRetiring means that admission has ended and requests in flight
	// run to their end before the next load order.
	StateRetiring VersionState = "retiring"
)

// Intent is the version that the settings name for the agent's service.
type Intent struct {
	// Offset is the offset of the settings that name the version.
	Offset                   int64
	Model, Version, Manifest string
	// StartAt is the earliest time of the load order. An agent that serves
	// nothing does not wait for it.
	StartAt time.Time
}

// same reports whether both intents name the same bytes.
func (i Intent) same(other Intent) bool {
	return i.Model == other.Model && i.Version == other.Version && i.Manifest == other.Manifest
}

// Fence is the fencing number of a load order.
type Fence struct {
	Offset, StartMS int64
}

// EngineReport is what a model engine says of itself.
type EngineReport struct {
	Model, Version, Digest string
	Fence                  Fence
	// Ready means that the engine answers requests with Version.
	Ready bool
	// Loading means that a load order is being carried out.
	Loading bool
}

// Order is a load order to give to the engine.
type Order struct {
	Intent Intent
	// Digest is the SHA-256 over all bytes of the version.
	Digest string
	Fence  Fence
}

// ActionKind says what an agent must do next.
type ActionKind int

// Kinds of actions.
const (
	// ActionNone means to wait for an event or until Action.At.
	ActionNone ActionKind = iota
	// ActionFetch means to fetch the version of Action.Intent.
	ActionFetch
	// ActionOrder means to give Action.Order to the engine and to pass the
	// engine's later reports to EngineSays.
	ActionOrder
)

// Action is the output of Machine.Next.
type Action struct {
	Kind   ActionKind
	Intent Intent
	Order  Order
	// At is when Next must be called again at the latest; zero means that
	// only an event can change the result.
	At time.Time
}

// MachineConfig sets the behaviour of a Machine.
type MachineConfig struct {
	// StartMS is the start time of the agent, the second part of its fence.
	StartMS int64
	// OrderRetry is how long the engine may neither load nor confirm the
	// ordered version before the order is given again.
	OrderRetry time.Duration
	// ChecksFence says that the engine records fencing numbers and refuses
	// old ones, so that its report must show the fence of the last order.
	ChecksFence bool
	// TakeTurns makes a served version go on until Proceed is called.
	TakeTurns bool
}

// maxSilentChecks is how many status checks in a row may stay unanswered
// before the version counts as unconfirmed.
const maxSilentChecks = 3

// target is a version on its way to the engine.
type target struct {
	intent Intent
	state  VersionState
	digest string
	// proceed means that the agent has its turn to load the version.
	proceed bool
}

// ordered is the version of the last load order.
type ordered struct {
	order Order
	state VersionState
	// retryAt is when the order is given again unless the engine is loading.
	retryAt time.Time
	loading bool
	// settled means that the engine is known to have received the order.
	settled bool
}

// Machine is the version state of one agent. The version that is fetched and
// the version that was ordered are kept apart, so that an old version is
// served while a new one is on its way.
type Machine struct {
	cfg     MachineConfig
	offset  int64
	target  *target
	ordered *ordered
	running int
	silent  int
	problem string
	history invariant.History
}

// NewMachine returns a machine without a version.
func NewMachine(cfg MachineConfig) *Machine {
	return &Machine{cfg: cfg}
}

// SetChecksFence changes whether the engine's fence must match.
func (m *Machine) SetChecksFence(checks bool) {
	m.cfg.ChecksFence = checks
}

// Intend takes over the version that the settings name. It returns false for
// settings older than the ones in force and for settings that change nothing.
func (m *Machine) Intend(intent Intent) bool {
	if intent.Offset < m.offset {
		return false
	}
	m.offset = intent.Offset
	m.history.Addf("intend %s at offset %d", intent.Version, intent.Offset)
	if m.ordered != nil && m.ordered.order.Intent.same(intent) {
		changed := m.target != nil
		m.target = nil
		m.problem = ""
		if m.ordered.state == StateRetiring {
			// No later order was given, so the engine still runs this version.
			m.ordered.state = StateServing
		}
		return changed
	}
	if m.target != nil && m.target.intent.same(intent) {
		m.target.intent.StartAt = intent.StartAt
		return false
	}
	m.resumeRetiring()
	m.target = &target{intent: intent, state: StateFetching}
	m.problem = ""
	return true
}

// resumeRetiring lets the served version go on when its successor is no
// longer wanted.
func (m *Machine) resumeRetiring() {
	if m.ordered != nil && m.ordered.state == StateRetiring {
		m.ordered.state = StateServing
	}
}

// Problem records why the intended version can't be fetched or loaded. The
// agent goes on serving what it has.
func (m *Machine) Problem(intent Intent, problem string) {
	if m.wants(intent) {
		m.problem = problem
	}
}

func (m *Machine) wants(intent Intent) bool {
	if m.target != nil {
		return m.target.intent.same(intent)
	}
	return m.ordered != nil && m.ordered.order.Intent.same(intent)
}

// Whole records that all hashes of the version hold. It returns false if
// another version is intended by now.
func (m *Machine) Whole(intent Intent, digest string) bool {
	if m.target == nil || !m.target.intent.same(intent) || m.target.state != StateFetching {
		return false
	}
	m.history.Addf("whole %s", intent.Version)
	m.target.state, m.target.digest = StateVerified, digest
	m.problem = ""
	return true
}

// AwaitsTurn returns the verified version that waits until the agent may take
// its backend server out of service.
func (m *Machine) AwaitsTurn(now time.Time) (Intent, bool) {
	waits := m.cfg.TakeTurns && m.target != nil && m.target.state == StateVerified && !m.target.proceed &&
		m.ordered != nil && m.ordered.state == StateServing && !now.Before(m.target.intent.StartAt)
	if !waits {
		return Intent{}, false
	}
	return m.target.intent, true
}

// Proceed lets the agent load the version.
func (m *Machine) Proceed(intent Intent) {
	if m.target != nil && m.target.intent.same(intent) {
		m.target.proceed = true
	}
}

// Lost records that the bytes of the ordered version were freed, so that a
// repeated order needs them fetched again.
func (m *Machine) Lost(intent Intent) {
	if m.target != nil || m.ordered == nil || m.ordered.state != StateLoading || !m.ordered.order.Intent.same(intent) {
		return
	}
	m.history.Addf("bytes of %s are gone", intent.Version)
	m.target = &target{intent: m.ordered.order.Intent, state: StateFetching}
	m.ordered = nil
}

// Next returns what to do now. It ends admission for the served version once
// its successor may be loaded, and gives the order when nothing runs.
func (m *Machine) Next(now time.Time) Action {
	if m.target != nil {
		return m.nextTarget(now)
	}
	if m.ordered == nil || m.ordered.state != StateLoading || m.ordered.loading {
		return Action{}
	}
	return m.repeat(now)
}

// repeat gives the last order again when its time has come.
func (m *Machine) repeat(now time.Time) Action {
	if now.Before(m.ordered.retryAt) || m.running > 0 {
		return Action{At: m.ordered.retryAt}
	}
	return m.give(m.ordered.order, now)
}

func (m *Machine) nextTarget(now time.Time) Action {
	if m.target.state == StateFetching {
		return Action{Kind: ActionFetch, Intent: m.target.intent}
	}
	serves := m.ordered != nil && m.ordered.state == StateServing
	if serves && now.Before(m.target.intent.StartAt) {
		return Action{At: m.target.intent.StartAt}
	}
	if serves && m.cfg.TakeTurns && !m.target.proceed {
		return Action{}
	}
	if serves {
		m.history.Addf("retire %s with %d running", m.ordered.order.Intent.Version, m.running)
		m.ordered.state = StateRetiring
	}
	if m.running > 0 {
		return Action{}
	}
	if m.unsettled() {
		return m.repeat(now)
	}
	order := Order{
		Intent: m.target.intent, Digest: m.target.digest, Fence: Fence{Offset: m.offset, StartMS: m.cfg.StartMS},
	}
	m.target = nil
	return m.give(order, now)
}

// unsettled reports whether the last order may still reach the engine. An
// engine that ignores fencing numbers would carry it out after a later order,
// so no other order is given until the engine is known to have received it.
func (m *Machine) unsettled() bool {
	o := m.ordered
	return !m.cfg.ChecksFence && o != nil && o.state == StateLoading && !o.settled
}

// OrderAnswered records that the engine answered the last order, whether it
// accepted it or not.
func (m *Machine) OrderAnswered() {
	if m.ordered != nil {
		m.ordered.settled = true
	}
}

// give moves to the state loading and returns the order. A repeated order
// keeps its fence: with a newer one, a late copy of it could override the
// order of a version that settings at the same offset named.
func (m *Machine) give(order Order, now time.Time) Action {
	version := order.Intent.Version
	m.history.Check(m.running == 0, "load order for %s while %d requests run", version, m.running)
	m.history.Check(order.Digest != "", "load order for %s that is not whole", version)
	m.history.Check(m.ordered == nil || m.ordered.state != StateServing, "load order for %s while another version is served", version)
	m.history.Addf("order %s", version)
	m.ordered = &ordered{order: order, state: StateLoading, retryAt: now.Add(m.cfg.OrderRetry)}
	return Action{Kind: ActionOrder, Intent: order.Intent, Order: order}
}

// EngineSays takes the engine's own report, which alone can make a version
// served and which ends admission when it names anything else.
func (m *Machine) EngineSays(report EngineReport, now time.Time) {
	m.silent = 0
	if m.ordered == nil {
		return
	}
	o := m.ordered
	o.loading = report.Loading
	o.settled = o.settled || report.Fence == o.order.Fence
	if m.confirms(report) {
		if o.state == StateLoading {
			m.history.Addf("confirmed %s", report.Version)
			o.state, o.settled = StateServing, true
			m.problem = ""
		}
		return
	}
	if o.state != StateLoading {
		m.history.Addf("engine reports %q instead of %s", report.Version, o.order.Intent.Version)
		o.state = StateLoading
		o.retryAt = now
	}
}

// confirms reports whether the engine runs exactly the ordered version.
func (m *Machine) confirms(report EngineReport) bool {
	order := m.ordered.order
	return report.Ready && report.Model == order.Intent.Model && report.Version == order.Intent.Version &&
		report.Digest == order.Digest && (!m.cfg.ChecksFence || report.Fence == order.Fence)
}

// EngineSilent records that a status check had no answer. After a few of
// them in a row the engine may have restarted, so the version must be
// confirmed again before it is served.
func (m *Machine) EngineSilent(now time.Time) {
	m.silent++
	if m.silent < maxSilentChecks || m.ordered == nil || m.ordered.state == StateLoading {
		return
	}
	m.history.Addf("engine is silent")
	m.ordered.state = StateLoading
	m.ordered.loading = false
	m.ordered.retryAt = now.Add(m.cfg.OrderRetry)
}

// Admit counts a request in if the version is served, and reports whether it
// is.
func (m *Machine) Admit(version string) bool {
	o := m.ordered
	if o == nil || o.state != StateServing || o.order.Intent.Version != version {
		return false
	}
	m.history.Check(o.order.Digest != "", "request admitted for %s that is not whole", version)
	m.running++
	return true
}

// Runs reports whether the engine is confirmed to run the version. Requests
// that were admitted may go on while it is retired.
func (m *Machine) Runs(version string) bool {
	o := m.ordered
	return o != nil && (o.state == StateServing || o.state == StateRetiring) && o.order.Intent.Version == version
}

// Release counts an admitted request out.
func (m *Machine) Release() {
	m.history.Check(m.running > 0, "request released that was not admitted")
	m.running--
}

// Status is the state that an agent reports.
type Status struct {
	// State is the state of the intended version.
	State VersionState
	// Serving is the version that is admitted; empty if none is.
	Serving string
	// Engine is the version of the last load order.
	Engine  string
	Problem string
	Running int
}

// Status returns the state for reports.
func (m *Machine) Status() Status {
	s := Status{State: StateEmpty, Problem: m.problem, Running: m.running}
	if m.ordered != nil {
		s.State, s.Engine = m.ordered.state, m.ordered.order.Intent.Version
		if m.ordered.state == StateServing {
			s.Serving = s.Engine
		}
	}
	if m.target != nil && (m.ordered == nil || m.ordered.state != StateRetiring) {
		s.State = m.target.state
	}
	return s
}
