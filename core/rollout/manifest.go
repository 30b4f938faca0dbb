package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// Limits of a manifest.
const (
	// MaxChunks bounds the per-chunk state of an agent.
	MaxChunks = 1 << 16
	// MaxChunkSize bounds the bytes that one source can make an agent read
	// before the hash is checked.
	MaxChunkSize = 256 << 20
)

// Chunk is one piece of a version.
type Chunk struct {
	Index int `json:"index"`
	// Offset is where the chunk starts in the version, in bytes.
	Offset int64 `json:"offset"`
	// Size is in bytes.
	Size int64 `json:"size"`
	// SHA256 is in hexadecimal.
	SHA256 string `json:"sha256"`
}

// Manifest lists the chunks of a version in order.
type Manifest struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Size is the sum of all chunk sizes in bytes.
	Size int64 `json:"size"`
	// SHA256 is the digest over all bytes in hexadecimal.
	SHA256 string  `json:"sha256"`
	Chunks []Chunk `json:"chunks"`
}

// Refusal says why a manifest was refused.
type Refusal string

// Reasons to refuse a manifest.
const (
	RefusedDigest     Refusal = "digest mismatch"
	RefusedMalformed  Refusal = "malformed manifest"
	RefusedName       Refusal = "wrong model or version"
	RefusedEmpty      Refusal = "empty version"
	RefusedCeiling    Refusal = "larger than the memory ceiling"
	RefusedTooMany    Refusal = "too many chunks"
	RefusedMissing    Refusal = "missing chunk"
	RefusedDuplicate  Refusal = "duplicate chunk"
	RefusedOrder      Refusal = "chunks out of order"
	RefusedEmptyChunk Refusal = "empty chunk"
	RefusedOversized  Refusal = "oversized chunk"
	RefusedOverlap    Refusal = "overlapping chunks"
	RefusedGap        Refusal = "gap between chunks"
	RefusedSize       Refusal = "size mismatch"
	RefusedHash       Refusal = "malformed hash"
)

// ManifestError is returned for a manifest that must not be rolled out.
type ManifestError struct {
	Reason Refusal
	Detail string
}

// Error implements error.
func (e *ManifestError) Error() string {
	return fmt.Sprintf("manifest refused: %s: %s", e.Reason, e.Detail)
}

func refuse(reason Refusal, format string, args ...any) error {
	return &ManifestError{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// Want is what the settings and the VM demand of a manifest.
type Want struct {
	Model, Version string
	// Digest is the SHA-256 of the encoded manifest in hexadecimal.
	Digest string
	// Ceiling is the largest size of a version in bytes.
	Ceiling int64
}

// ParseManifest decodes a manifest and checks it in full. All errors are of
// type *ManifestError.
func ParseManifest(data []byte, want Want) (*Manifest, error) {
	if got := hexDigest(data); got != want.Digest {
		return nil, refuse(RefusedDigest, "digest is %s, settings name %s", got, want.Digest)
	}
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, refuse(RefusedMalformed, "%v", err)
	}
	if m.Model != want.Model || m.Version != want.Version {
		return nil, refuse(RefusedName, "manifest is of %s/%s, settings name %s/%s", m.Model, m.Version, want.Model, want.Version)
	}
	if m.Size > want.Ceiling {
		return nil, refuse(RefusedCeiling, "size is %d bytes, ceiling is %d", m.Size, want.Ceiling)
	}
	if err := m.checkIndexes(); err != nil {
		return nil, err
	}
	if err := m.checkExtents(); err != nil {
		return nil, err
	}
	return &m, nil
}

// checkIndexes refuses lists that do not name each chunk once and in order.
func (m *Manifest) checkIndexes() error {
	count := len(m.Chunks)
	if count == 0 || m.Size == 0 {
		return refuse(RefusedEmpty, "%d chunks, %d bytes", count, m.Size)
	}
	if count > MaxChunks {
		return refuse(RefusedTooMany, "%d chunks, allowed are %d", count, MaxChunks)
	}
	seen := make(map[int]bool, count)
	for _, c := range m.Chunks {
		if seen[c.Index] {
			return refuse(RefusedDuplicate, "index %d", c.Index)
		}
		seen[c.Index] = true
	}
	for i := range count {
		if !seen[i] {
			return refuse(RefusedMissing, "index %d of %d", i, count)
		}
	}
	for i, c := range m.Chunks {
		if c.Index != i {
			return refuse(RefusedOrder, "index %d at position %d", c.Index, i)
		}
	}
	return nil
}

// checkExtents refuses chunks that do not cover the version exactly.
func (m *Manifest) checkExtents() error {
	if !isDigest(m.SHA256) {
		return refuse(RefusedHash, "version digest %q", m.SHA256)
	}
	end := int64(0)
	for _, c := range m.Chunks {
		switch {
		case c.Size <= 0:
			return refuse(RefusedEmptyChunk, "chunk %d has %d bytes", c.Index, c.Size)
		case c.Size > MaxChunkSize:
			return refuse(RefusedOversized, "chunk %d has %d bytes, allowed are %d", c.Index, c.Size, MaxChunkSize)
		case c.Offset < end:
			return refuse(RefusedOverlap, "chunk %d starts at %d before %d", c.Index, c.Offset, end)
		case c.Offset > end:
			return refuse(RefusedGap, "chunk %d starts at %d after %d", c.Index, c.Offset, end)
		case !isDigest(c.SHA256):
			return refuse(RefusedHash, "chunk %d has %q", c.Index, c.SHA256)
		}
		end += c.Size
	}
	if end != m.Size {
		return refuse(RefusedSize, "chunks have %d bytes, manifest names %d", end, m.Size)
	}
	return nil
}

// BuildManifest returns the manifest of data cut into chunks of chunkSize
// bytes, and its encoding's digest.
func BuildManifest(model, version string, data []byte, chunkSize int) (encoded []byte, digest string) {
	m := Manifest{Model: model, Version: version, Size: int64(len(data)), SHA256: hexDigest(data)}
	for start := 0; start < len(data); start += chunkSize {
		piece := data[start:min(start+chunkSize, len(data))]
		m.Chunks = append(m.Chunks, Chunk{
			Index: len(m.Chunks), Offset: int64(start), Size: int64(len(piece)), SHA256: hexDigest(piece),
		})
	}
	return m.Encode()
}

// Encode returns the JSON encoding of the manifest and its digest.
func (m *Manifest) Encode() (encoded []byte, digest string) {
	// A manifest holds only strings and integers, which always encode.
	encoded, _ = json.Marshal(m)
	return encoded, hexDigest(encoded)
}

func isDigest(s string) bool {
	decoded, err := hex.DecodeString(s)
	return err == nil && len(decoded) == sha256.Size
}

func hexDigest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
