package agent

import (
	"context"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// Times of the exchange with entries.
const (
	syncWait     = 1 * time.Second
	syncTimeout  = 5 * time.Second
	syncRetry    = 500 * time.Millisecond
	entryRefresh = 2 * time.Second
)

// syncWithEntries keeps one exchange going with each entry.
func (a *Agent) syncWithEntries(ctx context.Context) {
	logger := a.logger.Named("sync")
	var loops sync.WaitGroup
	defer loops.Wait()
	cancels := map[string]context.CancelFunc{}
	for ctx.Err() == nil {
		list, err := a.membership.List(ctx)
		if err != nil {
			logger.Warn("membership list is unavailable", "error", err)
		} else {
			a.startSyncLoops(ctx, list, cancels, &loops)
		}
		select {
		case <-ctx.Done():
		case <-time.After(entryRefresh):
		}
	}
}

func (a *Agent) startSyncLoops(ctx context.Context, list *wire.Members, cancels map[string]context.CancelFunc, loops *sync.WaitGroup) {
	listed := map[string]bool{}
	for _, m := range list.Members {
		if m.Role != wire.RoleEntry {
			continue
		}
		listed[m.PeerAddress] = true
		if cancels[m.PeerAddress] != nil {
			continue
		}
		loopCtx, cancel := context.WithCancel(ctx)
		cancels[m.PeerAddress] = cancel
		loops.Go(func() { a.syncLoop(loopCtx, m.PeerAddress) })
	}
	for address, cancel := range cancels {
		if !listed[address] {
			cancel()
			delete(cancels, address)
		}
	}
}

func (a *Agent) syncLoop(ctx context.Context, address string) {
	logger := a.logger.Named("sync")
	client := rpc.NewControlProtobufClient("http://"+address, a.client)
	for ctx.Err() == nil {
		if err := a.syncOnce(ctx, client); err != nil && ctx.Err() == nil {
			logger.Warn("sync failed", "entry", address, "error", err)
			select {
			case <-ctx.Done():
			case <-time.After(syncRetry):
			}
		}
	}
}

func (a *Agent) syncOnce(ctx context.Context, client rpc.Control) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	report := a.report()
	resp, err := client.Sync(ctx, &rpc.SyncRequest{
		Report: report, SettingsOffset: report.GetSettingsOffset(), WaitMs: uint32(syncWait.Milliseconds()),
	})
	if err != nil {
		return err
	}
	if resp.GetLeave() {
		a.state.leave()
	}
	a.state.setPeers(resp.GetPeers())
	return a.receiveSettings(resp.GetEntryId(), resp.GetSettings())
}

func (s *agentState) setPeers(peers []*rpc.PeerAddress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = peers
}
