package rollout

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// linkRate is a link of 9.4 Mbit/s in bytes per second.
const linkRate = 9.4e6 / 8

const pieceSize = 48 << 10

// receive plays a transfer at a rate in small reads and returns when it ended and
// whether the link became narrow meanwhile.
func receive(d *Downlink, bytes int, rate float64, now time.Time) (time.Time, bool) {
	begun, narrowed := now, false
	d.Begin(now)
	for rest := bytes; rest > 0; {
		n := min(rest, 1460)
		rest -= n
		now = now.Add(time.Duration(float64(n) / rate * float64(time.Second)))
		d.Received(n, now)
		narrowed = d.Check(now) || narrowed
	}
	d.End(bytes, now.Sub(begun), now)
	return now, narrowed
}

// A link at a part of its rate must be found narrow within one piece, and leave that
// state when it is wide again.
func TestDownlinkFollowsTheLink(t *testing.T) {
	c := qt.New(t)
	d := NewDownlink(DownlinkConfig{Rate: linkRate, MaxPulls: 6})
	now := time.Unix(0, 0)
	var narrowed bool
	c.Assert(d.MaxPulls(), qt.Equals, 1)
	for range 10 {
		now, narrowed = receive(d, pieceSize, linkRate/2, now)
		c.Assert(narrowed, qt.IsFalse)
		d.RecordPiece()
	}
	c.Assert(d.MaxPulls(), qt.Equals, 6)
	now, narrowed = receive(d, pieceSize, linkRate/8, now)
	c.Assert(narrowed, qt.IsTrue)
	c.Assert(d.MaxPulls(), qt.Equals, 1)
	for range 20 {
		now, _ = receive(d, d.PartBytes(), linkRate/8, now)
		d.RecordPiece()
		c.Assert(d.MaxPulls(), qt.Equals, 1)
	}
	for range wideParts {
		c.Assert(d.Narrow(), qt.IsTrue)
		now, _ = receive(d, d.PartBytes(), linkRate/2, now)
	}
	c.Assert(d.Narrow(), qt.IsFalse)
}

// A transfer that stops must count as slow although nothing arrives, and the time in
// which no transfer runs must not.
func TestDownlinkCountsStalledTransfers(t *testing.T) {
	c := qt.New(t)
	d := NewDownlink(DownlinkConfig{Rate: linkRate, MaxPulls: 6})
	now := time.Unix(0, 0)
	c.Assert(d.Check(now.Add(time.Hour)), qt.IsFalse)
	now = now.Add(2 * time.Hour)
	d.Begin(now)
	c.Assert(d.Check(now.Add(narrowWindow/2)), qt.IsFalse)
	c.Assert(d.Check(now.Add(narrowWindow)), qt.IsTrue)
}

// Without a stated rate nothing is known about the link, so that it is not limited.
func TestDownlinkOfUnknownRateIsNotLimited(t *testing.T) {
	c := qt.New(t)
	d := NewDownlink(DownlinkConfig{MaxPulls: 6})
	_, narrowed := receive(d, pieceSize, 1000, time.Unix(0, 0))
	c.Assert(narrowed, qt.IsFalse)
	c.Assert(d.MaxPulls(), qt.Equals, 6)
}

// A part that lay ready when the process read it must not make a narrow link wide: its
// request took long (narrow-rollout, seed 900562271879).
func TestLateReadsDoNotMakeALinkWide(t *testing.T) {
	c := qt.New(t)
	d := NewDownlink(DownlinkConfig{Rate: linkRate, MaxPulls: 6})
	now, narrowed := receive(d, pieceSize, linkRate/8, time.Unix(0, 0))
	c.Assert(narrowed, qt.IsTrue)
	for range 10 {
		d.Begin(now)
		d.Received(d.PartBytes(), now)
		d.End(d.PartBytes(), 60*time.Millisecond, now)
		c.Assert(d.Narrow(), qt.IsTrue)
		now = now.Add(60 * time.Millisecond)
	}
}
