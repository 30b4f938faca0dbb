// Package eventstream splits a stream of server-sent events into complete events
// and checks that their ids increase, so that a caller never receives a partial event or
// one event twice.
package eventstream

import (
	"bytes"
	"errors"
	"strconv"
)

// MaxEventBytes is the largest size of an event. Engines write at most a few
// tokens per event, so a larger one is treated as malformed.
const MaxEventBytes = 256 << 10

// Errors of a stream.
var (
	ErrTooLong = errors.New("event is larger than 256 KiB")
	ErrNoID    = errors.New("event has no numeric id")
	// ErrNotIncreasing means that an id repeats or falls within one run.
	ErrNotIncreasing = errors.New("event ids do not increase")
	// ErrOtherNumbers means that a run repeats earlier events, but not the caller's last one.
	ErrOtherNumbers = errors.New("event ids do not continue those of the stream")
)

// Event is one complete event with its terminating blank line.
type Event struct {
	ID  int64
	Raw []byte
}

// Splitter buffers received bytes and returns complete events. The zero value is
// ready to use.
type Splitter struct {
	buffer []byte
}

// Write appends received bytes to the buffer.
func (s *Splitter) Write(p []byte) {
	s.buffer = append(s.buffer, p...)
}

// Next returns the next complete event; ok is false if there is none yet. The
// event's bytes are valid until the next call of Write.
func (s *Splitter) Next() (event Event, ok bool, err error) {
	end := bytes.Index(s.buffer, []byte("\n\n"))
	if end < 0 {
		if len(s.buffer) > MaxEventBytes {
			return Event{}, false, ErrTooLong
		}
		return Event{}, false, nil
	}
	raw := s.buffer[:end+2]
	s.buffer = s.buffer[end+2:]
	id, err := eventID(raw)
	if err != nil {
		return Event{}, false, err
	}
	return Event{ID: id, Raw: raw}, true, nil
}

// Buffered returns the number of buffered bytes. After Next has reported that
// there is no complete event, these bytes belong to an incomplete event.
func (s *Splitter) Buffered() int { return len(s.buffer) }

func eventID(raw []byte) (int64, error) {
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || string(name) != "id" {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return 0, ErrNoID
		}
		return id, nil
	}
	return 0, ErrNoID
}

// Sequence is the position of one caller's stream across several runs of the request. In
// the zero value, no event has been forwarded.
type Sequence struct {
	last    int64
	started bool
}

// NewSequence returns a sequence that continues after the id last, which the
// caller already has. resumed is false for a new stream, which starts with any
// id.
func NewSequence(last int64, resumed bool) *Sequence {
	return &Sequence{last: last, started: resumed}
}

// Last returns the id of the last event that the caller has; ok is false if
// there is none.
func (s *Sequence) Last() (id int64, ok bool) { return s.last, s.started }

// Run checks the event ids of one run of the request. Ids only increase, by any amount, so
// that they don't show whether a run has left out events. It is an error if they fall or
// repeat, or if a run that begins with events before the caller's last one lacks that one.
type Run struct {
	sequence *Sequence
	last     int64
	started  bool
	// repeats means that the run has begun before the caller's last event and not reached it.
	repeats bool
}

// NewRun returns the check of a run that begins, or goes on with, the sequence's stream.
func (s *Sequence) NewRun() *Run { return &Run{sequence: s} }

// Accept reports whether an event is to be forwarded. It returns false for an
// event that the caller already has, and an error for one that doesn't belong to this run.
func (r *Run) Accept(id int64) (forward bool, err error) {
	if r.started && id <= r.last {
		return false, ErrNotIncreasing
	}
	r.last, r.started = id, true
	s := r.sequence
	switch {
	case !s.started, id > s.last && !r.repeats:
		s.last, s.started = id, true
		return true, nil
	case id > s.last:
		return false, ErrOtherNumbers
	default:
		r.repeats = id < s.last
		return false, nil
	}
}

// End returns an error for a run that ends before the caller's last event, so that its end
// isn't the stream's.
func (r *Run) End() error {
	if r.repeats {
		return ErrOtherNumbers
	}
	return nil
}
