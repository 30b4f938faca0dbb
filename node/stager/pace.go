package stager

import (
	"context"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/core/limits"
)

const (
	// linkShare is the part of the machine's link that pieces may take. The
	// engine's live answers share the link: when pieces fill it, events wait
	// behind them and a third of the streams is late.
	linkShare = 0.8
	// burstBytes may pass at once: one piece and a little.
	burstBytes = 64 << 10
	// activeUploads is how many pieces a machine sends at once. Pieces sent
	// one after the other reach the next machines of the tree sooner than
	// pieces that share the link.
	activeUploads = 2
)

// pace spreads the bytes of one direction over time.
type pace struct {
	mu     sync.Mutex
	bucket *limits.TokenBucket
}

// newPace returns a pace for a link; 0 is an unknown, unlimited one.
func newPace(linkMbps float64) *pace {
	if linkMbps <= 0 {
		return &pace{}
	}
	return &pace{bucket: limits.NewTokenBucket(linkShare*linkMbps*1e6/8, burstBytes)}
}

// wait returns when n bytes may pass.
func (p *pace) wait(ctx context.Context, n int) error {
	for {
		if p.bucket == nil {
			return ctx.Err()
		}
		p.mu.Lock()
		delay, ok := p.bucket.Take(time.Now(), float64(min(n, burstBytes)))
		p.mu.Unlock()
		if ok {
			return ctx.Err()
		}
		if err := sleep(ctx, delay); err != nil {
			return err
		}
	}
}
