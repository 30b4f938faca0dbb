package settings_test

import (
	"bytes"
	"testing"

	"github.com/laburnumloft/laburnumloft/core/settings"
)

// FuzzParse guards against documents and records that make a process panic,
// and against accepted documents that change when they are written again.
func FuzzParse(f *testing.F) {
	f.Add([]byte("kind: template\nname: notices\nservices:\n- {name: saklar, kind: plain}\n"))
	f.Add([]byte("kind: parameters\nworkspace: a\ntemplate: notices\nshare: 3\n---\nkind: template\n"))
	f.Add([]byte("a: &a [*a]\n<<: *a\n"))
	f.Add(recordOf("1", 0, notices()))
	f.Add(recordOf("2", 0, workspace("a", override("v2"))))
	f.Add(snapshotOf(settings.NewState()))
	f.Fuzz(func(t *testing.T, data []byte) {
		fold := settings.NewFold()
		fold.Page(settings.Page{Oldest: 1, Next: 2, Records: []settings.LogRecord{{Offset: 1, Data: data}}})
		documents, err := settings.ParseFile(data)
		if err != nil {
			_ = err.Error()
			return
		}
		for _, doc := range documents {
			again, err := settings.ParseFile(doc.File())
			if err != nil {
				t.Fatalf("written document is refused: %v", err)
			}
			if !bytes.Equal(again[0].Body(), doc.Body()) {
				t.Fatalf("document changed from %s to %s", doc.Body(), again[0].Body())
			}
		}
	})
}
