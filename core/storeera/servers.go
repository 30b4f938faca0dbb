package storeera

import (
	"maps"

	"github.com/laburnumloft/laburnumloft/core/placement"
)

// maxDepartures bounds the servers that have left and are remembered.
const maxDepartures = 4096

// Belief is what to do with a server's record.
type Belief int

// Beliefs.
const (
	// Use means that the record is the newest word of the server.
	Use Belief = iota
	// Keep means that what is known of the server is at least as new.
	Keep
	// Ignore means that the server has left since the record was written.
	Ignore
)

// Servers decides which records of backend servers to believe. A snapshot of a
// restored store may hold records from before what this process knows. A record is
// certainly newer only if it stands at a higher offset than another one of the server
// that was read in the same era; a server that lives writes again within a heartbeat.
type Servers struct {
	era Era
	// read is the offset of the newest record of each server that was read in the era.
	read map[string]int64
	// departed is the start time of the last instance of each server that has left.
	departed map[string]int64
}

// NewServers returns a Servers that knows of no server.
func NewServers() *Servers {
	return &Servers{read: map[string]int64{}, departed: map[string]int64{}}
}

// Departed records that a server has left.
func (s *Servers) Departed(id string, born int64) {
	if _, known := s.departed[id]; !known && len(s.departed) >= maxDepartures {
		// Which one is forgotten hardly matters: a copy is seconds old.
		for other := range s.departed {
			delete(s.departed, other)
			break
		}
	}
	s.departed[id] = born
}

// Departures returns the start times of the last instances of the servers that have
// left, by id.
func (s *Servers) Departures() map[string]int64 { return maps.Clone(s.departed) }

// Present records that a server is there, by the word of another entry.
func (s *Servers) Present(id string) { delete(s.departed, id) }

// RecordWritten records that a record was written in an era at an offset.
func (s *Servers) RecordWritten(era Era, id string, offset int64) {
	s.begin(era)
	s.read[id] = offset
	delete(s.departed, id)
}

// Reconcile decides on a record in a snapshot of an era; known is what this process
// knows of the server, nil if it isn't listed. It returns the server to list.
func (s *Servers) Reconcile(era Era, known *placement.Server, record placement.Server, offset int64) (placement.Server, Belief) {
	s.begin(era)
	before, read := s.read[record.ID]
	s.read[record.ID] = offset
	if !era.Restored() || read && offset > before {
		delete(s.departed, record.ID)
		return record, Use
	}
	if known == nil {
		if born, left := s.departed[record.ID]; left && record.Born <= born {
			return record, Ignore
		}
		return record, Use
	}
	switch {
	case record.Born > known.Born:
		return record, Use
	case record.Born == known.Born && record.Draining && !known.Draining:
		// An instance never returns from draining.
		kept := *known
		kept.Draining = true
		return kept, Use
	default:
		return *known, Keep
	}
}

// begin forgets the offsets of another era.
func (s *Servers) begin(era Era) {
	if era != s.era {
		s.era, s.read = era, map[string]int64{}
	}
}
