package agent

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/laburnumloft/laburnumloft/core/operation"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/standin/rawserver"
)

// An operation whose connection is reset while its arguments are being sent was reported as
// completed, with a part of the answer as its result.
func TestOperationCutByAResetDuringTheUpload(t *testing.T) {
	c := qt.New(t)
	part := rawserver.ByConnection.Cut("HTTP/1.1 200 OK\r\n", "result")
	for _, answer := range append(rawserver.Resets(part), rawserver.Early(part)) {
		url := "http://" + rawserver.StartSame(c, answer).Address()
		backend, want := newOperationBackend(url, newBackendGate(url, hclog.NewNullLogger())), operation.OutcomeUnknown
		if answer.End == rawserver.Orderly {
			want = operation.OutcomeCompleted
		}
		for n := range 3 * len(rawserver.UploadBytes) {
			size := rawserver.UploadBytes[n/3]
			result := backend.send(c.Context(), "", wire.Fence{}, "charge", bytes.Repeat([]byte("b"), size))
			c.Check(result.Outcome, qt.Equals, want, qt.Commentf("%d bytes, reset after %v: %q", size, answer.Pause, result.Body))
		}
	}
}
