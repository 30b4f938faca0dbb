package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// TestBadInput guards against requests that are answered without a clear
// 4xx status, or that are too large to hold.
func TestBadInput(t *testing.T) {
	c := qt.New(t)
	e := New(Config{ID: "entry", Region: "r", Zone: "z", MaxBodyBytes: 1 << 20, Logger: hclog.NewNullLogger()})
	state := settings.NewState()
	state.Templates["t"] = settings.Revision[settings.Template]{Document: settings.Template{
		Name: "t", Services: []settings.Service{{Name: "s", Kind: settings.KindEngine, Model: "m", Version: "v1"}},
	}}
	state.Parameters["w"] = settings.Revision[settings.Parameters]{Document: settings.Parameters{Workspace: "w", Template: "t"}}
	state.Offset = 1
	newer, err := e.settings.publish(state, "digest", settings.SnapshotInfo{})
	c.Assert(err, qt.IsNil)
	c.Assert(newer, qt.IsTrue)
	good, json := "/v1/workspaces/w/services/s/requests", "application/json"
	cases := map[string]struct {
		path, contentType, body string
		status                  int
	}{
		"body too large":    {good, json, `{"prompt":"` + strings.Repeat("x", 1<<20) + `"}`, 413},
		"prompt too large":  {good, json, `{"prompt":"` + strings.Repeat("x", maxPromptBytes+1) + `"}`, 413},
		"malformed":         {good, json, `{"prompt":`, 400},
		"unknown field":     {good, json, `{"promt":"x"}`, 400},
		"two values":        {good, json, `{} {}`, 400},
		"content type":      {good, "text/plain", `{}`, 400},
		"tokens":            {good, json, `{"max_tokens":1000000}`, 400},
		"negative tokens":   {good, json, `{"max_tokens":-1}`, 400},
		"priority":          {good, json, `{"priority":10}`, 400},
		"deadline":          {good, json, `{"deadline_ms":-1}`, 400},
		"unknown workspace": {"/v1/workspaces/x/services/s/requests", json, `{}`, 404},
		"unknown service":   {"/v1/workspaces/w/services/x/requests", json, `{}`, 404},
	}
	for name, test := range cases {
		r := httptest.NewRequest(http.MethodPost, test.path, strings.NewReader(test.body))
		r.Header.Set("Content-Type", test.contentType)
		w := httptest.NewRecorder()
		e.publicHandler().ServeHTTP(w, r)
		c.Check(w.Code, qt.Equals, test.status, qt.Commentf(name))
		checkErrorBody(c, name, w.Body.Bytes())
	}
}

func checkErrorBody(c *qt.C, name string, body []byte) {
	var failure wire.ErrorBody
	c.Check(json.Unmarshal(body, &failure), qt.IsNil, qt.Commentf(name))
	c.Check(failure.Error.Kind, qt.Not(qt.Equals), wire.ErrorKind(""), qt.Commentf(name))
	c.Check(failure.Error.Message, qt.Not(qt.Equals), "", qt.Commentf(name))
	c.Check(failure.Error.Run, qt.Equals, wire.RunNotRun, qt.Commentf(name))
}

// FuzzAgentFrames guards against an agent's stream that makes the entry
// take a broken answer for a whole one, or panic.
func FuzzAgentFrames(f *testing.F) {
	start := `{"request_id":"a","start":{"request_id":"a","version":"v1"}}` + "\n"
	token := `{"request_id":"a","token":{"index":0,"text":"x"}}` + "\n"
	end := `{"request_id":"a","end":{"request_id":"a","version":"v1","tokens":1}}` + "\n"
	f.Add([]byte(start + token + end))
	f.Add([]byte(start + end))
	f.Add([]byte(start + token + token + end))
	f.Add([]byte(strings.ReplaceAll(start+token+end, `"a"`, `"b"`)))
	f.Add([]byte(start + token + strings.TrimSpace(end)))
	f.Fuzz(func(t *testing.T, stream []byte) {
		lines := wire.NewLineReader(bytes.NewReader(stream))
		frames := frameCheck{id: "a", version: "v1"}
		tokens := 0
		for {
			var frame wire.Frame
			if lines.Next(&frame) != nil || frames.check(frame) != nil || frame.Error != nil {
				return
			}
			if frame.Token != nil {
				tokens++
			}
			if frame.End != nil {
				if frame.End.Tokens != tokens || frame.End.RequestID != "a" || frame.End.Version != "v1" || !frames.started {
					t.Fatalf("took %q for a whole answer", stream)
				}
				return
			}
		}
	})
}
