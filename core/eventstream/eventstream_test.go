package eventstream

import (
	"bytes"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func event(id int) string { return fmt.Sprintf("id: %d\ndata: tokens %d\n\n", id, id) }

// Bytes may arrive in fragments of any size. The splitter must return an event
// only when it is complete.
func TestSplitterReturnsCompleteEvents(t *testing.T) {
	c := qt.New(t)
	all := event(1) + event(2) + "id: 3\ndata: cut"
	for size := 1; size < len(all); size++ {
		var s Splitter
		var got []int64
		for rest := []byte(all); len(rest) > 0; {
			n := min(size, len(rest))
			s.Write(rest[:n])
			rest = rest[n:]
			for {
				e, ok, err := s.Next()
				c.Assert(err, qt.IsNil)
				if !ok {
					break
				}
				c.Assert(string(e.Raw), qt.Equals, event(int(e.ID)))
				got = append(got, e.ID)
			}
		}
		c.Assert(got, qt.DeepEquals, []int64{1, 2})
		c.Assert(s.Buffered(), qt.Equals, len("id: 3\ndata: cut"))
	}
}

// Malformed input must end the attempt and must not fill the memory.
func TestSplitterRefusesGarbage(t *testing.T) {
	c := qt.New(t)
	var s Splitter
	s.Write(bytes.Repeat([]byte("x"), MaxEventBytes+1))
	_, _, err := s.Next()
	c.Assert(err, qt.Equals, ErrTooLong)
	for _, raw := range []string{"data: no id\n\n", "id: abc\n\n", "id:\n\n"} {
		var s Splitter
		s.Write([]byte(raw))
		_, _, err := s.Next()
		c.Assert(err, qt.Equals, ErrNoID, qt.Commentf("%q", raw))
	}
}

// accept passes the ids of a whole run and returns those that are to be forwarded up to the
// first error.
func accept(r *Run, ids ...int64) (forwarded []int64, err error) {
	for _, id := range ids {
		forward, err := r.Accept(id)
		if err != nil {
			return forwarded, err
		}
		if forward {
			forwarded = append(forwarded, id)
		}
	}
	return forwarded, r.End()
}

// Engines number events in their own way, so that ids may increase by any amount. A stream
// with ids that were not consecutive was taken for broken.
func TestRunAcceptsIncreasingIDs(t *testing.T) {
	for _, ids := range [][]int64{{1, 2, 3}, {5, 10, 15}, {0, 7, 8, 900}, {-3, 1<<62 + 1, 1<<63 - 1}} {
		c := qt.New(t)
		got, err := accept(NewSequence(0, false).NewRun(), ids...)
		c.Check(err, qt.IsNil)
		c.Check(got, qt.DeepEquals, ids)
	}
}

// Events of one run whose ids fall or repeat may be those of two runs in one answer. The
// caller must get none of them.
func TestRunRefusesIDsThatDoNotIncrease(t *testing.T) {
	for _, test := range []struct{ ids, forwarded []int64 }{
		{[]int64{1, 2, 2, 3}, []int64{1, 2}},
		{[]int64{1, 2, 3, 1, 2, 3, 4}, []int64{1, 2, 3}},
		{[]int64{10, 20, 15, 30}, []int64{10, 20}},
	} {
		c := qt.New(t)
		got, err := accept(NewSequence(0, false).NewRun(), test.ids...)
		c.Check(err, qt.Equals, ErrNotIncreasing)
		c.Check(got, qt.DeepEquals, test.forwarded)
	}
}

// A second run may begin with events that the caller already has. The caller must receive
// each event once, and none of a run that numbers its events in another way.
func TestSequenceOverTwoRuns(t *testing.T) {
	for _, test := range []struct {
		second, forwarded []int64
		err               error
	}{
		{second: []int64{1, 2, 3, 4}, forwarded: []int64{4}},
		{second: []int64{3, 5}, forwarded: []int64{5}},
		{second: []int64{5, 9}, forwarded: []int64{5, 9}},
		{second: []int64{1, 2, 3}},
		{second: []int64{1, 2}, err: ErrOtherNumbers},
		{second: []int64{1, 2, 5}, err: ErrOtherNumbers},
		{second: []int64{2, 4}, err: ErrOtherNumbers},
		{second: []int64{3, 3, 4}, err: ErrNotIncreasing},
		{second: []int64{3, 2, 4}, err: ErrNotIncreasing},
	} {
		c := qt.New(t)
		s := NewSequence(0, false)
		_, err := accept(s.NewRun(), 1, 2, 3)
		c.Assert(err, qt.IsNil)
		got, err := accept(s.NewRun(), test.second...)
		c.Check(err, qt.Equals, test.err, qt.Commentf("%v", test.second))
		c.Check(got, qt.DeepEquals, test.forwarded, qt.Commentf("%v", test.second))
		last, has := s.Last()
		c.Check(has, qt.IsTrue)
		c.Check(last, qt.Equals, append([]int64{3}, got...)[len(got)])
	}
}

// A caller that resumes a stream must not receive events that it already has.
func TestSequenceOfResumingCaller(t *testing.T) {
	c := qt.New(t)
	got, err := accept(NewSequence(12, true).NewRun(), 12, 13)
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.DeepEquals, []int64{13})
}

func FuzzSplitter(f *testing.F) {
	f.Add([]byte(event(1)+event(2)), 3)
	f.Add([]byte("id: 1\n\n\n\nid: x\n\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		if size < 1 {
			size = 1
		}
		var s Splitter
		var out []byte
		for rest := data; len(rest) > 0; {
			n := min(size, len(rest))
			s.Write(rest[:n])
			rest = rest[n:]
			for {
				e, ok, err := s.Next()
				if err != nil {
					return
				}
				if !ok {
					break
				}
				out = append(out, e.Raw...)
			}
		}
		if len(out)+s.Buffered() != len(data) || !bytes.HasPrefix(data, out) {
			t.Fatalf("splitter returned %d bytes and buffers %d bytes of an input of %d bytes", len(out), s.Buffered(), len(data))
		}
	})
}
