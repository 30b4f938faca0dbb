package entry

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// maxStatusProblems bounds the problems listed for one service and region.
const maxStatusProblems = 8

// directReports remembers which agents report to this entry itself. Only
// their settings offsets are current: entries do not pass on offsets, which
// would cost a delta for each agent at each change.
type directReports struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

// directReportTime is how long an agent counts after its latest report.
const directReportTime = 5 * time.Second

func (d *directReports) note(id string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.seen == nil {
		d.seen = map[string]time.Time{}
	}
	d.seen[id] = now
}

// current returns the agents that report here and forgets the others.
func (d *directReports) current(now time.Time) map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	ids := map[string]bool{}
	for id, at := range d.seen {
		if now.Sub(at) > directReportTime {
			delete(d.seen, id)
			continue
		}
		ids[id] = true
	}
	return ids
}

// Status is what an entry knows of the system.
type Status struct {
	Entry          string               `json:"entry"`
	SettingsOffset int64                `json:"settings_offset"`
	SettingsDigest string               `json:"settings_digest"`
	Services       []wire.ServiceStatus `json:"services"`
	Agents         []*rpc.MemberReport  `json:"agents"`
}

func (e *Entry) handleStatus(w http.ResponseWriter, _ *http.Request) {
	state, encoded, _ := e.settings.current()
	agents := e.members.all()
	wire.WriteJSON(w, http.StatusOK, Status{
		Entry:          e.cfg.ID,
		SettingsOffset: encoded.GetOffset(),
		SettingsDigest: encoded.GetDigest(),
		Services:       summarise(state, agents, e.direct.current(time.Now())),
		Agents:         agents,
	})
}

// summarise counts the agents of each service and region. A service without
// agents has one row with an empty region.
func summarise(state *settings.State, agents []*rpc.MemberReport, direct map[string]bool) []wire.ServiceStatus {
	rows := map[[2]string]*wire.ServiceStatus{}
	row := func(service, region string) *wire.ServiceStatus {
		key := [2]string{service, region}
		if rows[key] == nil {
			svc, _, _ := state.Service(service)
			rows[key] = &wire.ServiceStatus{Service: service, Region: region, Kind: string(svc.Kind), Version: svc.Version}
		}
		return rows[key]
	}
	staffed := map[string]bool{}
	for _, r := range agents {
		if r.GetState() == rpc.AgentState_GONE {
			continue
		}
		staffed[r.GetService()] = true
		count(row(r.GetService(), r.GetRegion()), r, direct[r.GetId()] && r.GetSettingsOffset() < state.Offset)
	}
	for _, name := range state.ServiceNames() {
		if !staffed[name] {
			row(name, "")
		}
	}
	list := make([]wire.ServiceStatus, 0, len(rows))
	for _, r := range rows {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b wire.ServiceStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region))
	})
	return list
}

func count(row *wire.ServiceStatus, r *rpc.MemberReport, behind bool) {
	if r.GetState() == rpc.AgentState_LEAVING {
		row.Leaving++
		return
	}
	row.Agents++
	if behind {
		row.Behind++
	}
	if r.GetState() == rpc.AgentState_SERVING && r.GetVersion() == row.Version {
		row.Serving++
	} else {
		row.ChunksHeld += int(r.GetChunksHeld())
		row.ChunksTotal += int(r.GetChunksTotal())
	}
	if problem := r.GetProblem(); problem != "" && len(row.Problems) < maxStatusProblems {
		row.Problems = append(row.Problems, wire.AgentProblem{Agent: r.GetId(), Problem: problem})
	}
}
