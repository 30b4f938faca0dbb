package entry

import (
	"net/http"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// Status is what an entry knows of the system.
type Status struct {
	Entry          string              `json:"entry"`
	SettingsOffset int64               `json:"settings_offset"`
	SettingsDigest string              `json:"settings_digest"`
	Agents         []*rpc.MemberReport `json:"agents"`
}

func (e *Entry) handleStatus(w http.ResponseWriter, _ *http.Request) {
	_, encoded, _ := e.settings.current()
	wire.WriteJSON(w, http.StatusOK, Status{
		Entry:          e.cfg.ID,
		SettingsOffset: encoded.GetOffset(),
		SettingsDigest: encoded.GetDigest(),
		Agents:         e.members.all(),
	})
}
