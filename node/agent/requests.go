package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/laburnumloft/laburnumloft/node/lib/telemetry"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

func (a *Agent) handleRequest(w http.ResponseWriter, r *http.Request) {
	var req wire.AgentRequest
	if failure := wire.ReadJSON(r, maxRequestBytes, &req); failure != nil {
		wire.WriteError(w, *failure)
		return
	}
	if !a.state.admit(req.Version) {
		wire.WriteError(w, wire.Error{
			Kind: wire.ErrorUnavailable, Message: "version is not served here", RequestID: req.RequestID, Run: wire.RunNotRun,
		})
		return
	}
	defer a.state.release()
	ctx, span := telemetry.Span(r.Context(), "agent.generate")
	err := a.generate(ctx, w, req)
	telemetry.EndSpan(span, err)
}

// generate copies the engine's tokens to the entry as they come.
func (a *Agent) generate(ctx context.Context, w http.ResponseWriter, req wire.AgentRequest) error {
	frames := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	fail := func(err error) error {
		_ = frames.Encode(wire.Frame{Error: &wire.Error{
			Kind: wire.ErrorUpstream, Message: err.Error(), RequestID: req.RequestID, Run: wire.RunUnknown,
		}})
		return err
	}
	body, err := json.Marshal(wire.GenerateRequest{
		RequestID: req.RequestID, Prompt: req.Prompt, MaxTokens: req.MaxTokens, Priority: req.Priority,
	})
	if err != nil {
		return fail(err)
	}
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, a.engine.url+"/v1/generate", bytes.NewReader(body))
	if err != nil {
		return fail(err)
	}
	out.Header.Set("Content-Type", "application/json")
	resp, err := a.engine.client.Do(out)
	if err != nil {
		return fail(err)
	}
	defer resp.Body.Close()
	_ = frames.Encode(wire.Frame{Start: &wire.Start{RequestID: req.RequestID, Version: req.Version}})
	decoder := json.NewDecoder(resp.Body)
	for index := 0; ; index++ {
		var frame wire.GenerateFrame
		if err := decoder.Decode(&frame); err != nil {
			return fail(err)
		}
		if frame.End != nil {
			return frames.Encode(wire.Frame{End: &wire.End{
				RequestID: req.RequestID, Version: frame.End.Version, Tokens: frame.End.Tokens, Finish: "stop",
				Running: a.state.inFlight() - 1,
			}})
		}
		if frame.Token != nil {
			_ = frames.Encode(wire.Frame{Token: &wire.Token{Index: index, Text: *frame.Token}})
			_ = flush.Flush()
		}
	}
}
