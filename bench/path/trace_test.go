package path_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/bench/harness"
)

// lockedBuffer collects the output of several processes.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// span is what the test reads of a span on standard output.
type span struct {
	Name        string
	SpanContext struct{ TraceID string }
}

// spans decodes what the exporter wrote; log lines between are skipped.
func (b *lockedBuffer) spans() map[string][]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	traces := map[string][]string{}
	for line := range bytes.Lines(b.buffer.Bytes()) {
		var s span
		if json.Unmarshal(line, &s) == nil && s.SpanContext.TraceID != "" {
			traces[s.SpanContext.TraceID] = append(traces[s.SpanContext.TraceID], s.Name)
		}
	}
	return traces
}

// TestTraceCoversEachHop guards against a hop that is missing from the trace
// of a request, or that starts a trace of its own.
func TestTraceCoversEachHop(t *testing.T) {
	c := qt.New(t)
	output := &lockedBuffer{}
	cluster, err := harness.Start("../../bin", output)
	c.Assert(err, qt.IsNil)
	defer cluster.Close()
	entry := startOne(c, cluster, "--trace-exporter", "stdout")
	c.Assert(ask(entry), qt.IsNil)
	for _, p := range []*harness.Process{entry, cluster.Named("agent-1")} {
		c.Assert(p.Cmd.Process.Signal(os.Interrupt), qt.IsNil)
		select {
		case <-p.Done():
		case <-time.After(30 * time.Second):
			c.Fatalf("%s did not stop", p.Name)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c.Assert(harness.Until(ctx, func() bool {
		for _, names := range output.spans() {
			if hasAll(names, "entry", "entry.agent_request", "agent", "agent.generate", "http.client") {
				return true
			}
		}
		return false
	}), qt.IsNil, qt.Commentf("%v", output.spans()))
}

func hasAll(names []string, wanted ...string) bool {
	have := map[string]bool{}
	for _, n := range names {
		have[n] = true
	}
	for _, w := range wanted {
		if !have[w] {
			return false
		}
	}
	return true
}
