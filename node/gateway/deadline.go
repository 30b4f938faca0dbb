package gateway

import (
	"sync"
	"time"
)

const (
	// minStall is by how much a timeout must be late for the process to have been stalled.
	// Beside other work timers are late by a few milliseconds.
	minStall = 50 * time.Millisecond
	// unreadTime is how long a request goes on at its deadline after a stall, so that what
	// arrived meanwhile is read and passed on. After a stall that ends over 150 ms late this
	// holds the request longer than a quarter of a second past its timeout, which costs
	// less than an answer.
	unreadTime = 100 * time.Millisecond
)

// atDeadline calls end at a request's deadline. If this process was stalled then, all timeouts
// expire before it reads what has arrived, so that the request goes on for unreadTime: an
// answer that is ready is delivered, also when late. stop ends the timeout.
func atDeadline(req *request, end func()) (stop func()) {
	var mu sync.Mutex
	var timer *time.Timer
	expired, stopped := false, false
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(time.Until(req.deadline), func() {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case stopped:
		case !expired && time.Since(req.deadline) >= minStall:
			expired = true
			timer.Reset(unreadTime)
		default:
			end()
		}
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}
