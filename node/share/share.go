// Package share spreads what the operator published among the system's own
// processes: a few entries of each region read the platform's store, the others
// and the agents ask them.
//
// A reader that learns something says hello to all entries at once; an entry
// that hears of a newer version than its own asks for it, inside the region if
// it can. An entry that hears of no reader reads the store itself.
package share

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/core/relay"
	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/gateway"
	"github.com/laburnumloft/laburnumloft/node/mesh"
)

const (
	// readersPerRegion is how many entries of a region read the store: one
	// may be slow or cut off without anybody waiting for it.
	readersPerRegion = 2
	// startPatience is how long an entry that starts takes the listed entries
	// for live ones, though it has not heard them yet.
	startPatience = 1500 * time.Millisecond
	// bootstrapPatience is that time when the whole system starts for the first
	// time: all publish themselves before they read the list.
	bootstrapPatience = 3 * time.Second
	// keepUpEvery is the time between two looks for something newer,
	// startEvery while no configuration is known.
	keepUpEvery = 200 * time.Millisecond
	startEvery  = 80 * time.Millisecond
	// agesPatience is how long an entry that starts asks for the ages of
	// weights.
	agesPatience = 3 * time.Second
	// askTimeout bounds a question to another entry.
	askTimeout = 700 * time.Millisecond
)

// Config sets up a Sharer.
type Config struct {
	Self    mesh.Member
	Mesh    *mesh.Mesh
	Gateway *gateway.Gateway
	// Client is the client of own processes.
	Client *http.Client
	Log    *decision.Log
	// Cut reports whether this entry tried to reach the store and failed.
	Cut func() bool
	// Seeds are addresses of entries, known from the settings.
	Seeds func() []string
	// Bootstrap says that the whole system starts for the first time, so
	// that nobody knows the ages of weights.
	Bootstrap bool
}

// Sharer keeps one entry up to date and serves others.
type Sharer struct {
	cfg     Config
	started time.Time

	// members is closed when the list of members was read.
	members     chan struct{}
	membersOnce sync.Once

	mu     sync.Mutex
	packed packed
}

// New returns a Sharer.
func New(cfg Config) *Sharer {
	return &Sharer{cfg: cfg, started: time.Now(), members: make(chan struct{})}
}

// MembersKnown tells that the list of members was read.
func (s *Sharer) MembersKnown() {
	s.membersOnce.Do(func() { close(s.members) })
}

// AwaitMembers returns when the list of members was read, or after the time for
// a start.
func (s *Sharer) AwaitMembers(ctx context.Context) {
	select {
	case <-s.members:
	case <-time.After(s.startPatience()):
	case <-ctx.Done():
	}
}

func (s *Sharer) startPatience() time.Duration {
	if s.cfg.Bootstrap {
		return bootstrapPatience
	}
	return startPatience
}

// AwaitsReaders reports whether this entry has just started and leaves it to the
// readers of its region to read the store.
func (s *Sharer) AwaitsReaders() bool { return s.starting() && !s.ReadsStore() }

// ReadsStore reports whether this entry is to read the operator's records from
// the store.
func (s *Sharer) ReadsStore() bool {
	select {
	case <-s.members:
	default:
		if s.starting() {
			return false
		}
	}
	return s.cfg.Cut() || slices.Contains(s.readers(), s.cfg.Self.ID)
}

// FirstRelays returns the addresses of the other readers of the region while
// this entry starts and has heard nobody yet.
func (s *Sharer) FirstRelays() []string {
	if !s.starting() || s.ReadsStore() {
		return nil
	}
	return s.addresses(s.readers())
}

// addresses returns where the entries with some ids are.
func (s *Sharer) addresses(ids []string) []string {
	var out []string
	for _, m := range s.cfg.Mesh.Members(mesh.Entry) {
		if slices.Contains(ids, m.ID) {
			out = append(out, m.Address)
		}
	}
	return out
}

func (s *Sharer) starting() bool { return time.Since(s.started) < s.startPatience() }

// readers are the entries that read the store for the own region.
func (s *Sharer) readers() []string {
	entries := []relay.Entry{{ID: s.cfg.Self.ID, Region: s.cfg.Self.Region, StoreUnreachable: s.cfg.Cut()}}
	heard := map[string]bool{}
	for _, l := range s.cfg.Mesh.LiveEntriesInRegion() {
		heard[l.ID] = true
		entries = append(entries, relay.Entry{ID: l.ID, Region: l.Region, StoreUnreachable: l.Hello.StoreFailed})
	}
	if s.starting() {
		for _, m := range s.cfg.Mesh.Members(mesh.Entry) {
			if !heard[m.ID] {
				entries = append(entries, relay.Entry{ID: m.ID, Region: m.Region})
			}
		}
	}
	return relay.StoreReaders(s.cfg.Self.Region, entries, readersPerRegion)
}

// Run keeps this entry up to date until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	if !s.cfg.Bootstrap {
		go s.askAges(ctx)
	}
	for {
		pause := keepUpEvery
		if s.cfg.Gateway.Table() == nil {
			pause = startEvery
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		live := s.cfg.Mesh.LiveEntries()
		s.cfg.Gateway.SetEntryCount(len(live) + 1)
		s.keepUp(ctx, live)
	}
}

// keepUp asks an entry that knows more. It covers a cut from the store, and a
// long poll that is not answered although there is something new.
func (s *Sharer) keepUp(ctx context.Context, live []mesh.LiveEntry) {
	table := s.cfg.Gateway.Table()
	if table == nil {
		if address := s.firstSource(live); address != "" {
			s.askConfiguration(ctx, address, 0)
			s.askWeights(ctx, address)
		}
		return
	}
	version, weights := table.Version(), s.cfg.Gateway.NewestWeightsSum()
	if address := s.nearest(live, func(h mesh.Hello) bool { return h.ConfigurationVersion > version }); address != "" {
		s.askConfiguration(ctx, address, version)
	}
	if address := s.nearest(live, func(h mesh.Hello) bool { return h.WeightsSum > weights }); address != "" {
		s.askWeights(ctx, address)
	}
}

// firstSource returns whom an entry without configuration asks: one that has
// one, a reader of the region, or a seed.
func (s *Sharer) firstSource(live []mesh.LiveEntry) string {
	if address := s.nearest(live, func(h mesh.Hello) bool { return h.ConfigurationVersion > 0 }); address != "" {
		return address
	}
	addresses := s.addresses(s.readers())
	if len(addresses) == 0 {
		addresses = s.cfg.Seeds()
	}
	return oneOf(addresses)
}

// nearest returns the address of an entry that fits, one of the own region if
// there is one.
func (s *Sharer) nearest(live []mesh.LiveEntry, fits func(mesh.Hello) bool) string {
	var near, far []string
	for _, l := range live {
		switch {
		case !fits(l.Hello):
		case l.Region == s.cfg.Self.Region:
			near = append(near, l.Address)
		default:
			far = append(far, l.Address)
		}
	}
	if len(near) == 0 {
		near = far
	}
	return oneOf(near)
}

func oneOf(addresses []string) string {
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.N(len(addresses))]
}

// askAges asks other entries once after a start: the store doesn't tell when
// weights were named, an entry that was there does.
func (s *Sharer) askAges(ctx context.Context) {
	for begun := time.Now(); time.Since(begun) < agesPatience && ctx.Err() == nil; {
		members := s.cfg.Mesh.Members(mesh.Entry)
		if len(members) > 0 && s.askWeights(ctx, members[rand.N(len(members))].Address) {
			return
		}
		select {
		case <-time.After(startEvery):
		case <-ctx.Done():
		}
	}
}
