// Package operations_test runs operations through separate processes, breaks
// the processes at each step and compares what the caller was told with what
// the backend server executed.
package operations_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/laburnumloft/laburnumloft/bench/harness"
	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/standin/faults"
	"github.com/laburnumloft/laburnumloft/standin/plainservice"
)

const (
	waitLimit = 20 * time.Second
	// callTimeoutMS is the time that the backend server has for a call.
	callTimeoutMS = 10_000
)

// fixture is a cluster with two entries and one plain service.
type fixture struct {
	testing.TB
	cluster *harness.Cluster
	entries []*harness.Process
	// urls are those of the entries; a restarted entry keeps its address.
	urls  []string
	agent *harness.Process
	// proxy stands between the first entry and the log.
	proxy         *logProxy
	workspacePath string
	client        *http.Client
}

// reply is what a caller saw. An empty outcome means that no answer came.
type reply struct {
	wire.TicketAnswer
	wire.ErrorBody
	code int
}

// told is the outcome that the caller has to assume.
func (r reply) told() string {
	switch {
	case r.code == 0:
		return "unknown"
	case r.code == http.StatusOK:
		return r.Outcome
	default:
		return string(r.Error.Run)
	}
}

func newFixture(tb testing.TB) *fixture {
	c := qt.New(tb)
	cluster, err := harness.Start("../../bin", io.Discard)
	c.Assert(err, qt.IsNil)
	f := &fixture{
		TB: tb, cluster: cluster, workspacePath: "/v1/workspaces/field/services/saklar",
		client: &http.Client{Timeout: waitLimit, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	f.proxy = newLogProxy(tb, cluster.LogURL)
	// The processes end before the proxy, which otherwise waits for the end of a
	// long poll that an entry begins as the proxy closes.
	tb.Cleanup(cluster.Close)
	for id, logURL := range []string{f.proxy.url, cluster.LogURL} {
		entry, err := cluster.Entry(fmt.Sprintf("entry-%d", id), "priangan", "priangan-a", "--log-url", logURL)
		c.Assert(err, qt.IsNil)
		f.entries = append(f.entries, entry)
		f.urls = append(f.urls, "http://"+entry.Address)
	}
	f.agent, err = cluster.Agent("agent-1", "priangan", "priangan-a", "saklar", "plain")
	c.Assert(err, qt.IsNil)
	f.publish("template", "template/grid", settings.Template{Name: "grid", Services: []settings.Service{{
		Name: "saklar", Kind: settings.KindPlain, Methods: []settings.Method{
			{Name: "open", TimeoutMS: callTimeoutMS}, {Name: "state", Idempotent: true, TimeoutMS: callTimeoutMS},
		},
	}}})
	f.publish("parameters", "parameters/field", settings.Parameters{Workspace: "field", Template: "grid"})
	f.ready()
	return f
}

func (f *fixture) publish(kind, key string, body any) {
	f.Helper()
	record := map[string]any{"id": key, "kind": kind, "key": key, "base": 0, "body": body}
	qt.Assert(f, harness.PostJSON(f.cluster.LogURL+"/v1/streams/settings/records", record, nil), qt.IsNil)
}

// ready waits until an idempotent call succeeds through each entry.
func (f *fixture) ready() {
	f.Helper()
	for i := range f.entries {
		f.until(func() bool { return f.call(i, "state", "", `{}`).Outcome == "completed" })
	}
}

func (f *fixture) until(condition func() bool) {
	f.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	qt.Assert(f, harness.Until(ctx, condition), qt.IsNil)
}

func (f *fixture) send(method, url, body string, headers ...string) reply {
	req, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return reply{}
	}
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}
	}
	r := reply{code: resp.StatusCode}
	if resp.StatusCode == http.StatusOK {
		err = json.Unmarshal(data, &r.TicketAnswer)
	} else {
		err = json.Unmarshal(data, &r.ErrorBody)
	}
	if err != nil {
		return reply{}
	}
	return r
}

func (f *fixture) entryURL(i int) string { return f.urls[i] }

func (f *fixture) reserve(i int) string {
	return f.send(http.MethodPost, f.entryURL(i)+f.workspacePath+"/tickets", "{}").Ticket
}

func (f *fixture) run(i int, ticket, body string) reply {
	return f.send(http.MethodPost, f.entryURL(i)+"/v1/tickets/"+ticket+"/run", fmt.Sprintf(`{"method":"open","body":%s}`, body))
}

func (f *fixture) cancel(i int, ticket string) reply {
	return f.send(http.MethodPost, f.entryURL(i)+"/v1/tickets/"+ticket+"/cancel", "{}")
}

func (f *fixture) get(i int, ticket string) reply {
	return f.send(http.MethodGet, f.entryURL(i)+"/v1/tickets/"+ticket, "")
}

func (f *fixture) call(i int, method, key, body string, headers ...string) reply {
	if key != "" {
		headers = append(headers, wire.KeyHeader, key)
	}
	return f.send(http.MethodPost, f.entryURL(i)+f.workspacePath+"/calls/"+method, body, headers...)
}

func pageText(resp *http.Response) string {
	var page wire.LogPage
	if err := json.NewDecoder(resp.Body).Decode(&page); err != nil {
		return ""
	}
	var text bytes.Buffer
	for _, rec := range page.Records {
		text.Write(rec.Data)
	}
	return text.String()
}

// begin runs a call in the background.
func begin(call func() reply) <-chan reply {
	done := make(chan reply, 1)
	go func() { done <- call() }()
	return done
}

func (f *fixture) switches(s plainservice.Switches) {
	f.Helper()
	qt.Assert(f, harness.PostJSON("http://"+f.agent.Backend+"/v1/switches", s, nil), qt.IsNil)
}

func (f *fixture) logFaults(s faults.Switches) {
	f.Helper()
	qt.Assert(f, harness.PostJSON(f.cluster.LogURL+"/faults", s, nil), qt.IsNil)
}

func (f *fixture) getJSON(path string, into any) {
	f.Helper()
	resp, err := http.Get("http://" + f.agent.Backend + path)
	qt.Assert(f, err, qt.IsNil)
	defer resp.Body.Close()
	qt.Assert(f, json.NewDecoder(resp.Body).Decode(into), qt.IsNil)
}

// executions counts the effects of the body.
func (f *fixture) executions(body string) int {
	f.Helper()
	var all []plainservice.Execution
	f.getJSON("/v1/executions", &all)
	count := 0
	for _, e := range all {
		if e.Method == "open" && e.Body == body {
			count++
		}
	}
	return count
}

func (f *fixture) counts() plainservice.Counts {
	f.Helper()
	var counts plainservice.Counts
	f.getJSON("/v1/counts", &counts)
	return counts
}

// arrived waits until n more calls than before have reached the service.
func (f *fixture) arrived(before plainservice.Counts, n int) {
	f.Helper()
	f.until(func() bool { return f.counts().Arrived >= before.Arrived+n })
}

// check compares what callers were told of one operation with its effects.
func (f *fixture) check(body string, replies ...reply) {
	f.Helper()
	executed := f.executions(body)
	if executed > 1 {
		f.Errorf("operation %s was executed %d times", body, executed)
	}
	for _, r := range replies {
		if r.told() == "not_run" && executed > 0 {
			f.Errorf("operation %s was reported as not run and was executed", body)
		}
		if r.told() == "completed" && executed == 0 {
			f.Errorf("operation %s was reported as completed and was not executed", body)
		}
	}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func newBody() string { return fmt.Sprintf(`{"feeder":%q}`, uuid.NewString()) }
