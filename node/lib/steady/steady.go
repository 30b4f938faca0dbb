// Package steady is a clock for the ages of what a process believes. Unlike the
// monotonic clock of time.Now it counts the time in which the VM was suspended.
//
// A process that wakes after a suspension would take its old permissions for
// fresh ones: that older weights may be used a while longer, that a report is
// new, that an entry lives.
package steady

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lookEvery is the time between two looks for a suspension, and so the time
	// in which an old permission may be used after one.
	lookEvery = 500 * time.Millisecond
	// leastSuspension is above the time between the readings of two clocks.
	leastSuspension = 50 * time.Millisecond
)

// suspended is the time, in nanoseconds, that the monotonic clock has not
// counted since the process started.
var suspended atomic.Int64

// Now returns the present time. Two of these times differ by the time that
// passed, a suspension included.
func Now() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }

// Since returns the time that passed since a time that Now returned.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Watch looks for suspensions until ctx ends, and tells onSuspension of each.
func Watch(ctx context.Context, onSuspension func(time.Duration)) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	before := uncounted()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		now := uncounted()
		if slept := now - before; slept >= leastSuspension {
			before = now
			Suspended(slept)
			onSuspension(slept)
		}
	}
}

// Suspended adds a suspension.
func Suspended(d time.Duration) { suspended.Add(int64(d)) }

// uncounted returns the time since the machine's start that the monotonic clock
// does not count.
func uncounted() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		// Without these clocks there is no suspension to be seen.
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
