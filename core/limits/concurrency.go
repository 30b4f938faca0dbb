package limits

import "time"

// ConcurrencyConfig sets the bounds of a Concurrency limit.
type ConcurrencyConfig struct {
	// Min, Initial and Max bound the limit in requests.
	Min, Initial, Max int
	// Tolerance is the ratio of measured to unloaded time above which the
	// limit shrinks. Values near 1 keep latency low and lose throughput.
	Tolerance float64
	// Window is the time between two decisions.
	Window time.Duration
	// Memory is how long the lowest measured time is remembered.
	Memory time.Duration
}

// DefaultConcurrency suits engines with tens of requests in a batch.
var DefaultConcurrency = ConcurrencyConfig{
	Min: 1, Initial: 8, Max: 1024, Tolerance: 1.2, Window: 100 * time.Millisecond, Memory: 60 * time.Second,
}

// Steps of the limit.
const (
	// decreaseFactor is applied when the time between tokens is too long.
	decreaseFactor = 0.9
	// startFactor grows the limit until the first decrease.
	startFactor = 1.25
	// growthUse is the share of the limit that must be in use for growth.
	growthUse = 0.8
	// shrinkUse is the share of the limit that must be in use to shrink it.
	shrinkUse = 0.5
	// minSamples is how many measurements a decision needs.
	minSamples = 8
)

// Concurrency adapts the number of requests that one backend server runs at
// once to its measured time per token. Below its saturation point a
// backend server's time per token doesn't depend on the number of requests;
// above it the time grows in proportion. The limit grows by one while the
// time stays within the tolerance of the lowest time seen lately, and
// shrinks by a tenth when it doesn't.
type Concurrency struct {
	cfg     ConcurrencyConfig
	limit   float64
	ramping bool
	decided time.Time
	sum     float64
	count   int
	peak    int
	// lowest holds the lowest window means of the current and the previous
	// half of the memory, so that an old minimum is forgotten in time.
	lowest   [2]float64
	memoryAt time.Time
}

// NewConcurrency returns a limit at its initial value.
func NewConcurrency(cfg ConcurrencyConfig) *Concurrency {
	return &Concurrency{cfg: cfg, limit: float64(cfg.Initial), ramping: true}
}

// Limit returns how many requests may run at once.
func (c *Concurrency) Limit() int { return int(c.limit) }

// Observe adds the total time of some tokens while running requests ran.
func (c *Concurrency) Observe(total time.Duration, tokens, running int) {
	c.sum += total.Seconds()
	c.count += tokens
	c.peak = max(c.peak, running)
}

// Tick decides on the limit once per window.
func (c *Concurrency) Tick(now time.Time) {
	if c.decided.IsZero() {
		c.decided, c.memoryAt = now, now
		return
	}
	if now.Sub(c.decided) < c.cfg.Window || c.count < minSamples {
		return
	}
	mean := c.sum / float64(c.count)
	peak := c.peak
	c.decided, c.sum, c.count, c.peak = now, 0, 0, 0
	if now.Sub(c.memoryAt) >= c.cfg.Memory/2 {
		c.memoryAt, c.lowest = now, [2]float64{0, c.lowest[0]}
	}
	if c.lowest[0] == 0 || mean < c.lowest[0] {
		c.lowest[0] = mean
	}
	c.adapt(mean, peak)
}

func (c *Concurrency) adapt(mean float64, peak int) {
	base := c.lowest[0]
	if c.lowest[1] > 0 {
		base = min(base, c.lowest[1])
	}
	switch {
	case mean > base*c.cfg.Tolerance:
		// A limit that is hardly used is not the cause of the slowness, and
		// lowering it would only starve the engine later.
		if float64(peak) >= c.limit*shrinkUse {
			c.limit, c.ramping = c.limit*decreaseFactor, false
		}
	case float64(peak) >= c.limit*growthUse && c.ramping:
		c.limit *= startFactor
	case float64(peak) >= c.limit*growthUse:
		c.limit++
	}
	c.limit = min(max(c.limit, float64(c.cfg.Min)), float64(c.cfg.Max))
}
