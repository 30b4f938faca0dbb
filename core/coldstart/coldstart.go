// Package coldstart decides which entries send how many requests to a backend server
// that has just started.
//
// A server that has just started bears only a low rate of requests from all entries
// together. Each such server has a few holders among the entries, which share its
// rate; the others stay out until it is warm. Which entries those are follows from
// the entries' ids, so that no message is needed. The package does no I/O, reads no
// clock and starts no goroutine.
package coldstart

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumloft/laburnumloft/core/limits"
)

const (
	// usableSlack is the part of the slack above the rate that the holders' saved
	// requests may take. The rest covers entries that disagree on the holders.
	usableSlack = 0.6
	// minorityShare is the part of its share that an entry uses if it sees at most
	// half of the entries. A majority elsewhere uses the whole rate.
	minorityShare = 0.5
	// savedRequests is how many requests a holder may send at once.
	savedRequests = 1
)

// Pace is what a service's servers bear while they are cold.
type Pace struct {
	// PerSecond is the rate of requests of all entries together; 0 means that it is
	// not limited.
	PerSecond float64
	// MaxPerSecond is how many requests a server may get in any second.
	MaxPerSecond float64
	// Duration is how long a server is cold after its start.
	Duration time.Duration
}

// Limited reports whether cold servers bear only a limited rate.
func (p Pace) Limited() bool { return p.PerSecond > 0 }

// Holders returns how many entries share the rate of a cold server. In any second
// they send at most the rate and savedRequests each.
func (p Pace) Holders() int {
	return max(1, int(usableSlack*(p.MaxPerSecond-p.PerSecond)/savedRequests))
}

// Membership is an entry's view of the entries.
type Membership struct {
	Self string
	// Ready are the ids of the live entries that accept callers, this one included if
	// it does.
	Ready []string
	// Live counts the live entries, and Known those that exist as far as this entry
	// knows, this one included.
	Live, Known int
}

// Share is this entry's part in a cold server.
type Share struct {
	// Part is the part of the server's rate; 0 means that this entry stays out.
	Part float64
	// Saved is what the entry may send at once at the beginning, in requests. The
	// holders begin at different levels so that they do not all send together.
	Saved float64
}

// Share returns this entry's part in a cold server with a number of holders.
func (m Membership) Share(server string, holders int) Share {
	type ranked struct {
		id   string
		rank uint64
	}
	entries := make([]ranked, 0, len(m.Ready))
	for _, id := range m.Ready {
		entries = append(entries, ranked{id, xxhash.Sum64String(id + " " + server)})
	}
	slices.SortFunc(entries, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.id, b.id))
	})
	total := 1.0
	known := max(m.Known, m.Live, 1)
	majority := 2*m.Live > known
	if !majority {
		total = minorityShare * float64(max(m.Live, 1)) / float64(known)
	}
	count := min(len(entries), max(1, int(total*float64(holders))))
	place := slices.IndexFunc(entries[:count], func(e ranked) bool { return e.id == m.Self })
	if place < 0 {
		return Share{}
	}
	share := Share{Part: total / float64(count)}
	if majority {
		share.Saved = float64(place) / float64(count)
	}
	return share
}

// Allowance is an entry's part of the rate of one cold server. It begins with what its
// share saves: other entries may have sent requests until now.
type Allowance struct {
	bucket *limits.TokenBucket
	until  time.Time
}

// Begin starts or prolongs the time in which the server is cold.
func (a *Allowance) Begin(until, now time.Time) {
	if !a.Cold(now) {
		a.bucket = nil
	}
	a.until = until
}

// Cold reports whether the server is cold.
func (a *Allowance) Cold(now time.Time) bool { return now.Before(a.until) }

// Remaining returns how much longer the server is cold; 0 if it isn't.
func (a *Allowance) Remaining(now time.Time) time.Duration { return max(0, a.until.Sub(now)) }

// Wait returns the time until this entry may send a request to a server with a rate, or
// until the server is warm if that is sooner.
func (a *Allowance) Wait(rate float64, share Share, now time.Time) time.Duration {
	if !a.Cold(now) {
		return 0
	}
	if a.bucket == nil {
		a.bucket = limits.NewTokenBucket(0, share.Saved)
	}
	a.bucket.SetRate(now, rate*share.Part, savedRequests)
	wait, remaining := a.bucket.Wait(now, 1), a.Remaining(now)
	if wait < 0 {
		return remaining
	}
	return min(wait, remaining)
}

// Take counts a request after Wait has returned 0.
func (a *Allowance) Take(now time.Time) {
	if a.bucket != nil && a.Cold(now) {
		a.bucket.Take(now, 1)
	}
}
