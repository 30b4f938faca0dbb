package decision

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A blocked output must not delay requests, and the number of dropped lines must
// be logged when the output is writable again.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	c := qt.New(t)
	reader, writer := io.Pipe()
	log := New(Config{Part: "entry", Output: writer, RoutineShare: 1})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { log.Run(ctx) })
	start := time.Now()
	for range importantCapacity * 3 {
		log.Event("request_ended", "request", "r")
		log.Routine("request_answered", "r")
	}
	c.Assert(time.Since(start) < 5*time.Second, qt.IsTrue)
	c.Assert(log.droppedSinceSummary.Load() > importantCapacity, qt.IsTrue)
	var text bytes.Buffer
	var read sync.WaitGroup
	read.Go(func() { _, _ = io.Copy(&text, reader) })
	cancel()
	done.Wait()
	_ = writer.Close()
	read.Wait()
	c.Assert(strings.Contains(text.String(), "log_lines_dropped"), qt.IsTrue)
}

// Every line must be one JSON object with the logger name and the time.
func TestLinesParse(t *testing.T) {
	c := qt.New(t)
	var text bytes.Buffer
	log := New(Config{Part: "agent", Output: &text, RoutineShare: 1})
	log.Event("engine_down", "cause", "dial \"x\"\nrefused", "ms", 5)
	log.Routine("request_answered", "id-1", "status", 200)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	log.Run(ctx)
	lines := strings.Split(strings.TrimSpace(text.String()), "\n")
	c.Assert(len(lines) >= 1, qt.IsTrue)
	for _, line := range lines {
		var fields map[string]any
		c.Assert(json.Unmarshal([]byte(line), &fields), qt.IsNil)
		c.Assert(fields["@module"], qt.Equals, "agent")
		c.Assert(fields["at"], qt.Not(qt.Equals), nil)
	}
}

// Either all or none of the routine lines of a request must be kept.
func TestRoutineLinesAreSampledByRequest(t *testing.T) {
	c := qt.New(t)
	log := New(Config{Part: "entry", Output: io.Discard, RoutineShare: 4})
	kept := 0
	for i := range 100 {
		before := len(log.routine)
		id := strings.Repeat("x", i+1)
		log.Routine("a", id)
		log.Routine("b", id)
		added := len(log.routine) - before
		c.Assert(added == 0 || added == 2, qt.IsTrue)
		kept += added / 2
	}
	c.Assert(kept > 5 && kept < 60, qt.IsTrue, qt.Commentf("kept %d", kept))
}
