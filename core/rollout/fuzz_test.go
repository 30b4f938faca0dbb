package rollout

import (
	"testing"
)

// FuzzManifest guards against a manifest that is accepted although its
// chunks do not make up exactly the stated size, and against a panic.
func FuzzManifest(f *testing.F) {
	encoded, _ := BuildManifest("m", "v", make([]byte, 100), 30)
	f.Add(encoded)
	f.Add([]byte(`{"model":"m","version":"v","size":-1,"chunks":[{"index":0,"size":-1}]}`))
	f.Add([]byte(`{"model":"m","version":"v","size":1,"chunks":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := ParseManifest(data, Want{Model: "m", Version: "v", Digest: hexDigest(data), Ceiling: 1 << 30})
		if err != nil {
			return
		}
		total := int64(0)
		for i, chunk := range m.Chunks {
			if chunk.Index != i || chunk.Size <= 0 || len(chunk.SHA256) != 64 {
				t.Fatalf("chunk %d was accepted: %+v", i, chunk)
			}
			total += chunk.Size
		}
		if total != m.Size || total <= 0 || total > 1<<30 {
			t.Fatalf("size %d was accepted for chunks of %d bytes", m.Size, total)
		}
	})
}
