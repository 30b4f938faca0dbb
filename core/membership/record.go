package membership

import "hash/fnv"

// State is the state of a member. Its values equal those of rpc.AgentState.
type State int32

// States of a member. Of two records with equal incarnation and sequence, the
// one with the larger state is newer.
const (
	Unknown State = iota
	Starting
	Serving
	Leaving
	Suspected
	Gone
)

// Role distinguishes entries from agents.
type Role uint8

// Roles of members.
const (
	RoleAgent Role = iota
	RoleEntry
)

// Place holds the attributes of a member that rarely change: its role, its
// addresses, its location and its service.
type Place struct {
	Role                 Role
	Address, PeerAddress string
	Region, Zone         string
	Service              string
}

// Record is the latest known state of one member.
type Record struct {
	ID string
	// Incarnation is the start time of the process; 0 if the member has never
	// reported.
	Incarnation int64
	// Sequence increases with each report of one incarnation.
	Sequence uint64
	State    State
	// Place is empty in a delta if the receiver can read it from the platform's
	// list.
	Place
	Version, VersionState, IntendedVersion, Problem string
	ChunksHeld, ChunksTotal                         uint32
	Running, Queued                                 uint32
	SettingsOffset                                  int64
}

// Newer reports whether r replaces old.
func (r *Record) Newer(old *Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	if r.Sequence != old.Sequence {
		return r.Sequence > old.Sequence
	}
	return r.State > old.State
}

// Fixed parts of a record's estimated size in a message, in bytes.
const (
	recordBytes = 26
	placeBytes  = 10
	loadBytes   = 4
)

// estimatedSize estimates the bytes that the record takes in a message.
func (r *Record) estimatedSize() int {
	n := recordBytes + loadBytes + len(r.ID) + len(r.Version) + len(r.VersionState) + len(r.IntendedVersion) + len(r.Problem)
	if r.Address != "" {
		n += placeBytes + len(r.Address) + len(r.PeerAddress) + len(r.Region) + len(r.Zone) + len(r.Service)
	}
	return n
}

// announcedHash hashes the fields whose change queues a delta, so neither the
// sequence nor the load. It is 0 for records that are not part of their zone's
// digest: those of members that are gone or have never reported.
func (r *Record) announcedHash() uint32 {
	if r.Incarnation == 0 || r.State == Gone {
		return 0
	}
	h := fnv.New32a()
	for _, part := range []string{r.ID, r.Version, r.VersionState, r.IntendedVersion, r.Problem} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	var fixed [9]byte
	for i := range 8 {
		fixed[i] = byte(r.Incarnation >> (8 * i))
	}
	fixed[8] = byte(r.State)
	_, _ = h.Write(fixed[:])
	return h.Sum32() | 1
}
