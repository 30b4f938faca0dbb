package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// Exchange of settings between entries.
const (
	// startPeers is the number of peers that a starting entry asks. One alone
	// may lag.
	startPeers = 3
	// startWait bounds the wait for the membership list at the start.
	startWait   = 2 * time.Second
	peerTimeout = time.Second
)

// peerServer implements rpc.Peer.
type peerServer struct {
	entry *Entry
}

// FetchSettings implements rpc.Peer.
func (p *peerServer) FetchSettings(_ context.Context, req *rpc.FetchSettingsRequest) (*rpc.SettingsState, error) {
	_, encoded, _ := p.entry.settings.current()
	if encoded.GetOffset() <= req.GetNewerThan() {
		return &rpc.SettingsState{}, nil
	}
	return encoded, nil
}

// handleSettings answers operators with the settings in force.
func (e *Entry) handleSettings(w http.ResponseWriter, _ *http.Request) {
	_, encoded, _ := e.settings.current()
	wire.WriteJSON(w, http.StatusOK, wire.Settings{
		Offset: encoded.GetOffset(), Digest: encoded.GetDigest(), State: encoded.GetState(),
	})
}

// askPeersAtStart takes the newest state of a few peers.
func (d *settingsDuty) askPeersAtStart(ctx context.Context) {
	deadline, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	for deadline.Err() == nil {
		list, err := d.entry.membership.List(deadline)
		if err == nil {
			d.askPeers(ctx, d.randomPeers(list.Members, startPeers))
			return
		}
		d.logger.Warn("membership list is unavailable", "error", err)
		sleep(deadline, settingsRetryMin)
	}
}

// askAnyPeer takes the state of a random peer if it is newer.
func (d *settingsDuty) askAnyPeer(ctx context.Context) {
	d.askPeers(ctx, d.randomPeers(d.entry.members.members().Members, 1))
}

// askPeers takes the newest state of the peers.
func (d *settingsDuty) askPeers(ctx context.Context, addresses []string) {
	answers := make([]*rpc.SettingsState, len(addresses))
	state, _ := d.fold.State()
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() { answers[i] = d.fetch(ctx, address, state.Offset) })
	}
	calls.Wait()
	for _, answer := range answers {
		if answer.GetOffset() == 0 {
			continue
		}
		snapshot := settings.SnapshotInfo{
			Offset: answer.GetSnapshotOffset(), Covers: answer.GetSnapshotCovers(), TimeMS: answer.GetSnapshotTimeMs(),
		}
		if err := d.fold.Adopt(answer.GetState(), answer.GetDigest(), snapshot); err != nil {
			settingsCounters.Add("peer_states_refused", 1)
			d.logger.Error("peer's settings were refused", "offset", answer.GetOffset(), "error", err)
			continue
		}
		settingsCounters.Add("peer_states_adopted", 1)
	}
}

func (d *settingsDuty) fetch(ctx context.Context, address string, newerThan int64) *rpc.SettingsState {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	client := rpc.NewPeerProtobufClient("http://"+address, d.entry.client)
	answer, err := client.FetchSettings(ctx, &rpc.FetchSettingsRequest{NewerThan: newerThan})
	if err != nil {
		d.logger.Debug("peer gave no settings", "peer", address, "error", err)
		return nil
	}
	return answer
}

// randomPeers returns the addresses of up to count other entries.
func (d *settingsDuty) randomPeers(members []wire.Member, count int) []string {
	var addresses []string
	for _, m := range members {
		if m.Role == wire.RoleEntry && m.ID != d.entry.cfg.ID {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(count, len(addresses))]
}
