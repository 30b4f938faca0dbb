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
	for _, answer := range rawserver.BeforeUpload("200 OK", "result") {
		url := "http://" + rawserver.StartSame(c, answer.Answer).Address()
		backend, want := newOperationBackend(url, newBackendGate(url, hclog.NewNullLogger())), operation.OutcomeUnknown
		if answer.Valid {
			want = operation.OutcomeCompleted
		}
		for n := range 3 * len(rawserver.UploadBytes) {
			size := rawserver.UploadBytes[n/3]
			result := backend.send(c.Context(), "", wire.Fence{}, "charge", bytes.Repeat([]byte("b"), size))
			c.Check(result.Outcome, qt.Equals, want, qt.Commentf("%d bytes, %s: %q", size, answer.Name, result.Body))
		}
	}
}
