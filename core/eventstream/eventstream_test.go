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

// A second run of a request may repeat events that the caller already has, or
// skip some. The caller must receive each event once and without a gap.
func TestSequenceOverTwoRuns(t *testing.T) {
	c := qt.New(t)
	s := NewSequence(0, false)
	for id := int64(1); id <= 3; id++ {
		ok, err := s.Accept(id)
		c.Assert(err, qt.IsNil)
		c.Assert(ok, qt.IsTrue)
	}
	for id := int64(1); id <= 3; id++ {
		ok, err := s.Accept(id)
		c.Assert(err, qt.IsNil)
		c.Assert(ok, qt.IsFalse)
	}
	_, err := s.Accept(5)
	c.Assert(err, qt.Equals, ErrGap)
	ok, err := s.Accept(4)
	c.Assert(err, qt.IsNil)
	c.Assert(ok, qt.IsTrue)
	last, has := s.Last()
	c.Assert(has, qt.IsTrue)
	c.Assert(last, qt.Equals, int64(4))
}

// A caller that resumes a stream must not receive events that it already has.
func TestSequenceOfResumingCaller(t *testing.T) {
	c := qt.New(t)
	s := NewSequence(12, true)
	ok, err := s.Accept(12)
	c.Assert(err, qt.IsNil)
	c.Assert(ok, qt.IsFalse)
	ok, err = s.Accept(13)
	c.Assert(err, qt.IsNil)
	c.Assert(ok, qt.IsTrue)
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
