package limits

import (
	"container/list"
	"time"
)

// TokenBucket limits a rate, for example in bytes per second. The zero value
// allows no tokens.
type TokenBucket struct {
	rate, burst, level float64
	refilledAt         time.Time
}

// NewTokenBucket returns a full bucket. The rate is in tokens per second, the
// burst is the capacity in tokens.
func NewTokenBucket(rate, burst float64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: burst, level: burst}
}

// Take removes n tokens if they are available. Otherwise it removes none and
// returns the time until they are available. The returned time is negative if
// n exceeds the burst or the rate is 0, because the tokens never become
// available.
func (b *TokenBucket) Take(now time.Time, n float64) (wait time.Duration, ok bool) {
	if wait := b.Wait(now, n); wait != 0 {
		return wait, false
	}
	b.level -= n
	return 0, true
}

// Wait returns the time until n tokens are available, as Take does, and removes none.
func (b *TokenBucket) Wait(now time.Time, n float64) time.Duration {
	b.refill(now)
	switch {
	case n <= b.level:
		return 0
	case n > b.burst || b.rate <= 0:
		return -1
	default:
		return time.Duration((n - b.level) / b.rate * float64(time.Second))
	}
}

// SetRate changes the rate and the burst; tokens above the burst are lost.
func (b *TokenBucket) SetRate(now time.Time, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

func (b *TokenBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); !b.refilledAt.IsZero() && elapsed > 0 {
		b.level = min(b.burst, b.level+elapsed.Seconds()*b.rate)
	}
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
}

// RetryBudgetConfig configures a RetryBudget.
type RetryBudgetConfig struct {
	// Ratio is the number of retries that each first attempt adds to the
	// budget.
	Ratio float64
	// Burst is the maximum number of saved retries and the initial budget of a
	// new key.
	Burst float64
	// MaxKeys is the maximum number of keys. The least recently used key is
	// evicted when it is exceeded.
	MaxKeys int
}

// DefaultRetryBudget limits retries to a tenth of the first attempts, after the
// initial burst.
var DefaultRetryBudget = RetryBudgetConfig{Ratio: 0.1, Burst: 5, MaxKeys: 4096}

// RetryKey identifies the workspace and the service that a retry budget is for.
type RetryKey struct {
	Workspace, Service string
}

// RetryBudget limits retries to a share of the first attempts, separately for
// each key, so that retries don't multiply the load of a failing service.
type RetryBudget struct {
	cfg   RetryBudgetConfig
	keys  map[RetryKey]*list.Element
	order *list.List
}

type retryState struct {
	key   RetryKey
	level float64
}

// NewRetryBudget returns a budget that holds no keys.
func NewRetryBudget(cfg RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{cfg: cfg, keys: map[RetryKey]*list.Element{}, order: list.New()}
}

// RecordAttempt records a first attempt, which adds to the budget of the key.
func (b *RetryBudget) RecordAttempt(key RetryKey) {
	s := b.state(key)
	s.level = min(b.cfg.Burst, s.level+b.cfg.Ratio)
}

// TryRetry consumes one retry from the budget of the key and reports whether the
// budget allowed it.
func (b *RetryBudget) TryRetry(key RetryKey) bool {
	s := b.state(key)
	if s.level < 1 {
		return false
	}
	s.level--
	return true
}

// CanRetry reports whether TryRetry would succeed now.
func (b *RetryBudget) CanRetry(key RetryKey) bool { return b.state(key).level >= 1 }

// Len returns the number of keys.
func (b *RetryBudget) Len() int { return len(b.keys) }

func (b *RetryBudget) state(key RetryKey) *retryState {
	if e, ok := b.keys[key]; ok {
		b.order.MoveToFront(e)
		return e.Value.(*retryState)
	}
	if len(b.keys) >= b.cfg.MaxKeys {
		oldest := b.order.Back()
		delete(b.keys, oldest.Value.(*retryState).key)
		b.order.Remove(oldest)
	}
	s := &retryState{key: key, level: b.cfg.Burst}
	b.keys[key] = b.order.PushFront(s)
	return s
}
