// Package registry shares the platform's list of backend servers among the
// entries.
//
// The list changes with every heartbeat of every server, and each call of the
// store is priced. One entry reads it often; one of each region asks that one by
// long poll for what really changed, and the others of the region ask theirs
// (core/relay). Each entry chooses its relay from the hellos it hears; entries
// that disagree for a while only read more often. When the relays are late or
// stale, an entry reads the store itself.
package registry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/node/lib/steady"
)

// Update is what changed after a revision.
type Update struct {
	// Epoch identifies the run of the relay; revisions of two runs can't be
	// compared.
	Epoch    uint64 `json:"epoch"`
	Revision int64  `json:"revision"`
	// Full says that Servers are all, so that others are gone.
	Full    bool               `json:"full,omitempty"`
	Servers []placement.Server `json:"servers,omitempty"`
	Gone    []string           `json:"gone,omitempty"`
	// AgeMS is the time since the relay last read the store.
	AgeMS int64 `json:"age_ms"`
}

// List is the list of servers with a revision for each change.
type List struct {
	epoch uint64

	mu       sync.Mutex
	revision int64
	servers  map[string]entry
	gone     map[string]int64
	changed  chan struct{}
	// dirty says that there are changes of which no follower was told yet.
	dirty bool
	read  time.Time
	back  time.Time
}

type entry struct {
	server   placement.Server
	revision int64
}

// maxGone bounds the remembered removals; a follower that is further behind
// gets the full list.
const maxGone = 1024

// NewList returns an empty list.
func NewList() *List {
	return &List{epoch: rand.Uint64(), servers: map[string]entry{}, gone: map[string]int64{}, changed: make(chan struct{})}
}

// Read notes that the list agrees with the store as it was some time ago.
func (l *List) Read(ago time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.read.IsZero() || l.dirty {
		l.wake()
	}
	if at := steady.Now().Add(-ago); at.After(l.read) {
		l.read = at
	}
}

// Age returns the time since the list last agreed with the store.
func (l *List) Age() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.read.IsZero() {
		return time.Hour
	}
	return steady.Since(l.read)
}

// settleTime is how long after an outage a list may still hold servers that
// have left: removals wait for servers that lapsed during the outage.
const settleTime = 3 * time.Second

// Back notes that the store is reached again after an outage.
func (l *List) Back() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.back = steady.Now()
}

// Settled reports whether other entries may rely on the list.
func (l *List) Settled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.back.IsZero() || steady.Since(l.back) >= settleTime
}

// Publish tells the followers of the changes since the last time. Those of one
// reading go out together, or each follower would ask once for each.
func (l *List) Publish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dirty {
		l.wake()
	}
}

// Put adds or changes a server. Followers learn of it with the next Publish or
// Read.
func (l *List) Put(s placement.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old, ok := l.servers[s.ID]; ok && old.server == s {
		return
	}
	l.revision++
	l.servers[s.ID] = entry{s, l.revision}
	delete(l.gone, s.ID)
	l.dirty = true
}

// Remove drops a server. Followers learn of it as of a Put.
func (l *List) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.servers[id]; !ok {
		return
	}
	l.revision++
	delete(l.servers, id)
	if len(l.gone) >= maxGone {
		// A new epoch makes every follower take the full list.
		l.gone, l.epoch = map[string]int64{}, rand.Uint64()
	}
	l.gone[id] = l.revision
	l.dirty = true
}

// Revision grows with each change.
func (l *List) Revision() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// IDs returns the ids of the listed servers.
func (l *List) IDs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := make([]string, 0, len(l.servers))
	for id := range l.servers {
		ids = append(ids, id)
	}
	return ids
}

func (l *List) wake() {
	l.dirty = false
	close(l.changed)
	l.changed = make(chan struct{})
}

// Wait returns what changed after a revision, waiting up to wait for it.
func (l *List) Wait(ctx context.Context, epoch uint64, since int64, wait time.Duration) Update {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		l.mu.Lock()
		// A list that was never read may be so in a moment.
		if !l.read.IsZero() && (epoch != l.epoch || since != l.revision) {
			defer l.mu.Unlock()
			return l.update(epoch, since)
		}
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.update(epoch, since)
		case <-ctx.Done():
			return Update{Epoch: epoch, Revision: since}
		}
	}
}

func (l *List) update(epoch uint64, since int64) Update {
	u := Update{Epoch: l.epoch, Revision: l.revision, Full: epoch != l.epoch || since > l.revision, AgeMS: time.Hour.Milliseconds()}
	settled := l.back.IsZero() || steady.Since(l.back) >= settleTime
	if settled && !l.read.IsZero() {
		u.AgeMS = steady.Since(l.read).Milliseconds()
	}
	for _, e := range l.servers {
		if u.Full || e.revision > since {
			u.Servers = append(u.Servers, e.server)
		}
	}
	if !u.Full {
		for id, revision := range l.gone {
			if revision > since {
				u.Gone = append(u.Gone, id)
			}
		}
	}
	return u
}
