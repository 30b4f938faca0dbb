package settings_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/bench/harness"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/standin/faults"
	"github.com/laburnumloft/laburnumloft/standin/logservice"
)

const bin = "../../bin"

// waitLimit ends a wait that would never succeed. No test compares times.
const waitLimit = 60 * time.Second

// logFaults match the log's streams, but not its control.
const logFaults = "/v1/streams/"

// system is a cluster under test.
type system struct {
	*harness.Cluster
	c *qt.C
}

func start(t *testing.T) *system {
	c := qt.New(t)
	cluster, err := harness.Start(bin, os.Stderr)
	c.Assert(err, qt.IsNil)
	t.Cleanup(cluster.Close)
	return &system{Cluster: cluster, c: c}
}

func (s *system) entry(id string, args ...string) *harness.Process {
	p, err := s.Entry(id, "norte", "norte-a", append([]string{"--log-level", "warn"}, args...)...)
	s.c.Assert(err, qt.IsNil)
	return p
}

func (s *system) faults(f faults.Switches) {
	f.PathPrefix = logFaults
	s.c.Assert(harness.PostJSON(s.LogURL+"/faults", f, nil), qt.IsNil)
}

func (s *system) control(control logservice.Control) {
	s.c.Assert(harness.PostJSON(s.LogURL+"/v1/control", control, nil), qt.IsNil)
}

func (s *system) expire(before int64) {
	s.c.Assert(harness.PostJSON(s.LogURL+"/v1/expire", map[string]any{"stream": "settings", "before": before}, nil), qt.IsNil)
}

// restore brings the log back from a copy whose settings end before an offset.
func (s *system) restore(end int64) {
	s.c.Assert(harness.PostJSON(s.LogURL+"/v1/restore", map[string]any{"ends": map[string]int64{"settings": end}}, nil), qt.IsNil)
}

// until waits for a condition.
func (s *system) until(condition func() bool, what string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	s.c.Assert(harness.Until(ctx, condition), qt.IsNil, qt.Commentf("waiting for %s", what))
}

// inForce returns the settings in force at an entry.
func (s *system) inForce(p *harness.Process) wire.Settings {
	var answer wire.Settings
	s.getJSON("http://"+p.Address+"/v1/settings", &answer)
	return answer
}

func (s *system) getJSON(url string, into any) {
	resp, err := http.Get(url)
	s.c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	s.c.Assert(json.NewDecoder(resp.Body).Decode(into), qt.IsNil)
}

// reaches waits until an entry has an offset in force.
func (s *system) reaches(p *harness.Process, offset int64) wire.Settings {
	var answer wire.Settings
	s.until(func() bool { answer = s.inForce(p); return answer.Offset >= offset }, "settings at "+p.Name)
	return answer
}

// logEnds returns the oldest offset of the log and the one after the last.
func (s *system) logEnds() (oldest, next int64) {
	var page wire.LogPage
	s.getJSON(s.LogURL+"/v1/streams/settings/records?from=1&limit=1000", &page)
	return page.Oldest, page.Next
}

// verdict is one line of the commands' JSON.
type verdict struct {
	Key, Verdict, Winner string
	RecordID             string `json:"record_id"`
	Accepted             bool
	Offset               int64
}

// command runs laburnum-entry and returns its output and exit code.
func (s *system) command(args ...string) (stdout string, code int) {
	cmd := exec.Command(filepath.Join(bin, "laburnum-entry"), args...)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return out.String() + errOut.String(), exit.ExitCode()
	}
	s.c.Check(err, qt.IsNil)
	return out.String(), 0
}

// publish runs laburnum-entry publish.
func (s *system) publish(file string, args ...string) (verdicts []verdict, code int) {
	out, code := s.command(append([]string{"publish", "--json", "--log-url", s.LogURL, file}, args...)...)
	if err := json.Unmarshal([]byte(out), &verdicts); err != nil {
		s.c.Logf("publish: %s", out)
	}
	return verdicts, code
}

// write writes a document and returns the path of its file.
func (s *system) write(text string) string {
	f, err := os.CreateTemp(s.c.TempDir(), "*.yaml")
	s.c.Assert(err, qt.IsNil)
	defer f.Close()
	_, err = f.WriteString(text)
	s.c.Assert(err, qt.IsNil)
	return f.Name()
}

const plainTemplate = "kind: template\nname: lessons\nservices:\n- {name: lesson-desk, kind: plain}\n"

func parameters(workspace string) string {
	return "kind: parameters\nworkspace: " + workspace + "\ntemplate: lessons\n"
}

// publishBasics publishes a template and two sets of parameters, which take
// the offsets 1 to 3.
func (s *system) publishBasics() {
	verdicts, code := s.publish(s.write(plainTemplate + "---\n" + parameters("ana") + "---\n" + parameters("budi")))
	s.c.Assert(code, qt.Equals, 0)
	s.c.Assert(verdicts, qt.HasLen, 3)
}
