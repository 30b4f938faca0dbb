// Package membership_test stops, pauses and kills separate processes under
// running streams, and measures what membership costs.
package membership_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/bench/harness"
	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

const (
	waitLimit   = 60 * time.Second
	serviceName = "juru-tulis"
	requestPath = "/v1/workspaces/dispatch/services/" + serviceName + "/requests"
	// streamTokens at 5 ms each make a stream last about a second.
	streamTokens = 200
	callers      = 6
)

// fixture is a cluster with three entries and three engines.
type fixture struct {
	testing.TB
	cluster *harness.Cluster
	entries []*harness.Process
	agents  []*harness.Process
	logs    *logBuffer
	client  *http.Client
}

// logBuffer keeps the output of all processes.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func newFixture(tb testing.TB, entryArgs, agentArgs []string) *fixture {
	c := qt.New(tb)
	f := &fixture{TB: tb, logs: &logBuffer{}, client: &http.Client{Timeout: waitLimit}}
	var err error
	f.cluster, err = harness.Start("../../bin", f.logs)
	c.Assert(err, qt.IsNil)
	tb.Cleanup(func() {
		f.cluster.Close()
		if tb.Failed() {
			tb.Log(f.logs.String())
		}
	})
	for i := range 3 {
		entry, err := f.cluster.Entry(fmt.Sprintf("entry-%d", i), "priangan", "priangan-a", entryArgs...)
		c.Assert(err, qt.IsNil)
		f.entries = append(f.entries, entry)
	}
	for i := range 3 {
		f.startAgent(i, agentArgs...)
	}
	digest, err := f.cluster.AddVersion("notices", "v1", 64<<10, 32<<10)
	c.Assert(err, qt.IsNil)
	f.publish("template", "template/notices", settings.Template{Name: "notices", Services: []settings.Service{{
		Name: serviceName, Kind: settings.KindEngine, Model: "notices", Version: "v1", Manifest: digest,
	}}})
	f.publish("parameters", "parameters/dispatch", settings.Parameters{Workspace: "dispatch", Template: "notices"})
	for i := range f.agents {
		f.untilState(agentID(i), rpc.AgentState_SERVING)
	}
	return f
}

func agentID(i int) string {
	return fmt.Sprintf("agent-%d", i)
}

func (f *fixture) startAgent(i int, args ...string) {
	f.Helper()
	agent, err := f.cluster.Agent(agentID(i), "priangan", "priangan-a", serviceName, "engine", args...)
	qt.Assert(f, err, qt.IsNil)
	f.agents = append(f.agents, agent)
}

func (f *fixture) publish(kind, key string, body any) {
	f.Helper()
	record := map[string]any{"id": key, "kind": kind, "key": key, "base": 0, "body": body}
	qt.Assert(f, harness.PostJSON(f.cluster.LogURL+"/v1/streams/settings/records", record, nil), qt.IsNil)
}

func (f *fixture) until(condition func() bool) {
	f.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	qt.Assert(f, harness.Until(ctx, condition), qt.IsNil)
}

// wait returns the exit code of a process.
func (f *fixture) wait(p *harness.Process) int {
	f.Helper()
	f.until(func() bool { return ended(p) })
	return p.Cmd.ProcessState.ExitCode()
}

func ended(p *harness.Process) bool {
	select {
	case <-p.Done():
		return true
	default:
		return false
	}
}

// states returns the member's report at each running entry.
func (f *fixture) states(id string) []*rpc.MemberReport {
	var reports []*rpc.MemberReport
	for _, entry := range f.entries {
		if ended(entry) {
			continue
		}
		var status struct {
			Agents []*rpc.MemberReport `json:"agents"`
		}
		var found *rpc.MemberReport
		if f.get(entry, "/v1/status", &status) == http.StatusOK {
			for _, r := range status.Agents {
				if r.GetId() == id {
					found = r
				}
			}
		}
		reports = append(reports, found)
	}
	return reports
}

// untilState waits until all entries know the agent in the state.
func (f *fixture) untilState(id string, state rpc.AgentState) {
	f.Helper()
	f.until(func() bool {
		for _, r := range f.states(id) {
			if r.GetState() != state {
				return false
			}
		}
		return true
	})
}

func (f *fixture) get(p *harness.Process, path string, into any) int {
	resp, err := f.client.Get("http://" + p.Address + path)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if json.NewDecoder(resp.Body).Decode(into) != nil {
		return 0
	}
	return resp.StatusCode
}

// begun returns how many requests the process has begun.
func (f *fixture) begun(p *harness.Process) int {
	var vars struct {
		Work struct {
			Begun int `json:"begun"`
		} `json:"work_total"`
	}
	f.get(p, "/debug/vars", &vars)
	return vars.Work.Begun
}

// discovered reports whether any other running entry offers the entry.
func (f *fixture) discovered(id string) bool {
	for _, entry := range f.entries {
		if entry.Name == id || ended(entry) {
			continue
		}
		var answer wire.Discovery
		f.get(entry, "/v1/discovery?zone=priangan-a", &answer)
		for _, e := range answer.Entries {
			if e.ID == id {
				return true
			}
		}
	}
	return false
}

// load runs callers that stream through all entries until it is stopped. The
// callers keep the entries' addresses.
type load struct {
	f    *fixture
	stop chan struct{}
	done sync.WaitGroup
	mu   sync.Mutex
	// whole and cut count answers that began; failures are answers that
	// never began.
	whole, cut int
	failures   map[string]int
}

func (f *fixture) startLoad() *load {
	l := &load{f: f, stop: make(chan struct{}), failures: map[string]int{}}
	for i := range callers {
		l.done.Go(func() { l.call(i) })
	}
	f.until(func() bool { return l.wholeCount() >= callers })
	return l
}

func (l *load) call(i int) {
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		entry := l.f.entries[i%len(l.f.entries)]
		i++
		if ended(entry) {
			continue
		}
		l.count(l.f.stream(context.Background(), entry.Address))
	}
}

func (l *load) count(whole bool, failure string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case failure != "":
		l.failures[failure]++
	case whole:
		l.whole++
	default:
		l.cut++
	}
}

func (l *load) wholeCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.whole
}

// more waits until another round of answers came whole.
func (l *load) more() {
	l.f.Helper()
	goal := l.wholeCount() + 2*callers
	l.f.until(func() bool { return l.wholeCount() >= goal })
}

// end stops the callers and fails the test if an answer was cut.
func (l *load) end() {
	l.f.Helper()
	close(l.stop)
	l.done.Wait()
	l.f.Logf("%d whole answers, failures before the answer began: %v", l.whole, l.failures)
	qt.Check(l.f, l.cut, qt.Equals, 0, qt.Commentf("answers cut"))
}

// stream reports whether an answer came whole, or why it did not begin.
func (f *fixture) stream(ctx context.Context, address string) (whole bool, failure string) {
	resp, err := f.post(ctx, f.client, address, streamTokens)
	if err != nil {
		return false, "no connection"
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		var body wire.ErrorBody
		_ = json.NewDecoder(resp.Body).Decode(&body)
		return false, fmt.Sprintf("%d %s %s", resp.StatusCode, body.Error.Kind, body.Error.Run)
	}
	lines := bufio.NewScanner(resp.Body)
	tokens := 0
	for lines.Scan() {
		switch {
		case strings.HasPrefix(lines.Text(), "event: token"):
			tokens++
		case strings.HasPrefix(lines.Text(), "event: end"):
			return tokens == streamTokens, ""
		}
	}
	return false, ""
}

func (f *fixture) post(ctx context.Context, client *http.Client, address string, tokens int) (*http.Response, error) {
	body, _ := json.Marshal(wire.Request{Prompt: "rotation notice", MaxTokens: tokens, Stream: true})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+requestPath, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return client.Do(req)
}

// longStream begins a stream of some 40 s and returns its id.
func (f *fixture) longStream(address string) (id string, body io.ReadCloser) {
	f.Helper()
	resp, err := f.post(context.Background(), f.client, address, 8000)
	qt.Assert(f, err, qt.IsNil)
	qt.Assert(f, resp.StatusCode, qt.Equals, http.StatusOK)
	return resp.Header.Get("Request-Id"), resp.Body
}
