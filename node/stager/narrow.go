package stager

import (
	"sync"
	"time"
)

const (
	// narrowShare of the link's rate is what an upload of a piece gets when
	// the link is narrower than stated: an eighth, half of what two uploads
	// and the engine's answers leave on a link of a quarter.
	narrowShare = 1.0 / 8
	// narrowFor is how long a machine with a narrow link sends no pieces. Then
	// one receiver tries again.
	narrowFor = 1500 * time.Millisecond
	// anyReceiver is no host.
	anyReceiver = "*"
)

// narrowLink notices that the machine's own uplink carries much less than it
// should: two pieces in a row to different machines of the region went slowly.
// Pieces would fill it, and the engine's live answers wait behind them (pldpr
// trouble-1: p99 of the first event 1.5 s for 7 s, three links at 1.2 of
// 9.4 Mbit/s). One slow receiver alone is at the other end.
type narrowLink struct {
	// rate is the stated rate of the link in bytes a second; 0 is unknown.
	rate float64

	mu     sync.Mutex
	slowTo string
	until  time.Time
}

func newNarrowLink(linkMbps float64) *narrowLink {
	return &narrowLink{rate: linkMbps * 1e6 / 8}
}

// sent takes the time that a piece took, and reports whether the link has just
// turned out to be narrow.
func (l *narrowLink) sent(to string, bytes int, took time.Duration, now time.Time) bool {
	if l.rate <= 0 {
		return false
	}
	slow := took.Seconds() > float64(bytes)/(l.rate*narrowShare)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !slow:
		l.slowTo = ""
		return false
	case l.slowTo == "" || l.slowTo == to:
		l.slowTo = to
		return false
	}
	// The next slow piece, to whomever, is enough.
	l.slowTo = anyReceiver
	narrow := now.After(l.until)
	l.until = now.Add(narrowFor)
	return narrow
}

// narrow reports whether pieces are to be had elsewhere for now.
func (l *narrowLink) narrow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.until)
}
