package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/relay"
	"github.com/laburnumloft/laburnumloft/core/storeera"
	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/keyedlog"
	"github.com/laburnumloft/laburnumloft/node/lib/inquiry"
)

const (
	// storePollInterval is the time between two reads of the store. Entries must
	// stop sending requests to a server within 2 s after its removal from the
	// store.
	storePollInterval = 350 * time.Millisecond
	// pollWait is the maximum duration of a long poll to a relay.
	pollWait = 700 * time.Millisecond
	// otherRegionPollWait is the maximum duration of a long poll to a relay of
	// another region. It is shorter because the entries of this region poll this
	// entry, and each hop adds to the age of their list.
	otherRegionPollWait = 300 * time.Millisecond
	// requestTimeout limits a request to a relay or to the store.
	requestTimeout = pollWait + 300*time.Millisecond
	// snapshotTimeout limits a read of the newest records of all servers, which begins
	// anew if it fails. Its pages have a timeout of their own; another writer may have
	// left as much as the store holds, 400 pages.
	snapshotTimeout = 5 * time.Minute
	// maxRelayListAge is the age of a relay's list from which the relay is
	// treated as disconnected from the store.
	maxRelayListAge = 1200 * time.Millisecond
	// minPollWait is the shortest duration of a long poll to a relay.
	minPollWait = 100 * time.Millisecond
	// pollSlack is how much longer than its long poll a relay may be silent before
	// others are asked; relayPatience is how long each of those may be silent. Round
	// trips between regions take under 10 ms, a lost packet is sent again after 200 ms.
	pollSlack     = 150 * time.Millisecond
	relayPatience = 250 * time.Millisecond
	// relaysAskedAtOnce is how many further relays are asked together.
	relaysAskedAtOnce = 2
	// maxPolledListAge is the age of the list that a long poll should not let it exceed.
	// On a quiet day a list is 650 ms old at most when a poll of 700 ms begins.
	maxPolledListAge = 1350 * time.Millisecond
	// maxListAge is the age of the list at which the store is read although relays may
	// still answer. A read takes under 100 ms; removals must be in force after 2 s.
	maxListAge = 1500 * time.Millisecond
	// startupRetryInterval is the time between two requests to a relay while
	// this entry is starting.
	startupRetryInterval = 80 * time.Millisecond
	// relayAvoidTime is how long a failed relay is not used. In this time the
	// entries detect that the relay's heartbeats are missing.
	relayAvoidTime = 2500 * time.Millisecond
	// storeRetryInterval is the mean time between two attempts to read an
	// unreachable store while other entries provide the list.
	storeRetryInterval = 1500 * time.Millisecond
	// removalGracePeriod is how long removals are delayed after the store is
	// reachable again: servers whose records expired during the outage register
	// again within two seconds.
	removalGracePeriod = 2200 * time.Millisecond
	// outageThreshold is the time without contact to the store that counts as an
	// outage.
	outageThreshold = time.Second
)

// Path is the HTTP path at which entries serve their list to each other.
const Path = "/v1/registry"

// Errors of lists that are not used.
var (
	// ErrStale means that a relay's list is too old to be used.
	ErrStale = eris.New("the relay's list is stale")
	// ErrOldEra means that a relay read its list before the store was restored.
	ErrOldEra = eris.New("the relay's list is from an era of the store that has ended")
)

// Config sets up a Sync.
type Config struct {
	List *List
	// Source reads the records of the servers from the store.
	Source keyedlog.Source
	Log    *decision.Log
	Client *http.Client
	// Decode decodes a record as a server. It returns false if the record is
	// invalid.
	Decode func(keyedlog.Record) (placement.Server, bool)
	// Relays returns the entries to fetch the list from, in order of preference.
	// When none of them answers in time, this entry reads the store.
	Relays func() []relay.Source
	// DeferStoreReads reports whether this entry is starting and should not read the
	// store yet because other entries do; nil means never.
	DeferStoreReads func() bool
	// OtherEntries returns the entries to fetch the list from when neither the store
	// nor a relay responds.
	OtherEntries func() []string
	// KnownEntries returns all entries that may exist. One that starts asks one of them
	// before it reads a store that has been restored from a copy.
	KnownEntries func() []string
	// OthersReachedStore reports whether another entry could reach the store while
	// this entry could not.
	OthersReachedStore func() bool
	// OnStoreEra is called with the era in which another entry has read the store; nil if
	// not needed.
	OnStoreEra func(number int64)
	// StoreRestored reports whether the store is known to have been restored from a
	// copy; nil means never.
	StoreRestored func() bool
	// OnPut and OnRemove are called for each added, updated or removed server.
	OnPut    func(placement.Server)
	OnRemove func(id, reason string)
}

// Sync keeps a List up to date from relays or from the store.
type Sync struct {
	cfg Config

	position      storeera.Position
	positionKnown bool
	// known decides which records of a restored store to believe.
	known       *storeera.Servers
	lastContact time.Time
	// reconnectedAt is the end of the last store outage that affected all entries.
	reconnectedAt time.Time
	heldRemovals  map[string]bool

	relayAddress  string
	relayEpoch    uint64
	relayRevision int64
	avoidUntil    map[string]time.Time
	storeRetryAt  time.Time
	relayLost     bool
	storeLost     bool
}

// NewSync returns a Sync that has not read anything yet.
func NewSync(cfg Config) *Sync {
	return &Sync{cfg: cfg, known: storeera.NewServers(), heldRemovals: map[string]bool{}, avoidUntil: map[string]time.Time{}}
}

// Run keeps the list up to date until ctx ends.
func (s *Sync) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := s.syncOnce(ctx)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// syncOnce asks the relays or reads the store once and returns the time to wait before
// the next call.
func (s *Sync) syncOnce(ctx context.Context) time.Duration {
	if sources := s.usableRelays(); len(sources) > 0 {
		err := s.askRelays(ctx, sources)
		s.logContactChange(&s.relayLost, "relay", err)
		if err == nil {
			return 0
		}
	}
	if s.defersStoreReads() {
		return startupRetryInterval
	}
	if s.startsOnCopy() {
		// If no entry answers, nobody knows more than the copy.
		_ = s.pollAny(ctx, s.cfg.KnownEntries(), 0)
	}
	if time.Now().After(s.storeRetryAt) {
		err := s.readStore(ctx)
		s.logContactChange(&s.storeLost, "registry", err)
		if err == nil {
			s.removeHeld()
			return storePollInterval
		}
		if !s.lastContact.IsZero() {
			s.storeRetryAt = time.Now().Add(storeRetryInterval/2 + rand.N(storeRetryInterval))
		}
	}
	// The store is unreachable, but another entry may have a newer list. During
	// an outage all lists are old, so accept a list that is not older than this
	// entry's own.
	if s.pollAny(ctx, s.cfg.OtherEntries(), pollWait) {
		return 0
	}
	return storePollInterval/2 + rand.N(storePollInterval)
}

// startsOnCopy reports whether this entry has no list yet and the store may hold less
// than the other entries know.
func (s *Sync) startsOnCopy() bool {
	return s.lastContact.IsZero() && s.relayEpoch == 0 && s.cfg.StoreRestored != nil && s.cfg.StoreRestored()
}

// pollAny polls a random one of the entries, if its list is not older than this
// entry's own, and reports whether that succeeded.
func (s *Sync) pollAny(ctx context.Context, addresses []string, wait time.Duration) bool {
	if len(addresses) == 0 {
		return false
	}
	maxAge := max(maxRelayListAge, s.cfg.List.Age())
	return s.pollEntry(ctx, addresses[rand.N(len(addresses))], wait, maxAge) == nil
}

func (s *Sync) defersStoreReads() bool {
	return s.cfg.DeferStoreReads != nil && s.cfg.DeferStoreReads()
}

// usableRelays returns the relays that have not failed within relayAvoidTime.
func (s *Sync) usableRelays() (sources []relay.Source) {
	for _, source := range s.cfg.Relays() {
		if until, avoided := s.avoidUntil[source.Address]; !avoided || time.Now().After(until) {
			sources = append(sources, source)
		}
	}
	return sources
}

// askRelays fetches the changes from one of the relays. The first one is polled; others
// are asked when it is silent for longer than the poll lasts. It gives up in time for a
// read of the store before the list is older than maxListAge.
func (s *Sync) askRelays(ctx context.Context, sources []relay.Source) error {
	age := s.cfg.List.Age()
	wait := pollDuration(sources[0], age)
	cfg := relay.InquiryConfig{
		Sources: len(sources), FirstPatience: wait + pollSlack, Patience: relayPatience, AtOnce: relaysAskedAtOnce,
		Timeout: max(wait+pollSlack, maxListAge-age),
	}
	polls := make([]poll, len(sources))
	for i, source := range sources {
		polls[i] = s.newPoll(source.Address)
	}
	polls[0].wait = wait
	result, err := inquiry.Run(ctx, cfg, func(ctx context.Context, i int) (Update, error) {
		return s.fetch(ctx, polls[i], maxRelayListAge)
	})
	if ctx.Err() != nil {
		return ctx.Err()
	}
	s.avoidFailed(sources, result)
	if err == nil {
		s.adopt(sources[result.Source].Address, result.Answer)
		return nil
	}
	for _, cause := range result.Failed {
		err = errors.Join(err, cause)
	}
	return err
}

// avoidFailed avoids the relays that failed or were silent for a while, and logs the
// silent ones.
func (s *Sync) avoidFailed(sources []relay.Source, result inquiry.Result[Update]) {
	var silent []string
	for _, i := range result.Silent {
		silent = append(silent, sources[i].Address)
	}
	if len(silent) > 0 {
		s.cfg.Log.Event("relays_silent", "feed", "registry", "relays", silent, "ms", result.Duration.Milliseconds(), "age_ms", s.cfg.List.Age().Milliseconds())
	}
	if s.defersStoreReads() {
		// An entry that starts has nothing else to ask.
		return
	}
	until := time.Now().Add(relayAvoidTime)
	for _, address := range silent {
		s.avoidUntil[address] = until
	}
	for i := range result.Failed {
		s.avoidUntil[sources[i].Address] = until
	}
}

// pollDuration returns how long a relay may wait for a change, or for its own first read.
// It is shorter if the list is old, because one of the entries between this one and the
// store is silent then.
func pollDuration(source relay.Source, age time.Duration) time.Duration {
	wait := pollWait
	if source.OtherRegion {
		wait = otherRegionPollWait
	}
	if age >= neverRead {
		return wait
	}
	return max(minPollWait, min(wait, maxPolledListAge-age))
}

// logContactChange logs when a source becomes unreachable or reachable again.
func (s *Sync) logContactChange(lost *bool, name string, err error) {
	if (err != nil) == *lost {
		return
	}
	*lost = err != nil
	if err != nil {
		s.cfg.Log.Event("registry_lost", "from", name, "cause", err.Error(), "age_ms", s.cfg.List.Age().Milliseconds())
	} else {
		s.cfg.Log.Event("registry_regained", "from", name, "age_ms", s.cfg.List.Age().Milliseconds())
	}
}

// poll is a request for the changes of another entry's list.
type poll struct {
	address  string
	epoch    uint64
	revision int64
	wait     time.Duration
}

// newPoll returns a request for the changes since the last answer of an entry, or for
// the full list if another entry answered last.
func (s *Sync) newPoll(address string) poll {
	if address == s.relayAddress {
		return poll{address: address, epoch: s.relayEpoch, revision: s.relayRevision}
	}
	return poll{address: address, revision: -1}
}

// pollEntry fetches the changes from another entry and applies them. It returns
// ErrStale if the list of that entry is older than maxAge.
func (s *Sync) pollEntry(ctx context.Context, address string, wait, maxAge time.Duration) error {
	p := s.newPoll(address)
	p.wait = wait
	u, err := s.fetch(ctx, p, maxAge)
	if err != nil {
		return err
	}
	s.adopt(address, u)
	return nil
}

// adopt applies the changes of another entry's list.
func (s *Sync) adopt(address string, u Update) {
	s.applyUpdate(u)
	s.cfg.List.RecordRead(time.Duration(u.AgeMS) * time.Millisecond)
	s.relayAddress, s.relayEpoch, s.relayRevision = address, u.Epoch, u.Revision
}

// fetch fetches the changes of another entry's list. It is safe for concurrent use.
func (s *Sync) fetch(ctx context.Context, p poll, maxAge time.Duration) (Update, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	query := struct {
		Epoch    uint64 `url:"epoch"`
		Revision int64  `url:"revision"`
		WaitMS   int64  `url:"wait_ms"`
	}{p.epoch, p.revision, p.wait.Milliseconds()}
	req, err := sling.New().Base("http://" + p.address).Get(Path).QueryStruct(&query).Request()
	if err != nil {
		return Update{}, eris.Wrap(err, "building the registry request to a relay")
	}
	u, err := fetchUpdate(s.cfg.Client, req.WithContext(ctx))
	switch {
	case err != nil:
		return Update{}, err
	case time.Duration(u.AgeMS)*time.Millisecond > maxAge:
		return Update{}, ErrStale
	case u.StoreEra > 0 && u.StoreEra < s.cfg.List.Era():
		return Update{}, ErrOldEra
	}
	return u, nil
}

// maxUpdateBytes limits the size of a response. A full list of 20,000 servers
// fits.
const maxUpdateBytes = 8 << 20

func fetchUpdate(client *http.Client, req *http.Request) (Update, error) {
	var u Update
	resp, err := client.Do(req)
	if err != nil {
		return u, eris.Wrap(err, "requesting the server list from a relay")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return u, fmt.Errorf("relay returned HTTP status %d for the server list", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxUpdateBytes)).Decode(&u); err != nil {
		return u, eris.Wrap(err, "decoding the server list of a relay")
	}
	return u, nil
}

func (s *Sync) applyUpdate(u Update) {
	listed := map[string]bool{}
	for _, server := range u.Servers {
		listed[server.ID] = true
		s.known.Present(server.ID)
		s.put(server)
	}
	for _, id := range u.Removed {
		s.remove(id, "relay")
	}
	if u.Full {
		for _, id := range s.cfg.List.IDs() {
			if !listed[id] {
				s.remove(id, "relay")
			}
		}
		for id, born := range u.Departed {
			if !listed[id] {
				s.known.Departed(id, born)
			}
		}
	}
	if u.StoreEra > 0 {
		s.enterEra(u.StoreEra)
		if s.cfg.OnStoreEra != nil {
			s.cfg.OnStoreEra(u.StoreEra)
		}
	}
	// The relay may have read the store at another offset than this entry, so
	// the next read of the store must fetch the complete list.
	s.positionKnown = false
}

// readStore reads the records appended since the last read, or the newest record of
// each key if the position of the last read is unknown or means nothing any more.
func (s *Sync) readStore(ctx context.Context) error {
	if s.positionKnown {
		err := s.readAppended(ctx)
		if !errors.Is(err, keyedlog.ErrOffsetExpired) && !errors.Is(err, keyedlog.ErrEraEnded) {
			return err
		}
		s.cfg.Log.Event("feed_expired", "feed", "registry", "offset", s.position.Offset, "era", s.position.Era.String(), "cause", err.Error())
		s.positionKnown = false
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	records, end, err := s.cfg.Source.Newest(ctx)
	if err != nil {
		return err
	}
	s.recordContact()
	if end.Era.Known {
		s.enterEra(end.Era.Number)
	}
	s.position, s.positionKnown = end, true
	s.replaceAll(records)
	s.cfg.List.RecordRead(0)
	return nil
}

func (s *Sync) readAppended(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	records, next, err := s.cfg.Source.Read(ctx, s.position, 0)
	if err != nil {
		return err
	}
	s.recordContact()
	s.position = next
	for _, r := range newestByKey(records) {
		s.handleWritten(r)
	}
	s.cfg.List.RecordRead(0)
	return nil
}

// enterEra records the era in which the list is confirmed from now on. Servers that the
// copy lacks write again within removalGracePeriod.
func (s *Sync) enterEra(number int64) {
	if number == s.cfg.List.Era() {
		return
	}
	if len(s.cfg.List.IDs()) > 0 {
		s.reconnectedAt = time.Now()
	}
	s.cfg.List.SetEra(number)
}

// newestByKey returns the last record of each key. A reader that reconnects
// after an outage must not publish the superseded records, because they no
// longer describe the current state.
func newestByKey(records []keyedlog.Record) []keyedlog.Record {
	last := map[string]int{}
	for i, r := range records {
		last[r.Key] = i
	}
	var newest []keyedlog.Record
	for i, r := range records {
		if last[r.Key] == i {
			newest = append(newest, r)
		}
	}
	return newest
}

// recordContact records that the store has responded.
func (s *Sync) recordContact() {
	now := time.Now()
	if !s.lastContact.IsZero() && now.Sub(s.lastContact) > outageThreshold && s.storeLost {
		s.cfg.List.RecordReconnect()
		// If other entries could reach the store, only this entry was
		// disconnected. Servers could renew their records, so servers
		// without a record in the store have stopped.
		if !s.cfg.OthersReachedStore() {
			s.reconnectedAt = now
		}
	}
	s.lastContact = now
}

// replaceAll applies the newest record of every key and removes all other servers. Of a
// restored store, it uses only records that are not older than what is known.
func (s *Sync) replaceAll(records []keyedlog.Record) {
	listed := map[string]bool{}
	kept, ignored := 0, 0
	for _, r := range records {
		listed[r.Key] = true
		older, belief := s.handleSnapshotRecord(r)
		switch {
		case belief == storeera.Ignore:
			ignored++
		case older:
			kept++
		}
	}
	if kept+ignored > 0 {
		s.cfg.Log.Event("registry_copy_older", "era", s.position.Era.String(), "offset", s.position.Offset, "records", len(records), "kept", kept, "ignored", ignored)
	}
	for _, id := range s.cfg.List.IDs() {
		if !listed[id] {
			s.removeOrHold(id)
		}
	}
}

// handleSnapshotRecord handles a record that may be from before what is known. It
// reports whether the record differs from what is known and was not used.
func (s *Sync) handleSnapshotRecord(r keyedlog.Record) (older bool, belief storeera.Belief) {
	if r.Value == nil {
		s.removeOrHold(r.Key)
		return false, storeera.Use
	}
	record, ok := s.cfg.Decode(r)
	if !ok {
		s.remove(r.Key, "unreadable")
		return false, storeera.Use
	}
	var known *placement.Server
	if server, listed := s.cfg.List.Get(r.Key); listed {
		known = &server
	}
	server, belief := s.known.Reconcile(s.position.Era, known, record, r.Offset)
	if belief == storeera.Use {
		s.put(server)
	}
	return belief == storeera.Keep && record != server, belief
}

// handleWritten handles a record that was written after the last read.
func (s *Sync) handleWritten(r keyedlog.Record) {
	if r.Value == nil {
		s.removeOrHold(r.Key)
		return
	}
	server, ok := s.cfg.Decode(r)
	if !ok {
		// A server with an invalid record can't be used.
		s.remove(r.Key, "unreadable")
		return
	}
	s.known.RecordWritten(s.position.Era, r.Key, r.Offset)
	s.put(server)
}

func (s *Sync) put(server placement.Server) {
	delete(s.heldRemovals, server.ID)
	s.cfg.List.Put(server)
	s.cfg.OnPut(server)
}

// removeOrHold removes a server. Within removalGracePeriod after an outage it
// delays the removal instead.
func (s *Sync) removeOrHold(id string) {
	if !s.reconnectedAt.IsZero() && time.Since(s.reconnectedAt) < removalGracePeriod {
		s.heldRemovals[id] = true
		return
	}
	s.remove(id, "not_listed")
}

// removeHeld removes the servers whose removal was delayed, once the grace period
// has ended.
func (s *Sync) removeHeld() {
	if len(s.heldRemovals) == 0 || time.Since(s.reconnectedAt) < removalGracePeriod {
		return
	}
	for id := range s.heldRemovals {
		s.remove(id, "not_back_after_outage")
	}
	s.cfg.List.Publish()
}

func (s *Sync) remove(id, reason string) {
	delete(s.heldRemovals, id)
	if server, listed := s.cfg.List.Get(id); listed {
		s.known.Departed(id, server.Born)
	}
	s.cfg.List.Remove(id)
	s.cfg.OnRemove(id, reason)
}

// Handler serves the list to other entries by long polling.
func Handler(list *List) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		epoch, _ := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 64)
		revision, _ := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
		wait := pollWait
		if ms, err := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64); err == nil {
			wait = min(wait, time.Duration(ms)*time.Millisecond)
		}
		u := list.Wait(r.Context(), epoch, revision, wait)
		w.Header().Set("Content-Type", "application/json")
		// A failed write is ignored: the follower repeats the request.
		_ = json.NewEncoder(w).Encode(u)
	})
}
