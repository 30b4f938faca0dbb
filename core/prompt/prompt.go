// Package prompt names the parts of prompts that requests share.
package prompt

import (
	"hash/fnv"
	"strconv"
	"strings"
)

// Part identifies a part of a prompt that several requests may share.
type Part uint64

// ParsePart returns the part with a hexadecimal id. An id that doesn't fit in 64
// bits, or isn't hexadecimal, is hashed.
func ParsePart(id string) Part {
	if n, err := strconv.ParseUint(id, 16, 64); err == nil {
		return Part(n)
	}
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(id))
	return Part(h.Sum64())
}

// String returns the id in hexadecimal.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

// maxShownParts limits the parts that Summary shows. Prompts may have thousands.
const maxShownParts = 64

// Summary returns the ids of parts as log lines show them: those that come first, and how
// many follow.
func Summary(parts []Part) string {
	if len(parts) <= maxShownParts {
		return Format(parts)
	}
	return Format(parts[:maxShownParts]) + ",+" + strconv.Itoa(len(parts)-maxShownParts)
}

// Format returns the ids of parts, separated by commas.
func Format(parts []Part) string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = p.String()
	}
	return strings.Join(ids, ",")
}
