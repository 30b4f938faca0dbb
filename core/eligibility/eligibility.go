// Package eligibility decides whether a backend server may get a request, and
// names the reason if not.
//
// It takes what an entry knows and has estimated about one server, and what the
// request and the configuration ask for. The package does no I/O, reads no clock and
// keeps no state.
package eligibility

import (
	"slices"
	"strconv"
	"strings"
)

// Reason is why a server may not get a request.
type Reason uint8

// Reasons, in the order in which Check finds them. Eligible means that there is none.
const (
	Eligible Reason = iota
	Tried
	Draining
	Leaving
	Misdirected
	Home
	Evacuated
	Down
	SetAside
	NoWeights
	Memory
	Full
	Paused
	Cold
	reasonCount
)

// reasonNames are the names that log lines and counters contain.
var reasonNames = [reasonCount]string{
	Eligible: "eligible", Tried: "tried", Draining: "draining", Leaving: "leaving", Misdirected: "misdirected",
	Home: "home", Evacuated: "evacuated", Down: "down", SetAside: "set_aside", NoWeights: "no_weights",
	Memory: "memory", Full: "full", Paused: "paused", Cold: "cold",
}

// String returns the name of the reason in log lines.
func (r Reason) String() string { return reasonNames[r] }

// Exclusions counts the servers of a service by the reason that excluded them.
type Exclusions [reasonCount]uint16

// AllForGood reports whether there are servers and each of them is excluded for a reason that
// does not pass while a request waits.
func (e Exclusions) AllForGood() bool {
	found := false
	for reason, count := range e {
		switch Reason(reason) {
		case Eligible:
			continue
		case Tried, Draining, Leaving, Misdirected, Home:
			found = found || count > 0
		default:
			if count > 0 {
				return false
			}
		}
	}
	return found
}

// String returns the counts as REASON=COUNT, separated by commas.
func (e Exclusions) String() string {
	var parts []string
	for reason, count := range e {
		if count > 0 {
			parts = append(parts, Reason(reason).String()+"="+strconv.Itoa(int(count)))
		}
	}
	return strings.Join(parts, ",")
}

// Regions are the regions in which a request may be served. The zero value allows
// all of them.
type Regions struct {
	restricted bool
	names      []string
}

// Everywhere allows all regions.
var Everywhere = Regions{}

// OnlyIn allows the named regions. Without names it allows all.
func OnlyIn(names []string) Regions {
	return Regions{restricted: len(names) > 0, names: names}
}

// And returns the regions that both allow, which may be none.
func (r Regions) And(other Regions) Regions {
	switch {
	case !other.restricted:
		return r
	case !r.restricted:
		return other
	}
	both := Regions{restricted: true}
	for _, name := range r.names {
		if slices.Contains(other.names, name) {
			both.names = append(both.names, name)
		}
	}
	return both
}

// Restricted reports whether some region is not allowed.
func (r Regions) Restricted() bool { return r.restricted }

// Names returns the allowed regions if Restricted.
func (r Regions) Names() []string { return r.names }

// Allows reports whether a region is allowed. A server whose region is unknown, with
// an empty name, is in none of the allowed ones.
func (r Regions) Allows(region string) bool {
	return !r.restricted || region != "" && slices.Contains(r.names, region)
}

// Server is what an entry knows about one server at the time of a decision.
type Server struct {
	Region string
	// Draining means that the server's record says so, Leaving that the server does.
	Draining, Leaving bool
	// Misdirected means that another server answers at the address.
	Misdirected bool
	// Evacuated means that the operator empties the server's availability zone.
	Evacuated bool
	// Down means that the server does not answer or has been replaced.
	Down bool
	// SetAside means that the server is excluded after failures or a refusal.
	SetAside bool
	// Paused means that the server wants no requests of this entry now.
	Paused bool
	// Tried means that the request was already sent to the server.
	Tried bool
	// Cold means that the server has just started and that this entry's part of what
	// it bears meanwhile is used up.
	Cold bool
	// WeightVersion is the version of the loaded weights; 0 means none. Loading means
	// that the server changes them.
	WeightVersion int64
	Loading       bool
	// Load is the estimated number of requests at the server, and MaxLoad the number
	// from which it is full.
	Load, MaxLoad float64
	// HeldTokens estimates what the server's requests hold of its memory, and
	// MemoryTokens is the memory; 0 means that it is not known.
	HeldTokens, MemoryTokens float64
}

// Request is what a request asks for.
type Request struct {
	Regions Regions
	// NeedsWeights is set for requests to model engines; MinVersion is the lowest
	// version of the weights that is accepted.
	NeedsWeights bool
	MinVersion   int64
	// Tokens estimates the memory that the request will hold; 0 means unknown.
	Tokens float64
}

// Check returns Eligible if a server may get a request, or the reason why not. A
// reason that stays goes before one that passes.
func Check(s *Server, r *Request) Reason {
	switch {
	case s.Tried:
		return Tried
	case s.Draining:
		return Draining
	case s.Leaving:
		return Leaving
	case s.Misdirected:
		return Misdirected
	case !r.Regions.Allows(s.Region):
		return Home
	case s.Evacuated:
		return Evacuated
	case s.Down:
		return Down
	case s.SetAside:
		return SetAside
	}
	if r.NeedsWeights {
		if reason := checkEngine(s, r); reason != Eligible {
			return reason
		}
	}
	switch {
	case s.Paused:
		return Paused
	case s.Cold:
		return Cold
	default:
		return Eligible
	}
}

// checkEngine is the part of Check for model engines.
func checkEngine(s *Server, r *Request) Reason {
	switch {
	case s.WeightVersion == 0 || s.WeightVersion < r.MinVersion || s.Loading:
		return NoWeights
	case s.MemoryTokens > 0 && s.HeldTokens+r.Tokens > s.MemoryTokens:
		return Memory
	case s.Load >= s.MaxLoad:
		return Full
	default:
		return Eligible
	}
}
