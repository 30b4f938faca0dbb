package relay

import (
	"cmp"
	"slices"
)

const (
	// nearSources and farSources bound the entries that are asked for the list
	// of servers before the store is.
	nearSources = 2
	farSources  = 2
)

// Source is an entry to ask for the list of servers.
type Source struct {
	Address string
	// Far ones are in another region. Entries of the own region may follow this
	// one, so that it must ask them for news more often.
	Far bool
}

// ListSources returns whom an entry asks for the list of servers, best first:
// entries that reach the store, of the own region and then of all, whose id is
// lower than its own, so that no two follow each other. When the last one fails
// it reads the store itself.
//
// A large fleet: the first entry of all reads the store, the first of each
// region follows it, and the others follow that one. If all followed one, 400
// entries would ask it 590 times a second over the links between regions.
func ListSources(self Entry, live []Entry) []Source {
	lower := slices.DeleteFunc(slices.Clone(live), func(e Entry) bool {
		return e.ID >= self.ID || !e.Store
	})
	slices.SortFunc(lower, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	var near, far []Source
	for _, e := range lower {
		if e.Region == self.Region && len(near) < nearSources {
			near = append(near, Source{Address: e.Address})
		} else if e.Region != self.Region && len(far) < farSources {
			far = append(far, Source{Address: e.Address, Far: true})
		}
	}
	return append(near, far...)
}
