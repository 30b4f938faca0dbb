// Package silence watches peers that send nothing for a while.
package silence

import (
	"sync"
	"time"
)

// Watch calls a function when a peer has been silent for a time, and again at an interval
// for as long as the silence lasts.
type Watch struct {
	after, again time.Duration
	check        func()

	mu    sync.Mutex
	timer *time.Timer
	// period counts the silences, so that a check of an earlier one starts no timer.
	period int
}

// Start starts a watch whose first silence has begun and may last longer than others by a
// grace time.
func Start(after, grace, again time.Duration, check func()) *Watch {
	w := &Watch{after: after, again: again, check: check}
	w.begin(after + grace)
	return w
}

// Restart begins a new silence.
func (w *Watch) Restart() { w.begin(w.after) }

// Stop ends the silence.
func (w *Watch) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.period++
	w.timer.Stop()
}

func (w *Watch) begin(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.period++
	if w.timer != nil {
		w.timer.Stop()
	}
	w.arm(w.period, after)
}

// arm starts the timer of a period. The caller holds mu.
func (w *Watch) arm(period int, after time.Duration) {
	w.timer = time.AfterFunc(after, func() {
		if !w.isCurrent(period) {
			return
		}
		w.check()
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.period == period {
			w.arm(period, w.again)
		}
	})
}

func (w *Watch) isCurrent(period int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.period == period
}
