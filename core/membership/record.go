package membership

import "hash/fnv"

// State is the state of a member. The numbers are those of rpc.AgentState.
type State int32

// States of a member. At equal incarnation and sequence the larger one wins.
const (
	Unknown State = iota
	Starting
	Serving
	Leaving
	Suspected
	Gone
)

// Role tells entries and agents apart.
type Role uint8

// Roles of members.
const (
	RoleAgent Role = iota
	RoleEntry
)

// Place is what rarely changes about a member: where it is and what it serves.
type Place struct {
	Role                 Role
	Address, PeerAddress string
	Region, Zone         string
	Service              string
}

// Record is the latest word on one member.
type Record struct {
	ID string
	// Incarnation is the start time of the process; 0 if it never reported.
	Incarnation int64
	// Sequence grows with each report of one incarnation.
	Sequence uint64
	State    State
	// Place is empty in a delta whose receiver finds it in the platform's list.
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

// Fixed parts of the estimated size of a record in a message.
const (
	recordBytes = 26
	placeBytes  = 10
	loadBytes   = 4
)

// size estimates the bytes of the record in a message.
func (r *Record) size() int {
	n := recordBytes + loadBytes + len(r.ID) + len(r.Version) + len(r.VersionState) + len(r.IntendedVersion) + len(r.Problem)
	if r.Address != "" {
		n += placeBytes + len(r.Address) + len(r.PeerAddress) + len(r.Region) + len(r.Zone) + len(r.Service)
	}
	return n
}

// hash covers what a delta announces: neither the sequence nor the load. It
// is 0 for records that zones are not compared by.
func (r *Record) hash() uint32 {
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
