package relay

import "time"

// InquiryConfig configures an Inquiry.
type InquiryConfig struct {
	// Sources is the number of sources, which are asked in this order.
	Sources int
	// FirstPatience is how long the first source may be silent before others are asked
	// as well, Patience how long each later one may.
	FirstPatience, Patience time.Duration
	// AtOnce is how many sources are asked at the same time after the first one was
	// silent or failed; 0 means one.
	AtOnce int
	// Timeout is the time after which the inquiry ends without an answer.
	Timeout time.Duration
}

// Inquiry decides which sources of a record are asked, and when, so that an answer
// arrives within a bound although some sources are silent. A source that hangs looks
// like one that is about to answer, because its kernel goes on accepting connections.
// Therefore the next source is asked while the one before is still waited for.
//
// An Inquiry is not safe for concurrent use.
type Inquiry struct {
	cfg   InquiryConfig
	start time.Time
	// askedAt holds when each source was asked, in order; failed which of them failed.
	askedAt []time.Time
	failed  []bool
}

// NewInquiry returns an inquiry that begins now.
func NewInquiry(cfg InquiryConfig, now time.Time) *Inquiry {
	cfg.AtOnce = max(1, cfg.AtOnce)
	return &Inquiry{cfg: cfg, start: now, failed: make([]bool, cfg.Sources)}
}

// Next returns the sources to ask now, and when to call Next again unless an answer
// arrives or a source fails before. over means that no answer is to be expected in time.
func (q *Inquiry) Next(now time.Time) (ask []int, again time.Time, over bool) {
	end := q.start.Add(q.cfg.Timeout)
	if !now.Before(end) {
		return nil, time.Time{}, true
	}
	for !q.waiting(now) && len(q.askedAt) < q.cfg.Sources {
		count := 1
		if len(q.askedAt) > 0 {
			count = min(q.cfg.AtOnce, q.cfg.Sources-len(q.askedAt))
		}
		for range count {
			ask = append(ask, len(q.askedAt))
			q.askedAt = append(q.askedAt, now)
		}
	}
	if !q.waiting(now) {
		return nil, time.Time{}, true
	}
	return ask, earlier(q.patienceEnd(), end), false
}

// RecordFailure records that a source gave no usable answer.
func (q *Inquiry) RecordFailure(source int) { q.failed[source] = true }

// Silent returns the sources that have been silent for longer than the patience.
func (q *Inquiry) Silent(now time.Time) (sources []int) {
	for i := range q.askedAt {
		if !q.failed[i] && !now.Before(q.silentAt(i)) {
			sources = append(sources, i)
		}
	}
	return sources
}

// Overtaken returns the sources that had not answered when a less preferred one did:
// those that were asked before it, or at the same time.
func (q *Inquiry) Overtaken(answered int) (sources []int) {
	for i := range min(answered, len(q.askedAt)) {
		if !q.failed[i] {
			sources = append(sources, i)
		}
	}
	return sources
}

// waiting reports whether a source that was asked may still answer in its time.
func (q *Inquiry) waiting(now time.Time) bool {
	for i := range q.askedAt {
		if !q.failed[i] && now.Before(q.silentAt(i)) {
			return true
		}
	}
	return false
}

// patienceEnd returns when the last source that is waited for counts as silent.
func (q *Inquiry) patienceEnd() (end time.Time) {
	for i := range q.askedAt {
		if at := q.silentAt(i); !q.failed[i] && at.After(end) {
			end = at
		}
	}
	return end
}

func (q *Inquiry) silentAt(source int) time.Time {
	if source == 0 {
		return q.askedAt[0].Add(q.cfg.FirstPatience)
	}
	return q.askedAt[source].Add(q.cfg.Patience)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
