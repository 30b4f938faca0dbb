package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/node/lib/ring"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// Cancel orders to the engine.
const (
	cancelTimeout = 2 * time.Second
	// cancelBacklog bounds cancel orders that wait. When it is full the
	// oldest is dropped: its connection is closed, which cancels as well.
	cancelBacklog = 256
)

var agentCancels = expvar.NewMap("agent_cancels_total")

// generate starts a generation. An error of type *wire.Error means that the
// engine refused the request without starting it.
func (c *engineClient) generate(ctx context.Context, req wire.AgentRequest) (*http.Response, error) {
	body, err := json.Marshal(wire.GenerateRequest{
		RequestID: req.RequestID, Prompt: req.Prompt, MaxTokens: req.MaxTokens, Priority: req.Priority,
	})
	if err != nil {
		return nil, eris.Wrap(err, "encoding a generate request")
	}
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+"/v1/generate", bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "building a generate request")
	}
	out.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(out)
	if err != nil {
		if dial := new(net.OpError); errors.As(err, &dial) && dial.Op == "dial" {
			return nil, &wire.Error{Kind: wire.ErrorUnavailable, Message: "backend server can't be reached", RetryAfterMS: 1000}
		}
		return nil, eris.Wrap(err, "sending a generate request")
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	var failure wire.ErrorBody
	if err := wire.NewLineReader(resp.Body).Next(&failure); err != nil || failure.Error.Run != wire.RunNotRun {
		return nil, eris.Wrapf(ErrEngine, "status %d", resp.StatusCode)
	}
	return nil, &failure.Error
}

func (c *engineClient) cancel(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	req, err := c.base.New().Post("/v1/cancel").BodyJSON(wire.CancelRequest{RequestID: id}).Request()
	if err != nil {
		return eris.Wrap(err, "encoding a cancel order")
	}
	_, err = c.base.Do(req.WithContext(ctx), nil, nil)
	return err
}

func newCancelRing() *ring.Ring[string] {
	return ring.New[string]("agent_cancels", cancelBacklog, ring.DropOldest)
}

// cancelAbandoned tells the engine about requests that nobody waits for.
func (a *Agent) cancelAbandoned(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-a.cancels.Items():
			outcome := "sent"
			if err := a.engine.cancel(ctx, id); err != nil {
				outcome = "failed"
			}
			agentCancels.Add(outcome, 1)
		}
	}
}
