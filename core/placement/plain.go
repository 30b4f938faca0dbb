package placement

import (
	"math"
	"time"
)

// Plain servers send no reports. With Config.SpreadByRoom the time of a server's last
// answers, and how long its requests in flight have taken already, tell a server that is
// slow for a while, though it fails no request.

const (
	// answersAveraged is the number of answers over which the mean time at a plain server is
	// taken. A slower answer counts at once.
	answersAveraged = 4
	// slowMemory is the time constant in which a slow server is tried again.
	slowMemory = 2 * time.Second
	// maxSlowness limits how slow a server is taken to be, as a multiple of the mean.
	maxSlowness = 32
)

// plainMember is what is kept of a plain server.
type plainMember struct {
	// seconds is the time of its last answers as of answeredAt.
	seconds    float64
	answeredAt time.Time
	// sentSum is the sum of the times at which the requests in flight were sent, in seconds
	// after firstSentAt.
	sentSum     float64
	firstSentAt time.Time
}

// recordPlainSent records a request that is sent to a plain server.
func (m *member) recordPlainSent(now time.Time) {
	if m.plain.firstSentAt.IsZero() {
		m.plain.firstSentAt = now
	}
	m.plain.sentSum += now.Sub(m.plain.firstSentAt).Seconds()
}

// recordPlainDone records the end of a request, and its time if it was answered.
func (f *Fleet) recordPlainDone(m *member, h Handle, now time.Time, answered bool) {
	m.plain.sentSum -= h.sentAt.Sub(m.plain.firstSentAt).Seconds()
	if !answered {
		return
	}
	s, took := f.spreadOf(m.server.Service), now.Sub(h.sentAt).Seconds()
	if s.plainSeconds == 0 {
		s.plainSeconds = took
	}
	s.plainSeconds += (took - s.plainSeconds) / serviceTimesAveraged
	seconds := m.plain.seconds
	m.plain.seconds, m.plain.answeredAt = took, now
	if took < seconds {
		m.plain.seconds = seconds + (took-seconds)/answersAveraged
	}
}

// slowness returns the expected time of an answer of a plain server as a multiple of the
// service's mean; 1 if nothing is known.
func (f *Fleet) slowness(m *member, now time.Time) float64 {
	mean := f.spreadOf(m.server.Service).plainSeconds
	if mean <= 0 {
		return 1
	}
	expected := mean
	if !m.plain.answeredAt.IsZero() {
		known := math.Exp(-now.Sub(m.plain.answeredAt).Seconds() / slowMemory.Seconds())
		expected += known * (m.plain.seconds - mean)
	}
	if m.inFlight > 0 {
		meanSent := m.plain.sentSum / float64(m.inFlight)
		expected = max(expected, now.Sub(m.plain.firstSentAt).Seconds()-meanSent)
	}
	return min(expected/mean, maxSlowness)
}
