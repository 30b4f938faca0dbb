package limits

import (
	"container/list"
	"time"
)

// TokenBucket bounds a rate, for example in bytes per second. The zero
// value allows nothing.
type TokenBucket struct {
	rate, burst, level float64
	at                 time.Time
}

// NewTokenBucket returns a full bucket. Rate is per second.
func NewTokenBucket(rate, burst float64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: burst, level: burst}
}

// Take takes n tokens if they are there. Otherwise it takes none and
// returns how long to wait until they will be. More than the burst is never
// there; such a wait is negative.
func (b *TokenBucket) Take(now time.Time, n float64) (wait time.Duration, ok bool) {
	b.fill(now)
	if n <= b.level {
		b.level -= n
		return 0, true
	}
	if n > b.burst || b.rate <= 0 {
		return -1, false
	}
	return time.Duration((n - b.level) / b.rate * float64(time.Second)), false
}

func (b *TokenBucket) fill(now time.Time) {
	if elapsed := now.Sub(b.at); !b.at.IsZero() && elapsed > 0 {
		b.level = min(b.burst, b.level+elapsed.Seconds()*b.rate)
	}
	if now.After(b.at) {
		b.at = now
	}
}

// RetryBudgetConfig sets the bounds of a RetryBudget.
type RetryBudgetConfig struct {
	// Ratio is how many retries each first attempt earns.
	Ratio float64
	// Burst bounds saved retries, and is what a new key starts with.
	Burst float64
	// MaxKeys bounds the remembered keys; the least recently used goes first.
	MaxKeys int
}

// DefaultRetryBudget lets retries add a tenth to the load.
var DefaultRetryBudget = RetryBudgetConfig{Ratio: 0.1, Burst: 5, MaxKeys: 4096}

// RetryKey identifies who retries at what.
type RetryKey struct {
	Workspace, Service string
}

// RetryBudget bounds retries to a share of first attempts, for each caller
// and service, so that a failing service doesn't get a multiple of its load.
type RetryBudget struct {
	cfg   RetryBudgetConfig
	keys  map[RetryKey]*list.Element
	order *list.List
}

type retryState struct {
	key   RetryKey
	level float64
}

// NewRetryBudget returns a budget without keys.
func NewRetryBudget(cfg RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{cfg: cfg, keys: map[RetryKey]*list.Element{}, order: list.New()}
}

// Attempt records a first attempt.
func (b *RetryBudget) Attempt(key RetryKey) {
	s := b.state(key)
	s.level = min(b.cfg.Burst, s.level+b.cfg.Ratio)
}

// Retry takes one retry if the budget allows it.
func (b *RetryBudget) Retry(key RetryKey) bool {
	s := b.state(key)
	if s.level < 1 {
		return false
	}
	s.level--
	return true
}

// Allows reports whether Retry would succeed now.
func (b *RetryBudget) Allows(key RetryKey) bool { return b.state(key).level >= 1 }

// Len returns the number of remembered keys.
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
