package stager

import (
	"context"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/core/limits"
)

const (
	// linkShare is the share of the machine's link that pieces may use. The
	// engine's live answers use the same link: if pieces fill it, a third of the
	// streams is late.
	linkShare = 0.8
	// burstBytes is the maximum burst: slightly more than one piece.
	burstBytes = 64 << 10
	// maxActiveUploads is the maximum number of concurrent uploads of pieces.
	// Pieces sent one after another reach the next machines of the distribution
	// tree sooner than pieces that share the link.
	maxActiveUploads = 2
)

// linkLimiter limits the rate of one direction of the link.
type linkLimiter struct {
	mu     sync.Mutex
	bucket *limits.TokenBucket
}

// newLinkLimiter returns a limiter for a link of a rate in Mbit/s; 0 means an
// unknown rate and no limit.
func newLinkLimiter(linkMbps float64) *linkLimiter {
	if linkMbps <= 0 {
		return &linkLimiter{}
	}
	return &linkLimiter{bucket: limits.NewTokenBucket(linkShare*linkMbps*1e6/8, burstBytes)}
}

// wait blocks until n bytes may pass or ctx ends.
func (l *linkLimiter) wait(ctx context.Context, n int) error {
	for {
		if l.bucket == nil {
			return ctx.Err()
		}
		l.mu.Lock()
		delay, ok := l.bucket.Take(time.Now(), float64(min(n, burstBytes)))
		l.mu.Unlock()
		if ok {
			return ctx.Err()
		}
		if err := sleep(ctx, delay); err != nil {
			return err
		}
	}
}
