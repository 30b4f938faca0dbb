package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// An inquiry must ask another source while one is silent, must not wait for one that
// failed, and must end before the bound however many are silent.
func TestInquiry(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	cfg := InquiryConfig{Sources: 5, FirstPatience: 800 * time.Millisecond, Patience: 250 * time.Millisecond, AtOnce: 2, Timeout: 1500 * time.Millisecond}
	q := NewInquiry(cfg, start)
	expect := func(now time.Time, ask []int, again time.Time, over bool) {
		c.Helper()
		gotAsk, gotAgain, gotOver := q.Next(now)
		c.Check(gotAsk, qt.DeepEquals, ask)
		c.Check(gotAgain, qt.Equals, again)
		c.Check(gotOver, qt.Equals, over)
	}
	expect(at(0), []int{0}, at(800), false)
	expect(at(700), nil, at(800), false)
	expect(at(800), []int{1, 2}, at(1050), false)
	c.Check(q.Silent(at(800)), qt.DeepEquals, []int{0})
	c.Check(q.Overtaken(2), qt.DeepEquals, []int{0, 1})
	// One that fails leaves the other one its time.
	q.RecordFailure(1)
	expect(at(810), nil, at(1050), false)
	// Without it there is nothing to wait for.
	q.RecordFailure(2)
	expect(at(820), []int{3, 4}, at(1070), false)
	expect(at(1070), nil, time.Time{}, true)
	c.Check(q.Silent(at(1070)), qt.DeepEquals, []int{0, 3, 4})

	q = NewInquiry(cfg, start)
	expect(at(0), []int{0}, at(800), false)
	expect(at(1400), []int{1, 2}, at(1500), false)
	expect(at(1500), nil, time.Time{}, true)

	q = NewInquiry(InquiryConfig{Sources: 0, Timeout: time.Second}, start)
	expect(at(0), nil, time.Time{}, true)
}
