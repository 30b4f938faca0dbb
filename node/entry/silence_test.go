package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/options"
)

// TestQueueOfAnAgentIsNoSilence guards against an answer that is given up because the wait in
// the agent's queue and the silence of the engine, each in its bound, add up to the stall
// timeout.
func TestQueueOfAnAgentIsNoSilence(t *testing.T) {
	c := qt.New(t)
	const queued, silent = 900 * time.Millisecond, 1500 * time.Millisecond
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-time.After(queued + silent)
		id := r.Header.Get(requestIDHeader)
		_, _ = fmt.Fprintf(w, `{"request_id":%q,"start":{"request_id":%q,"version":"v1"}}`+"\n", id, id)
		_, _ = fmt.Fprintf(w, `{"request_id":%q,"end":{"request_id":%q,"version":"v1"}}`+"\n", id, id)
	}))
	defer agent.Close()
	e := New(Config{ID: "entry", StallTimeout: options.MinStallTimeout, Logger: hclog.NewNullLogger()})
	call := &call{id: "r", service: settings.Service{Name: "s"}, deadline: time.Now().Add(time.Minute)}
	answer := httptest.NewRecorder()
	failure := e.stream(c.Context(), call, e.dispatcher.placement(call),
		grant{address: strings.TrimPrefix(agent.URL, "http://")}, newAnswerSink(answer, call, time.Now()))
	c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%+v", failure))
	c.Check(answer.Code, qt.Equals, http.StatusOK)
}
