package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// Chunk is one piece of a version.
type Chunk struct {
	Index int `json:"index"`
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

// ParseManifest decodes a manifest and checks it against the digest that the
// settings name and against the memory ceiling in bytes.
func ParseManifest(data []byte, digest string, ceiling int64) (*Manifest, error) {
	sum := sha256.Sum256(data)
	if got := hex.EncodeToString(sum[:]); got != digest {
		return nil, fmt.Errorf("manifest digest is %s, settings name %s", got, digest)
	}
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("malformed manifest: %w", err)
	}
	if m.Size > ceiling {
		return nil, fmt.Errorf("version size %d exceeds the memory ceiling of %d bytes", m.Size, ceiling)
	}
	return &m, nil
}

// BuildManifest returns the manifest of data cut into chunks of chunkSize
// bytes, and its encoding's digest.
func BuildManifest(model, version string, data []byte, chunkSize int) (encoded []byte, digest string) {
	m := Manifest{Model: model, Version: version, Size: int64(len(data)), SHA256: hexDigest(data)}
	for start := 0; start < len(data); start += chunkSize {
		piece := data[start:min(start+chunkSize, len(data))]
		m.Chunks = append(m.Chunks, Chunk{Index: len(m.Chunks), Size: int64(len(piece)), SHA256: hexDigest(piece)})
	}
	// A manifest holds only strings and integers, which always encode.
	encoded, _ = json.Marshal(&m)
	return encoded, hexDigest(encoded)
}

func hexDigest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
