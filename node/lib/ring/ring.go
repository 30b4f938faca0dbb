// Package ring provides bounded queues between goroutines. Each queue has a policy
// for when it is full and counts how often this happens.
package ring

import (
	"context"
	"expvar"
)

// Policy determines what Push does when the ring is full.
type Policy int

// Policies for a full ring.
const (
	// Block waits for free capacity.
	Block Policy = iota
	// DropOldest drops the oldest items until the new one fits.
	DropOldest
	// Refuse rejects the new item: Push returns false.
	Refuse
)

var overflows = expvar.NewMap("ring_overflows_total")

// Ring is a bounded queue between goroutines.
type Ring[T any] struct {
	name   string
	policy Policy
	items  chan T
}

// New returns a ring of the given capacity. The name is the key of its overflow
// counter.
func New[T any](name string, capacity int, policy Policy) *Ring[T] {
	return &Ring[T]{name: name, policy: policy, items: make(chan T, capacity)}
}

// Push adds an item and reports whether it was added.
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
		return r.pushDroppingOldest(item)
	default:
		return false
	}
}

func (r *Ring[T]) pushDroppingOldest(item T) bool {
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
