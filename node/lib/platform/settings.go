package platform

import (
	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// SettingsStream is the log stream of settings records.
const SettingsStream = "settings"

// SettingsPage converts a page of the log to the input of a settings fold.
func SettingsPage(page *wire.LogPage) settings.Page {
	p := settings.Page{Oldest: page.Oldest, Next: page.Next, Records: make([]settings.LogRecord, len(page.Records))}
	for i, rec := range page.Records {
		p.Records[i] = settings.LogRecord{Offset: rec.Offset, TimeMS: rec.TimeMS, Data: rec.Data}
	}
	return p
}
