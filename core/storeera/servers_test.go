package storeera

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/placement"
)

func restored(number int64) Era {
	return Era{Number: number, Known: true, generation: uint64(number + 1)}
}

// Guards against a copy that brings back servers which have left, makes draining ones
// ready, or replaces an instance by the one before.
func TestCopyAgainstKnownServers(t *testing.T) {
	c := qt.New(t)
	old := placement.Server{ID: "i", Address: "10.0.0.1:1", Born: 5, WeightVersion: 1}
	drained := old
	drained.Draining = true
	loaded := old
	loaded.WeightVersion = 2
	reborn := old
	reborn.Born = 6
	for _, test := range []struct {
		name   string
		known  *placement.Server
		left   bool
		record placement.Server
		want   placement.Server
		belief Belief
	}{
		{"unknown", nil, false, old, old, Use},
		{"has left", nil, true, old, old, Ignore},
		{"next instance of one that has left", nil, true, reborn, reborn, Use},
		{"draining, ready in the copy", &drained, false, old, drained, Keep},
		{"ready, draining in the new era", &loaded, false, drained, placement.Server{ID: "i", Address: "10.0.0.1:1", Born: 5, WeightVersion: 2, Draining: true}, Use},
		{"older weights", &loaded, false, old, loaded, Keep},
		{"next instance", &old, false, reborn, reborn, Use},
		{"instance before", &reborn, false, drained, reborn, Keep},
	} {
		s := NewServers()
		if test.left {
			s.Departed("i", old.Born)
		}
		got, belief := s.Reconcile(restored(1), test.known, test.record, 7)
		c.Check(got, qt.Equals, test.want, qt.Commentf(test.name))
		c.Check(belief, qt.Equals, test.belief, qt.Commentf(test.name))
		// The same record again, in another snapshot, proves nothing; the next one does.
		if test.belief != Use {
			_, belief = s.Reconcile(restored(1), test.known, test.record, 7)
			c.Check(belief, qt.Equals, test.belief, qt.Commentf(test.name))
			got, belief = s.Reconcile(restored(1), test.known, test.record, 8)
			c.Check(belief, qt.Equals, Use, qt.Commentf(test.name))
			c.Check(got, qt.Equals, test.record, qt.Commentf(test.name))
			// Offsets of another era prove nothing either.
			if test.known != nil {
				_, belief = s.Reconcile(restored(2), test.known, test.record, 9)
				c.Check(belief, qt.Equals, test.belief, qt.Commentf(test.name))
			}
		}
	}
	// A store that was never restored holds the newest records.
	s := NewServers()
	s.Departed("i", 5)
	_, belief := s.Reconcile(restored(0), nil, old, 7)
	c.Assert(belief, qt.Equals, Use)
}

// A server that writes again after it had left is believed, and the memory for servers
// that have left is bounded.
func TestDepartedServerWritesAgain(t *testing.T) {
	c := qt.New(t)
	s := NewServers()
	s.Departed("i", 5)
	s.RecordWritten(restored(1), "i", 3)
	_, belief := s.Reconcile(restored(2), nil, placement.Server{ID: "i", Born: 5}, 1)
	c.Assert(belief, qt.Equals, Use)
	for n := range 2 * maxDepartures {
		s.Departed(fmt.Sprint(n), 1)
	}
	c.Assert(s.Departures(), qt.HasLen, maxDepartures)
}
