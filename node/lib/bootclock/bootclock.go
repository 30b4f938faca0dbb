// Package bootclock is a boot-time clock: unlike the monotonic clock of time.Now it
// includes the time in which the VM was suspended.
//
// It is for the age of information that expires. With the monotonic clock, a
// process that resumes after a suspension would treat expired information as
// current: the permission to use older weights for a while, a load report, or the
// heartbeat of an entry.
package bootclock

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// checkInterval is the time between two checks for a suspension, and so the
	// time for which expired information may be used after one.
	checkInterval = 500 * time.Millisecond
	// minSuspension is the shortest suspension that is detected. It is longer
	// than the time between reading the two clocks.
	minSuspension = 50 * time.Millisecond
)

// suspendedNanos is the time in nanoseconds for which the VM was suspended since
// the process started.
var suspendedNanos atomic.Int64

// Now returns the current time. The difference of two such times includes
// suspensions.
func Now() time.Time { return time.Now().Add(time.Duration(suspendedNanos.Load())) }

// Since returns the time since t, which must be a result of Now, including
// suspensions.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Watch detects suspensions until ctx ends and calls onSuspension for each of
// them.
func Watch(ctx context.Context, onSuspension func(time.Duration)) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	counted := totalSuspension()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		total := totalSuspension()
		if suspension := total - counted; suspension >= minSuspension {
			counted = total
			AddSuspension(suspension)
			onSuspension(suspension)
		}
	}
}

// AddSuspension advances the clock by the duration of a suspension.
func AddSuspension(d time.Duration) { suspendedNanos.Add(int64(d)) }

// totalSuspension returns the time for which the machine was suspended since it
// booted.
func totalSuspension() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		// Without these clocks suspensions can't be detected.
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
