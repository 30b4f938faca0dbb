package gateway

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMax is the largest latency that a histogram tells apart.
	histogramMax = 60 * time.Second
	// histogramDigits are the significant decimal digits of a latency.
	histogramDigits = 2
	// maxHistograms bounds the services with a histogram of their own.
	maxHistograms = 64
)

var latencies = &histograms{byService: map[string]*hdrhistogram.Histogram{}}

func init() {
	expvar.Publish("gateway_latency_ms", expvar.Func(latencies.snapshot))
}

// histograms hold the time to the whole answer by service.
type histograms struct {
	mu        sync.Mutex
	byService map[string]*hdrhistogram.Histogram
}

func observe(req *request, took time.Duration) {
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
	// A longer time than the largest is refused by the library.
	_ = h.RecordValue(min(max(took.Milliseconds(), 1), histogramMax.Milliseconds()))
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
