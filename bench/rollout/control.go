package rollout

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// control is an entry as agents see it: it gives settings and peers.
type control struct {
	mu      sync.Mutex
	encoded *rpc.SettingsState
	changed chan struct{}
	peers   map[string]*rpc.PeerAddress
	list    []*rpc.PeerAddress
	seen    map[string]*rpc.MemberReport
}

func newControl() *control {
	return &control{
		encoded: &rpc.SettingsState{}, changed: make(chan struct{}),
		peers: map[string]*rpc.PeerAddress{}, seen: map[string]*rpc.MemberReport{},
	}
}

// publish puts the service in force at the offset.
func (c *control) publish(offset int64, svc settings.Service) {
	state := settings.NewState()
	state.Offset = offset
	state.Templates["bench"] = settings.Revision[settings.Template]{
		Offset: offset, Document: settings.Template{Name: "bench", Services: []settings.Service{svc}},
	}
	// The state holds only maps, strings and numbers, which always encode.
	data, _ := json.Marshal(state)
	sum := sha256.Sum256(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.encoded = &rpc.SettingsState{Offset: offset, Digest: hex.EncodeToString(sum[:]), State: data}
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *control) put(p *rpc.PeerAddress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[p.GetId()] = p
	c.rebuild()
}

func (c *control) remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.peers, id)
	c.rebuild()
}

func (c *control) rebuild() {
	c.list = make([]*rpc.PeerAddress, 0, len(c.peers))
	for _, p := range c.peers {
		c.list = append(c.list, p)
	}
}

// reports returns how many agents have reported so far.
func (c *control) reports() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.seen)
}

// Sync implements rpc.Control.
func (c *control) Sync(ctx context.Context, req *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	c.mu.Lock()
	c.seen[req.GetReport().GetId()] = req.GetReport()
	encoded, changed := c.encoded, c.changed
	c.mu.Unlock()
	if encoded.GetOffset() <= req.GetSettingsOffset() {
		timer := time.NewTimer(time.Duration(req.GetWaitMs()) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	resp := &rpc.SyncResponse{EntryId: "bench", PeersChanged: true, Peers: c.list}
	if c.encoded.GetOffset() > req.GetSettingsOffset() {
		resp.Settings = c.encoded
	}
	return resp, nil
}
