// Package registry distributes the platform's list of backend servers among
// the entries.
//
// The list in the platform's store changes with every heartbeat of every
// server, and each call to the store costs money. Therefore one entry polls the
// store. In each region one entry, the region's relay, long-polls that entry for
// effective changes, and the other entries of the region long-poll the relay
// (core/relay). Each entry chooses its relay from the heartbeats it receives;
// when entries temporarily choose different relays, the store is only read more
// often. When the relays are slow or stale, an entry reads the store itself.
package registry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

// Update lists the changes after a revision.
type Update struct {
	// Epoch identifies the instance of the relay's list. Revisions of different
	// epochs are not comparable.
	Epoch    uint64 `json:"epoch"`
	Revision int64  `json:"revision"`
	// Full means that Servers is the complete list: servers that are not in it
	// have been removed.
	Full    bool               `json:"full,omitempty"`
	Servers []placement.Server `json:"servers,omitempty"`
	Removed []string           `json:"gone,omitempty"`
	// Departed holds the start times of the last instances of servers that have left,
	// by id, in a full list. A copy of the store may still list them.
	Departed map[string]int64 `json:"departed,omitempty"`
	// StoreEra is the number of the store's era in which the list was last confirmed;
	// 0 also if it is not known.
	StoreEra int64 `json:"store_era,omitempty"`
	// AgeMS is the time since the relay's list last matched the store.
	AgeMS int64 `json:"age_ms"`
}

// List is a list of servers that assigns a revision to each change.
type List struct {
	epoch uint64

	mu       sync.Mutex
	revision int64
	servers  map[string]listedServer
	removals map[string]removal
	changed  chan struct{}
	// era is the number of the store's era in which the list was last confirmed.
	era int64
	// unpublished is true while there are changes that followers have not been
	// notified of.
	unpublished   bool
	readAt        time.Time
	reconnectedAt time.Time
}

type listedServer struct {
	server   placement.Server
	revision int64
}

// removal is the removal of a server, whose last instance started at born.
type removal struct{ revision, born int64 }

// maxRemovals limits the number of recorded removals. A follower that is
// further behind gets the full list.
const maxRemovals = 1024

// NewList returns an empty list.
func NewList() *List {
	return &List{epoch: rand.Uint64(), servers: map[string]listedServer{}, removals: map[string]removal{}, changed: make(chan struct{})}
}

// RecordRead records that the list matches the state of the store at the given
// age.
func (l *List) RecordRead(age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readAt.IsZero() || l.unpublished {
		l.notifyFollowers()
	}
	if at := bootclock.Now().Add(-age); at.After(l.readAt) {
		l.readAt = at
	}
}

// neverRead is the age of a list that has never been read from the store.
const neverRead = time.Hour

// Age returns the time since the list last matched the store, or neverRead.
func (l *List) Age() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readAt.IsZero() {
		return neverRead
	}
	return bootclock.Since(l.readAt)
}

// settleTime is how long the list may contain removed servers after an outage
// of the store: their removal is delayed because servers whose records expired
// during the outage may register again.
const settleTime = 3 * time.Second

// RecordReconnect records that the store is reachable again after an outage.
func (l *List) RecordReconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reconnectedAt = bootclock.Now()
}

// Settled reports whether other entries may use the list, which is not the case
// shortly after an outage of the store.
func (l *List) Settled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reconnectedAt.IsZero() || bootclock.Since(l.reconnectedAt) >= settleTime
}

// Publish notifies the followers of the changes since the last notification.
// The changes of one read of the store are published together; otherwise each
// follower would send a request for each change.
func (l *List) Publish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unpublished {
		l.notifyFollowers()
	}
}

// Put adds or updates a server. Followers are notified by the next Publish or
// RecordRead.
func (l *List) Put(s placement.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old, ok := l.servers[s.ID]; ok && old.server == s {
		return
	}
	l.revision++
	l.servers[s.ID] = listedServer{s, l.revision}
	delete(l.removals, s.ID)
	l.unpublished = true
}

// Remove removes a server. Followers are notified by the next Publish or
// RecordRead.
func (l *List) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	left, ok := l.servers[id]
	if !ok {
		return
	}
	l.revision++
	delete(l.servers, id)
	if len(l.removals) >= maxRemovals {
		// A new epoch makes every follower fetch the full list.
		l.removals, l.epoch = map[string]removal{}, rand.Uint64()
	}
	l.removals[id] = removal{l.revision, left.server.Born}
	l.unpublished = true
}

// Get returns a server of the list.
func (l *List) Get(id string) (s placement.Server, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.servers[id]
	return e.server, ok
}

// SetEra records the number of the store's era in which the list is confirmed. The
// followers are told of another one at once.
func (l *List) SetEra(number int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if number != l.era {
		l.era = number
		l.revision++
		l.unpublished = true
	}
}

// Era returns the number of the store's era in which the list was last confirmed.
func (l *List) Era() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era
}

// Revision returns the revision of the last change.
func (l *List) Revision() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// IDs returns the ids of all servers in the list.
func (l *List) IDs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := make([]string, 0, len(l.servers))
	for id := range l.servers {
		ids = append(ids, id)
	}
	return ids
}

func (l *List) notifyFollowers() {
	l.unpublished = false
	close(l.changed)
	l.changed = make(chan struct{})
}

// Wait returns the changes after a revision. If there are none, it blocks until
// the next change, but at most for wait.
func (l *List) Wait(ctx context.Context, epoch uint64, since int64, wait time.Duration) Update {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		l.mu.Lock()
		// A list that has never been read from the store holds no usable state,
		// so wait for the first read.
		// The same holds for one that is being changed.
		if !l.readAt.IsZero() && !l.unpublished && (epoch != l.epoch || since != l.revision) {
			defer l.mu.Unlock()
			return l.updateSince(epoch, since)
		}
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.updateSince(epoch, since)
		case <-ctx.Done():
			return Update{Epoch: epoch, Revision: since}
		}
	}
}

// updateSince returns the changes after the revision since. It returns the full
// list if since belongs to another epoch or is newer than the list.
func (l *List) updateSince(epoch uint64, since int64) Update {
	u := Update{Epoch: l.epoch, Revision: l.revision, StoreEra: l.era, Full: epoch != l.epoch || since > l.revision, AgeMS: neverRead.Milliseconds()}
	settled := l.reconnectedAt.IsZero() || bootclock.Since(l.reconnectedAt) >= settleTime
	if settled && !l.readAt.IsZero() {
		u.AgeMS = bootclock.Since(l.readAt).Milliseconds()
	}
	for _, e := range l.servers {
		if u.Full || e.revision > since {
			u.Servers = append(u.Servers, e.server)
		}
	}
	if !u.Full {
		for id, r := range l.removals {
			if r.revision > since {
				u.Removed = append(u.Removed, id)
			}
		}
		return u
	}
	u.Departed = map[string]int64{}
	for id, r := range l.removals {
		u.Departed[id] = r.born
	}
	return u
}
