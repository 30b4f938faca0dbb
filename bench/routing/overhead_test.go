package routing_test

import (
	"context"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	bench "github.com/laburnumloft/laburnumloft/bench/routing"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/standin/engine"
)

// startFast starts one entry and one agent before an engine whose own time
// is small against that of the path.
func startFast(b *testing.B) *bench.Cluster {
	cluster, err := bench.StartCluster(bench.ClusterConfig{
		Entries: 1, Engines: 1, Workspaces: []string{"w0"},
		Engine: engine.Config{TokenTime: 20 * time.Microsecond, CacheBlocks: 1024},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(cluster.Close)
	return cluster
}

// BenchmarkRoutingAddedLatency measures what entry and agent add to the
// time to the first token of a direct call, one request at a time. Direct
// and routed calls alternate, so that both meet the same machine.
func BenchmarkRoutingAddedLatency(b *testing.B) {
	cluster := startFast(b)
	direct := &bench.DirectCaller{Client: bench.NewClient(), URLs: cluster.EngineURLs, Choose: bench.RandomChoice(1)}
	routed := &bench.EntryCaller{Client: bench.NewClient(), URLs: cluster.EntryURLs}
	request := wire.Request{Prompt: "feeder", MaxTokens: 4}
	for b.Loop() {
		var times [2][]time.Duration
		for range 3000 {
			for i, caller := range []bench.Caller{direct, routed} {
				begun := time.Now()
				var first time.Duration
				caller.Call(context.Background(), "w0", request, func() {
					if first == 0 {
						first = time.Since(begun)
					}
				})
				times[i] = append(times[i], first)
			}
		}
		b.ReportMetric(ms(bench.Percentile(times[0], 0.5)), "direct_p50_ms")
		b.ReportMetric(ms(bench.Percentile(times[0], 0.99)), "direct_p99_ms")
		b.ReportMetric(ms(bench.Percentile(times[1], 0.5)), "routed_p50_ms")
		b.ReportMetric(ms(bench.Percentile(times[1], 0.99)), "routed_p99_ms")
		b.ReportMetric(0, "ns/op")
	}
}

// BenchmarkRoutingThroughput measures requests and tokens per second of CPU
// time through one entry and one agent. The caller and the engine run in
// the same process, and the cost of direct calls, measured first, is taken
// off.
func BenchmarkRoutingThroughput(b *testing.B) {
	cluster := startFast(b)
	direct := &bench.DirectCaller{Client: bench.NewClient(), URLs: cluster.EngineURLs, Choose: bench.RandomChoice(1)}
	routed := &bench.EntryCaller{Client: bench.NewClient(), URLs: cluster.EntryURLs}
	for b.Loop() {
		// Two lengths separate the cost of a request from that of a token.
		short, long := added(direct, routed, 1), added(direct, routed, 101)
		perToken := (long.cpu - short.cpu) / 100
		b.ReportMetric(1/short.cpu.Seconds(), "requests/cpu_s")
		b.ReportMetric(1/perToken.Seconds(), "tokens/cpu_s")
		b.ReportMetric(short.allocs, "allocs/request")
		b.ReportMetric((long.allocs-short.allocs)/100, "allocs/token")
		b.ReportMetric(float64(short.cpu.Microseconds()), "cpu_us/request")
		b.ReportMetric(float64(perToken.Nanoseconds())/1000, "cpu_us/token")
		b.ReportMetric(0, "ns/op")
	}
}

// cost is the mean cost of one request.
type cost struct {
	cpu    time.Duration
	allocs float64
}

// added returns what a routed request costs more than a direct one.
func added(direct, routed bench.Caller, tokens int) cost {
	d, r := measure(direct, tokens), measure(routed, tokens)
	return cost{cpu: r.cpu - d.cpu, allocs: r.allocs - d.allocs}
}

func measure(caller bench.Caller, tokens int) cost {
	const workers, each = 4, 500
	request := wire.Request{Prompt: "feeder", MaxTokens: tokens}
	run := func(n int) {
		var running sync.WaitGroup
		for range workers {
			running.Go(func() {
				for range n {
					caller.Call(context.Background(), "w0", request, func() {})
				}
			})
		}
		running.Wait()
	}
	run(20)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := cpuTime()
	run(each)
	cpu = cpuTime() - cpu
	runtime.ReadMemStats(&after)
	return cost{cpu: cpu / (workers * each), allocs: float64(after.Mallocs-before.Mallocs) / (workers * each)}
}

// cpuTime returns the CPU time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
