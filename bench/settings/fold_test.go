package settings_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/laburnumloft/laburnumloft/core/settings"
)

// Changes of 30 days at the target rate.
const (
	changesPerDay = 780
	changeDays    = 30
	workspaces    = 10
)

var manifest = strings.Repeat("ab", 32)

// changeLog makes valid records: a template of seven services, then changes
// of the parameters of each workspace in turn, with a new version of the
// template in every tenth record.
type changeLog struct {
	bases map[string]int64
	next  int64
}

func newChangeLog() *changeLog {
	return &changeLog{bases: map[string]int64{}, next: 1}
}

func template(version string) settings.Template {
	t := settings.Template{Name: "notices"}
	for i := range 3 {
		t.Services = append(t.Services, settings.Service{
			Name: fmt.Sprintf("juru-tulis-%d", i), Kind: settings.KindEngine, Model: "notices", Version: version,
			Manifest: manifest, Regions: []string{"priangan", "pantura", "selatan"}, Objective: settings.ObjectiveTime,
		})
	}
	for i := range 4 {
		t.Services = append(t.Services, settings.Service{
			Name: fmt.Sprintf("saklar-%d", i), Kind: settings.KindPlain,
			Methods: []settings.Method{{Name: "open-feeder", TimeoutMS: 5000}, {Name: "read-feeder", Idempotent: true}},
		})
	}
	return t
}

// record returns the next record, which is accepted at offset c.next.
func (c *changeLog) record() settings.Record {
	rec := settings.Record{ID: fmt.Sprintf("8d1c1f0e-0000-4000-8000-%012d", c.next)}
	if c.next%10 == 1 {
		rec.Kind, rec.Key = settings.RecordTemplate, "template/notices"
		rec.Body, _ = json.Marshal(template(fmt.Sprintf("v%d", c.next)))
	} else {
		name := fmt.Sprintf("workspace-%d", c.next%workspaces)
		rec.Kind, rec.Key = settings.RecordParameters, "parameters/"+name
		rec.Body, _ = json.Marshal(settings.Parameters{
			Workspace: name, Template: "notices", Share: 1 + int(c.next%100), MaxQueued: 100,
			Services: []string{"juru-tulis-0", "saklar-1"}, Regions: []string{"priangan"},
		})
	}
	rec.Base = c.bases[rec.Key]
	c.bases[rec.Key] = c.next
	c.next++
	return rec
}

func (c *changeLog) page(count int) settings.Page {
	p := settings.Page{Oldest: 1}
	for range count {
		offset := c.next
		data, _ := json.Marshal(c.record())
		p.Records = append(p.Records, settings.LogRecord{Offset: offset, TimeMS: offset, Data: data})
	}
	p.Next = c.next
	return p
}

// BenchmarkSettingsFold30Days measures the fold of all changes of 30 days,
// and the snapshot of the state after them.
func BenchmarkSettingsFold30Days(b *testing.B) {
	const total = changesPerDay * changeDays
	page := newChangeLog().page(total)
	bytes := 0
	for _, rec := range page.Records {
		bytes += len(rec.Data)
	}
	var snapshot []byte
	var making time.Duration
	for b.Loop() {
		fold := settings.NewFold()
		for _, v := range fold.ApplyPage(page).Verdicts {
			if !v.Accepted {
				b.Fatalf("record at %d was refused: %s", v.Offset, v.Reason)
			}
		}
		state, _ := fold.State()
		start := time.Now()
		snapshot, _ = json.Marshal(settings.NewSnapshot(state))
		making = time.Since(start)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/total, "us/record")
	b.ReportMetric(float64(bytes)/total, "bytes/record")
	b.ReportMetric(float64(len(snapshot)), "snapshot-bytes")
	b.ReportMetric(float64(making.Microseconds()), "snapshot-us")
}
