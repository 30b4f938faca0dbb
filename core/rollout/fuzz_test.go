package rollout

import (
	"testing"
)

// FuzzManifest guards against panics and against accepting a manifest whose
// chunk sizes do not add up to the stated size.
func FuzzManifest(f *testing.F) {
	encoded, _ := BuildManifest("m", "v", make([]byte, 100), 30)
	f.Add(encoded)
	f.Add([]byte(`{"model":"m","version":"v","size":-1,"chunks":[{"index":0,"size":-1}]}`))
	f.Add([]byte(`{"model":"m","version":"v","size":1,"chunks":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := ParseManifest(data, ManifestRequirements{Model: "m", Version: "v", Digest: hexDigest(data), Ceiling: 1 << 30})
		if err != nil {
			return
		}
		total := int64(0)
		for i, chunk := range m.Chunks {
			if chunk.Index != i || chunk.Size <= 0 || len(chunk.SHA256) != 64 {
				t.Fatalf("invalid chunk %d was accepted: %+v", i, chunk)
			}
			total += chunk.Size
		}
		if total != m.Size || total <= 0 || total > 1<<30 {
			t.Fatalf("manifest of size %d was accepted, but its chunks have %d bytes", m.Size, total)
		}
	})
}
