package gateway

import (
	"expvar"
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMax is the largest latency that a histogram distinguishes.
	histogramMax = 60 * time.Second
	// histogramDigits is the number of significant decimal digits of a latency.
	histogramDigits = 2
	// maxHistograms limits the number of services that have a histogram.
	maxHistograms = 64
)

var latencies = &histograms{byService: map[string]*hdrhistogram.Histogram{}}

func init() {
	expvar.Publish("gateway_latency_ms", expvar.Func(latencies.snapshot))
}

// histograms holds the latencies of complete answers by service.
type histograms struct {
	mu        sync.Mutex
	byService map[string]*hdrhistogram.Histogram
}

func recordLatency(req *request, latency time.Duration) {
	latencies.mu.Lock()
	defer latencies.mu.Unlock()
	h := latencies.byService[req.service]
	if h == nil {
		if len(latencies.byService) >= maxHistograms {
			return
		}
		h = hdrhistogram.New(1, histogramMax.Milliseconds(), histogramDigits)
		latencies.byService[req.service] = h
	}
	// The library rejects values above the maximum.
	_ = h.RecordValue(min(max(latency.Milliseconds(), 1), histogramMax.Milliseconds()))
}

func (h *histograms) snapshot() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]map[string]int64{}
	for service, hist := range h.byService {
		out[service] = map[string]int64{
			"count": hist.TotalCount(), "p50": hist.ValueAtQuantile(50), "p95": hist.ValueAtQuantile(95),
			"p99": hist.ValueAtQuantile(99), "max": hist.Max(),
		}
	}
	return out
}

// estimateBuckets are the upper bounds of the differences between the estimated and the
// reported load of an engine, in requests, with their names.
var estimateBuckets = []struct {
	name string
	upTo float64
}{{"below_-8", -8}, {"-8_to_-4", -4}, {"-4_to_-1", -1}, {"-1_to_1", 1}, {"1_to_4", 4}, {"4_to_8", 8}, {"above_8", math.Inf(1)}}

var estimateErrors = expvar.NewMap("placement_estimate_error_requests")

// recordEstimate counts how far an engine's estimated load was above the one it reported.
func recordEstimate(estimated, reported float64) {
	for _, bucket := range estimateBuckets {
		if estimated-reported <= bucket.upTo {
			estimateErrors.Add(bucket.name, 1)
			return
		}
	}
}
