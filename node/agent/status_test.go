package agent

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/laburnumloft/laburnumloft/core/operation"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/standin/rawserver"
)

// listenWithStatus returns the URL of a backend server that answers with a status line and a
// refusal that says that nothing has run. Further lines of the head may follow the status.
func listenWithStatus(c *qt.C, status string) string {
	answer := rawserver.ByLength.Whole("HTTP/1.1 "+status+"\r\nContent-Type: application/json\r\n", refusal503)
	return "http://" + rawserver.StartSame(c, rawserver.Answer{Bytes: answer, ReadFirst: rawserver.WholeBody}).Address()
}

// A status that ends no request is no answer: what was sent may have run. An operation was
// reported as failed with status 0, a request as not run, and a load order as refused. The same
// holds for a head with a malformed field, and what either says about the server must not count.
func TestAnswerWithoutFinalStatusIsNone(t *testing.T) {
	statuses := []string{"000 Zero", "001 One", "099 Low", "101 Switching Protocols"}
	for _, line := range rawserver.MalformedFields() {
		statuses = append(statuses, "200 OK\r\n"+line, "503 Full\r\nRetry-After: 20\r\n"+line, "103 Hints\r\n"+line+"\r\n\r\nHTTP/1.1 429 Busy")
	}
	for _, status := range statuses {
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
			_, err = engine.status(c.Context())
			c.Check(err, qt.IsNotNil)
			c.Check(gate.wait(time.Now()), qt.Equals, time.Duration(0))
		})
	}
}
