package rollout_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/laburnumloft/laburnumloft/core/rollout"
)

// engineSim connects the state machine of an agent with a simulated engine. It
// holds the orders and status reports that are on their way between them.
type engineSim struct {
	t              *rapid.T
	machine        *rollout.StateMachine
	checksFence    bool
	now            time.Time
	offset         int64
	orders         []rollout.Order
	lastOrder      rollout.Order
	ordersIssued   int
	report         *rollout.EngineReport
	ordersAtReport int
	engine         rollout.EngineReport
	loading        rollout.Order
	verified       map[string]bool
	running        []string
}

// checkVersionState tests the state machine with lost, delayed and repeated
// orders, stale status reports, engine restarts and version changes.
func checkVersionState(t *rapid.T) {
	checks := rapid.Bool().Draw(t, "checks fence")
	w := &engineSim{t: t, checksFence: checks, now: time.Unix(0, 0), verified: map[string]bool{}}
	w.machine = rollout.NewStateMachine(rollout.StateMachineConfig{StartMS: 1, OrderRetry: time.Second, ChecksFence: checks})
	t.Repeat(map[string]func(*rapid.T){
		"intend": w.setIntent, "step": w.step, "deliver": w.deliverOrder, "lose": w.loseOrder, "loaded": w.finishLoading,
		"check": w.checkStatus, "report": w.deliverReport, "silent": func(*rapid.T) { w.machine.RecordMissedCheck(w.now) },
		"advance": w.advanceOrder, "restart": w.restart, "request": w.admitRequest, "token": w.checkRunning, "release": w.releaseRequest,
	})
}

func (w *engineSim) setIntent(t *rapid.T) {
	// The step is not 0, because settings at the same offset are always equal.
	offset := w.offset + rapid.SampledFrom([]int64{-2, -1, 1, 2, 3}).Draw(t, "step")
	version := rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version")
	accepted := w.machine.SetIntent(rollout.Intent{Offset: offset, Model: "m", Version: version, Manifest: version})
	if accepted && offset < w.offset {
		t.Fatalf("accepted settings whose offset went back from %d to %d", w.offset, offset)
	}
	w.offset = max(w.offset, offset)
}

func (w *engineSim) step(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
	switch action := w.machine.Next(w.now); action.Kind {
	case rollout.ActionFetch:
		if rapid.Bool().Draw(t, "fetched") {
			w.verified[action.Intent.Version] = true
			w.machine.RecordVerified(action.Intent, "digest-"+action.Intent.Version)
		}
	case rollout.ActionOrder:
		if !w.verified[action.Intent.Version] {
			t.Fatalf("load order for %s, which is not verified", action.Intent.Version)
		}
		if len(w.running) > 0 {
			t.Fatalf("load order for %s while requests for %v are running", action.Intent.Version, w.running)
		}
		w.orders = append(w.orders, action.Order)
		w.lastOrder = action.Order
		w.ordersIssued++
	}
}

// deliverOrder delivers a copy of an order to the engine. Copies arrive in any
// order. At an engine that ignores fencing numbers, no copy arrives after the
// agent knows that the engine received the order.
func (w *engineSim) deliverOrder(t *rapid.T) {
	if len(w.orders) == 0 {
		t.Skip("no order")
	}
	at := rapid.IntRange(0, len(w.orders)-1).Draw(t, "order")
	order := w.orders[at]
	if rapid.Bool().Draw(t, "no copy stays") {
		w.orders = append(w.orders[:at:at], w.orders[at+1:]...)
	}
	if w.checksFence && order.Fence.Offset < w.engine.Fence.Offset {
		return
	}
	w.engine.Fence = order.Fence
	if !w.engine.Ready || w.engine.Version != order.Intent.Version {
		w.loading = order
		w.engine.Ready, w.engine.Loading = false, true
	}
	if rapid.Bool().Draw(t, "answered") && order == w.lastOrder {
		w.machine.RecordOrderAnswer()
		w.dropOrders()
	}
}

// advanceOrder runs the usual steps of an order, so that test runs often reach
// StateServing.
func (w *engineSim) advanceOrder(t *rapid.T) {
	w.step(t)
	w.step(t)
	if len(w.orders) > 0 {
		w.deliverOrder(t)
	}
	if w.engine.Loading {
		w.finishLoading(t)
	}
	w.checkStatus(t)
	w.deliverReport(t)
}

// dropOrders drops the copies of orders that are on their way to an engine that
// ignores fencing numbers.
func (w *engineSim) dropOrders() {
	if !w.checksFence {
		w.orders = nil
	}
}

func (w *engineSim) loseOrder(t *rapid.T) {
	if len(w.orders) == 0 {
		t.Skip("no order")
	}
	w.orders = w.orders[1:]
}

func (w *engineSim) finishLoading(t *rapid.T) {
	if !w.engine.Loading {
		t.Skip("engine is not loading")
	}
	w.engine.Loading = false
	if rapid.IntRange(0, 4).Draw(t, "fails") > 0 {
		w.engine.Ready = true
		w.engine.Model, w.engine.Version, w.engine.Digest = "m", w.loading.Intent.Version, w.loading.Digest
	}
}

func (w *engineSim) checkStatus(*rapid.T) {
	report := w.engine
	w.report, w.ordersAtReport = &report, w.ordersIssued
}

func (w *engineSim) deliverReport(t *rapid.T) {
	if w.report == nil || w.ordersAtReport != w.ordersIssued {
		t.Skip("no status report since the last load order")
	}
	w.machine.HandleEngineReport(*w.report, w.now)
	if w.report.Fence == w.lastOrder.Fence || w.machine.Status().Serving != "" {
		w.dropOrders()
	}
	w.report = nil
}

// restart restarts the engine, which loses its version. Orders in flight are lost
// with the broken connections.
func (w *engineSim) restart(*rapid.T) {
	w.orders = nil
	w.engine, w.running = rollout.EngineReport{}, w.releaseAll()
}

func (w *engineSim) releaseAll() []string {
	for range w.running {
		w.machine.Release()
	}
	return nil
}

func (w *engineSim) admitRequest(t *rapid.T) {
	w.checkRunning(t)
	version := rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version")
	if !w.machine.Admit(version) {
		return
	}
	if !w.verified[version] {
		t.Fatalf("request admitted for %s, which is not verified", version)
	}
	if !w.engine.Ready {
		// The engine refuses the request, so no version answers it.
		w.machine.Release()
		return
	}
	w.running = append(w.running, version)
}

func (w *engineSim) checkRunning(t *rapid.T) {
	for _, version := range w.running {
		if !w.engine.Ready || w.engine.Version != version {
			t.Fatalf("request admitted for version %s is answered by engine %+v", version, w.engine)
		}
	}
}

func (w *engineSim) releaseRequest(t *rapid.T) {
	if len(w.running) == 0 {
		t.Skip("no request is running")
	}
	w.running = w.running[1:]
	w.machine.Release()
}

// TestVersionState guards against answering a request with a version that was not
// verified, confirmed by the engine and current when the request was admitted.
func TestVersionState(t *testing.T) {
	rapid.Check(t, checkVersionState)
}

// TestVersionStartAndRefusal guards against loading a version before its start
// time, and against a refused version that ends the service of the old one.
func TestVersionStartAndRefusal(t *testing.T) {
	m := rollout.NewStateMachine(rollout.StateMachineConfig{OrderRetry: time.Second})
	now := time.Unix(1000, 0)
	serve(t, m, rollout.Intent{Offset: 1, Model: "m", Version: "v1"}, now)
	next := rollout.Intent{Offset: 2, Model: "m", Version: "v2", StartAt: now.Add(time.Hour)}
	m.SetIntent(next)
	m.RecordProblem(next, "overlapping chunks")
	if s := m.Status(); s.Serving != "v1" || s.Problem == "" {
		t.Fatalf("status after a refused manifest: %+v", s)
	}
	m.RecordVerified(next, "digest-v2")
	if a := m.Next(now); a.Kind != rollout.ActionNone || !a.At.Equal(next.StartAt) || !m.Admit("v1") {
		t.Fatalf("action before the start time: %+v", a)
	}
	if a := m.Next(next.StartAt); a.Kind != rollout.ActionNone || m.Admit("v1") || m.Status().State != rollout.StateRetiring {
		t.Fatalf("action with a request in flight: %+v", a)
	}
	m.Release()
	if a := m.Next(next.StartAt); a.Kind != rollout.ActionOrder {
		t.Fatalf("action after the last request ended: %+v", a)
	}
}

func serve(t *testing.T, m *rollout.StateMachine, intent rollout.Intent, now time.Time) {
	m.SetIntent(intent)
	m.RecordVerified(intent, "digest-"+intent.Version)
	order := m.Next(now).Order
	m.HandleEngineReport(rollout.EngineReport{
		Model: intent.Model, Version: intent.Version, Digest: order.Digest, Fence: order.Fence, Ready: true,
	}, now)
	if m.Status().Serving != intent.Version {
		t.Fatalf("confirmed version is not served: %+v", m.Status())
	}
}
