package settings_test

import (
	"encoding/json"
	"strings"

	"github.com/laburnumloft/laburnumloft/core/settings"
)

var manifest = strings.Repeat("ab", 32)

func noticesTemplate() *settings.Template {
	return &settings.Template{Name: "notices", Services: []settings.Service{
		{Name: "juru-tulis", Kind: settings.KindEngine, Model: "notices", Version: "v1", Manifest: manifest},
		{Name: "saklar", Kind: settings.KindPlain, Methods: []settings.Method{{Name: "open-feeder"}}},
	}}
}

func workspaceParameters(name string, overrides ...settings.VersionOverride) *settings.Parameters {
	return &settings.Parameters{Workspace: name, Template: "notices", Versions: overrides}
}

func versionOverride(version string) settings.VersionOverride {
	return settings.VersionOverride{Service: "juru-tulis", Model: "notices", Version: version, Manifest: manifest}
}

func encodeRecord(id string, base int64, doc any) []byte {
	rec := settings.Record{ID: id, Base: base}
	switch d := doc.(type) {
	case *settings.Template:
		rec.Kind, rec.Key = settings.RecordTemplate, settings.Key(settings.RecordTemplate, d.Name)
	case *settings.Parameters:
		rec.Kind, rec.Key = settings.RecordParameters, settings.Key(settings.RecordParameters, d.Workspace)
	}
	rec.Body, _ = json.Marshal(doc)
	data, _ := json.Marshal(rec)
	return data
}

func encodeSnapshot(s *settings.State) []byte {
	data, _ := json.Marshal(settings.NewSnapshot(s))
	return data
}

// testLog is a log whose first records may have expired. Record i of data has
// offset i+1; oldest is the offset of the first record that is kept.
type testLog struct {
	data   [][]byte
	oldest int64
}

func newTestLog(data ...[]byte) *testLog {
	return &testLog{data: data, oldest: 1}
}

func (l *testLog) append(data []byte) int64 {
	l.data = append(l.data, data)
	return int64(len(l.data))
}

// page returns up to limit records from an offset, as read from a replica of the
// log that has only the first tail records.
func (l *testLog) page(from int64, limit, tail int) settings.Page {
	p := settings.Page{Oldest: min(l.oldest, int64(tail)+1), Next: int64(tail) + 1}
	for offset := max(from, l.oldest); offset <= int64(tail) && len(p.Records) < limit; offset++ {
		p.Records = append(p.Records, settings.LogRecord{Offset: offset, TimeMS: offset, Data: l.data[offset-1]})
	}
	return p
}

// applyAll applies pages until the status is no longer StatusBehind. It returns
// the last status with the verdicts and errors of all pages.
func (l *testLog) applyAll(f *settings.Fold) settings.Result {
	var all settings.Result
	for {
		r := f.ApplyPage(l.page(f.Next(), 3, len(l.data)))
		r.Verdicts = append(all.Verdicts, r.Verdicts...)
		r.Refused = append(all.Refused, r.Refused...)
		all = r
		if r.Status != settings.StatusBehind {
			return all
		}
	}
}
