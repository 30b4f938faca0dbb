package relay

import (
	"slices"
	"time"
)

// maxHeardAge is the age of an entry's last hello up to which it is preferred as a
// source: two intervals between hellos. An entry that hangs still counts as live for
// longer.
const maxHeardAge = time.Second

// Candidate is an entry that may have a record which this entry lacks.
type Candidate struct {
	Address string
	Region  string
	// HeardAge is the age of the entry's last hello.
	HeardAge time.Duration
	// Unannounced is set if the entry is not known to have the record. Its last hello
	// may be from before it got it.
	Unannounced bool
}

// RecordSources returns the entries to ask for a record, in order of preference, limit
// at most. Entries heard of lately come first, in turn one of this region and one of
// another, because a whole region may be silent. Entries of other regions that have not
// announced the record come last. Candidates that are equally good keep their order.
func RecordSources(region string, candidates []Candidate, limit int) []Candidate {
	var groups [4][]Candidate
	var unannounced []Candidate
	for _, c := range candidates {
		group := 0
		if c.Region != region {
			group++
		}
		if c.HeardAge > maxHeardAge {
			group += 2
		}
		switch {
		case !c.Unannounced:
			groups[group] = append(groups[group], c)
		case c.Region != region:
			unannounced = append(unannounced, c)
		}
	}
	var sources []Candidate
	for _, pair := range [][2][]Candidate{{groups[0], groups[1]}, {groups[2], groups[3]}} {
		for i := range max(len(pair[0]), len(pair[1])) {
			sources = append(sources, slices.Concat(at(pair[0], i), at(pair[1], i))...)
		}
	}
	sources = append(sources, unannounced...)
	return sources[:min(limit, len(sources))]
}

// at returns the candidate with an index, if there is one.
func at(candidates []Candidate, i int) []Candidate {
	if i >= len(candidates) {
		return nil
	}
	return candidates[i : i+1]
}

// Lag tells for how long this entry has lacked a version that others have. The zero
// value lacks none. It is not safe for concurrent use.
type Lag struct {
	// heard holds the versions that are missing, with the time at which each was first
	// heard of, in ascending order.
	heard []heardVersion
}

type heardVersion struct {
	version int64
	at      time.Time
}

// maxHeardVersions bounds the versions that a Lag holds. It keeps the oldest ones.
const maxHeardVersions = 64

// Update records the version that this entry has and the newest one that others have,
// and returns for how long the oldest missing version has been missing.
func (l *Lag) Update(own, newest int64, now time.Time) time.Duration {
	l.heard = slices.DeleteFunc(l.heard, func(h heardVersion) bool { return h.version <= own })
	last := own
	if len(l.heard) > 0 {
		last = l.heard[len(l.heard)-1].version
	}
	if newest > last && len(l.heard) < maxHeardVersions {
		l.heard = append(l.heard, heardVersion{newest, now})
	}
	if len(l.heard) == 0 {
		return 0
	}
	return now.Sub(l.heard[0].at)
}
