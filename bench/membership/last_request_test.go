package membership_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/bench/harness"
	"github.com/laburnumloft/laburnumloft/core/membership"
	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// fakeAgent reports to its home entries by Sync and notes when requests come.
type fakeAgent struct {
	report   *rpc.MemberReport
	server   *httptest.Server
	state    atomic.Int32
	silent   atomic.Bool
	dead     atomic.Bool
	requests atomic.Int64
	// last is the time of the latest request in Unix microseconds.
	last atomic.Int64
}

func newFakeAgent(f *fleet, i int) *fakeAgent {
	a := &fakeAgent{}
	a.state.Store(int32(rpc.AgentState_SERVING))
	a.server = httptest.NewUnstartedServer(http.HandlerFunc(a.serve))
	a.server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		if a.dead.Load() && state == http.StateNew {
			a.note()
			_ = conn.Close()
		}
	}
	a.server.Start()
	zone := i % fleetZones
	a.report = &rpc.MemberReport{
		Id: fmt.Sprintf("fake-%02d", i), Incarnation: time.Now().UnixMilli(), Address: a.server.Listener.Addr().String(),
		Region: fmt.Sprintf("region-%d", zone%3), Zone: fmt.Sprintf("zone-%d", zone), Service: serviceName, Version: "v1", VersionState: "serving",
	}
	f.Cleanup(a.server.Close)
	return a
}

func (a *fakeAgent) note() {
	a.requests.Add(1)
	a.last.Store(time.Now().UnixMicro())
}

func (a *fakeAgent) serve(w http.ResponseWriter, r *http.Request) {
	a.note()
	var req wire.AgentRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	switch {
	case a.dead.Load():
		panic(http.ErrAbortHandler)
	case a.state.Load() == int32(rpc.AgentState_LEAVING):
		wire.WriteError(w, wire.Error{Kind: wire.ErrorLeaving, Message: "leaving", RequestID: req.RequestID, Run: wire.RunNotRun})
		return
	case a.silent.Load():
		// A paused process takes connections but answers nothing.
		<-r.Context().Done()
		return
	}
	frames := json.NewEncoder(w)
	_ = frames.Encode(wire.Frame{RequestID: req.RequestID, Start: &wire.Start{RequestID: req.RequestID, Version: "v1"}})
	_ = frames.Encode(wire.Frame{RequestID: req.RequestID, Token: &wire.Token{Text: "a"}})
	_ = frames.Encode(wire.Frame{RequestID: req.RequestID, End: &wire.End{RequestID: req.RequestID, Version: "v1", Tokens: 1, Finish: "stop"}})
}

// run reports to the home entries each second while the agent is not silent.
func (a *fakeAgent) run(ctx context.Context, f *fleet) {
	var candidates []membership.Candidate
	peers := map[string]string{}
	for _, e := range f.entries {
		candidates = append(candidates, membership.NewCandidate(e.member.ID, e.member.Region, e.member.Zone))
		peers[e.member.ID] = e.member.PeerAddress
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if !a.silent.Load() {
			a.sync(ctx, candidates, peers)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (a *fakeAgent) sync(ctx context.Context, candidates []membership.Candidate, peers map[string]string) {
	a.report.Sequence++
	a.report.State = rpc.AgentState(a.state.Load())
	for _, home := range membership.Homes(a.report.GetId(), a.report.GetRegion(), a.report.GetZone(), candidates) {
		client := rpc.NewControlProtobufClient("http://"+peers[home.ID], http.DefaultClient)
		_, _ = client.Sync(ctx, &rpc.SyncRequest{Report: a.report, ReportOnly: true, SettingsOffset: 1 << 20})
	}
}

const (
	lastRequestAgents = 12
	// callInterval is the time between two requests of each entry's caller.
	callInterval = 10 * time.Millisecond
	observeTime  = 8 * time.Second
)

// BenchmarkMembershipLastRequest measures the time from an agent's death,
// silence or report of leaving to the last request that any entry sent to it.
// Entries run in this process; agents are fakes that note each request; each
// entry has a caller that asks 100 times a second.
func BenchmarkMembershipLastRequest(b *testing.B) {
	for _, entries := range []int{10, 40} {
		for name, change := range map[string]func(*fakeAgent){
			"death":   func(a *fakeAgent) { a.silent.Store(true); a.dead.Store(true) },
			"silence": func(a *fakeAgent) { a.silent.Store(true) },
			"leaving": func(a *fakeAgent) { a.state.Store(int32(rpc.AgentState_LEAVING)) },
		} {
			b.Run(fmt.Sprintf("%s/entries=%d", name, entries), func(b *testing.B) {
				b.StopTimer()
				lastRequest(b, entries, change)
			})
		}
	}
}

func lastRequest(b *testing.B, entries int, change func(*fakeAgent)) {
	f := newFleetOf(b, entries, 0)
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	defer loops.Wait()
	defer cancel()
	f.publishService()
	var agents []*fakeAgent
	for i := range lastRequestAgents {
		a := newFakeAgent(f, i)
		agents = append(agents, a)
		loops.Go(func() { a.run(ctx, f) })
	}
	until, stop := context.WithTimeout(ctx, waitLimit)
	defer stop()
	qt.Assert(b, harness.Until(until, func() bool {
		for _, e := range f.entries {
			if f.agentsIn(e, rpc.AgentState_SERVING) < lastRequestAgents {
				return false
			}
		}
		return true
	}), qt.IsNil)
	var failed atomic.Int64
	for _, e := range f.entries {
		loops.Go(func() { callEvery(ctx, e.member.Address, &failed) })
	}
	victim := agents[1]
	qt.Assert(b, harness.Until(until, func() bool { return victim.requests.Load() > 20 }), qt.IsNil)
	before, failedBefore := victim.requests.Load(), failed.Load()
	begun := time.Now()
	change(victim)
	f.phase(observeTime, func() bool { return true })
	b.ReportMetric(max(0, float64(victim.last.Load()-begun.UnixMicro())/1e6), "last-request-s")
	b.ReportMetric(float64(victim.requests.Load()-before), "late-requests")
	b.ReportMetric(float64(failed.Load()-failedBefore), "failed-calls")
}

func callEvery(ctx context.Context, address string, failed *atomic.Int64) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	places := make(chan struct{}, 256)
	for i := 0; ctx.Err() == nil; i++ {
		<-ticker.C
		// Different prompts, or affinity would choose the same agent each time.
		body, _ := json.Marshal(wire.Request{Prompt: fmt.Sprintf("%d notice", i), MaxTokens: 1})
		select {
		case places <- struct{}{}:
		default:
			continue
		}
		calls.Go(func() {
			defer func() { <-places }()
			req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+requestPath, bytes.NewReader(body))
			req.Header.Set("Content-Type", "application/json")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				failed.Add(1)
			}
		})
	}
}

// publishService puts a service in force that needs no rollout.
func (f *fleet) publishService() {
	f.append("template", "template/notices", settings.Template{Name: "notices", Services: []settings.Service{{
		Name: serviceName, Kind: settings.KindEngine, Model: "notices", Version: "v1", Manifest: strings.Repeat("0", 64),
	}}})
	f.append("parameters", "parameters/dispatch", settings.Parameters{Workspace: "dispatch", Template: "notices"})
}

func (f *fleet) append(kind, key string, body any) {
	record := map[string]any{"id": key, "kind": kind, "key": key, "base": 0, "body": body}
	qt.Assert(f, harness.PostJSON(f.log.URL+"/v1/streams/settings/records", record, nil), qt.IsNil)
}
