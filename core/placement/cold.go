package placement

import (
	"time"

	"github.com/laburnumloft/laburnumloft/core/coldstart"
)

// coldState paces this entry's requests to a server that has just started.
type coldState struct {
	// begun means that the server has been cold and may still be.
	begun     bool
	allowance coldstart.Allowance
	// share is this entry's part of the rate in the view with the given number.
	share coldstart.Share
	view  int
	// ended means that the server refused a connection, and was not tried again since then.
	// returning means that it may be again, but got no request yet.
	ended, returning bool
}

// begin records for how much longer the server is cold.
func (c *coldState) begin(remaining time.Duration, now time.Time) {
	c.begun = true
	c.allowance.Begin(now.Add(remaining), now)
}

// take counts a request to a server that is cold for the given time after its start.
func (c *coldState) take(duration time.Duration, now time.Time) {
	c.ended = false
	if c.returning {
		// It may have started only now.
		c.returning = false
		c.begin(max(duration, c.allowance.Remaining(now)), now)
	}
	if c.begun {
		c.allowance.Take(now)
		c.begun = c.allowance.Cold(now)
	}
}

// entriesView is the view of the entries that share the rates of cold servers.
type entriesView struct {
	membership coldstart.Membership
	// number changes with each view.
	number int
}

// SetEntries sets the view of the entries that share the rates of cold servers. Without
// one, this entry is taken to be alone.
func (f *Fleet) SetEntries(m coldstart.Membership) {
	f.entries = entriesView{m, f.entries.number + 1}
}

// RecordCold records for how much longer a server bears only a low rate of requests, if
// the configuration, which may not be known yet, limits it. It reports whether that limits
// this entry now.
func (f *Fleet) RecordCold(id string, remaining time.Duration, now time.Time) bool {
	m := f.members[id]
	if m == nil {
		return false
	}
	m.cold.ended, m.cold.returning = false, false
	m.cold.begin(remaining, now)
	return f.traits[m.server.Service].Pace.Limited()
}

// expectColdReturn makes a server whose process has ended count as cold when it is next
// tried: it may be back under its id before its record says that it has started. Agents
// report the start of an engine.
func (f *Fleet) expectColdReturn(m *member) {
	m.cold.ended = m.reportedAt.IsZero()
}

// beginReturn is called when a server that refused a connection may be tried again.
func (c *coldState) beginReturn(duration time.Duration, now time.Time) {
	c.ended, c.returning = false, true
	c.begin(max(duration, c.allowance.Remaining(now)), now)
}

// HasCold reports whether a server is cold and limited, or expected to be.
func (f *Fleet) HasCold(now time.Time) bool {
	for _, m := range f.members {
		if (m.cold.ended || m.cold.allowance.Cold(now)) && f.traits[m.server.Service].Pace.Limited() {
			return true
		}
	}
	return false
}

// coldWait returns the time until this entry may send a request to a server; 0 if it
// may now.
func (f *Fleet) coldWait(m *member, now time.Time) time.Duration {
	if !m.cold.ended && !m.cold.allowance.Cold(now) {
		return 0
	}
	pace := f.traits[m.server.Service].Pace
	if !pace.Limited() {
		return 0
	}
	if m.cold.ended && !now.Before(m.excludedUntil) {
		m.cold.beginReturn(pace.Duration, now)
	}
	return m.cold.allowance.Wait(pace.PerSecond, f.coldShare(m, pace), now)
}

// coldShare returns this entry's part of the rate of a cold server.
func (f *Fleet) coldShare(m *member, pace coldstart.Pace) coldstart.Share {
	if f.entries.number == 0 {
		return coldstart.Share{Part: 1}
	}
	if m.cold.view != f.entries.number {
		m.cold.share, m.cold.view = f.entries.membership.Share(m.server.ID, pace.Holders()), f.entries.number
	}
	return m.cold.share
}
