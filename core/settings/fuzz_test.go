package settings_test

import (
	"bytes"
	"testing"

	"github.com/laburnumloft/laburnumloft/core/settings"
)

// FuzzParse guards against documents and records that cause a panic, and
// against documents that change when they are encoded and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte("kind: template\nname: notices\nservices:\n- {name: saklar, kind: plain}\n"))
	f.Add([]byte("kind: parameters\nworkspace: a\ntemplate: notices\nshare: 3\n---\nkind: template\n"))
	f.Add([]byte("a: &a [*a]\n<<: *a\n"))
	f.Add(encodeRecord("1", 0, noticesTemplate()))
	f.Add(encodeRecord("2", 0, workspaceParameters("a", versionOverride("v2"))))
	f.Add(encodeSnapshot(settings.NewState()))
	f.Fuzz(func(t *testing.T, data []byte) {
		fold := settings.NewFold()
		fold.ApplyPage(settings.Page{Oldest: 1, Next: 2, Records: []settings.LogRecord{{Offset: 1, Data: data}}})
		documents, err := settings.ParseFile(data)
		if err != nil {
			_ = err.Error()
			return
		}
		for _, doc := range documents {
			again, err := settings.ParseFile(doc.FormatFile())
			if err != nil {
				t.Fatalf("ParseFile refused the output of FormatFile: %v", err)
			}
			if !bytes.Equal(again[0].Body(), doc.Body()) {
				t.Fatalf("document changed when encoded and parsed again: was %s, is %s", doc.Body(), again[0].Body())
			}
		}
	})
}
