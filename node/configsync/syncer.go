// Package configsync distributes the operator's configuration and the published
// weight versions among the system's processes. A few entries of each region read
// the platform's store; the other entries and the agents request the data from
// them.
//
// An entry that reads something new sends a heartbeat to all entries at once. An
// entry that gets a heartbeat with a newer version than its own requests that
// version, if possible from an entry of its own region. An entry without a live
// reader in its region reads the store itself.
package configsync

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumloft/laburnumloft/core/relay"
	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/gateway"
	"github.com/laburnumloft/laburnumloft/node/mesh"
)

const (
	// storeReadersPerRegion is the number of entries of a region that read the
	// store, so that one may be slow or cut off without delaying the others.
	storeReadersPerRegion = 2
	// startGracePeriod is how long after its start an entry counts the listed
	// entries as live without having received a heartbeat from them.
	startGracePeriod = 1500 * time.Millisecond
	// bootstrapGracePeriod replaces startGracePeriod when the whole system starts
	// for the first time. It is longer because all processes register themselves
	// before they read the list.
	bootstrapGracePeriod = 3 * time.Second
	// pollInterval is the time between two checks for newer data at other
	// entries; startPollInterval replaces it while the entry has no
	// configuration.
	pollInterval      = 200 * time.Millisecond
	startPollInterval = 80 * time.Millisecond
	// weightAgesTimeout is the time after its start for which an entry keeps
	// requesting the ages of the weight versions if no entry answers.
	weightAgesTimeout = 3 * time.Second
	// requestTimeout is the timeout of a request to another entry.
	requestTimeout = 700 * time.Millisecond
	// entryPatience is how long an entry may be silent before another one is asked as
	// well. Entries answer within 10 ms, a lost packet is sent again after 200 ms.
	entryPatience = 200 * time.Millisecond
	// narrowPatience replaces entryPatience for targets of agents and lists of members,
	// which have seconds. The links of agents may be narrow, and each further answer
	// would add to what fills them.
	narrowPatience = 500 * time.Millisecond
	// maxSources is how many entries are asked for one record, and inquiryTimeout how
	// long that may take.
	maxSources     = 4
	inquiryTimeout = 1200 * time.Millisecond
	// maxLag is the time for which a configuration may be missing that no entry
	// answers for, before this entry reads the store. Configurations must be in force
	// after 2 s.
	maxLag = 800 * time.Millisecond
)

// Config sets up a Syncer.
type Config struct {
	Self    mesh.Member
	Mesh    *mesh.Mesh
	Gateway *gateway.Gateway
	// Client is the HTTP client for requests to the system's processes.
	Client *http.Client
	Log    *decision.Log
	// StoreUnreachable reports whether this entry's last attempt to reach the
	// store failed.
	StoreUnreachable func() bool
	// Seeds returns addresses of entries from the settings.
	Seeds func() []string
	// Bootstrap means that the whole system starts for the first time, so that
	// no entry knows the ages of the weight versions.
	Bootstrap bool
}

// Syncer keeps the data of one entry up to date and serves it to other processes.
type Syncer struct {
	cfg     Config
	started time.Time

	// membersKnown is closed when the list of members has been read.
	membersKnown chan struct{}
	membersOnce  sync.Once

	// unanswered is set while a configuration is missing and no entry answers for it.
	unanswered atomic.Bool
	// accessUnstated is set while a configuration is missing and an entry has one that does
	// not say which requests need a key.
	accessUnstated atomic.Bool

	mu         sync.Mutex
	compressed compressedConfiguration
}

// New returns a Syncer.
func New(cfg Config) *Syncer {
	return &Syncer{cfg: cfg, started: time.Now(), membersKnown: make(chan struct{})}
}

// SetMembersKnown records that the list of members has been read.
func (s *Syncer) SetMembersKnown() {
	s.membersOnce.Do(func() { close(s.membersKnown) })
}

// AwaitMembers returns when the list of members has been read, after the grace
// period for a start, or when ctx ends.
func (s *Syncer) AwaitMembers(ctx context.Context) {
	select {
	case <-s.membersKnown:
	case <-time.After(s.startGracePeriod()):
	case <-ctx.Done():
	}
}

// startGracePeriod returns the grace period for this start.
func (s *Syncer) startGracePeriod() time.Duration {
	if s.cfg.Bootstrap {
		return bootstrapGracePeriod
	}
	return startGracePeriod
}

// DefersStoreReads reports whether this entry is in the grace period of its start
// and leaves reading the store to the store readers of its region.
func (s *Syncer) DefersStoreReads() bool { return s.starting() && !s.ReadsStore() }

// ReadsStore reports whether this entry reads the operator's records from the
// store. It returns false during the grace period as long as the list of members
// is not known.
func (s *Syncer) ReadsStore() bool {
	select {
	case <-s.membersKnown:
	default:
		if s.starting() {
			return false
		}
	}
	return s.cfg.StoreUnreachable() || s.unanswered.Load() || s.accessUnstated.Load() || slices.Contains(s.storeReaders(), s.cfg.Self.ID)
}

// InitialRelays returns the addresses of the region's store readers during the
// grace period of the start, or nil if this entry reads the store itself.
func (s *Syncer) InitialRelays() []string {
	if !s.starting() || s.ReadsStore() {
		return nil
	}
	return s.addresses(s.storeReaders())
}

// addresses returns the addresses of the entries with the given IDs.
func (s *Syncer) addresses(ids []string) []string {
	var out []string
	for _, m := range s.cfg.Mesh.Members(mesh.Entry) {
		if slices.Contains(ids, m.ID) {
			out = append(out, m.Address)
		}
	}
	return out
}

// starting reports whether the grace period of the start has not ended.
func (s *Syncer) starting() bool { return time.Since(s.started) < s.startGracePeriod() }

// storeReaders returns the IDs of the entries that read the store for the region.
func (s *Syncer) storeReaders() []string {
	entries := []relay.Entry{{ID: s.cfg.Self.ID, Region: s.cfg.Self.Region, StoreUnreachable: s.cfg.StoreUnreachable()}}
	live := map[string]bool{}
	for _, l := range s.cfg.Mesh.LiveEntriesInRegion() {
		live[l.ID] = true
		entries = append(entries, relay.Entry{ID: l.ID, Region: l.Region, StoreUnreachable: l.Hello.StoreFailed, Silent: l.Age > relay.MaxReaderSilence})
	}
	if s.starting() {
		for _, m := range s.cfg.Mesh.Members(mesh.Entry) {
			if !live[m.ID] {
				entries = append(entries, relay.Entry{ID: m.ID, Region: m.Region})
			}
		}
	}
	return relay.StoreReaders(s.cfg.Self.Region, entries, storeReadersPerRegion)
}

// Run keeps the data of this entry up to date until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	if !s.cfg.Bootstrap {
		go s.fetchWeightAges(ctx)
	}
	// An entry that does not answer for one record must not hold up the other.
	go s.repeat(ctx, s.catchUpWithWeights)
	var lag relay.Lag
	s.repeat(ctx, func(ctx context.Context, live []mesh.LiveEntry) {
		s.cfg.Gateway.SetEntryCount(len(live) + 1)
		s.catchUpWithConfiguration(ctx, live, &lag)
	})
}

// repeat calls catchUp with the live entries until ctx ends.
func (s *Syncer) repeat(ctx context.Context, catchUp func(ctx context.Context, live []mesh.LiveEntry)) {
	for {
		pause := pollInterval
		if s.cfg.Gateway.Table() == nil {
			pause = startPollInterval
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		catchUp(ctx, s.cfg.Mesh.LiveEntries())
	}
}

// catchUpWithConfiguration requests a newer configuration from entries that have one.
// This covers a lost connection to the store, and a long poll that gets no answer
// although there is a newer one.
func (s *Syncer) catchUpWithConfiguration(ctx context.Context, live []mesh.LiveEntry, lag *relay.Lag) {
	table := s.cfg.Gateway.Table()
	if table == nil {
		s.fetchConfiguration(ctx, s.initialSources(live), 0)
		return
	}
	version, newest := table.Version(), table.Version()
	for _, l := range live {
		newest = max(newest, l.Hello.ConfigurationVersion)
	}
	s.cfg.Gateway.RecordNewestConfiguration(newest)
	lag.Update(version, newest, time.Now())
	if newest == version {
		s.unanswered.Store(false)
		s.accessUnstated.Store(false)
		return
	}
	answered := s.fetchConfiguration(ctx, s.sources(live, func(h mesh.Hello) bool { return h.ConfigurationVersion > version }), version)
	missing := lag.Update(s.cfg.Gateway.Table().Version(), newest, time.Now())
	if unanswered := !answered && missing >= maxLag; s.unanswered.Swap(unanswered) != unanswered {
		s.cfg.Log.Event("configuration_missing", "version", version, "newest", newest, "ms", missing.Milliseconds(), "reads_store", unanswered)
	}
}

// catchUpWithWeights requests newer published weight versions from entries that have
// them.
func (s *Syncer) catchUpWithWeights(ctx context.Context, live []mesh.LiveEntry) {
	if s.cfg.Gateway.Table() == nil {
		s.fetchWeights(ctx, s.initialSources(live))
		return
	}
	weights := s.cfg.Gateway.NewestWeightsSum()
	if addresses := s.sources(live, func(h mesh.Hello) bool { return h.WeightsSum > weights }); len(addresses) > 0 {
		s.fetchWeights(ctx, addresses)
	}
}

// initialSources returns the addresses of the entries from which an entry without
// configuration requests one: entries that have a configuration, else the store readers
// of the region, else the seeds.
func (s *Syncer) initialSources(live []mesh.LiveEntry) []string {
	if addresses := s.sources(live, func(h mesh.Hello) bool { return h.ConfigurationVersion > 0 }); len(addresses) > 0 {
		return addresses
	}
	addresses := s.addresses(s.storeReaders())
	if len(addresses) == 0 {
		addresses = s.cfg.Seeds()
	}
	return randomAddresses(addresses, maxSources)
}

// maxEntriesAsked is how many entries are asked for a newer configuration before one
// from a restored store is used.
const maxEntriesAsked = 2

// FetchNewer asks other entries for a configuration that is newer than a version, until
// one has one or maxEntriesAsked did not.
func (s *Syncer) FetchNewer(version int64) {
	s.fetchConfiguration(context.Background(), randomAddresses(s.KnownEntries(), maxEntriesAsked), version)
}

// KnownEntries returns the addresses of the live other entries, or, if there are none,
// of all entries that may exist.
func (s *Syncer) KnownEntries() (addresses []string) {
	for _, l := range s.cfg.Mesh.LiveEntries() {
		addresses = append(addresses, l.Address)
	}
	if len(addresses) > 0 {
		return addresses
	}
	for _, m := range s.cfg.Mesh.Members(mesh.Entry) {
		addresses = append(addresses, m.Address)
	}
	return append(addresses, s.cfg.Seeds()...)
}

// sources returns the addresses of the entries to ask for a record, or nil if no hello
// announces it.
func (s *Syncer) sources(live []mesh.LiveEntry, announces func(mesh.Hello) bool) (addresses []string) {
	var candidates []relay.Candidate
	announced := false
	for _, l := range live {
		has := announces(l.Hello)
		announced = announced || has
		candidates = append(candidates, relay.Candidate{Address: l.Address, Region: l.Region, HeardAge: l.Age, Unannounced: !has})
	}
	if !announced {
		return nil
	}
	// Equally good entries share the requests.
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, c := range relay.RecordSources(s.cfg.Self.Region, candidates, maxSources) {
		addresses = append(addresses, c.Address)
	}
	return addresses
}

// randomAddresses returns some of the addresses, limit at most, in random order.
func randomAddresses(addresses []string, limit int) (chosen []string) {
	for _, i := range rand.Perm(len(addresses))[:min(limit, len(addresses))] {
		chosen = append(chosen, addresses[i])
	}
	return chosen
}

// fetchWeightAges requests the ages of the weight versions from other entries
// after a start, until one answers or weightAgesTimeout passes. The store does
// not record when weights were published; entries that were running when a version
// was published know its age.
func (s *Syncer) fetchWeightAges(ctx context.Context) {
	for start := time.Now(); time.Since(start) < weightAgesTimeout && ctx.Err() == nil; {
		var addresses []string
		for _, m := range s.cfg.Mesh.Members(mesh.Entry) {
			addresses = append(addresses, m.Address)
		}
		if s.fetchWeights(ctx, randomAddresses(addresses, maxSources)) {
			return
		}
		select {
		case <-time.After(startPollInterval):
		case <-ctx.Done():
		}
	}
}
