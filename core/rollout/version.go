package rollout

import (
	"time"

	"github.com/laburnumloft/laburnumloft/core/invariant"
)

// VersionState is the state of a version at one agent.
type VersionState string

// States of a version.
const (
	// StateEmpty means that the agent has no version and the settings name none.
	StateEmpty VersionState = "empty"
	// StateFetching means that chunks are missing.
	StateFetching VersionState = "fetching"
	// StateVerified means that all hashes match but no load order was sent.
	StateVerified VersionState = "verified"
	// StateLoading means that a load order was sent, or that the engine no
	// longer confirms the version.
	StateLoading VersionState = "loading"
	// StateServing means that the engine has confirmed version and digest.
	StateServing VersionState = "serving"
	// StateRetiring means that no more requests are admitted and that the next
	// load order waits for the requests in flight.
	StateRetiring VersionState = "retiring"
)

// Intent is the version that the settings name for the agent's service.
type Intent struct {
	// Offset is the offset of the settings that name the version.
	Offset                   int64
	Model, Version, Manifest string
	// StartAt is the earliest time of the load order. An agent that serves no
	// version does not wait for it.
	StartAt time.Time
}

// sameVersion reports whether both intents name the same model, version and
// manifest.
func (i Intent) sameVersion(other Intent) bool {
	return i.Model == other.Model && i.Version == other.Version && i.Manifest == other.Manifest
}

// Fence is the fencing number of a load order.
type Fence struct {
	Offset, StartMS int64
}

// EngineReport is the status that a model engine reports.
type EngineReport struct {
	Model, Version, Digest string
	Fence                  Fence
	// Ready means that the engine answers requests with Version.
	Ready bool
	// Loading means that the engine is executing a load order.
	Loading bool
}

// Order is a load order for the engine.
type Order struct {
	Intent Intent
	// Digest is the SHA-256 of all bytes of the version.
	Digest string
	Fence  Fence
}

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions.
const (
	// ActionNone means to wait for an event or until Action.At.
	ActionNone ActionKind = iota
	// ActionFetch means to fetch the version of Action.Intent.
	ActionFetch
	// ActionOrder means to send Action.Order to the engine and to pass the
	// engine's later reports to HandleEngineReport.
	ActionOrder
)

// Action is what an agent must do next, as returned by StateMachine.Next.
type Action struct {
	Kind   ActionKind
	Intent Intent
	Order  Order
	// At is the latest time for the next call of Next. The zero time means that
	// only an event can change the result.
	At time.Time
}

// StateMachineConfig configures a StateMachine.
type StateMachineConfig struct {
	// StartMS is the start time of the agent in milliseconds, the second part of
	// its fencing numbers.
	StartMS int64
	// OrderRetry is the time after which the order is repeated if the engine
	// neither loads nor confirms the ordered version.
	OrderRetry time.Duration
	// ChecksFence is true if the engine records fencing numbers and refuses old
	// ones. Its report must then contain the fencing number of the last order.
	ChecksFence bool
	// TakeTurns makes the agent keep serving its version until GrantTurn is
	// called for the next one.
	TakeTurns bool
}

// maxMissedChecks is the number of consecutive unanswered status checks after
// which the version counts as unconfirmed.
const maxMissedChecks = 3

// targetVersion is the version that the settings name and for which no load
// order has been issued.
type targetVersion struct {
	intent Intent
	state  VersionState
	digest string
	// turnGranted means that it is the agent's turn to load the version.
	turnGranted bool
}

// orderedVersion is the version of the last load order.
type orderedVersion struct {
	order Order
	state VersionState
	// retryAt is when the order is repeated unless the engine is loading.
	retryAt time.Time
	loading bool
	// received means that the engine is known to have received the order.
	received bool
}

// StateMachine holds the version state of one agent. It keeps the version to be
// fetched (target) and the version of the last load order (ordered) separately,
// so that an old version is served while a new one is fetched.
type StateMachine struct {
	cfg          StateMachineConfig
	offset       int64
	target       *targetVersion
	ordered      *orderedVersion
	running      int
	missedChecks int
	problem      string
	history      invariant.History
}

// NewStateMachine returns a state machine without a version.
func NewStateMachine(cfg StateMachineConfig) *StateMachine {
	return &StateMachine{cfg: cfg}
}

// SetChecksFence sets whether the fencing number in the engine's reports must
// match that of the last order.
func (m *StateMachine) SetChecksFence(checks bool) {
	m.cfg.ChecksFence = checks
}

// SetIntent sets the version that the settings name. It returns false for settings
// older than the ones in force and for settings that do not change the version.
func (m *StateMachine) SetIntent(intent Intent) bool {
	if intent.Offset < m.offset {
		return false
	}
	m.offset = intent.Offset
	m.history.Addf("settings name %s at offset %d", intent.Version, intent.Offset)
	if m.ordered != nil && m.ordered.order.Intent.sameVersion(intent) {
		changed := m.target != nil
		m.target = nil
		m.problem = ""
		if m.ordered.state == StateRetiring {
			// No later order was issued, so the engine still runs this version.
			m.ordered.state = StateServing
		}
		return changed
	}
	if m.target != nil && m.target.intent.sameVersion(intent) {
		m.target.intent.StartAt = intent.StartAt
		return false
	}
	m.resumeRetiring()
	m.target = &targetVersion{intent: intent, state: StateFetching}
	m.problem = ""
	return true
}

// resumeRetiring returns a retiring version to service because its successor is
// no longer intended.
func (m *StateMachine) resumeRetiring() {
	if m.ordered != nil && m.ordered.state == StateRetiring {
		m.ordered.state = StateServing
	}
}

// RecordProblem records why the intended version can't be fetched or loaded. The
// agent continues to serve its current version.
func (m *StateMachine) RecordProblem(intent Intent, problem string) {
	if m.isIntended(intent) {
		m.problem = problem
	}
}

func (m *StateMachine) isIntended(intent Intent) bool {
	if m.target != nil {
		return m.target.intent.sameVersion(intent)
	}
	return m.ordered != nil && m.ordered.order.Intent.sameVersion(intent)
}

// RecordVerified records that all hashes of the version match. It returns false
// if the settings name another version now or the version was not being
// fetched.
func (m *StateMachine) RecordVerified(intent Intent, digest string) bool {
	if m.target == nil || !m.target.intent.sameVersion(intent) || m.target.state != StateFetching {
		return false
	}
	m.history.Addf("verified %s", intent.Version)
	m.target.state, m.target.digest = StateVerified, digest
	m.problem = ""
	return true
}

// AwaitsTurn returns the verified version that can't be loaded before the agent
// may take its backend server out of service. It returns false if there is none.
func (m *StateMachine) AwaitsTurn(now time.Time) (Intent, bool) {
	waiting := m.cfg.TakeTurns && m.target != nil && m.target.state == StateVerified && !m.target.turnGranted &&
		m.ordered != nil && m.ordered.state == StateServing && !now.Before(m.target.intent.StartAt)
	if !waiting {
		return Intent{}, false
	}
	return m.target.intent, true
}

// GrantTurn records that it is the agent's turn to load the version.
func (m *StateMachine) GrantTurn(intent Intent) {
	if m.target != nil && m.target.intent.sameVersion(intent) {
		m.target.turnGranted = true
	}
}

// RecordFreed records that the bytes of the ordered version were freed, so that
// they must be fetched again before the order is repeated.
func (m *StateMachine) RecordFreed(intent Intent) {
	if m.target != nil || m.ordered == nil || m.ordered.state != StateLoading || !m.ordered.order.Intent.sameVersion(intent) {
		return
	}
	m.history.Addf("bytes of %s were freed", intent.Version)
	m.target = &targetVersion{intent: m.ordered.order.Intent, state: StateFetching}
	m.ordered = nil
}

// Next returns the next action. It stops admitting requests for the served
// version once its successor may be loaded, and issues the load order when no
// admitted request is running.
func (m *StateMachine) Next(now time.Time) Action {
	if m.target != nil {
		return m.nextTarget(now)
	}
	if m.ordered == nil || m.ordered.state != StateLoading || m.ordered.loading {
		return Action{}
	}
	return m.repeatOrder(now)
}

// repeatOrder issues the last order again once retryAt has passed and no request
// is running.
func (m *StateMachine) repeatOrder(now time.Time) Action {
	if now.Before(m.ordered.retryAt) || m.running > 0 {
		return Action{At: m.ordered.retryAt}
	}
	return m.issueOrder(m.ordered.order, now)
}

func (m *StateMachine) nextTarget(now time.Time) Action {
	if m.target.state == StateFetching {
		return Action{Kind: ActionFetch, Intent: m.target.intent}
	}
	serving := m.ordered != nil && m.ordered.state == StateServing
	if serving && now.Before(m.target.intent.StartAt) {
		return Action{At: m.target.intent.StartAt}
	}
	if serving && m.cfg.TakeTurns && !m.target.turnGranted {
		return Action{}
	}
	if serving {
		m.history.Addf("retire %s with %d requests running", m.ordered.order.Intent.Version, m.running)
		m.ordered.state = StateRetiring
	}
	if m.running > 0 {
		return Action{}
	}
	if m.orderMayArriveLate() {
		return m.repeatOrder(now)
	}
	order := Order{
		Intent: m.target.intent, Digest: m.target.digest, Fence: Fence{Offset: m.offset, StartMS: m.cfg.StartMS},
	}
	m.target = nil
	return m.issueOrder(order, now)
}

// orderMayArriveLate reports whether the last order may still be on its way to
// the engine. An engine that ignores fencing numbers would execute it after a
// later order, so no other order is issued until the engine is known to have
// received this one.
func (m *StateMachine) orderMayArriveLate() bool {
	o := m.ordered
	return !m.cfg.ChecksFence && o != nil && o.state == StateLoading && !o.received
}

// RecordOrderAnswer records that the engine answered the last order, by accepting
// or by refusing it.
func (m *StateMachine) RecordOrderAnswer() {
	if m.ordered != nil {
		m.ordered.received = true
	}
}

// issueOrder changes to StateLoading and returns the order. A repeated order
// keeps its fencing number. With the number of newer settings, a delayed copy of
// the order could override the order for the version that those settings name.
func (m *StateMachine) issueOrder(order Order, now time.Time) Action {
	version := order.Intent.Version
	m.history.Check(m.running == 0, "load order for %s while %d requests are running", version, m.running)
	m.history.Check(order.Digest != "", "load order for %s, which is not verified", version)
	m.history.Check(m.ordered == nil || m.ordered.state != StateServing, "load order for %s while another version is served", version)
	m.history.Addf("issue load order for %s", version)
	m.ordered = &orderedVersion{order: order, state: StateLoading, retryAt: now.Add(m.cfg.OrderRetry)}
	return Action{Kind: ActionOrder, Intent: order.Intent, Order: order}
}

// HandleEngineReport handles a status report of the engine. Only such a report
// can change the ordered version to StateServing. If the report does not
// confirm the ordered version, no more requests are admitted.
func (m *StateMachine) HandleEngineReport(report EngineReport, now time.Time) {
	m.missedChecks = 0
	if m.ordered == nil {
		return
	}
	o := m.ordered
	o.loading = report.Loading
	o.received = o.received || report.Fence == o.order.Fence
	if m.confirms(report) {
		if o.state == StateLoading {
			m.history.Addf("engine confirmed %s", report.Version)
			o.state, o.received = StateServing, true
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

// confirms reports whether, according to the report, the engine serves exactly
// the ordered version.
func (m *StateMachine) confirms(report EngineReport) bool {
	order := m.ordered.order
	return report.Ready && report.Model == order.Intent.Model && report.Version == order.Intent.Version &&
		report.Digest == order.Digest && (!m.cfg.ChecksFence || report.Fence == order.Fence)
}

// RecordMissedCheck records that the engine did not answer a status check. After
// maxMissedChecks consecutive ones the engine may have restarted, so it must
// confirm the version again before requests are admitted.
func (m *StateMachine) RecordMissedCheck(now time.Time) {
	m.missedChecks++
	if m.missedChecks < maxMissedChecks || m.ordered == nil || m.ordered.state == StateLoading {
		return
	}
	m.history.Addf("engine did not answer status checks")
	m.ordered.state = StateLoading
	m.ordered.loading = false
	m.ordered.retryAt = now.Add(m.cfg.OrderRetry)
}

// Admit reports whether the version is served, and if so counts the request as
// running until Release.
func (m *StateMachine) Admit(version string) bool {
	o := m.ordered
	if o == nil || o.state != StateServing || o.order.Intent.Version != version {
		return false
	}
	m.history.Check(o.order.Digest != "", "request admitted for %s, which is not verified", version)
	m.running++
	return true
}

// ConfirmedRunning reports whether the engine has confirmed that it runs the
// version. This includes a retiring version, whose admitted requests may
// continue.
func (m *StateMachine) ConfirmedRunning(version string) bool {
	o := m.ordered
	return o != nil && (o.state == StateServing || o.state == StateRetiring) && o.order.Intent.Version == version
}

// Release ends a request that Admit counted as running.
func (m *StateMachine) Release() {
	m.history.Check(m.running > 0, "request released that had not been admitted")
	m.running--
}

// Status is the version state that an agent reports.
type Status struct {
	// State is the state of the intended version.
	State VersionState
	// Serving is the version for which requests are admitted; empty if there is
	// none.
	Serving string
	// Engine is the version of the last load order.
	Engine  string
	Problem string
	// Running is the number of admitted requests that have not ended.
	Running int
}

// Status returns the version state for reports.
func (m *StateMachine) Status() Status {
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
