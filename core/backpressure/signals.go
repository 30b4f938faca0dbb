// Package backpressure decides how requests respect what backend servers in need
// say about themselves: a limit on the rate of requests from all entries together,
// that they are leaving, and that they want no requests from an entry for a while.
//
// Entries that share a limited server agree on one of them, its coordinator, which
// hands out permits at the server's rate; every request to the server needs one. A
// fixed share for each entry would starve the server when most traffic arrives at
// one entry, and is no rate at all when the limit is below one request per entry.
//
// The package does no I/O, reads no clock and starts no goroutine. Its types are
// not safe for concurrent use.
package backpressure

import (
	"cmp"
	"strconv"
	"time"
)

// Server identifies one instance of a backend server. A server that restarts under
// the same id is another instance, to which earlier signals do not apply.
type Server struct {
	ID string `json:"id"`
	// Born is the start time of the instance in Unix milliseconds; 0 means unknown.
	Born int64 `json:"born,omitempty"`
}

// String returns the instance's name in log lines.
func (s Server) String() string { return s.ID + "@" + strconv.FormatInt(s.Born, 10) }

// LimitSignal states what an answer says about the server's rate limit.
type LimitSignal int

// Values of LimitSignal.
const (
	// LimitAbsent means that the answer names no limit, which withdraws an earlier one.
	LimitAbsent LimitSignal = iota
	// LimitNamed means that the answer names a limit.
	LimitNamed
	// LimitUnreadable means that the value can't be used; an earlier limit stays.
	LimitUnreadable
)

// Signals is what one answer of a server says about the server.
type Signals struct {
	Limit LimitSignal
	// Rate is the limit in requests per second of all entries together; it is
	// valid if Limit is LimitNamed.
	Rate    float64
	Leaving bool
	// QuietFor is how long the server wants no requests from this entry; 0 means
	// that it did not say so.
	QuietFor time.Duration
	// Unreadable lists the values that can't be used, as NAME=VALUE.
	Unreadable []string
}

const (
	// maxRate is the highest rate that counts as a limit, in requests per second. A
	// server of the design target gets at most a few hundred.
	maxRate = 1e6
	// maxQuiet limits the quiet time that a server may ask for.
	maxQuiet = 10 * time.Minute
	// maxUnreadableBytes limits what a log line repeats of a value.
	maxUnreadableBytes = 40
)

// ParseRate sets the limit from the values of a header field, none if the answer
// lacks the field. Of several readable values the lowest counts.
func (s *Signals) ParseRate(name string, values []string) {
	for _, value := range values {
		rate, err := strconv.ParseFloat(value, 64)
		switch {
		case err != nil || !(rate >= 0 && rate <= maxRate):
			s.addUnreadable(name, value)
		case s.Limit == LimitNamed:
			s.addUnreadable(name, value)
			s.Rate = min(s.Rate, rate)
		default:
			s.Limit, s.Rate = LimitNamed, rate
		}
	}
	if len(values) > 0 && s.Limit != LimitNamed {
		s.Limit = LimitUnreadable
	}
}

// ParseLeaving sets Leaving from the values of a header field.
func (s *Signals) ParseLeaving(name string, values []string) {
	for i, value := range values {
		if value != "0" && value != "1" || i > 0 {
			s.addUnreadable(name, value)
		}
		s.Leaving = s.Leaving || value == "1"
	}
}

// ParseQuiet sets QuietFor from the values of a header field, in seconds. Of several
// readable values the longest counts.
func (s *Signals) ParseQuiet(name string, values []string) {
	for i, value := range values {
		seconds, err := strconv.ParseFloat(value, 64)
		readable := err == nil && seconds >= 0
		if !readable || i > 0 || seconds > maxQuiet.Seconds() {
			s.addUnreadable(name, value)
		}
		if readable {
			s.QuietFor = max(s.QuietFor, time.Duration(min(seconds, maxQuiet.Seconds())*float64(time.Second)))
		}
	}
}

func (s *Signals) addUnreadable(name, value string) {
	s.Unreadable = append(s.Unreadable, name+"="+value[:min(len(value), maxUnreadableBytes)])
}

// Empty reports whether the answer says nothing about its server.
func (s Signals) Empty() bool {
	return s.Limit == LimitAbsent && !s.Leaving && s.QuietFor == 0 && len(s.Unreadable) == 0
}

// compareServers orders servers by id and instance.
func compareServers(a, b Server) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born))
}
