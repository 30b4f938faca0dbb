package entry

import (
	"context"
	"time"

	"github.com/laburnumloft/laburnumloft/core/membership"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

const (
	// maxSyncWait bounds how long a Sync call is held.
	maxSyncWait = 5 * time.Second
	// syncBytes is the cost of an answer that brings nothing new.
	syncBytes = 60
	// otherEntries is the number of entries outside its zone that an agent
	// learns, so that it can move when its zone has none left.
	otherEntries = 6
)

// controlServer implements rpc.Control.
type controlServer struct {
	entry *Entry
}

// Sync implements rpc.Control.
func (c *controlServer) Sync(ctx context.Context, req *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	e := c.entry
	e.members.report(ctx, req.GetReport())
	e.direct.note(req.GetReport().GetId(), time.Now())
	e.settings.heard(req.GetSettingsOffset())
	_, encoded, changed := e.settings.current()
	if encoded.GetOffset() <= req.GetSettingsOffset() && req.GetWaitMs() > 0 {
		timer := time.NewTimer(min(maxSyncWait, time.Duration(req.GetWaitMs())*time.Millisecond))
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-e.tracker.LeavingStarted():
		case <-ctx.Done():
		}
		_, encoded, _ = e.settings.current()
	}
	resp := &rpc.SyncResponse{EntryId: e.cfg.ID, PeersEntry: e.peersEntry()}
	if encoded.GetOffset() > req.GetSettingsOffset() {
		resp.Settings = encoded
	}
	c.addMembers(resp, req)
	e.members.reports.Push(ctx, func(now time.Time, view *membership.View) membership.Output {
		view.Charge(now, syncBytes)
		return membership.Output{}
	})
	return resp, nil
}

// addMembers adds the peers and entries that changed since the agent's
// version, or all of them if the version belongs to another run of an entry.
func (c *controlServer) addMembers(resp *rpc.SyncResponse, req *rpc.SyncRequest) {
	e, own := c.entry, req.GetReport()
	s := e.members.snapshot.Load()
	resp.Leave = e.toldToLeave(s, own)
	resp.PeersVersion = s.version
	since := req.GetPeersVersion()
	resp.PeersFull = req.GetPeersEntry() != resp.GetPeersEntry()
	if resp.PeersFull {
		since = 0
	}
	if req.GetReportOnly() || since == s.version {
		resp.PeersFull = false
		return
	}
	resp.PeersChanged = true
	others := 0
	for _, p := range s.peers {
		if p.id == own.GetId() || p.moved <= since {
			continue
		}
		isEntry := p.place.Role == membership.RoleEntry
		near := p.place.Zone == own.GetZone()
		switch {
		case !isEntry && p.place.Service != own.GetService():
		case !p.live:
			if !resp.PeersFull {
				resp.Removed = append(resp.Removed, p.id)
			}
		case !isEntry:
			resp.Peers = append(resp.Peers, &rpc.PeerAddress{Id: p.id, Address: p.place.Address, Region: p.place.Region, Zone: p.place.Zone})
		case near || resp.PeersFull && others < otherEntries:
			if !near {
				others++
			}
			resp.Entries = append(resp.Entries, &rpc.EntryAddress{
				Id: p.id, PeerAddress: p.place.PeerAddress, Region: p.place.Region, Zone: p.place.Zone,
			})
		}
	}
}

// toldToLeave reports whether the list shows the agent as leaving. A list that
// lags may still mean the predecessor of a young process.
func (e *Entry) toldToLeave(s *memberSnapshot, own *rpc.MemberReport) bool {
	if own.GetState() == rpc.AgentState_LEAVING || time.Since(time.UnixMilli(own.GetIncarnation())) < leaveMinAge {
		return false
	}
	for _, m := range s.list.Members {
		if m.ID == own.GetId() {
			return m.State == wire.MemberLeaving
		}
	}
	return false
}
