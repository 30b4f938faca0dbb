package telemetry

import (
	"expvar"
	"time"
)

// histogramBounds are the exclusive upper bounds of the buckets in milliseconds.
var histogramBounds = []struct {
	ms   int64
	name string
}{
	{1, "le_1"},
	{2, "le_2"},
	{5, "le_5"},
	{10, "le_10"},
	{20, "le_20"},
	{50, "le_50"},
	{100, "le_100"},
	{200, "le_200"},
	{500, "le_500"},
	{1000, "le_1000"},
	{2000, "le_2000"},
	{5000, "le_5000"},
	{10000, "le_10000"},
}

// Histogram counts durations in buckets of an expvar map.
type Histogram struct {
	buckets *expvar.Map
}

// NewHistogram publishes a histogram as an expvar. The name must end in
// _milliseconds.
func NewHistogram(name string) *Histogram {
	return &Histogram{buckets: expvar.NewMap(name)}
}

// Observe counts a duration in the first bucket whose bound is above it.
func (h *Histogram) Observe(d time.Duration) {
	for _, b := range histogramBounds {
		if d.Milliseconds() < b.ms {
			h.buckets.Add(b.name, 1)
			return
		}
	}
	h.buckets.Add("le_inf", 1)
}
