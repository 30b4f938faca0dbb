package stager

import (
	"sync"
	"time"
)

const (
	// slowUploadShare is the share of the link's stated rate below which an
	// upload of a piece counts as slow. It is an eighth, because on a link that
	// carries a quarter of its stated rate, two uploads and the engine's answers
	// share that quarter.
	slowUploadShare = 1.0 / 8
	// narrowPeriod is how long a machine with a narrow link sends no pieces.
	// After it, one slow upload is enough to start the next period.
	narrowPeriod = 1500 * time.Millisecond
	// anyReceiver in place of a host means that the next slow upload counts,
	// whatever its receiver.
	anyReceiver = "*"
)

// linkMonitor detects that the machine's own uplink is narrow, that is, carries
// much less than its stated rate: two consecutive uploads to different machines
// of the region were slow. Pieces fill a narrow link and delay the engine's live
// answers: with three links at 1.2 of 9.4 Mbit/s, the p99 of the first event was
// 1.5 s for 7 s. If only one receiver is slow, the bottleneck is at that receiver.
type linkMonitor struct {
	// rate is the stated rate of the link in bytes per second; 0 means unknown.
	rate float64

	mu           sync.Mutex
	slowReceiver string
	narrowUntil  time.Time
}

// newLinkMonitor returns a monitor for a link of a rate in Mbit/s; 0 means
// unknown.
func newLinkMonitor(linkMbps float64) *linkMonitor {
	return &linkMonitor{rate: linkMbps * 1e6 / 8}
}

// recordUpload records the duration of an upload, and reports whether it starts
// a new period in which the link counts as narrow.
func (l *linkMonitor) recordUpload(receiver string, bytes int, duration time.Duration, now time.Time) bool {
	if l.rate <= 0 {
		return false
	}
	slow := duration.Seconds() > float64(bytes)/(l.rate*slowUploadShare)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !slow:
		l.slowReceiver = ""
		return false
	case l.slowReceiver == "" || l.slowReceiver == receiver:
		l.slowReceiver = receiver
		return false
	}
	// Until an upload is not slow, each slow upload to any receiver extends the
	// narrow period or starts a new one.
	l.slowReceiver = anyReceiver
	narrow := now.After(l.narrowUntil)
	l.narrowUntil = now.Add(narrowPeriod)
	return narrow
}

// isNarrow reports whether the link counts as narrow, so that the machine sends
// no pieces.
func (l *linkMonitor) isNarrow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.narrowUntil)
}
