package operations_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/standin/faults"
	"github.com/laburnumloft/laburnumloft/standin/plainservice"
)

// Sizes of the benchmark.
const (
	benchOperations = 2000
	benchWorkers    = 8
	faultOperations = 60
)

// measure runs operations from several workers and returns the latencies in
// order and the operations per second.
func measure(b *testing.B, operation func(worker int) bool) (latencies []time.Duration, rate float64) {
	b.Helper()
	var mu sync.Mutex
	var failed atomic.Int64
	var workers sync.WaitGroup
	start := time.Now()
	for worker := range benchWorkers {
		workers.Go(func() {
			for range benchOperations / benchWorkers {
				begin := time.Now()
				if !operation(worker) {
					failed.Add(1)
				}
				mu.Lock()
				latencies = append(latencies, time.Since(begin))
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	if failed.Load() > 0 {
		b.Errorf("%d of %d operations did not complete", failed.Load(), benchOperations)
	}
	slices.Sort(latencies)
	return latencies, benchOperations / time.Since(start).Seconds()
}

func percentile(sorted []time.Duration, share float64) time.Duration {
	return sorted[int(share*float64(len(sorted)-1))]
}

// appends returns the number of claims in the log.
func (f *fixture) appends() int64 {
	f.Helper()
	resp, err := http.Get(f.cluster.LogURL + "/v1/streams/claims/records?from=1000000000&limit=1")
	qt.Assert(f, err, qt.IsNil)
	defer resp.Body.Close()
	var page wire.LogPage
	qt.Assert(f, json.NewDecoder(resp.Body).Decode(&page), qt.IsNil)
	return page.Next - 1
}

// direct calls the backend server without the system in between.
func (f *fixture) direct(body string) bool {
	resp, err := f.client.Post("http://"+f.agent.Backend+"/v1/call/open", "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// BenchmarkOperationsCalls reports operations per second, the latency that
// ticket and keyed calls add to a direct call at p50 and p99, and the appends
// per operation.
func BenchmarkOperationsCalls(b *testing.B) {
	f := newFixture(b)
	// The first connections are opened before anything is measured.
	measure(b, func(int) bool { return f.direct(newBody()) })
	for range b.N {
		base, rate := measure(b, func(int) bool { return f.direct(newBody()) })
		b.ReportMetric(rate, "direct-ops/s")
		report := func(name string, operation func(worker int) bool) {
			before := f.appends()
			latencies, rate := measure(b, operation)
			b.ReportMetric(rate, name+"-ops/s")
			for label, share := range map[string]float64{"p50": 0.5, "p99": 0.99} {
				added := percentile(latencies, share) - percentile(base, share)
				b.ReportMetric(float64(added.Microseconds()), name+"-added-"+label+"-µs")
			}
			b.ReportMetric(float64(f.appends()-before)/benchOperations, name+"-appends/op")
		}
		report("ticket", func(w int) bool {
			return f.run(w%2, f.reserve(w%2), newBody()).told() == "completed"
		})
		report("keyed", func(w int) bool {
			return f.call(w%2, "open", newKey(), newBody()).told() == "completed"
		})
		report("idempotent", func(w int) bool {
			return f.call(w%2, "state", "", newBody()).told() == "completed"
		})
	}
}

// BenchmarkOperationsUnknown reports the share of operations with outcome
// unknown under each kind of fault, which strikes every tenth operation.
func BenchmarkOperationsUnknown(b *testing.B) {
	for _, kind := range []string{"none", "kill-agent", "kill-entry", "pause-agent", "lost-answer", "lost-append", "log-outage"} {
		b.Run(kind, func(b *testing.B) {
			for range b.N {
				share := unknownShare(newFixture(b), kind)
				b.ReportMetric(share, "unknown-share")
			}
		})
	}
}

func unknownShare(f *fixture, kind string) float64 {
	unknown := 0
	for i := range faultOperations {
		body, key := newBody(), newKey()
		ask := func(entry int) reply { return f.call(entry, "open", key, body) }
		var r reply
		if i%10 == 5 && kind != "none" {
			r = f.struck(kind, ask)
		} else {
			r = ask(0)
		}
		// The caller repeats the call at the other entry, as docs/operation.md
		// tells it to.
		if told := r.told(); told != "completed" && told != "not_run" {
			r = ask(1)
		}
		f.check(body, r)
		if r.told() == "unknown" {
			unknown++
		}
	}
	return float64(unknown) / faultOperations
}

// struck asks for an operation and injects the fault while it is sent.
func (f *fixture) struck(kind string, ask func(int) reply) reply {
	switch kind {
	case "lost-answer":
		f.switches(plainservice.Switches{LoseAnswer: true})
		defer f.switches(plainservice.Switches{})
		return ask(0)
	case "lost-append":
		f.logFaults(faults.Switches{Method: http.MethodPost, PathPrefix: "/v1/streams/claims", LoseAnswers: 1})
		return ask(0)
	case "log-outage":
		f.logFaults(faults.Switches{Down: true})
		defer f.logFaults(faults.Switches{})
		return ask(0)
	}
	o := operationCase{target: "entry", kill: kind != "pause-agent"}
	if kind != "kill-entry" {
		o.target = "agent"
	}
	before := f.counts()
	f.switches(plainservice.Switches{HoldBefore: true})
	done := begin(func() reply { return ask(0) })
	f.arrived(before, 1)
	f.strike(o)
	f.switches(plainservice.Switches{})
	f.recover(o)
	r := <-done
	f.ready()
	return r
}

// BenchmarkOperationsMemory reports the heap of the processes after 2,000
// keyed calls.
func BenchmarkOperationsMemory(b *testing.B) {
	f := newFixture(b)
	for range b.N {
		measure(b, func(w int) bool { return f.call(w%2, "open", newKey(), newBody()).told() == "completed" })
		for _, p := range append(slices.Clone(f.entries), f.agent) {
			b.ReportMetric(heapBytes(b, p.Address), fmt.Sprintf("%s-heap-bytes", p.Name))
		}
	}
}

func heapBytes(b *testing.B, address string) float64 {
	b.Helper()
	resp, err := http.Get("http://" + address + "/debug/vars")
	qt.Assert(b, err, qt.IsNil)
	defer resp.Body.Close()
	var vars struct {
		Memstats struct{ HeapInuse float64 } `json:"memstats"`
	}
	qt.Assert(b, json.NewDecoder(resp.Body).Decode(&vars), qt.IsNil)
	return vars.Memstats.HeapInuse
}
