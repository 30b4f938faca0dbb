package intake

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	memory  = 16 << 20
	largest = 4 << 20
)

// begin adds a body of an address and reserves bytes of it.
func begin(b *Budget, address string, bytes int64, now time.Time) (*Body, []*Body) {
	body := &Body{Address: address}
	b.Begin(body, now)
	givenUp, _ := b.Reserve(body, bytes, now)
	return body, givenUp
}

// Whatever a crowd sends, all bodies together must stay within the bound, and nothing must
// stay counted after they have ended.
func TestBodiesStayWithinTheBound(t *testing.T) {
	c := qt.New(t)
	b := NewBudget(memory)
	b.SetLargest(largest)
	var bodies []*Body
	for n := range 200 {
		body := &Body{Address: fmt.Sprint(n % 3), Workspace: fmt.Sprint(n % 5)}
		b.Begin(body, start)
		for sent := 0; sent < largest-1; sent += 32 << 10 {
			if _, ok := b.Reserve(body, 32<<10, start.Add(time.Duration(n)*time.Millisecond)); !ok {
				break
			}
			c.Assert(b.Held() <= b.Limit(), qt.IsTrue)
		}
		if n%2 == 0 {
			b.Complete(body)
		}
		bodies = append(bodies, body)
	}
	for _, body := range bodies {
		b.End(body)
		b.End(body)
	}
	c.Assert(b.Held(), qt.Equals, int64(0))
	c.Assert(b.bodies, qt.HasLen, 0)
	c.Assert(b.groups, qt.HasLen, 0)
}

// A body that makes no progress must go first, then one of the largest group: an ordinary
// caller must not lose its body to a crowd.
func TestWhichBodyIsGivenUp(t *testing.T) {
	c := qt.New(t)
	b := NewBudget(memory)
	ordinary, _ := begin(b, "ordinary", 1<<20, start.Add(time.Second))
	for range 3 {
		begin(b, "crowd", 4<<20, start.Add(time.Second))
	}
	stalled, _ := begin(b, "other", 1<<20, start)
	now := start.Add(time.Second)
	_, givenUp := begin(b, "new", 3<<20, now)
	c.Assert(givenUp, qt.HasLen, 1)
	c.Assert(givenUp[0] == stalled, qt.IsTrue)
	_, givenUp = begin(b, "new", 2<<20, now)
	c.Assert(givenUp, qt.HasLen, 1)
	c.Assert(givenUp[0].Address, qt.Equals, "crowd")
	_, ok := b.Reserve(ordinary, 1<<20, now)
	c.Assert(ok, qt.IsTrue)
	// A body that was given up can't go on.
	_, ok = b.Reserve(givenUp[0], 1, now)
	c.Assert(ok, qt.IsFalse)
	c.Assert(b.Complete(givenUp[0]), qt.IsFalse)
}

// Whole bodies stay until their requests end. Those of one address must leave room for
// others, and all of them for small ones and for those that are being read; a single one
// of the largest size always fits.
func TestWholeBodiesLeaveRoom(t *testing.T) {
	c := qt.New(t)
	for _, memory := range []int64{1 << 20, memory} {
		b := NewBudget(memory)
		b.SetLargest(largest)
		alone, _ := begin(b, "alone", largest, start)
		c.Assert(b.Complete(alone), qt.IsTrue)
		b.End(alone)
		for range 20 {
			body, _ := begin(b, "crowd", 1<<20, start)
			b.Complete(body)
		}
		other, _ := begin(b, "other", 1<<20, start)
		c.Check(b.Complete(other), qt.IsTrue)
		for range 20 {
			body, _ := begin(b, "second crowd", 1<<20, start)
			b.Complete(body)
		}
		small, _ := begin(b, "crowd", 600, start)
		c.Check(b.Complete(small), qt.IsTrue)
		reading, _ := begin(b, "crowd", 1<<20, start)
		_, ok := b.Reserve(reading, 1, start)
		c.Check(ok, qt.IsTrue)
	}
}
