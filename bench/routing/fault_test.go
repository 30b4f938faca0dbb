package routing_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/bench/harness"
	bench "github.com/laburnumloft/laburnumloft/bench/routing"
	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/standin/engine"
)

// testTimeout bounds waits for a condition; no verdict depends on it.
const testTimeout = 60 * time.Second

// answer is what a caller saw of one stream.
type answer struct {
	status int
	id     string
	tokens int
	// version is the one that the start named.
	version string
	// last is the name of the last event.
	last    string
	failure wire.Error
	// problem says how the stream contradicts itself.
	problem string
}

// ask sends a streamed request and checks every event of the answer.
func ask(ctx context.Context, url string, r wire.Request, progress func(answer)) answer {
	r.Stream = true
	body, _ := json.Marshal(r)
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{problem: err.Error()}
	}
	defer resp.Body.Close()
	a := answer{status: resp.StatusCode, id: resp.Header.Get("Request-Id")}
	if resp.StatusCode != http.StatusOK {
		var failure wire.ErrorBody
		_ = json.NewDecoder(resp.Body).Decode(&failure)
		a.failure = failure.Error
		return a
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if name, ok := strings.CutPrefix(lines.Text(), "event: "); ok {
			a.last = name
		}
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			a.event([]byte(data))
			progress(a)
		}
	}
	return a
}

func (a *answer) event(data []byte) {
	var start wire.Start
	var token wire.Token
	var end wire.End
	switch a.last {
	case "start":
		if json.Unmarshal(data, &start) != nil || start.RequestID != a.id {
			a.problem = "start of another request"
		}
		a.version = start.Version
	case "token":
		if json.Unmarshal(data, &token) != nil || token.Index != a.tokens || token.Text != fmt.Sprintf("%s-%d ", a.version, a.tokens) {
			a.problem = fmt.Sprintf("token %d is %s", a.tokens, data)
		}
		a.tokens++
	case "end":
		if json.Unmarshal(data, &end) != nil || end.RequestID != a.id || end.Version != a.version || end.Tokens != a.tokens {
			a.problem = "end does not fit the answer"
		}
	case "error":
		_ = json.Unmarshal(data, &a.failure)
	}
}

// whole reports whether the caller takes the answer for complete.
func (a answer) whole() bool { return a.last == "end" }

// checkAnswer fails the test unless the answer is whole or ends in an
// explicit error.
func checkAnswer(c *qt.C, a answer, want int) {
	c.Check(a.problem, qt.Equals, "")
	if a.last != "" {
		c.Check(a.version, qt.Equals, "v1")
	}
	switch {
	case a.status != http.StatusOK:
		c.Check(a.failure.Kind, qt.Not(qt.Equals), wire.ErrorKind(""))
	case a.whole():
		c.Check(a.tokens, qt.Equals, want)
	default:
		c.Check(a.last, qt.Equals, "error")
		c.Check(a.failure.Run, qt.Equals, wire.RunUnknown)
	}
}

// TestAgentsKilledAndPaused guards against cut answers that callers take
// for whole ones when agents die or freeze while streams run.
func TestAgentsKilledAndPaused(t *testing.T) {
	c := qt.New(t)
	cluster, err := harness.Start("../../bin", os.Stderr)
	c.Assert(err, qt.IsNil)
	defer cluster.Close()
	digest, err := cluster.AddVersion("notices", "v1", 64<<10, 16<<10)
	c.Assert(err, qt.IsNil)
	records := cluster.LogURL + "/v1/streams/settings/records"
	put := func(kind, name string, body any) {
		key := kind + "/" + name
		c.Assert(harness.PostJSON(records, map[string]any{"id": key, "kind": kind, "key": key, "base": 0, "body": body}, nil), qt.IsNil)
	}
	put("template", "notices", settings.Template{Name: "notices", Services: []settings.Service{{
		Name: "juru-tulis", Kind: settings.KindEngine, Model: "notices", Version: "v1", Manifest: digest,
	}}})
	put("parameters", "dispatch", settings.Parameters{Workspace: "dispatch", Template: "notices"})
	entry, err := cluster.Entry("entry-1", "priangan", "priangan-a", "--stall-timeout", "2s")
	c.Assert(err, qt.IsNil)
	var agents []*harness.Process
	for i := range 3 {
		p, err := cluster.Agent(fmt.Sprintf("agent-%d", i), "priangan", "priangan-a", "juru-tulis", "engine")
		c.Assert(err, qt.IsNil)
		agents = append(agents, p)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	url := "http://" + entry.Address + "/v1/workspaces/dispatch/services/juru-tulis/requests"
	c.Assert(harness.Until(ctx, func() bool { return len(status(entry.Address)) == 3 }), qt.IsNil)

	const streams, tokens = 18, 400
	var running sync.WaitGroup
	// A stream that ends before its first token counts as begun as well.
	begun := make(chan struct{}, 2*streams)
	answers := make([]answer, streams)
	for i := range streams {
		running.Go(func() {
			answers[i] = ask(ctx, url, wire.Request{Prompt: fmt.Sprintf("feeder %d", i), MaxTokens: tokens}, func(a answer) {
				if a.tokens == 1 && a.last == "token" {
					begun <- struct{}{}
				}
			})
			if answers[i].tokens == 0 {
				begun <- struct{}{}
			}
		})
	}
	for range streams {
		select {
		case <-begun:
		case <-ctx.Done():
			c.Fatal("streams did not start")
		}
	}
	c.Assert(agents[0].Cmd.Process.Signal(syscall.SIGKILL), qt.IsNil)
	c.Assert(agents[1].Cmd.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	running.Wait()
	whole := 0
	for _, a := range answers {
		checkAnswer(c, a, tokens)
		if a.whole() {
			whole++
		} else {
			t.Logf("status %d after %d tokens: %s %s", a.status, a.tokens, a.failure.Kind, a.failure.Message)
		}
	}
	t.Logf("%d of %d answers were whole", whole, streams)
	c.Check(whole > 0 && whole < streams, qt.IsTrue, qt.Commentf("%d of %d streams were whole", whole, streams))
	// New requests must find the agent that is left.
	c.Assert(harness.Until(ctx, func() bool {
		return ask(ctx, url, wire.Request{Prompt: "after", MaxTokens: 4}, func(answer) {}).whole()
	}), qt.IsNil)
}

// status returns the ids of the agents that the entry sees serving.
func status(address string) []string {
	resp, err := http.Get("http://" + address + "/v1/status")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var body struct {
		Agents []struct {
			ID           string `json:"id"`
			VersionState string `json:"version_state"`
		} `json:"agents"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&body)
	var serving []string
	for _, a := range body.Agents {
		if a.VersionState == "serving" {
			serving = append(serving, a.ID)
		}
	}
	return serving
}

// TestBrokenAnswersAreNeverWhole guards against answers that are crossed,
// cut, stalled, failed or of another version and reach a caller as whole.
func TestBrokenAnswersAreNeverWhole(t *testing.T) {
	c := qt.New(t)
	cluster, err := bench.StartCluster(bench.ClusterConfig{
		Entries: 1, Engines: 1, Workspaces: []string{"w0"}, StallTimeout: time.Second,
		Engine: engine.Config{TokenTime: time.Millisecond, CacheBlocks: 64},
	})
	c.Assert(err, qt.IsNil)
	defer cluster.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	url := cluster.EntryURLs[0] + "/v1/workspaces/w0/services/juru-tulis/requests"
	cases := map[string]engine.GenerateFaults{
		"crossed":       {Cross: true},
		"cut":           {CutAfter: 3},
		"stalled":       {StallAfter: 3},
		"failed":        {FailAfter: 3},
		"wrong version": {Version: "v0"},
	}
	for name, faults := range cases {
		cluster.Engines[0].SetFaults(faults)
		// A silence ends an answer only at its deadline.
		deadline := time.Duration(0)
		if faults.StallAfter > 0 {
			deadline = 5 * time.Second
		}
		answers := together(ctx, url, 6, 200, deadline)
		broken := 0
		for _, a := range answers {
			checkAnswer(c, a, 200)
			if !a.whole() {
				broken++
			}
		}
		c.Check(broken >= 5, qt.IsTrue, qt.Commentf("%s: %d of 6 answers are broken", name, broken))
	}
	cluster.Engines[0].SetFaults(engine.GenerateFaults{})
	// The agent must serve again; a member set aside comes back after 2 s.
	c.Assert(harness.Until(ctx, func() bool { return together(ctx, url, 1, 5, 0)[0].whole() }), qt.IsNil)
}

// together sends requests that run at the same time. Without a deadline they have the
// default one.
func together(ctx context.Context, url string, count, tokens int, deadline time.Duration) []answer {
	answers := make([]answer, count)
	var running sync.WaitGroup
	for i := range count {
		running.Go(func() {
			answers[i] = ask(ctx, url, wire.Request{Prompt: fmt.Sprint(i), MaxTokens: tokens, DeadlineMS: deadline.Milliseconds()}, func(answer) {})
		})
	}
	running.Wait()
	return answers
}

// TestCancelReachesTheEngine guards against an engine that works on for
// callers who have left, and against a cancelled stream that ends as whole.
func TestCancelReachesTheEngine(t *testing.T) {
	c := qt.New(t)
	cluster, err := bench.StartCluster(bench.ClusterConfig{
		Entries: 1, Engines: 1, Workspaces: []string{"w0"}, Engine: engine.Config{TokenTime: 5 * time.Millisecond},
	})
	c.Assert(err, qt.IsNil)
	defer cluster.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	url := cluster.EntryURLs[0] + "/v1/workspaces/w0/services/juru-tulis/requests"
	cancelled := func(n int) func() bool {
		return func() bool {
			return cluster.Engines[0].Stats().Cancelled == n && cluster.Engines[0].Status().Running == 0
		}
	}

	leaving, leave := context.WithCancel(ctx)
	ask(leaving, url, wire.Request{Prompt: "a", MaxTokens: 8000}, func(a answer) { leave() })
	c.Assert(harness.Until(ctx, cancelled(1)), qt.IsNil, qt.Commentf("caller closed its connection"))

	a := ask(ctx, url, wire.Request{Prompt: "b", MaxTokens: 8000}, func(a answer) {
		if a.last == "token" && a.tokens == 1 {
			req, _ := http.NewRequestWithContext(ctx, http.MethodDelete, cluster.EntryURLs[0]+"/v1/requests/"+a.id, nil)
			resp, err := http.DefaultClient.Do(req)
			c.Assert(err, qt.IsNil)
			defer resp.Body.Close()
			c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
		}
	})
	checkAnswer(c, a, 8000)
	c.Check(a.failure.Kind, qt.Equals, wire.ErrorCancelled)
	c.Assert(harness.Until(ctx, cancelled(2)), qt.IsNil, qt.Commentf("DELETE of the request"))
}

// TestSlowCallerPausesTheEngine guards against buffering whole answers for
// callers that don't read.
func TestSlowCallerPausesTheEngine(t *testing.T) {
	c := qt.New(t)
	cluster, err := bench.StartCluster(bench.ClusterConfig{
		Entries: 1, Engines: 1, Workspaces: []string{"w0"}, Engine: engine.Config{TokenTime: 10 * time.Microsecond, TokenBytes: 8 << 10},
	})
	c.Assert(err, qt.IsNil)
	defer cluster.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	body, _ := json.Marshal(wire.Request{Prompt: "a", MaxTokens: 8000, Stream: true})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, cluster.EntryURLs[0]+"/v1/workspaces/w0/services/juru-tulis/requests", bytes.NewReader(body))
	c.Assert(err, qt.IsNil)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	// Nothing is read; 8,000 tokens of 8 KiB don't fit the sockets.
	c.Assert(harness.Until(ctx, func() bool { return cluster.Engines[0].Stats().Paused > 100 }), qt.IsNil)
	c.Check(cluster.Engines[0].Stats().Tokens < 8000, qt.IsTrue)
}

// maxEndDelay is the users' bound on the time from a caller's leaving until its work
// ends.
const maxEndDelay = 500 * time.Millisecond

// TestFurtherBytesDoNotHideThatACallerLeft guards against an engine that works on for
// callers who sent more than their request before they left.
func TestFurtherBytesDoNotHideThatACallerLeft(t *testing.T) {
	c := qt.New(t)
	cluster, err := bench.StartCluster(bench.ClusterConfig{
		Entries: 1, Engines: 1, Workspaces: []string{"w0"}, Engine: engine.Config{TokenTime: 5 * time.Millisecond},
	})
	c.Assert(err, qt.IsNil)
	defer cluster.Close()
	address := strings.TrimPrefix(cluster.EntryURLs[0], "http://")
	body, _ := json.Marshal(wire.Request{Prompt: "a", MaxTokens: 8000})
	request := fmt.Sprintf("POST /v1/workspaces/w0/services/juru-tulis/requests HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for name, further := range map[string]string{"nothing": "", "stray line end": "\r\n", "next request": request} {
		c.Run(name, func(c *qt.C) {
			const callers = 2
			before := cluster.Engines[0].Stats().Cancelled
			var conns []net.Conn
			for range callers {
				conn, err := net.Dial("tcp", address)
				c.Assert(err, qt.IsNil)
				_, err = io.WriteString(conn, request)
				c.Assert(err, qt.IsNil)
				conns = append(conns, conn)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			c.Assert(harness.Until(ctx, func() bool { s := cluster.Engines[0].Status(); return s.Running+s.Queued >= 1 }), qt.IsNil)
			for _, conn := range conns {
				_, err := io.WriteString(conn, further)
				c.Assert(err, qt.IsNil)
			}
			<-time.After(100 * time.Millisecond)
			left := time.Now()
			for _, conn := range conns {
				c.Assert(conn.Close(), qt.IsNil)
			}
			ended := func() bool {
				s := cluster.Engines[0].Status()
				return s.Running+s.Queued == 0 && cluster.Engines[0].Stats().Cancelled > before
			}
			c.Assert(harness.Until(ctx, ended), qt.IsNil)
			c.Check(time.Since(left) <= maxEndDelay, qt.IsTrue, qt.Commentf("the work went on for %v", time.Since(left)))
		})
	}
}
