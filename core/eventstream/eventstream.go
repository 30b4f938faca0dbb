// Package eventstream splits a stream of server-sent events into complete events
// and checks that their ids are consecutive, so that a caller never receives a
// partial event, a duplicate or a gap.
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
	ErrGap     = errors.New("event ids are not consecutive")
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

// Sequence checks the event ids of one caller's stream across several runs of
// the request. In the zero value, no event has been forwarded.
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

// Accept reports whether an event is to be forwarded. It returns false for an
// event that the caller already has, and ErrGap for an id that skips events.
func (s *Sequence) Accept(id int64) (forward bool, err error) {
	switch {
	case !s.started:
		s.started, s.last = true, id
		return true, nil
	case id <= s.last:
		return false, nil
	case id == s.last+1:
		s.last = id
		return true, nil
	default:
		return false, ErrGap
	}
}

// Last returns the id of the last event that the caller has; ok is false if
// there is none.
func (s *Sequence) Last() (id int64, ok bool) { return s.last, s.started }
