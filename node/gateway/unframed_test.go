package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/standin/rawserver"
)

// Ends of a connection.
const (
	closed = rawserver.Orderly
	reset  = rawserver.Reset
)

// unframedAnswer is an answer with neither a length nor chunks.
type unframedAnswer struct {
	status, header, body string
	ending               rawserver.End
	// cutHead ends the connection in the middle of the head.
	cutHead bool
}

// newUnframedServer returns the address of a server with one answer per request;
// the last one repeats. Its streams go on after the caller's last event.
func newUnframedServer(c *qt.C, arrivals *atomic.Int32, answers ...func(last int) unframedAnswer) string {
	return rawserver.Start(c, func(req *http.Request) rawserver.Answer {
		last, _ := strconv.Atoi(req.Header.Get("Last"))
		n := int(arrivals.Add(1)) - 1
		a := answers[min(n, len(answers)-1)](last)
		bytes := fmt.Sprintf("HTTP/1.1 %s\r\nId: %s\r\nSignature: s\r\n", a.status, req.Header.Get("Id"))
		if !a.cutHead {
			bytes += a.header + "\r\n" + a.body
		}
		return rawserver.Answer{Bytes: bytes, ReadFirst: rawserver.WholeBody, End: a.ending}
	}).Address()
}

// cutHead is an answer that ends in the middle of its head.
func cutHead(int) unframedAnswer { return unframedAnswer{status: "200 OK", cutHead: true} }

// errorText is in the answers of servers that fail.
const errorText = "error text"

func failed(status string) func(int) unframedAnswer {
	return func(int) unframedAnswer { return unframedAnswer{status: status, body: errorText} }
}

func plain(body string, end rawserver.End) func(int) unframedAnswer {
	return func(int) unframedAnswer { return unframedAnswer{status: "200 OK", body: body, ending: end} }
}

// unframedEvents sends the events after the caller's last one up to end, and then
// the rest as it is.
func unframedEvents(end int, rest string, how rawserver.End) func(int) unframedAnswer {
	return func(last int) unframedAnswer {
		body := ""
		for i := last + 1; i <= end; i++ {
			body += fmt.Sprintf("id: %d\ndata: t%d\n\n", i, i)
		}
		return unframedAnswer{status: "200 OK", header: "Content-Type: text/event-stream\r\n", body: body + rest, ending: how}
	}
}

// framedEmpty is a stream without events whose end can be seen.
func framedEmpty(int) unframedAnswer {
	return unframedAnswer{status: "200 OK", header: "Content-Type: text/event-stream\r\nContent-Length: 0\r\n"}
}

// An answer may have neither a length nor chunks and end with its connection. A
// caller must get it whole, and never a part of one that looks whole.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	type answers = []func(int) unframedAnswer
	whole := "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n"
	refusal := func(int) unframedAnswer {
		return unframedAnswer{status: "503 Full", header: "Not-Run: 1\r\n", body: errorText}
	}
	for _, test := range []struct {
		name, path string
		answers    answers
		status     int
		body       string
		arrivals   int32
	}{
		{"order", "/order/1", answers{plain("body", closed)}, 200, "body", 1},
		{"order, reset", "/order/1", answers{plain("bo", reset), plain("body", closed)}, 502, "", 1},
		{"order, not run", "/order/1", answers{refusal, plain("body", closed)}, 200, "body", 2},
		{"read", "/read/1", answers{plain("body", closed)}, 200, "body", 1},
		{"read, reset", "/read/1", answers{plain("bo", reset), plain("body", closed)}, 200, "body", 2},
		{"stream", "/stream/1", answers{unframedEvents(3, "", closed)}, 200, whole, 1},
		{"stream, ended inside an event", "/stream/1", answers{unframedEvents(2, "id: 3\nda", closed), unframedEvents(3, "", closed)}, 200, whole, 2},
		{"stream, ended inside the blank line", "/stream/1", answers{unframedEvents(2, "id: 3\ndata: t3\n", closed), unframedEvents(3, "", closed)}, 200, whole, 2},
		{"stream, reset at the edge of an event", "/stream/1", answers{unframedEvents(2, "", reset), unframedEvents(3, "", closed)}, 200, whole, 2},
		{"stream, ended before the first event", "/stream/1", answers{unframedEvents(0, "", closed), unframedEvents(3, "", closed)}, 200, whole, 2},
		{"stream, broken inside an event that the next server lacks", "/stream/1", answers{unframedEvents(3, "id: 4", closed), unframedEvents(3, "", closed)}, 0, "", 2},
		{"stream, broken after its first event, no event from the next server", "/stream/1", answers{unframedEvents(1, "", reset), unframedEvents(1, "", closed)}, 0, "", 2},
		{"stream, broken, no event from the next server in an answer with an end", "/stream/1", answers{unframedEvents(3, "", reset), framedEmpty}, 200, whole, 2},
		{"stream, broken, error from the next server", "/stream/1", answers{unframedEvents(1, "", reset), failed("500 Failed")}, 0, "", 2},
		{"stream, broken, caller's error from the next server", "/stream/1", answers{unframedEvents(1, "", reset), failed("404 Not Found")}, 0, "", 2},
		{"stream, broken, refusal from the next server", "/stream/1", answers{unframedEvents(1, "", reset), refusal}, 0, "", 2},
		{"stream, broken, the next head is cut", "/stream/1", answers{unframedEvents(1, "", reset), cutHead}, 0, "", 2},
		{"stream, head is cut", "/stream/1", answers{cutHead, unframedEvents(3, "", closed)}, 200, whole, 2},
		{"non-resumable stream, head is cut", "/once/1", answers{cutHead, unframedEvents(3, "", closed)}, 502, "", 1},
		{"order, head is cut", "/order/1", answers{cutHead, plain("body", closed)}, 502, "", 1},
		{"read, head is cut", "/read/1", answers{cutHead, plain("body", closed)}, 200, "body", 2},
		{"non-resumable stream", "/once/1", answers{unframedEvents(3, "", closed)}, 200, whole, 1},
		{"non-resumable stream, ended inside its first event", "/once/1", answers{unframedEvents(0, "id: 1", closed), unframedEvents(3, "", closed)}, 502, "", 1},
		{"non-resumable stream, ended before the first event", "/once/1", answers{unframedEvents(0, "", closed), unframedEvents(3, "", closed)}, 502, "", 1},
		{"non-resumable stream, ended inside an event", "/once/1", answers{unframedEvents(2, "id: 3\n", closed), unframedEvents(3, "", closed)}, 0, "", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var arrivals atomic.Int32
			address := newUnframedServer(c, &arrivals, test.answers...)
			r := newTestGateway(c)
			for _, id := range []string{"a", "b"} {
				r.PutServer(placement.Server{ID: id, Address: address, Service: "svc", Zone: "z"})
			}
			resp, body, err := r.do(c, http.MethodPost, test.path, "payload")
			c.Check(arrivals.Load(), qt.Equals, test.arrivals)
			c.Check(strings.Contains(body, errorText), qt.IsFalse, qt.Commentf("the text of an error is in the answer"))
			if test.status == 0 {
				c.Assert(err, qt.Not(qt.IsNil), qt.Commentf("an incomplete stream looks complete"))
				return
			}
			c.Assert(err, qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, test.status)
			if test.body != "" {
				c.Check(body, qt.Equals, test.body)
			}
		})
	}
}
