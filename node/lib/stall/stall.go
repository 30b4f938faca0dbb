// Package stall measures for how long this process did not run, because it was stopped or
// not scheduled.
//
// It is for timeouts on what others do. After a stall they all expire at once, before what
// has arrived meanwhile is read, so that the process would take its own stall for the
// silence of others.
package stall

import (
	"context"
	"sync"
	"time"
)

const (
	// tickInterval is the time between two looks at the clock. The measured time of a
	// stall is too short by at most that.
	tickInterval = 100 * time.Millisecond
	// minStall is the shortest delay of a look that counts as a stall.
	minStall = 50 * time.Millisecond
)

var measured struct {
	sync.Mutex
	// total is the sum of the stalls that have ended.
	total time.Duration
	// due is when the next look at the clock is due; zero while nothing is measured.
	due time.Time
}

// Total returns for how long the process did not run since it started, including a stall
// that has just ended and is not counted yet.
func Total() time.Duration {
	measured.Lock()
	defer measured.Unlock()
	return measured.total + lateness(time.Now())
}

// lateness returns by how much a look at the clock is late; 0 for less than minStall. The
// caller holds the lock.
func lateness(now time.Time) time.Duration {
	if late := now.Sub(measured.due); !measured.due.IsZero() && late >= minStall {
		return late
	}
	return 0
}

// Add records a stall.
func Add(d time.Duration) {
	measured.Lock()
	defer measured.Unlock()
	measured.total += d
}

// look counts the stall that has just ended, if there was one, and returns it. The next look
// is due at a time; zero for no further one.
func look(next time.Time) time.Duration {
	measured.Lock()
	defer measured.Unlock()
	late := lateness(time.Now())
	measured.total += late
	measured.due = next
	return late
}

// Watch measures stalls until ctx ends and calls onStall after each of them.
func Watch(ctx context.Context, onStall func(time.Duration)) {
	defer look(time.Time{})
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		if late := look(time.Now().Add(tickInterval)); late > 0 {
			onStall(late)
		}
		timer.Reset(tickInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}
