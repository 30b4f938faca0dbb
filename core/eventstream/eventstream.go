// Package eventstream splits a stream of server-sent events into whole events
// and checks that their ids follow each other, so that a caller never gets a
// part of an event, an event twice or a gap.
package eventstream

import (
	"bytes"
	"errors"
	"strconv"
)

// MaxEventBytes bounds one event. A longer one is treated as garbage, because
// no engine of ours writes more than a few tokens an event.
const MaxEventBytes = 256 << 10

// Errors of a stream.
var (
	ErrTooLong = errors.New("event is longer than the bound")
	ErrNoID    = errors.New("event has no numeric id")
	ErrGap     = errors.New("event ids have a gap")
)

// Event is one whole event with its terminating blank line.
type Event struct {
	ID  int64
	Raw []byte
}

// Splitter collects bytes and hands out whole events. The zero value is
// ready for use.
type Splitter struct {
	buffer []byte
}

// Write adds bytes as they arrive.
func (s *Splitter) Write(p []byte) {
	s.buffer = append(s.buffer, p...)
}

// Next returns the next whole event. The event's bytes stay valid until the
// next call of Write.
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

// Rest returns how many bytes of an unfinished event wait.
func (s *Splitter) Rest() int { return len(s.buffer) }

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

// Sequence follows the ids of one caller's stream over several runs. Zero
// means that no event was forwarded.
type Sequence struct {
	last    int64
	started bool
}

// NewSequence returns a sequence that continues after an id that the caller
// already has; has is false for a new stream.
func NewSequence(last int64, has bool) *Sequence {
	return &Sequence{last: last, started: has}
}

// Accept reports whether to forward an event. Events that the caller already
// has are skipped; a gap is an error.
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

// Last returns the last forwarded id; ok is false if there is none.
func (s *Sequence) Last() (id int64, ok bool) { return s.last, s.started }
