package routing_test

import (
	"fmt"
	"testing"
	"time"

	bench "github.com/laburnumloft/laburnumloft/bench/routing"
	"github.com/laburnumloft/laburnumloft/standin/engine"
)

// Size of the measured system: four engines that saturate at 16 requests
// and give 1,600 tokens/s each.
const (
	engines        = 4
	engineCapacity = 1600.0
	meanTokens     = 32
	// requestRate is the number of requests per second at capacity.
	requestRate = engines * engineCapacity / meanTokens
)

var workspaces = []string{"w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9"}

func startCluster(b *testing.B) *bench.Cluster {
	cluster, err := bench.StartCluster(bench.ClusterConfig{
		Entries: 2, Engines: engines, Workspaces: workspaces,
		Engine: engine.Config{TokenTime: 10 * time.Millisecond, Capacity: engineCapacity, CacheBlocks: 2048, LoadLag: 200 * time.Millisecond},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(cluster.Close)
	return cluster
}

func load(sources []bench.Source, duration time.Duration) bench.Load {
	return bench.Load{
		Sources: sources, Duration: duration, Warmup: 3 * time.Second, Deadline: 2 * time.Second,
		MinTokens: meanTokens / 2, MaxTokens: meanTokens * 3 / 2, Prefixes: 8, PrefixBytes: 1024, Seed: 1, MaxOpen: 4000,
	}
}

// burst gives the first workspace what exceeds the others' equal shares of
// 0.8 times the capacity.
func burst(factor float64) []bench.Source {
	var sources []bench.Source
	share := 0.8 * requestRate / float64(len(workspaces))
	for _, w := range workspaces {
		sources = append(sources, bench.Source{Workspace: w, Rate: share})
	}
	sources[0].Rate += (factor - 0.8) * requestRate
	return sources
}

func cacheShare(c *bench.Cluster, before []engine.GenerateStats) (share float64, after []engine.GenerateStats) {
	hits, all := 0, 0
	for i, e := range c.Engines {
		s := e.Stats()
		after = append(after, s)
		if before != nil {
			s.CacheHits -= before[i].CacheHits
			s.CacheMisses -= before[i].CacheMisses
		}
		hits += s.CacheHits
		all += s.CacheHits + s.CacheMisses
	}
	return float64(hits) / float64(max(1, all)), after
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// BenchmarkRoutingLoad measures latency, goodput and refusals at several
// multiples of the capacity, with the excess in one workspace.
func BenchmarkRoutingLoad(b *testing.B) {
	cluster := startCluster(b)
	callers := []struct {
		name   string
		caller bench.Caller
	}{
		{"laburnumloft", &bench.EntryCaller{Client: bench.NewClient(), URLs: cluster.EntryURLs}},
		{"random", &bench.DirectCaller{Client: bench.NewClient(), URLs: cluster.EngineURLs, Choose: bench.RandomChoice(engines)}},
		{"least_connections", &bench.DirectCaller{Client: bench.NewClient(), URLs: cluster.EngineURLs, Choose: bench.LeastConnections(engines)}},
		{"no_limits", &bench.DirectCaller{Client: bench.NewClient(), URLs: cluster.EngineURLs, Choose: bench.PoolWithoutLimits(engines)}},
	}
	for _, c := range callers {
		for _, factor := range []float64{0.8, 1.0, 1.5, 3} {
			b.Run(fmt.Sprintf("%s/load=%.1f", c.name, factor), func(b *testing.B) {
				for b.Loop() {
					const duration = 8 * time.Second
					_, before := cacheShare(cluster, nil)
					results := load(burst(factor), duration).Run(c.caller)
					hits, _ := cacheShare(cluster, before)
					total := bench.Total(results)
					quiet := bench.Result{}
					for _, w := range workspaces[1:] {
						quiet.First = append(quiet.First, results[w].First...)
					}
					b.ReportMetric(ms(bench.Percentile(total.First, 0.5)), "first_p50_ms")
					b.ReportMetric(ms(bench.Percentile(total.First, 0.99)), "first_p99_ms")
					b.ReportMetric(ms(bench.Percentile(quiet.First, 0.99)), "quiet_first_p99_ms")
					b.ReportMetric(ms(bench.Percentile(total.Gaps, 0.5)), "gap_p50_ms")
					b.ReportMetric(ms(bench.Percentile(total.Gaps, 0.99)), "gap_p99_ms")
					b.ReportMetric(float64(total.GoodTokens)/duration.Seconds(), "good_tokens/s")
					b.ReportMetric(float64(total.Refused)/float64(total.Sent), "refused_share")
					b.ReportMetric(float64(total.Broken)/float64(total.Sent), "broken_share")
					b.ReportMetric(hits, "cache_hit_share")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

// BenchmarkRoutingVictim measures how far one workspace at ten times its
// share moves the p99 of the others. The two cases alternate, so that a
// change of the machine's load meets both.
func BenchmarkRoutingVictim(b *testing.B) {
	cluster := startCluster(b)
	caller := &bench.EntryCaller{Client: bench.NewClient(), URLs: cluster.EntryURLs}
	share := 0.8 * requestRate / float64(len(workspaces))
	for b.Loop() {
		quiet := map[bool]*bench.Result{false: {}, true: {}}
		for range 3 {
			for _, bursting := range []bool{false, true} {
				sources := burst(0.8)
				if bursting {
					sources[0].Rate = 10 * share
				}
				results := load(sources, 8*time.Second).Run(caller)
				for _, w := range workspaces[1:] {
					quiet[bursting].First = append(quiet[bursting].First, results[w].First...)
					quiet[bursting].Gaps = append(quiet[bursting].Gaps, results[w].Gaps...)
					quiet[bursting].Sent += results[w].Sent
					quiet[bursting].Refused += results[w].Refused
				}
			}
		}
		calm, loud := quiet[false], quiet[true]
		b.ReportMetric(ms(bench.Percentile(calm.First, 0.99)), "calm_first_p99_ms")
		b.ReportMetric(ms(bench.Percentile(loud.First, 0.99)), "burst_first_p99_ms")
		b.ReportMetric(ms(bench.Percentile(calm.Gaps, 0.99)), "calm_gap_p99_ms")
		b.ReportMetric(ms(bench.Percentile(loud.Gaps, 0.99)), "burst_gap_p99_ms")
		b.ReportMetric(float64(calm.Refused), "calm_refused")
		b.ReportMetric(float64(loud.Refused), "burst_refused")
		b.ReportMetric(float64(loud.Sent), "samples")
		b.ReportMetric(0, "ns/op")
	}
}
