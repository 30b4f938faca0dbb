package entry

import (
	"net/http"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// discoveryTTLMS is how long a caller may keep a discovery answer.
const discoveryTTLMS = 10_000

func (e *Entry) handleDiscovery(w http.ResponseWriter, r *http.Request) {
	zone := r.URL.Query().Get("zone")
	answer := wire.Discovery{TTLMS: discoveryTTLMS, Entries: []wire.DiscoveryEntry{}}
	var others []wire.DiscoveryEntry
	for _, m := range e.members.members().Members {
		if m.Role != wire.RoleEntry || m.State != wire.MemberLive {
			continue
		}
		entry := wire.DiscoveryEntry{ID: m.ID, Address: m.Address, Zone: m.Zone, Region: m.Region}
		if m.Zone == zone {
			answer.Entries = append(answer.Entries, entry)
		} else {
			others = append(others, entry)
		}
	}
	answer.Entries = append(answer.Entries, others...)
	wire.WriteJSON(w, http.StatusOK, answer)
}
