package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/standin/rawserver"
)

// rawGateway is a gateway in front of one server whose answers are written byte by byte. fields
// are those that the gateway expects in an answer.
func rawGateway(c *qt.C, answer func(fields string) rawserver.Answer) *testGateway {
	s := rawserver.Start(c, func(r *http.Request) rawserver.Answer {
		return answer(fmt.Sprintf("Id: %s\r\nSignature: s\r\n", r.Header.Get("Id")))
	})
	r := newTestGateway(c)
	cfg := configuration(2)
	cfg.Limits.MaxBodyBytes = int64(rawserver.UploadBytes[2])
	r.Configure(cfg, "test")
	r.PutServer(placement.Server{ID: "s0", Address: s.Address(), Service: "svc", Zone: "z"})
	return r
}

// oneEvent is the body of an answer: one whole event, so that a part of a stream looks whole.
const oneEvent = "id: 1\ndata: t1\n\n"

var allPaths = []string{"/order/1", "/read/1", "/stream/1", "/once/1"}

// A server may answer before it has read the request, send a part of the answer and reset the
// connection. The part was passed on as a whole answer if only the connection's end delimits it.
func TestAnswerCutByAResetDuringTheUpload(t *testing.T) {
	heads := []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n", "HTTP/1.0 200 OK\r\n"}
	for _, path := range allPaths {
		for _, pause := range rawserver.ResetPauses {
			t.Run(fmt.Sprint(path, pause), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				var answers atomic.Int32
				r := rawGateway(c, func(fields string) rawserver.Answer {
					bytes := rawserver.ByConnection.Cut(heads[int(answers.Add(1))%len(heads)]+fields, oneEvent)
					return rawserver.Answer{Bytes: bytes, Pause: pause, End: rawserver.Reset}
				})
				for n := range len(rawserver.UploadBytes) * len(heads) {
					size := rawserver.UploadBytes[n/len(heads)]
					if resp, body, err := r.do(c, http.MethodPost, path, strings.Repeat("b", size)); err == nil {
						c.Check(resp.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf("%d bytes: %q", size, body))
					}
				}
			})
		}
	}
}

// A whole answer may come before the request has been read.
func TestWholeAnswerBeforeTheUploadIsRead(t *testing.T) {
	c := qt.New(t)
	for _, path := range allPaths {
		for _, framing := range []rawserver.Framing{rawserver.ByConnection, rawserver.ByLength, rawserver.ByChunks} {
			for _, status := range []int{http.StatusOK, http.StatusRequestEntityTooLarge} {
				r := rawGateway(c, func(fields string) rawserver.Answer {
					return rawserver.Answer{Bytes: framing.Whole(fmt.Sprintf("HTTP/1.1 %d Text\r\n%s", status, fields), oneEvent)}
				})
				resp, body, err := r.do(c, http.MethodPost, path, strings.Repeat("b", rawserver.UploadBytes[2]))
				c.Assert(err, qt.IsNil, qt.Commentf("%s, by %s, %d", path, framing, status))
				c.Check(resp.StatusCode, qt.Equals, status)
				c.Check(body, qt.Equals, oneEvent)
			}
		}
	}
}

// The name of a field may hold a blank or a control byte, in the head of an answer or of an
// interim response. With a blank it was passed on without the line, and with the sizes of the
// chunks in its body if the line was to announce them.
func TestAnswerWithAMalformedFieldName(t *testing.T) {
	c := qt.New(t)
	for _, path := range allPaths {
		for _, head := range []string{"200 OK\r\n%s", "500 Failed\r\n%s", "503 Full\r\nNot-Run: 1\r\n%s", "103 Hints\r\n%s\r\n\r\nHTTP/1.1 200 OK"} {
			for _, line := range rawserver.MalformedFields() {
				r := rawGateway(c, func(fields string) rawserver.Answer {
					return rawserver.Answer{Bytes: "HTTP/1.1 " + fmt.Sprintf(head, line) + "\r\n" + fields + "\r\n" + oneEvent, ReadFirst: rawserver.WholeBody}
				})
				resp, body, err := r.do(c, http.MethodPost, path, "request")
				c.Assert(err, qt.IsNil)
				c.Check(resp.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf("%s, %q: %q", path, fmt.Sprintf(head, line), body))
			}
		}
	}
}
