package entry

import (
	"context"
	"time"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// controlServer implements rpc.Control.
type controlServer struct {
	entry *Entry
}

// Sync implements rpc.Control.
func (c *controlServer) Sync(ctx context.Context, req *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	c.entry.members.report(req.GetReport())
	c.entry.settings.heard(req.GetSettingsOffset())
	_, encoded, changed := c.entry.settings.current()
	if encoded.GetOffset() <= req.GetSettingsOffset() {
		timer := time.NewTimer(time.Duration(req.GetWaitMs()) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		_, encoded, _ = c.entry.settings.current()
	}
	resp := &rpc.SyncResponse{EntryId: c.entry.cfg.ID}
	if encoded.GetOffset() > req.GetSettingsOffset() {
		resp.Settings = encoded
	}
	c.addMembers(resp, req.GetReport())
	return resp, nil
}

func (c *controlServer) addMembers(resp *rpc.SyncResponse, report *rpc.MemberReport) {
	list := c.entry.members.members()
	resp.PeersVersion = uint64(list.Version)
	resp.PeersChanged = true
	for _, m := range list.Members {
		switch {
		case m.Role == wire.RoleEntry:
			resp.Entries = append(resp.Entries, &rpc.EntryAddress{
				Id: m.ID, Address: m.Address, PeerAddress: m.PeerAddress, Region: m.Region, Zone: m.Zone,
				Leaving: m.State == wire.MemberLeaving,
			})
		case m.ID == report.GetId():
			resp.Leave = m.State == wire.MemberLeaving
		case m.Service == report.GetService():
			resp.Peers = append(resp.Peers, &rpc.PeerAddress{Id: m.ID, Address: m.Address, Region: m.Region, Zone: m.Zone})
		}
	}
}
