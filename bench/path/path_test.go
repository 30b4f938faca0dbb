// Package path_test runs the whole path as separate processes.
package path_test

import (
	"context"
	"os"
	"os/exec"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/bench/harness"
	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// TestRequestIsServed guards against a broken seam anywhere between the
// settings log, the entry, the agent and the engine.
func TestRequestIsServed(t *testing.T) {
	c := qt.New(t)
	cluster, err := harness.Start("../../bin", os.Stderr)
	c.Assert(err, qt.IsNil)
	defer cluster.Close()
	entry := startOne(c, cluster)
	var answer wire.Answer
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c.Assert(harness.Until(ctx, func() bool {
		return harness.PostJSON(requestURL(entry), wire.Request{Prompt: "rotation notice", MaxTokens: 4}, &answer) == nil
	}), qt.IsNil)
	c.Assert(answer.End, qt.IsTrue)
	c.Assert(answer.Version, qt.Equals, "v1")
	c.Assert(answer.Text, qt.Equals, "v1-0 v1-1 v1-2 v1-3 ")
}

// TestStatusOfOffset guards against a status that looks converged right after
// a publish, before the entry has read the change.
func TestStatusOfOffset(t *testing.T) {
	c := qt.New(t)
	cluster, err := harness.Start("../../bin", os.Stderr)
	c.Assert(err, qt.IsNil)
	defer cluster.Close()
	entry := startOne(c, cluster)
	c.Assert(ask(entry), qt.IsNil)
	status := func(args ...string) string {
		args = append([]string{"status", "--entry", "http://" + entry.Address}, args...)
		output, err := exec.Command("../../bin/laburnum-entry", args...).CombinedOutput()
		c.Assert(err, qt.IsNil, qt.Commentf("%s", output))
		return string(output)
	}
	c.Assert(status("--wait"), qt.Contains, "converged: true")
	c.Assert(status("--offset", "1000"), qt.Contains, "converged: false")
}

// startOne starts an entry and an engine with its agent, and publishes their
// settings.
func startOne(c *qt.C, cluster *harness.Cluster, args ...string) *harness.Process {
	digest, err := cluster.AddVersion("notices", "v1", 1<<20, 64<<10)
	c.Assert(err, qt.IsNil)
	entry, err := cluster.Entry("entry-1", "priangan", "priangan-a", args...)
	c.Assert(err, qt.IsNil)
	_, err = cluster.Agent("agent-1", "priangan", "priangan-a", "juru-tulis", "engine", args...)
	c.Assert(err, qt.IsNil)
	records := cluster.LogURL + "/v1/streams/settings/records"
	c.Assert(harness.PostJSON(records, record("template/notices", "template", settings.Template{
		Name: "notices", Services: []settings.Service{{
			Name: "juru-tulis", Kind: settings.KindEngine, Model: "notices", Version: "v1", Manifest: digest,
		}},
	}), nil), qt.IsNil)
	c.Assert(harness.PostJSON(records, record("parameters/dispatch", "parameters", settings.Parameters{
		Workspace: "dispatch", Template: "notices",
	}), nil), qt.IsNil)

	return entry
}

func requestURL(entry *harness.Process) string {
	return "http://" + entry.Address + "/v1/workspaces/dispatch/services/juru-tulis/requests"
}

// ask sends requests until one is answered.
func ask(entry *harness.Process) error {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return harness.Until(ctx, func() bool {
		return harness.PostJSON(requestURL(entry), wire.Request{Prompt: "rotation notice", MaxTokens: 4}, nil) == nil
	})
}

func record(key, kind string, body any) map[string]any {
	return map[string]any{"id": key, "kind": kind, "key": key, "base": 0, "body": body}
}
