// Package ring joins goroutines by bounded queues with a stated policy for
// a full queue and a counter of what the policy did.
package ring

import (
	"context"
	"expvar"
)

// Policy says what Push does when the ring is full.
type Policy int

// Policies of a full ring.
const (
	// Block waits for room.
	Block Policy = iota
	// DropOldest makes room by dropping the oldest item.
	DropOldest
	// Refuse returns false.
	Refuse
)

var overflows = expvar.NewMap("ring_overflows_total")

// Ring is a bounded queue between goroutines.
type Ring[T any] struct {
	name   string
	policy Policy
	items  chan T
}

// New returns a ring of the given capacity. The name labels its counter.
func New[T any](name string, capacity int, policy Policy) *Ring[T] {
	return &Ring[T]{name: name, policy: policy, items: make(chan T, capacity)}
}

// Push adds an item and reports whether it was taken.
func (r *Ring[T]) Push(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		overflows.Add(r.name, 1)
	}
	switch r.policy {
	case Block:
		select {
		case r.items <- item:
			return true
		case <-ctx.Done():
			return false
		}
	case DropOldest:
		return r.pushDropping(item)
	default:
		return false
	}
}

func (r *Ring[T]) pushDropping(item T) bool {
	for {
		select {
		case r.items <- item:
			return true
		default:
		}
		select {
		case <-r.items:
		default:
		}
	}
}

// Items returns the channel to receive from.
func (r *Ring[T]) Items() <-chan T {
	return r.items
}
