package entry

import (
	"context"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// membershipPollInterval is the time between two reads of the platform's list.
const membershipPollInterval = time.Second

// memberTable keeps the platform's list and the agents' reports.
type memberTable struct {
	mu      sync.Mutex
	list    wire.Members
	reports map[string]*rpc.MemberReport
}

func newMemberTable() *memberTable {
	return &memberTable{reports: map[string]*rpc.MemberReport{}}
}

func (t *memberTable) setList(list wire.Members) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list = list
}

// report keeps a report unless a newer one of the same agent is known.
func (t *memberTable) report(r *rpc.MemberReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.reports[r.GetId()]
	if old != nil && (old.GetIncarnation() > r.GetIncarnation() ||
		old.GetIncarnation() == r.GetIncarnation() && old.GetSequence() >= r.GetSequence()) {
		return
	}
	t.reports[r.GetId()] = r
}

// serving returns the agents of a service that serve the version.
func (t *memberTable) serving(service, version string) []*rpc.MemberReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []*rpc.MemberReport
	for _, r := range t.reports {
		if r.GetService() == service && r.GetState() == rpc.AgentState_SERVING && r.GetVersion() == version {
			found = append(found, r)
		}
	}
	return found
}

func (t *memberTable) members() wire.Members {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list
}

// pollMembers reads the platform's list for as long as ctx lasts.
func (e *Entry) pollMembers(ctx context.Context) {
	logger := e.logger.Named("membership")
	for ctx.Err() == nil {
		list, err := e.membership.List(ctx)
		if err != nil {
			logger.Warn("membership list is unavailable", "error", err)
		} else {
			e.members.setList(*list)
		}
		sleep(ctx, membershipPollInterval)
	}
}
