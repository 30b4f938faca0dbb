package rollout_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/laburnumloft/laburnumloft/core/rollout"
)

// world is an agent's machine, an engine and the orders between them.
type world struct {
	t       *rapid.T
	m       *rollout.Machine
	checks  bool
	now     time.Time
	offset  int64
	orders  []rollout.Order
	last    rollout.Order
	given   int
	report  *rollout.EngineReport
	reports int
	engine  rollout.EngineReport
	loading rollout.Order
	whole   map[string]bool
	running []string
}

// checkVersionState drives the machine with lost, late and repeated orders,
// stale status reports, engine restarts and version changes.
func checkVersionState(t *rapid.T) {
	checks := rapid.Bool().Draw(t, "checks fence")
	w := &world{t: t, checks: checks, now: time.Unix(0, 0), whole: map[string]bool{}}
	w.m = rollout.NewMachine(rollout.MachineConfig{StartMS: 1, OrderRetry: time.Second, ChecksFence: checks})
	t.Repeat(map[string]func(*rapid.T){
		"intend": w.intend, "step": w.step, "deliver": w.deliver, "lose": w.lose, "loaded": w.loaded,
		"check": w.check, "report": w.deliverReport, "silent": func(*rapid.T) { w.m.EngineSilent(w.now) },
		"advance": w.advance, "restart": w.restart, "request": w.request, "token": w.token, "release": w.release,
	})
}

func (w *world) intend(t *rapid.T) {
	// Settings at one offset never differ, so the step is not 0.
	offset := w.offset + rapid.SampledFrom([]int64{-2, -1, 1, 2, 3}).Draw(t, "step")
	version := rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version")
	taken := w.m.Intend(rollout.Intent{Offset: offset, Model: "m", Version: version, Manifest: version})
	if taken && offset < w.offset {
		t.Fatalf("went back from offset %d to %d", w.offset, offset)
	}
	w.offset = max(w.offset, offset)
}

func (w *world) step(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
	switch action := w.m.Next(w.now); action.Kind {
	case rollout.ActionFetch:
		if rapid.Bool().Draw(t, "fetched") {
			w.whole[action.Intent.Version] = true
			w.m.Whole(action.Intent, "digest-"+action.Intent.Version)
		}
	case rollout.ActionOrder:
		if !w.whole[action.Intent.Version] {
			t.Fatalf("order for %s, which is not whole", action.Intent.Version)
		}
		if len(w.running) > 0 {
			t.Fatalf("order for %s while %v run", action.Intent.Version, w.running)
		}
		w.orders = append(w.orders, action.Order)
		w.last = action.Order
		w.given++
	}
}

// deliver brings a copy of an order to the engine. Copies arrive in any
// sequence. For an engine that ignores fencing numbers, no copy arrives after
// the agent knows that the engine received the order.
func (w *world) deliver(t *rapid.T) {
	if len(w.orders) == 0 {
		t.Skip("no order")
	}
	at := rapid.IntRange(0, len(w.orders)-1).Draw(t, "order")
	order := w.orders[at]
	if rapid.Bool().Draw(t, "no copy stays") {
		w.orders = append(w.orders[:at:at], w.orders[at+1:]...)
	}
	if w.checks && order.Fence.Offset < w.engine.Fence.Offset {
		return
	}
	w.engine.Fence = order.Fence
	if !w.engine.Ready || w.engine.Version != order.Intent.Version {
		w.loading = order
		w.engine.Ready, w.engine.Loading = false, true
	}
	if rapid.Bool().Draw(t, "answered") && order == w.last {
		w.m.OrderAnswered()
		w.settle()
	}
}

// advance takes the usual path of an order, so that runs reach the state
// serving often.
func (w *world) advance(t *rapid.T) {
	w.step(t)
	w.step(t)
	if len(w.orders) > 0 {
		w.deliver(t)
	}
	if w.engine.Loading {
		w.loaded(t)
	}
	w.check(t)
	w.deliverReport(t)
}

// settle ends the copies in flight of orders to an engine that ignores
// fencing numbers.
func (w *world) settle() {
	if !w.checks {
		w.orders = nil
	}
}

func (w *world) lose(t *rapid.T) {
	if len(w.orders) == 0 {
		t.Skip("no order")
	}
	w.orders = w.orders[1:]
}

func (w *world) loaded(t *rapid.T) {
	if !w.engine.Loading {
		t.Skip("engine does not load")
	}
	w.engine.Loading = false
	if rapid.IntRange(0, 4).Draw(t, "fails") > 0 {
		w.engine.Ready = true
		w.engine.Model, w.engine.Version, w.engine.Digest = "m", w.loading.Intent.Version, w.loading.Digest
	}
}

func (w *world) check(*rapid.T) {
	report := w.engine
	w.report, w.reports = &report, w.given
}

func (w *world) deliverReport(t *rapid.T) {
	if w.report == nil || w.reports != w.given {
		t.Skip("no report since the last order")
	}
	w.m.EngineSays(*w.report, w.now)
	if w.report.Fence == w.last.Fence || w.m.Status().Serving != "" {
		w.settle()
	}
	w.report = nil
}

// restart drops the engine's version. Its connections break, and with them
// the orders in flight.
func (w *world) restart(*rapid.T) {
	w.orders = nil
	w.engine, w.running = rollout.EngineReport{}, w.endAll()
}

func (w *world) endAll() []string {
	for range w.running {
		w.m.Release()
	}
	return nil
}

func (w *world) request(t *rapid.T) {
	w.token(t)
	version := rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version")
	if !w.m.Admit(version) {
		return
	}
	if !w.whole[version] {
		t.Fatalf("request admitted for %s, which is not whole", version)
	}
	if !w.engine.Ready {
		// The engine refuses the request, which then has no answer.
		w.m.Release()
		return
	}
	w.running = append(w.running, version)
}

func (w *world) token(t *rapid.T) {
	for _, version := range w.running {
		if !w.engine.Ready || w.engine.Version != version {
			t.Fatalf("request admitted for %s is answered by %+v", version, w.engine)
		}
	}
}

func (w *world) release(t *rapid.T) {
	if len(w.running) == 0 {
		t.Skip("nothing runs")
	}
	w.running = w.running[1:]
	w.m.Release()
}

// TestVersionState guards against an answer from a version that was not
// whole, confirmed and current when the request was admitted.
func TestVersionState(t *testing.T) {
	rapid.Check(t, checkVersionState)
}

// TestVersionStartAndRefusal guards against a load before the start time,
// and against a refused version that ends service of the old one.
func TestVersionStartAndRefusal(t *testing.T) {
	m := rollout.NewMachine(rollout.MachineConfig{OrderRetry: time.Second})
	now := time.Unix(1000, 0)
	serve(t, m, rollout.Intent{Offset: 1, Model: "m", Version: "v1"}, now)
	next := rollout.Intent{Offset: 2, Model: "m", Version: "v2", StartAt: now.Add(time.Hour)}
	m.Intend(next)
	m.Problem(next, "overlapping chunks")
	if s := m.Status(); s.Serving != "v1" || s.Problem == "" {
		t.Fatalf("after a refusal: %+v", s)
	}
	m.Whole(next, "digest-v2")
	if a := m.Next(now); a.Kind != rollout.ActionNone || !a.At.Equal(next.StartAt) || !m.Admit("v1") {
		t.Fatalf("before the start: %+v", a)
	}
	if a := m.Next(next.StartAt); a.Kind != rollout.ActionNone || m.Admit("v1") || m.Status().State != rollout.StateRetiring {
		t.Fatalf("with a request in flight: %+v", a)
	}
	m.Release()
	if a := m.Next(next.StartAt); a.Kind != rollout.ActionOrder {
		t.Fatalf("after the last request: %+v", a)
	}
}

func serve(t *testing.T, m *rollout.Machine, intent rollout.Intent, now time.Time) {
	m.Intend(intent)
	m.Whole(intent, "digest-"+intent.Version)
	order := m.Next(now).Order
	m.EngineSays(rollout.EngineReport{
		Model: intent.Model, Version: intent.Version, Digest: order.Digest, Fence: order.Fence, Ready: true,
	}, now)
	if m.Status().Serving != intent.Version {
		t.Fatalf("not served: %+v", m.Status())
	}
}
