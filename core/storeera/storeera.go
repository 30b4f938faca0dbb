// Package storeera decides what survives a restore of the platform's store from a
// copy. Such a restore loses what was written since the copy was taken, gives out
// offsets again and starts a new era, whose number each answer of the store carries.
//
// An offset is meaningful only in its era, so every position in a topic names it.
// What a process knows is newer than a copy: versions only grow, and servers that
// have left or are draining do not come back until they write again. The package
// does no I/O, reads no clock and starts no goroutine.
package storeera

import "strconv"

// Era is one history of the store, as this process has seen it.
type Era struct {
	// Number is the number that the store gives it; valid only if Known is set.
	Number int64
	Known  bool
	// generation counts the changes that this process has seen. It tells two eras
	// with the same number apart, should the number ever step back.
	generation uint64
}

// Restored reports whether the store has ever been restored from a copy.
func (e Era) Restored() bool { return e.Known && e.Number > 0 }

// String formats the era for log lines.
func (e Era) String() string {
	if !e.Known {
		return "unknown"
	}
	return strconv.FormatInt(e.Number, 10)
}

// Position is an offset of one topic of the store, with the era that gives it a meaning.
type Position struct {
	Offset int64
	Era    Era
}

// Event is what an answer of the store shows about the era, if it is worth a log line.
type Event string

// Events of answers.
const (
	// Unchanged means that there is nothing to log.
	Unchanged Event = ""
	// First means that the era has become known.
	First Event = "store_era_known"
	// Advanced means that the store was restored from a copy.
	Advanced Event = "store_era_changed"
	// WentBack means that the number fell. It is treated as a restore, since it tells
	// nothing about what the store still holds.
	WentBack Event = "store_era_went_back"
	// Overtaken means that the answer was made in an era that has ended meanwhile.
	Overtaken Event = "store_answer_overtaken"
	// Missing and Unreadable mean that answers have begun to carry no number, and
	// Readable that they carry one again.
	Missing    Event = "store_era_missing"
	Unreadable Event = "store_era_unreadable"
	Readable   Event = "store_era_readable"
)

// Answer is what is known about one answer.
type Answer struct {
	// Era is the era in which the answer was made. An answer without a number counts
	// as made in the era of its request: if that era has ended, the next answer with a
	// number shows it.
	Era Era
	// Usable is false for an answer of an era that has ended.
	Usable bool
	Event  Event
}

// Tracker follows the era of the store through its answers. The zero value has seen
// none. It is not safe for concurrent use.
type Tracker struct {
	current Era
	// fault is Missing or Unreadable while answers carry no number.
	fault Event
}

// Current returns the current era.
func (t *Tracker) Current() Era { return t.current }

// Observe records an answer to a request that was sent in an era. Parameter value is
// what the answer says of its era; empty if it says nothing.
func (t *Tracker) Observe(sentIn Era, value string) Answer {
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil || number < 0 {
		return t.observeFault(sentIn, value)
	}
	event := Unchanged
	if t.fault != Unchanged {
		t.fault, event = Unchanged, Readable
	}
	switch {
	case !t.current.Known:
		t.advance(number)
		if event == Readable {
			// Earlier answers may have been made in another era.
			return Answer{Era: t.current, Usable: true, Event: Advanced}
		}
		return Answer{Era: t.current, Usable: true, Event: First}
	case number == t.current.Number:
		return Answer{Era: t.current, Usable: true, Event: event}
	case number > t.current.Number:
		t.advance(number)
		return Answer{Era: t.current, Usable: true, Event: Advanced}
	case sentIn.generation < t.current.generation:
		// The request may have been answered before the era changed.
		return Answer{Era: sentIn, Event: Overtaken}
	default:
		t.advance(number)
		return Answer{Era: t.current, Usable: true, Event: WentBack}
	}
}

func (t *Tracker) advance(number int64) {
	t.current = Era{Number: number, Known: true, generation: t.current.generation + 1}
}

// observeFault records an answer without a number. Such an answer is used, because
// records of any era are checked against what is known.
func (t *Tracker) observeFault(sentIn Era, value string) Answer {
	fault := Unreadable
	if value == "" {
		fault = Missing
	}
	answer := Answer{Era: sentIn, Usable: sentIn.generation == t.current.generation}
	if t.fault != fault {
		t.fault, answer.Event = fault, fault
	}
	return answer
}
