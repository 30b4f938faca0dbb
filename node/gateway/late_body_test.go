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
)

// A body that is whole but was not read before the request's deadline, as after a stall of the
// process, is refused with 408 or 503. The refusal must reach the caller although the rest of
// the body is unread when the connection is closed.
func TestRefusalOfAnUnreadBodyReachesTheCaller(t *testing.T) {
	c := qt.New(t)
	r := newTestGateway(c, newServer(c, answerWith(http.StatusOK)))
	cfg := configuration(2)
	cfg.Limits.MaxBodyBytes = 4 << 20
	r.Configure(cfg, "test")
	_, address := r.listenForCallers(c, 0)
	statuses := map[int]int{}
	for n := range 200 {
		size := []int{60_000, 1 << 20, 3 << 20}[n%3]
		conn, err := net.Dial("tcp4", address)
		c.Assert(err, qt.IsNil)
		text := fmt.Sprintf("POST /order/1 HTTP/1.1\r\nHost: h.example\r\nId: %d\r\nLeft: 1\r\nKey: key\r\nContent-Length: %d\r\n\r\n%s", n, size, strings.Repeat("b", size))
		sent := make(chan error, 1)
		go func() {
			_, err := io.WriteString(conn, text)
			sent <- err
		}()
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		// The whole request is sent before the answer is read.
		sendErr := <-sent
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		if err != nil {
			statuses[0]++
			c.Errorf("size %d: sent %v, answer %v", size, sendErr, err)
		} else {
			statuses[resp.StatusCode]++
		}
		_ = conn.Close()
	}
	c.Logf("statuses %v", statuses)
}
