package limits

import "time"

// ConcurrencyConfig configures a Concurrency limit.
type ConcurrencyConfig struct {
	// Min, Initial and Max are the smallest, the first and the largest limit,
	// in requests.
	Min, Initial, Max int
	// Tolerance is the ratio of the measured to the unloaded time per token
	// above which the limit shrinks. Values near 1 keep latency low at the
	// cost of throughput.
	Tolerance float64
	// Window is the minimum time between two adjustments of the limit.
	Window time.Duration
	// BaselineWindow is the time for which the lowest measured time per token
	// is kept as the unloaded time.
	BaselineWindow time.Duration
}

// DefaultConcurrency is meant for engines that batch tens of requests.
var DefaultConcurrency = ConcurrencyConfig{
	Min: 1, Initial: 8, Max: 1024, Tolerance: 1.2, Window: 100 * time.Millisecond, BaselineWindow: 60 * time.Second,
}

// Parameters of the adjustment of the limit.
const (
	// decreaseFactor shrinks the limit when the time per token is too long.
	decreaseFactor = 0.9
	// startFactor grows the limit until the first decrease.
	startFactor = 1.25
	// minUseToGrow is the share of the limit that must be in use to grow it.
	minUseToGrow = 0.8
	// minUseToShrink is the share of the limit that must be in use to shrink it.
	minUseToShrink = 0.5
	// minSamples is the number of token times that an adjustment needs.
	minSamples = 8
)

// Concurrency limits the number of requests that one backend server runs at
// once, depending on its measured time per token. Below the saturation point of
// a backend server, the time per token doesn't depend on the number of
// requests; above it, the time grows in proportion. The limit grows by one while
// the time stays within the tolerance of the lowest recent time, and shrinks by a
// tenth when it doesn't.
type Concurrency struct {
	cfg         ConcurrencyConfig
	limit       float64
	ramping     bool
	adjustedAt  time.Time
	sumSeconds  float64
	tokenCount  int
	peakRunning int
	// lowestMeans holds the lowest mean of any window in the current and in the
	// previous half of the baseline window, so that an old minimum expires.
	lowestMeans       [2]float64
	baselineRotatedAt time.Time
}

// NewConcurrency returns a limit with its initial value.
func NewConcurrency(cfg ConcurrencyConfig) *Concurrency {
	return &Concurrency{cfg: cfg, limit: float64(cfg.Initial), ramping: true}
}

// Limit returns the number of requests that may run at once.
func (c *Concurrency) Limit() int { return int(c.limit) }

// Observe adds the total time of a number of tokens that were measured while
// the given number of requests was running.
func (c *Concurrency) Observe(total time.Duration, tokens, running int) {
	c.sumSeconds += total.Seconds()
	c.tokenCount += tokens
	c.peakRunning = max(c.peakRunning, running)
}

// Tick adjusts the limit, at most once per window.
func (c *Concurrency) Tick(now time.Time) {
	if c.adjustedAt.IsZero() {
		c.adjustedAt, c.baselineRotatedAt = now, now
		return
	}
	if now.Sub(c.adjustedAt) < c.cfg.Window || c.tokenCount < minSamples {
		return
	}
	mean := c.sumSeconds / float64(c.tokenCount)
	peak := c.peakRunning
	c.adjustedAt, c.sumSeconds, c.tokenCount, c.peakRunning = now, 0, 0, 0
	if now.Sub(c.baselineRotatedAt) >= c.cfg.BaselineWindow/2 {
		c.baselineRotatedAt, c.lowestMeans = now, [2]float64{0, c.lowestMeans[0]}
	}
	if c.lowestMeans[0] == 0 || mean < c.lowestMeans[0] {
		c.lowestMeans[0] = mean
	}
	c.adjust(mean, peak)
}

func (c *Concurrency) adjust(mean float64, peak int) {
	base := c.lowestMeans[0]
	if c.lowestMeans[1] > 0 {
		base = min(base, c.lowestMeans[1])
	}
	switch {
	case mean > base*c.cfg.Tolerance:
		// Shrink only a limit that is in use: an unused limit does not cause
		// the slowness, and a lower one would leave the engine underused later.
		if float64(peak) >= c.limit*minUseToShrink {
			c.limit, c.ramping = c.limit*decreaseFactor, false
		}
	case float64(peak) >= c.limit*minUseToGrow && c.ramping:
		c.limit *= startFactor
	case float64(peak) >= c.limit*minUseToGrow:
		c.limit++
	}
	c.limit = min(max(c.limit, float64(c.cfg.Min)), float64(c.cfg.Max))
}
