package agent

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// refusal is an engine's answer to a request that it does not run.
const refusal503 = `{"error":{"kind":"unavailable","message":"full","run":"not_run"}}` + "\n"

// repeatingEngine refuses the first request of each connection and, when the next one
// arrives on it, sends the refusal once more before it answers.
func repeatingEngine(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	refuse := func() {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(refusal503), refusal503)
	}
	for n := 0; ; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		refuse()
		if n > 0 {
			answer := `{"end":{"tokens":0,"version":"v1"}}` + "\n"
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
		}
	}
}

// A faulty engine may send a refusal once more on a kept connection. A request that it
// then runs must not be taken for refused, because the entry would run it elsewhere, too.
func TestRepeatedRefusalOnAConnection(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	connections := make(chan struct{}, 16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections <- struct{}{}
			go repeatingEngine(conn)
		}
	}()
	url := "http://" + listener.Addr().String()
	engine := newEngineClient(url, newBackendGate(url, hclog.NewNullLogger()))
	const requests = 4
	for n := range requests {
		resp, err := engine.generate(c.Context(), wire.AgentRequest{RequestID: fmt.Sprint("r", n), MaxTokens: 1})
		// Each connection's first request is refused; a request on a connection that
		// was used before would be answered with the copy.
		var refused *wire.Error
		c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v %v", resp, err))
	}
	c.Check(len(connections), qt.Equals, requests, qt.Commentf("requests shared connections, and the copy of a refusal answered a request that ran"))
}
