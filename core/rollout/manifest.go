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

// Chunk is a contiguous part of a version.
type Chunk struct {
	Index int `json:"index"`
	// Offset is the position of the chunk in the version, in bytes.
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
	// SHA256 is the digest of all bytes of the version in hexadecimal.
	SHA256 string  `json:"sha256"`
	Chunks []Chunk `json:"chunks"`
}

// Refusal is the reason why a manifest was refused.
type Refusal string

// Reasons for refusing a manifest.
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

// ManifestError is the error for a manifest that must not be rolled out.
type ManifestError struct {
	Reason Refusal
	Detail string
}

// Error implements error.
func (e *ManifestError) Error() string {
	return fmt.Sprintf("manifest refused: %s: %s", e.Reason, e.Detail)
}

func newRefusal(reason Refusal, format string, args ...any) error {
	return &ManifestError{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// ManifestRequirements is what the settings and the VM require of a manifest.
type ManifestRequirements struct {
	Model, Version string
	// Digest is the SHA-256 of the encoded manifest in hexadecimal.
	Digest string
	// Ceiling is the largest size of a version in bytes.
	Ceiling int64
}

// ParseManifest decodes a manifest and checks all of it. All errors are of
// type *ManifestError.
func ParseManifest(data []byte, want ManifestRequirements) (*Manifest, error) {
	if got := hexDigest(data); got != want.Digest {
		return nil, newRefusal(RefusedDigest, "digest is %s, settings require %s", got, want.Digest)
	}
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, newRefusal(RefusedMalformed, "%v", err)
	}
	if m.Model != want.Model || m.Version != want.Version {
		return nil, newRefusal(RefusedName, "manifest describes %s/%s, settings require %s/%s", m.Model, m.Version, want.Model, want.Version)
	}
	if m.Size > want.Ceiling {
		return nil, newRefusal(RefusedCeiling, "size is %d bytes, memory ceiling is %d bytes", m.Size, want.Ceiling)
	}
	if err := m.checkIndexes(); err != nil {
		return nil, err
	}
	if err := m.checkCoverage(); err != nil {
		return nil, err
	}
	return &m, nil
}

// checkIndexes refuses chunk lists that do not contain each index exactly once
// and in order.
func (m *Manifest) checkIndexes() error {
	count := len(m.Chunks)
	if count == 0 || m.Size == 0 {
		return newRefusal(RefusedEmpty, "manifest has %d chunks and %d bytes", count, m.Size)
	}
	if count > MaxChunks {
		return newRefusal(RefusedTooMany, "manifest has %d chunks, maximum is %d", count, MaxChunks)
	}
	seen := make(map[int]bool, count)
	for _, c := range m.Chunks {
		if seen[c.Index] {
			return newRefusal(RefusedDuplicate, "chunk index %d occurs more than once", c.Index)
		}
		seen[c.Index] = true
	}
	for i := range count {
		if !seen[i] {
			return newRefusal(RefusedMissing, "no chunk with index %d among %d chunks", i, count)
		}
	}
	for i, c := range m.Chunks {
		if c.Index != i {
			return newRefusal(RefusedOrder, "chunk index %d is at position %d", c.Index, i)
		}
	}
	return nil
}

// checkCoverage refuses chunks that overlap, leave gaps or do not add up to the
// version's size.
func (m *Manifest) checkCoverage() error {
	if !isDigest(m.SHA256) {
		return newRefusal(RefusedHash, "version digest %q is not a SHA-256 in hexadecimal", m.SHA256)
	}
	end := int64(0)
	for _, c := range m.Chunks {
		switch {
		case c.Size <= 0:
			return newRefusal(RefusedEmptyChunk, "chunk %d has %d bytes", c.Index, c.Size)
		case c.Size > MaxChunkSize:
			return newRefusal(RefusedOversized, "chunk %d has %d bytes, maximum is %d", c.Index, c.Size, MaxChunkSize)
		case c.Offset < end:
			return newRefusal(RefusedOverlap, "chunk %d starts at byte %d, but the previous chunk ends at %d", c.Index, c.Offset, end)
		case c.Offset > end:
			return newRefusal(RefusedGap, "chunk %d starts at byte %d, but the previous chunk ends at %d", c.Index, c.Offset, end)
		case !isDigest(c.SHA256):
			return newRefusal(RefusedHash, "chunk %d has digest %q, which is not a SHA-256 in hexadecimal", c.Index, c.SHA256)
		}
		end += c.Size
	}
	if end != m.Size {
		return newRefusal(RefusedSize, "chunks add up to %d bytes, manifest states %d", end, m.Size)
	}
	return nil
}

// BuildManifest splits data into chunks of chunkSize bytes and returns the
// encoded manifest and the digest of that encoding.
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

// Encode returns the JSON encoding of the manifest and the digest of that
// encoding.
func (m *Manifest) Encode() (encoded []byte, digest string) {
	// Marshal cannot fail: a manifest contains only strings and integers.
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
