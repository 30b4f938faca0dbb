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

	"github.com/laburnumloft/laburnumloft/core/operation"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// listenWithStatus returns the URL of a backend server that answers with a status line and a
// refusal that says that nothing has run.
func listenWithStatus(c *qt.C, status string) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(refusal503), refusal503)
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// A status that ends no request is no answer: what was sent may have run. An operation was
// reported as failed with status 0, a request as not run, and a load order as refused.
func TestAnswerWithoutFinalStatusIsNone(t *testing.T) {
	for _, status := range []string{"000 Zero", "001 One", "099 Low", "101 Switching Protocols"} {
		t.Run(status, func(t *testing.T) {
			c := qt.New(t)
			url := listenWithStatus(c, status)
			gate := newBackendGate(url, hclog.NewNullLogger())

			result := newOperationBackend(url, gate).send(c.Context(), "ticket", wire.Fence{}, "charge", []byte("{}"))
			c.Check(result, qt.DeepEquals, operation.Result{Outcome: operation.OutcomeUnknown})

			engine := newEngineClient(url, gate)
			_, err := engine.generate(c.Context(), wire.AgentRequest{RequestID: "r", MaxTokens: 1})
			c.Assert(err, qt.IsNotNil)
			var refused *wire.Error
			c.Check(errors.As(err, &refused), qt.IsFalse, qt.Commentf("%v", err))

			answered, err := engine.load(c.Context(), wire.LoadOrder{Model: "m", Version: "v1"})
			c.Check(err, qt.IsNotNil)
			c.Check(answered, qt.IsFalse)
		})
	}
}
