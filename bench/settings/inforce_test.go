package settings_test

import (
	"bytes"
	"context"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/laburnumloft/laburnumloft/bench/harness"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// The measured fleet and its load.
const (
	fleetEntries     = 20
	fleetAgents      = 40
	changesPerSecond = 10
	fleetChanges     = 300
	fleetWait        = 120 * time.Second
)

var inForceLine = regexp.MustCompile(`settings in force: offset=(\d+)`)

// watcher notes when a process puts which offset in force, from its log.
type watcher struct {
	mu      sync.Mutex
	rest    []byte
	offsets []int64
	times   []time.Time
}

// Write implements io.Writer.
func (w *watcher) Write(p []byte) (int, error) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rest = append(w.rest, p...)
	for {
		end := bytes.IndexByte(w.rest, '\n')
		if end < 0 {
			return len(p), nil
		}
		if match := inForceLine.FindSubmatch(w.rest[:end]); match != nil {
			offset, _ := strconv.ParseInt(string(match[1]), 10, 64)
			w.offsets, w.times = append(w.offsets, offset), append(w.times, now)
		}
		w.rest = w.rest[end+1:]
	}
}

// since returns the time at which the offset or a later one was in force.
func (w *watcher) since(offset int64) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, o := range w.offsets {
		if o >= offset {
			return w.times[i], true
		}
	}
	return time.Time{}, false
}

// fleet starts the entries and agents, each with a watcher of its log.
func fleet(b *testing.B, cluster *harness.Cluster) []*watcher {
	var watchers []*watcher
	watch := func(start func() error) {
		w := &watcher{}
		cluster.Logs = w
		watchers = append(watchers, w)
		if err := start(); err != nil {
			b.Fatal(err)
		}
	}
	zones := []string{"priangan", "pantura", "selatan"}
	for i := range fleetEntries {
		region := zones[i%len(zones)]
		watch(func() error {
			_, err := cluster.Entry(fmt.Sprintf("entry-%d", i), region, region+"-a")
			return err
		})
	}
	for i := range fleetAgents {
		region := zones[i%len(zones)]
		watch(func() error {
			_, err := cluster.Agent(fmt.Sprintf("agent-%d", i), region, region+"-a", "saklar-0", "plain")
			return err
		})
	}
	return watchers
}

// BenchmarkSettingsPublishToInForce measures the time from the start of an
// append until a process has the change in force, over 20 entries and 40
// agents as processes at 10 changes a second.
func BenchmarkSettingsPublishToInForce(b *testing.B) {
	for b.Loop() {
		cluster, err := harness.Start(bin, &bytes.Buffer{})
		if err != nil {
			b.Fatal(err)
		}
		measureFleet(b, cluster)
		cluster.Close()
	}
}

func measureFleet(b *testing.B, cluster *harness.Cluster) {
	watchers := fleet(b, cluster)
	changes := newChangeLog()
	// One round of all documents, so that the state has its usual size.
	for range workspaces + 1 {
		publishChange(b, cluster, changes)
	}
	waitForAll(b, watchers, changes.next-1)
	published := map[int64]time.Time{}
	ticker := time.NewTicker(time.Second / changesPerSecond)
	defer ticker.Stop()
	for range fleetChanges {
		<-ticker.C
		start := time.Now()
		published[publishChange(b, cluster, changes)] = start
	}
	waitForAll(b, watchers, changes.next-1)
	var latencies []time.Duration
	for offset, start := range published {
		for _, w := range watchers {
			at, _ := w.since(offset)
			latencies = append(latencies, at.Sub(start))
		}
	}
	slices.Sort(latencies)
	b.ReportMetric(float64(len(watchers)), "processes")
	b.ReportMetric(float64(len(published)), "changes")
	for _, p := range []int{50, 99, 100} {
		index := min(len(latencies)*p/100, len(latencies)-1)
		b.ReportMetric(float64(latencies[index].Microseconds())/1000, fmt.Sprintf("p%d-ms", p))
	}
}

func publishChange(b *testing.B, cluster *harness.Cluster, changes *changeLog) int64 {
	var answer wire.LogAppend
	if err := harness.PostJSON(cluster.LogURL+"/v1/streams/settings/records", changes.record(), &answer); err != nil {
		b.Fatal(err)
	}
	if answer.Offset != changes.next-1 {
		b.Fatalf("record is at offset %d instead of %d", answer.Offset, changes.next-1)
	}
	return answer.Offset
}

func waitForAll(b *testing.B, watchers []*watcher, offset int64) {
	ctx, cancel := context.WithTimeout(context.Background(), fleetWait)
	defer cancel()
	for i, w := range watchers {
		err := harness.Until(ctx, func() bool { _, ok := w.since(offset); return ok })
		if err != nil {
			b.Fatalf("process %d never had offset %d in force", i, offset)
		}
	}
}
