// Package invariant checks conditions that must always hold, and keeps a
// bounded history of events that is reported with a violation.
package invariant

import (
	"fmt"
	"strings"
)

// HistoryLength is the number of events that a History keeps.
const HistoryLength = 64

// History keeps the latest events of one component. The zero value is ready to
// use. A History is not safe for concurrent use.
type History struct {
	events [HistoryLength]string
	next   int
	full   bool
}

// Violation is the panic value of a broken invariant.
type Violation struct {
	// Condition describes the invariant that was violated.
	Condition string
	// Events are the latest events, oldest first.
	Events []string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant violated: %s; last events:\n%s", v.Condition, strings.Join(v.Events, "\n"))
}

// Addf records a formatted event and evicts the oldest one when the history is
// full.
func (h *History) Addf(format string, args ...any) {
	h.events[h.next] = fmt.Sprintf(format, args...)
	h.next++
	if h.next == HistoryLength {
		h.next = 0
		h.full = true
	}
}

// Events returns the recorded events, oldest first.
func (h *History) Events() []string {
	if !h.full {
		return append([]string(nil), h.events[:h.next]...)
	}
	return append(append([]string(nil), h.events[h.next:]...), h.events[:h.next]...)
}

// Check panics with a Violation if holds is false. The panic is not recovered,
// because a process with inconsistent state must not continue to serve.
func (h *History) Check(holds bool, format string, args ...any) {
	if holds {
		return
	}
	panic(&Violation{Condition: fmt.Sprintf(format, args...), Events: h.Events()})
}
