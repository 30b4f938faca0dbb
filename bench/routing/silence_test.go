package routing_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/bench/harness"
	bench "github.com/laburnumloft/laburnumloft/bench/routing"
	"github.com/laburnumloft/laburnumloft/core/limits"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/standin/engine"
)

// Points of an answer at which an engine falls silent.
const (
	beforeHeader = iota
	beforeFirstToken
	betweenTokens
	beforeEnd
	silencePoints
)

const (
	silentTokens = 6
	// maxArrivals is how often a request may be offered, as docs/routing.md states.
	maxArrivals = 4
	// startedBefore is the number of requests at engines at which a scenario changes something.
	startedBefore = 6
)

var silences = []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, 3 * time.Second}

// arrivals counts, by prompt, the requests that reached engines and how they ended there.
type arrivals struct {
	mu                   sync.Mutex
	all, whole, cutShort map[string]int
}

func newArrivals() *arrivals {
	return &arrivals{all: map[string]int{}, whole: map[string]int{}, cutShort: map[string]int{}}
}

func (a *arrivals) add(counts map[string]int, prompt string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts[prompt]++
}

func (a *arrivals) total() (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, count := range a.all {
		n += count
	}
	return n
}

// silentEngine answers with silences that the prompt states: point and milliseconds.
type silentEngine struct {
	*engine.Engine
	arrivals        *arrivals
	next            http.Handler
	refuses, prompt atomic.Bool
	// standstill, if it is set, holds up everything until it is closed.
	standstill atomic.Pointer[chan struct{}]
}

// wait waits for the end of a standstill.
func (s *silentEngine) wait() {
	if end := s.standstill.Load(); end != nil {
		<-*end
	}
}

// ServeHTTP implements http.Handler.
func (s *silentEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.wait()
	if r.URL.Path != "/v1/generate" {
		s.next.ServeHTTP(w, r)
		return
	}
	var req wire.GenerateRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	s.arrivals.add(s.arrivals.all, req.Prompt)
	if s.refuses.Load() {
		wire.WriteError(w, wire.Error{Kind: wire.ErrorUnavailable, Message: "the engine refuses", Run: wire.RunNotRun})
		return
	}
	if s.answer(w, r, req) {
		s.arrivals.add(s.arrivals.whole, req.Prompt)
	} else {
		s.arrivals.add(s.arrivals.cutShort, req.Prompt)
	}
}

// answer reports whether the agent stayed until the end.
func (s *silentEngine) answer(w http.ResponseWriter, r *http.Request, req wire.GenerateRequest) bool {
	var point, milliseconds int
	_, _ = fmt.Sscan(req.Prompt, &point, &milliseconds)
	pause := func(here int) {
		if here == point && !s.prompt.Load() {
			select {
			case <-time.After(time.Duration(milliseconds) * time.Millisecond):
			case <-r.Context().Done():
			}
		}
		s.wait()
	}
	version, frames, control := s.Status().Version, json.NewEncoder(w), http.NewResponseController(w)
	pause(beforeHeader)
	w.WriteHeader(http.StatusOK)
	_ = control.Flush()
	pause(beforeFirstToken)
	for i := range req.MaxTokens {
		if i == req.MaxTokens/2 {
			pause(betweenTokens)
		}
		text := fmt.Sprintf("%s-%d ", version, i)
		_ = frames.Encode(wire.GenerateFrame{RequestID: req.RequestID, Token: &text})
		_ = control.Flush()
	}
	pause(beforeEnd)
	return r.Context().Err() == nil &&
		frames.Encode(wire.GenerateFrame{RequestID: req.RequestID, End: &wire.GenerateEnd{Tokens: req.MaxTokens, Version: version}}) == nil
}

// silentScenario is what stands beside silent engines, or happens meanwhile.
type silentScenario struct {
	name             string
	entries, engines int
	// oneWorkspace sends all requests for one workspace, whose retry budget doesn't last.
	oneWorkspace bool
	// before changes something before the requests are sent, meanwhile while they run.
	before, meanwhile func(cluster *bench.Cluster, engines []*silentEngine) error
}

func refuseSecond(_ *bench.Cluster, engines []*silentEngine) error {
	engines[1].refuses.Store(true)
	return nil
}

var silentScenarios = []silentScenario{
	{name: "one server", entries: 1, engines: 1},
	{name: "one server of two entries", entries: 2, engines: 1},
	{name: "one server of two entries and one workspace", entries: 2, engines: 1, oneWorkspace: true},
	{name: "all servers of two entries", entries: 2, engines: 2},
	{name: "other answers at once", entries: 1, engines: 2, before: func(_ *bench.Cluster, engines []*silentEngine) error {
		engines[1].prompt.Store(true)
		return nil
	}},
	{name: "other refuses", entries: 1, engines: 2, before: refuseSecond},
	{name: "other refuses and the retry budget is used up", entries: 1, engines: 2, oneWorkspace: true, before: refuseSecond},
	{name: "other is dead", entries: 1, engines: 2, before: func(cluster *bench.Cluster, _ []*silentEngine) error {
		cluster.EngineServers[1].Close()
		return nil
	}},
	{name: "other leaves meanwhile", entries: 1, engines: 2, meanwhile: func(cluster *bench.Cluster, _ []*silentEngine) error {
		cluster.StopAgent[1]()
		return nil
	}},
	{name: "new version meanwhile", entries: 1, engines: 2, meanwhile: func(cluster *bench.Cluster, _ []*silentEngine) error {
		return cluster.PublishVersion("v2", 1)
	}},
	{name: "new version at the only server meanwhile", entries: 1, engines: 1, meanwhile: func(cluster *bench.Cluster, _ []*silentEngine) error {
		return cluster.PublishVersion("v2", 1)
	}},
	{name: "all servers stand still and a new version comes meanwhile", entries: 2, engines: 2, meanwhile: func(cluster *bench.Cluster, engines []*silentEngine) error {
		end := make(chan struct{})
		for _, e := range engines {
			e.standstill.Store(&end)
		}
		time.AfterFunc(silences[len(silences)-1], func() { close(end) })
		return cluster.PublishVersion("v2", 1)
	}},
	{name: "entry stops meanwhile", entries: 2, engines: 1, meanwhile: func(cluster *bench.Cluster, _ []*silentEngine) error {
		cluster.StopEntry[0]()
		return nil
	}},
}

// TestAnswersOfSilentEnginesAreWhole guards against answers and waiting requests that are
// given up while an engine is silent and goes on, and against requests that run twice.
func TestAnswersOfSilentEnginesAreWhole(t *testing.T) {
	var all sync.WaitGroup
	for _, scenario := range silentScenarios {
		all.Go(func() {
			t.Run(scenario.name, func(t *testing.T) { checkSilentEngines(qt.New(t), scenario) })
		})
	}
	all.Wait()
}

func checkSilentEngines(c *qt.C, s silentScenario) {
	prompts, workspaces := []string{}, []string{}
	for point := range silencePoints {
		for _, silence := range silences {
			workspaces = append(workspaces, fmt.Sprint("w", len(prompts)))
			prompts = append(prompts, fmt.Sprint(point, " ", silence.Milliseconds()))
		}
	}
	seen, engines := newArrivals(), []*silentEngine{}
	cluster, err := bench.StartCluster(bench.ClusterConfig{
		Entries: s.entries, Engines: s.engines, Workspaces: workspaces, DrainTimeout: testTimeout,
		WrapEngine: func(_ int, e *engine.Engine) http.Handler {
			engines = append(engines, &silentEngine{Engine: e, arrivals: seen, next: e.Handler()})
			return engines[len(engines)-1]
		},
	})
	c.Assert(err, qt.IsNil)
	defer cluster.Close()
	if s.before != nil {
		c.Assert(s.before(cluster, engines), qt.IsNil)
	}
	ctx, cancel := context.WithTimeout(c.Context(), testTimeout)
	defer cancel()
	answers := make([]answer, len(prompts))
	var running sync.WaitGroup
	for i, prompt := range prompts {
		workspace := workspaces[i]
		if s.oneWorkspace {
			workspace = workspaces[0]
		}
		url := cluster.EntryURLs[i%s.entries] + "/v1/workspaces/" + workspace + "/services/juru-tulis/requests"
		running.Go(func() {
			answers[i] = ask(ctx, url, wire.Request{Prompt: prompt, MaxTokens: silentTokens}, func(answer) {})
		})
	}
	if s.meanwhile != nil {
		c.Assert(harness.Until(ctx, func() bool { return seen.total() >= startedBefore }), qt.IsNil)
		c.Assert(s.meanwhile(cluster, engines), qt.IsNil)
	}
	running.Wait()
	budget := limits.DefaultRetryBudget
	c.Check(!s.oneWorkspace || float64(seen.total()) <= float64(len(prompts))*(1+budget.Ratio)+budget.Burst*float64(s.entries), qt.IsTrue,
		qt.Commentf("%d arrivals of %d requests", seen.total(), len(prompts)))
	refused := 0
	for i, a := range answers {
		note := qt.Commentf("point and silence %q, %s: %+v", prompts[i], a.failure.Message, a)
		whole := 1
		if s.oneWorkspace && a.failure.Run == wire.RunNotRun {
			whole, refused = 0, refused+1
		}
		c.Check(a.problem, qt.Equals, "", note)
		c.Check(a.whole(), qt.Equals, whole == 1, note)
		c.Check(a.tokens, qt.Equals, whole*silentTokens, note)
		c.Check([]int{seen.whole[prompts[i]], seen.cutShort[prompts[i]]}, qt.DeepEquals, []int{whole, 0}, note)
		c.Check(seen.all[prompts[i]] <= maxArrivals, qt.IsTrue, note)
	}
	c.Logf("%d of %d requests refused, %d arrivals at engines", refused, len(prompts), seen.total())
}
