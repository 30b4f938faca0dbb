package entry

import (
	"math/rand/v2"
	"net/http"

	"github.com/laburnumloft/laburnumloft/core/routing"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// handleDiscovery serves GET /v1/discovery?zone=Z.
func (e *Entry) handleDiscovery(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	found := routing.Discover(random, query.Get("zone"), query.Get("region"), e.entryInfos())
	answer := wire.Discovery{TTLMS: found.TTL.Milliseconds(), Entries: []wire.DiscoveryEntry{}}
	for _, info := range found.Entries {
		answer.Entries = append(answer.Entries, wire.DiscoveryEntry{
			ID: info.ID, Address: info.Address, Zone: info.Zone, Region: info.Region,
		})
	}
	wire.WriteJSON(w, http.StatusOK, answer)
}

// entryInfos returns the entries that this entry knows. It knows the load
// of itself only.
func (e *Entry) entryInfos() []routing.EntryInfo {
	var infos []routing.EntryInfo
	for _, m := range e.members.members().Members {
		if m.Role != wire.RoleEntry {
			continue
		}
		info := routing.EntryInfo{
			ID: m.ID, Address: m.Address, Zone: m.Zone, Region: m.Region, Leaving: m.State != wire.MemberLive,
		}
		if m.ID == e.cfg.ID {
			info.Load = e.open.share()
		}
		infos = append(infos, info)
	}
	return infos
}
