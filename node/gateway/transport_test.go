package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/placement"
)

// lateReader accepts connections, reads nothing for a while, then the whole request, and
// answers it.
func lateReader(c *qt.C, silence time.Duration) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		<-time.After(silence)
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		const event = "id: 1\ndata: t1\n\n"
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", req.Header.Get("Id"), len(event), event)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// A server may read nothing for a second or two. Its connection must not be given up while
// bytes of a request wait for it: an order can't be sent again.
func TestServerThatReadsLateIsNotGivenUp(t *testing.T) {
	body := strings.Repeat("x", 4<<20)
	for _, path := range []string{"/order/1", "/read/1", "/stream/1", "/once/1"} {
		for _, silence := range []time.Duration{1000, 1500, 2000, 2500, 3500} {
			silence *= time.Millisecond
			t.Run(fmt.Sprintf("%s/%v", path, silence), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				r := newTestGateway(c)
				cfg := configuration(2)
				cfg.Limits.MaxBodyBytes = 8 << 20
				for i := range cfg.Routes {
					cfg.Routes[i].Timeout = 6 * time.Second
				}
				c.Assert(r.Configure(cfg, "test"), qt.IsTrue)
				r.PutServer(placement.Server{ID: "late", Address: lateReader(c, silence), Service: "svc", Zone: "z"})
				req := r.request(c, http.MethodPost, path, body)
				req.Header.Set("Left", "6000")
				resp, err := http.DefaultClient.Do(req)
				c.Assert(err, qt.IsNil)
				defer func() { _ = resp.Body.Close() }()
				_, err = io.ReadAll(resp.Body)
				c.Check(err, qt.IsNil)
				c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
			})
		}
	}
}
