package entry

import (
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/standin/rawserver"
)

// An agent's answer or refusal with a malformed field name says nothing about the request, which
// may have run.
func TestAnswerOfAnAgentWithAMalformedFieldName(t *testing.T) {
	c := qt.New(t)
	e := New(Config{ID: "entry", Logger: hclog.NewNullLogger()})
	frames := `{"request_id":"r","start":{"request_id":"r","version":"v1"}}` + "\n" + `{"request_id":"r","end":{"request_id":"r","version":"v1"}}` + "\n"
	refusal := `{"error":{"request_id":"r","kind":"overloaded","run":"not_run"}}` + "\n"
	for _, answer := range append(rawserver.WithFields("200 OK", frames), rawserver.WithFields("429 Busy", refusal)...) {
		call := &call{id: "r", service: settings.Service{Name: "s"}, deadline: time.Now().Add(time.Minute)}
		to := grant{address: rawserver.StartSame(c, answer.Answer).Address()}
		failure := e.stream(c.Context(), call, e.dispatcher.placement(call), to, newAnswerSink(httptest.NewRecorder(), call, time.Now()))
		c.Check(failure == nil || failure.Run == wire.RunNotRun, qt.Equals, answer.Valid, qt.Commentf("%s: %+v", answer.Name, failure))
	}
}
