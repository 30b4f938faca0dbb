package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/standin/rawserver"
)

// statusServer answers each request with a status line of its own and returns its address.
func statusServer(c *qt.C, status string) (address string) {
	return rawserver.Start(c, func(r *http.Request) rawserver.Answer {
		head := fmt.Sprintf("HTTP/1.1 %s\r\nId: %s\r\nSignature: s\r\n", status, r.Header.Get("Id"))
		return rawserver.Answer{Bytes: rawserver.ByLength.Whole(head, "body"), ReadFirst: rawserver.WholeBody}
	}).Address()
}

// A status that ends no request is no answer. Passed on, one below 100 made the handler panic
// and closed the caller's connection without an answer, and 101 left the caller waiting.
func TestAnswerWithoutFinalStatus(t *testing.T) {
	for _, status := range []string{"000 Zero", "099 Low", "101 Switching Protocols"} {
		for _, path := range []string{"/order/1", "/read/1", "/stream/1", "/once/1"} {
			t.Run(status+path, func(t *testing.T) {
				c := qt.New(t)
				r := newTestGateway(c)
				r.PutServer(placement.Server{ID: "s0", Address: statusServer(c, status), Service: "svc", Zone: "z"})
				_, address := r.listenForCallers(c, 0)
				conn, err := net.Dial("tcp4", address)
				c.Assert(err, qt.IsNil)
				defer func() { _ = conn.Close() }()
				_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nLeft: 1500\r\nKey: key\r\nContent-Length: 4\r\n\r\nbody", path)
				c.Assert(err, qt.IsNil)
				_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				c.Assert(err, qt.IsNil)
				c.Check(resp.StatusCode, qt.Equals, http.StatusBadGateway)
			})
		}
	}
}

// answerStatusZero answers with the status 000 and a header that says that nothing has run.
func answerStatusZero(w http.ResponseWriter, r *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 000 Zero\r\nId: %s\r\nSignature: s\r\nNot-Run: 1\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), len(errorText), errorText)
}

// A status that ends no request must neither end a begun stream as if it were whole, nor be
// passed on by a run beside a silent server.
func TestNoFinalStatusInFurtherAttempts(t *testing.T) {
	t.Run("rest of a begun stream", func(t *testing.T) {
		t.Parallel()
		c := qt.New(t)
		var r *testGateway
		second := newServer(c, answerStatusZero)
		first := newServer(c, breakBeside(func() { r.addServer("second", second.URL, nil) }))
		r = resumeGateway(c)
		r.addServer("first", first.URL, nil)
		got := r.call(c, "/stream/1", "request")
		c.Check(second.count(), qt.Equals, 1)
		c.Check(got.err, qt.IsNotNil, qt.Commentf("a broken stream looks whole"))
		c.Check(got.body, qt.Not(qt.Contains), errorText)
	})
	for _, at := range []silencePoint{silentBeforeHeader, silentBetweenEvents} {
		t.Run("beside a server silent "+string(at), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			silent, other := newServer(c, silentStream(at, 2500*time.Millisecond)), newServer(c, answerStatusZero)
			got := besideSilent(c, silenceGateway(c, silent), "/stream/1", silent, other)
			c.Check(other.count(), qt.Equals, 1)
			c.Check(got.err, qt.IsNil)
			c.Check(got.body, qt.Equals, wholeStream)
		})
	}
}

// panickingCodec panics where a request to a server is prepared.
type panickingCodec struct{ testCodec }

func (panickingCodec) Prepare(http.Header, AttemptInfo) { panic("codec") }

// A handler that panics closes its caller's connection. The log must tell which request that
// was: without a line it looks as if the caller had left.
func TestPanicOfAHandlerIsLogged(t *testing.T) {
	c := qt.New(t)
	r := newTestGateway(c, newServer(c, answerWith(http.StatusOK)))
	r.cfg.Codec = panickingCodec{}
	ctx, stopLog := context.WithCancel(context.Background())
	logged := make(chan struct{})
	go func() { r.cfg.Log.Run(ctx); close(logged) }()
	c.Check(func() { r.post("/order/1") }, qt.PanicMatches, "codec")
	stopLog()
	<-logged
	c.Check(r.log.String(), qt.Contains, `"handler_panicked"`)
	c.Check(r.log.String(), qt.Contains, `"request":"/order/1"`)
}
