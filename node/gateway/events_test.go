package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/eventstream"
	"github.com/laburnumloft/laburnumloft/core/placement"
)

const twoEvents = "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n"

// Events that arrive in one read with the failure that ends their run must reach the caller:
// its connection was closed without a byte, though its events were in hand.
func TestEventsBeforeAFailureReachTheCaller(t *testing.T) {
	tooLong := make([]byte, eventstream.MaxEventBytes+1)
	for _, test := range []struct{ name, rest string }{
		{"event without an id", "data: t3\n\n"},
		{"id that is no number", "id: three\n\n"},
		{"event that is too long", string(tooLong)},
	} {
		for _, path := range []string{"/stream/1", "/once/1"} {
			t.Run(test.name+path, func(t *testing.T) {
				c := qt.New(t)
				var arrivals atomic.Int32
				r := newTestGateway(c)
				r.PutServer(placement.Server{ID: "s0", Address: newUnframedServer(c, &arrivals, unframedEvents(2, test.rest, closed)), Service: "svc", Zone: "z"})
				got := r.call(c, path, "request")
				c.Check(got.status, qt.Equals, 200)
				c.Check(got.body, qt.Equals, twoEvents)
				c.Check(got.err, qt.IsNotNil, qt.Commentf("a broken stream looks whole"))
			})
		}
	}
}

// numberedAnswer sends the events with these ids that follow the caller's last one. Unless it
// resumes a stream, it breaks off before the id end.
func numberedAnswer(ids []int64, how delivery, end int64) answerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "s")
		last, err := strconv.ParseInt(r.Header.Get("Last"), 10, 64)
		resumes := err == nil
		for _, id := range ids {
			if resumes && (id < last || id == last && !how.repeatsLast) {
				continue
			}
			if !resumes && id == end {
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, numbered(id))
			if !how.inOneWrite {
				_ = http.NewResponseController(w).Flush()
			}
		}
	}
}

// delivery is how a server writes events.
type delivery struct{ inOneWrite, repeatsLast bool }

func numbered(ids ...int64) string {
	text := ""
	for _, id := range ids {
		text += fmt.Sprintf("id: %d\ndata: t%d\n\n", id, id)
	}
	return text
}

// Servers may number events by any increasing ids, such as the tokens written so far. Streams
// whose ids increase by more than one were taken for broken and closed without a byte.
func TestStreamsWithAnyIncreasingIDs(t *testing.T) {
	for _, ids := range [][]int64{{1, 2, 3, 4, 5}, {5, 10, 15, 20, 25}, {7, 9, 30, 31, 70}, {0, 5, 10, 15, 20}, {900, 1000, 1001, 2000, 2001}, {1, 1000004, 2000007, 1 << 62, 1<<63 - 1}} {
		for _, how := range []delivery{{}, {inOneWrite: true}, {repeatsLast: true}, {true, true}} {
			for _, test := range []struct {
				name, path string
				brokenAt   int64
			}{{"whole", "/stream/1", -1}, {"not resumable", "/once/1", -1}, {"resumed after two", "/stream/1", ids[2]}, {"resumed after four", "/stream/1", ids[4]}} {
				t.Run(fmt.Sprint(ids, how, test.name), func(t *testing.T) {
					t.Parallel()
					c := qt.New(t)
					answer := numberedAnswer(ids, how, test.brokenAt)
					r := newTestGateway(c, newServer(c, answer), newServer(c, answer))
					got := r.call(c, test.path, "request")
					c.Check(got.err, qt.IsNil)
					c.Check(got.body, qt.Equals, numbered(ids...))
				})
			}
		}
	}
}

// Events of a run whose ids fall or repeat may be those of two runs: the caller gets those
// before, and the stream goes on at another server or is broken off.
func TestStreamEndsWhereIDsDoNotIncrease(t *testing.T) {
	for _, ids := range [][]int64{{10, 20, 15, 30}, {10, 20, 20, 30}, {10, 20, 10, 20, 30}} {
		for _, path := range []string{"/stream/1", "/once/1"} {
			t.Run(fmt.Sprint(ids, path), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				var arrivals atomic.Int32
				faulty := func(int) unframedAnswer { return unframedAnswer{status: "200 OK", body: numbered(ids...)} }
				sound := func(last int) unframedAnswer {
					return unframedAnswer{status: "200 OK", body: numbered(int64(last+10), int64(last+20))}
				}
				address := newUnframedServer(c, &arrivals, faulty, sound)
				r := newTestGateway(c)
				for _, id := range []string{"a", "b"} {
					r.PutServer(placement.Server{ID: id, Address: address, Service: "svc", Zone: "z"})
				}
				got := r.call(c, path, "request")
				if path == "/once/1" {
					c.Check(got.err, qt.IsNotNil, qt.Commentf("a broken stream looks whole"))
					c.Check(got.body, qt.Equals, numbered(10, 20))
					return
				}
				c.Check(got.err, qt.IsNil)
				c.Check(got.body, qt.Equals, numbered(10, 20, 30, 40))
			})
		}
	}
}
