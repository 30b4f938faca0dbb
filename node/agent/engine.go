package agent

import (
	"context"
	"net/http"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/node/lib/lifecycle"
	"github.com/laburnumloft/laburnumloft/node/lib/response"
	"github.com/laburnumloft/laburnumloft/node/lib/telemetry"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// ErrEngine is returned when the model engine refuses an order.
var ErrEngine = eris.New("model engine refused the order")

// engineClient gives orders to the model engine and asks for its status.
type engineClient struct {
	client *http.Client
	base   *sling.Sling
	url    string
}

func newEngineClient(url string, gate *backendGate) *engineClient {
	// Each call has a connection of its own: on a kept one, a late copy of an earlier
	// answer would be taken for the next one.
	base := signalTransport{response.NewTransport(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: lifecycle.MaxResponseHeaderBytes}), gate}
	client := &http.Client{Transport: &telemetry.Transport{Base: base}}
	return &engineClient{client: client, base: sling.New().Client(client).Base(url), url: url}
}

// load gives a load order. answered is false if the engine may or may not
// have received it.
func (c *engineClient) load(ctx context.Context, order wire.LoadOrder) (answered bool, err error) {
	req, err := c.base.New().Post("/v1/load").BodyJSON(order).Request()
	if err != nil {
		return false, eris.Wrap(err, "encoding a load order")
	}
	// Without GetBody the transport can't send the order a second time.
	req.GetBody = nil
	resp, err := c.base.Do(req.WithContext(ctx), nil, nil)
	if err != nil {
		return false, eris.Wrap(err, "sending a load order")
	}
	if resp.StatusCode/100 != 2 {
		return true, eris.Wrapf(ErrEngine, "status %d", resp.StatusCode)
	}
	return true, nil
}

func (c *engineClient) status(ctx context.Context) (*wire.EngineStatus, error) {
	req, err := c.base.New().Get("/v1/status").Request()
	if err != nil {
		return nil, eris.Wrap(err, "building a status request")
	}
	var status wire.EngineStatus
	resp, err := c.base.Do(req.WithContext(ctx), &status, nil)
	if err != nil {
		return nil, eris.Wrap(err, "asking for the engine's status")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Wrapf(ErrEngine, "status %d", resp.StatusCode)
	}
	return &status, nil
}
