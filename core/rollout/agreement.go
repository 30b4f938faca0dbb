package rollout

import (
	"crypto/sha256"
	"strings"
)

// DigestList is the list of digests of a version's pieces that some source gave.
type DigestList struct {
	Model   string
	Version int64
	Digests []string
}

// OriginSource is the source of lists from the origin. Its answers count as independent of
// each other, because they become corrupt one by one.
const OriginSource = "origin"

// maxLists bounds the memory. Lists that differ are rare, so that few wait for a second
// source at a time.
const maxLists = 16

// ListAgreement decides whether a list of digests about which nothing else is known is
// correct: two sources must give the same one. It is not safe for concurrent use; the zero
// value has no lists.
type ListAgreement struct {
	lists map[listKey]listSource
}

// listKey identifies a list by its content.
type listKey struct {
	model   string
	version int64
	digests [sha256.Size]byte
}

// listSource is the first source of a list, and whether a second one gave the same list.
type listSource struct {
	first     string
	confirmed bool
}

// Record records a list from a source and reports whether two sources, or two answers of
// the origin, have given it.
func (a *ListAgreement) Record(list DigestList, source string) bool {
	key := listKey{list.Model, list.Version, sha256.Sum256([]byte(strings.Join(list.Digests, ",")))}
	known, given := a.lists[key]
	if !given && (a.lists == nil || len(a.lists) >= maxLists) {
		a.lists = map[listKey]listSource{}
	}
	if !given {
		known = listSource{first: source}
	} else if source != known.first || source == OriginSource {
		known.confirmed = true
	}
	a.lists[key] = known
	return known.confirmed
}
