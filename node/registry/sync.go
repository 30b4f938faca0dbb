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
	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/feed"
)

const (
	// relayPoll is the time between two reads of the store by the relay. A
	// server that leaves must get nothing 2 s after the store knows it.
	relayPoll = 350 * time.Millisecond
	// followWait is how long one question to the relay waits for a change.
	followWait = 700 * time.Millisecond
	// farWait is how long a question to a relay of another region waits. The
	// entries of the own region follow this one, and its list must not grow
	// old on the way.
	farWait = 300 * time.Millisecond
	// followTimeout is when the relay counts as lost.
	followTimeout = followWait + 300*time.Millisecond
	// maxAge is the age of the relay's list beyond which it counts as cut off.
	maxAge = 1200 * time.Millisecond
	// startRetry is the time between two questions to a relay that has just
	// started itself.
	startRetry = 80 * time.Millisecond
	// relayAvoid is how long a relay that failed is not asked. It is the time
	// in which the others notice its silence.
	relayAvoid = 2500 * time.Millisecond
	// cutRetry is the time between two tries of the store while other entries
	// give the list.
	cutRetry = 1500 * time.Millisecond
	// lapseGrace is how long removals wait after the store came back: entries
	// of servers that lapsed meanwhile are back within two seconds.
	lapseGrace = 2200 * time.Millisecond
	// outageAfter is the time without contact that counts as an outage.
	outageAfter = time.Second
)

// Path is where entries serve their list to each other.
const Path = "/v1/registry"

// ErrStale is returned when a relay's own list is too old.
var ErrStale = eris.New("the relay's list is stale")

// Config sets up a Sync.
type Config struct {
	List   *List
	Source feed.Source
	Log    *decision.Log
	Client *http.Client
	// Decode turns a record into a server. It returns false for records that
	// name none.
	Decode func(feed.Record) (placement.Server, bool)
	// Relays returns the entries to ask, best first. When none is left, this
	// entry reads the store.
	Relays func() []relay.Source
	// Patient reports whether this entry, which has just started, leaves it to
	// others to read the store; nil means never.
	Patient func() bool
	// Others returns entries to ask when neither store nor relay answer.
	Others func() []string
	// OthersInTouch reports whether another entry has reached the store all
	// the while.
	OthersInTouch func() bool
	// OnPut and OnRemove are told of changes.
	OnPut    func(placement.Server)
	OnRemove func(id, reason string)
}

// Sync keeps a List up to date.
type Sync struct {
	cfg Config

	offset  int64
	known   bool
	contact time.Time
	// backAt is when contact with the store came back after an outage.
	backAt time.Time
	held   map[string]bool

	relay      string
	epoch      uint64
	revision   int64
	avoid      map[string]time.Time
	storeRetry time.Time
	relayLost  bool
	storeLost  bool
}

// NewSync returns a Sync without contact.
func NewSync(cfg Config) *Sync {
	return &Sync{cfg: cfg, held: map[string]bool{}, avoid: map[string]time.Time{}}
}

// Run keeps the list up to date until ctx ends.
func (s *Sync) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := s.round(ctx)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// round asks the relay or the store once and returns the pause after it.
func (s *Sync) round(ctx context.Context) time.Duration {
	if source, ok := s.relayNow(); ok {
		err := s.follow(ctx, source, maxAge)
		s.note(&s.relayLost, "relay", err)
		if err == nil {
			return 0
		}
		if s.patient() {
			return startRetry
		}
		s.avoid[source.Address] = time.Now().Add(relayAvoid)
		if _, ok := s.relayNow(); ok {
			return 0
		}
	}
	if s.patient() {
		return startRetry
	}
	if time.Now().After(s.storeRetry) {
		err := s.readStore(ctx)
		s.note(&s.storeLost, "registry", err)
		if err == nil {
			s.removeHeld()
			return relayPoll
		}
		if !s.contact.IsZero() {
			s.storeRetry = time.Now().Add(cutRetry/2 + rand.N(cutRetry))
		}
	}
	// Cut off from the store: another entry may know more. During an outage
	// every list is old; one that is not older than the own one is taken.
	oldest := max(maxAge, s.cfg.List.Age())
	if others := s.cfg.Others(); len(others) > 0 && s.follow(ctx, relay.Source{Address: others[rand.N(len(others))]}, oldest) == nil {
		return 0
	}
	return relayPoll/2 + rand.N(relayPoll)
}

func (s *Sync) patient() bool { return s.cfg.Patient != nil && s.cfg.Patient() }

// relayNow returns the first relay that did not fail a moment ago.
func (s *Sync) relayNow() (source relay.Source, ok bool) {
	for _, source := range s.cfg.Relays() {
		if until, avoided := s.avoid[source.Address]; !avoided || time.Now().After(until) {
			return source, true
		}
	}
	return relay.Source{}, false
}

// note logs a change between contact and loss.
func (s *Sync) note(lost *bool, name string, err error) {
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

// follow asks another entry for changes.
func (s *Sync) follow(ctx context.Context, source relay.Source, oldest time.Duration) error {
	if source.Address != s.relay {
		s.relay, s.epoch, s.revision = source.Address, 0, -1
	}
	wait := followWait
	if source.OtherRegion {
		wait = farWait
	}
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	query := struct {
		Epoch    uint64 `url:"epoch"`
		Revision int64  `url:"revision"`
		WaitMS   int64  `url:"wait_ms"`
	}{s.epoch, s.revision, wait.Milliseconds()}
	req, err := sling.New().Base("http://" + source.Address).Get(Path).QueryStruct(&query).Request()
	if err != nil {
		return eris.Wrap(err, "building a question to the relay")
	}
	u, err := ask(s.cfg.Client, req.WithContext(ctx))
	if err != nil {
		return err
	}
	if age := time.Duration(u.AgeMS) * time.Millisecond; age > oldest {
		return ErrStale
	}
	s.apply(u)
	s.cfg.List.Read(time.Duration(u.AgeMS) * time.Millisecond)
	s.epoch, s.revision = u.Epoch, u.Revision
	return nil
}

// maxUpdate bounds an answer in bytes: a whole list of 20,000 servers.
const maxUpdate = 8 << 20

func ask(client *http.Client, req *http.Request) (Update, error) {
	var u Update
	resp, err := client.Do(req)
	if err != nil {
		return u, eris.Wrap(err, "asking the relay")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return u, fmt.Errorf("relay answered %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxUpdate)).Decode(&u); err != nil {
		return u, eris.Wrap(err, "reading the relay's list")
	}
	return u, nil
}

func (s *Sync) apply(u Update) {
	listed := map[string]bool{}
	for _, server := range u.Servers {
		listed[server.ID] = true
		s.put(server)
	}
	for _, id := range u.Gone {
		s.remove(id, "relay")
	}
	if u.Full {
		for _, id := range s.cfg.List.IDs() {
			if !listed[id] {
				s.remove(id, "relay")
			}
		}
	}
	// What the relay says is as old as its own reading; the next reading of
	// the store by this entry starts anew.
	s.known = false
}

// readStore reads what was appended since the last reading.
func (s *Sync) readStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	if !s.known {
		records, end, err := s.cfg.Source.Newest(ctx)
		if err != nil {
			return err
		}
		s.connected()
		s.offset, s.known = end, true
		s.takeAll(records)
		s.cfg.List.Read(0)
		return nil
	}
	records, next, err := s.cfg.Source.Read(ctx, s.offset, 0)
	if errors.Is(err, feed.ErrExpired) {
		s.known = false
		return nil
	}
	if err != nil {
		return err
	}
	s.connected()
	s.offset = next
	for _, r := range newestByKey(records) {
		s.take(r)
	}
	s.cfg.List.Read(0)
	return nil
}

// newestByKey keeps the last record of each key: what lies between was never
// true for a reader that comes back after an outage, and must not be passed
// on.
func newestByKey(records []feed.Record) []feed.Record {
	last := map[string]int{}
	for i, r := range records {
		last[r.Key] = i
	}
	var newest []feed.Record
	for i, r := range records {
		if last[r.Key] == i {
			newest = append(newest, r)
		}
	}
	return newest
}

// connected notes contact with the store.
func (s *Sync) connected() {
	now := time.Now()
	if !s.contact.IsZero() && now.Sub(s.contact) > outageAfter && s.storeLost {
		s.cfg.List.Back()
		// While others reached the store, only this entry was cut off; the
		// servers that are missing now have left.
		if !s.cfg.OthersInTouch() {
			s.backAt = now
		}
	}
	s.contact = now
}

// takeAll takes the newest record of every key over; other servers are gone.
func (s *Sync) takeAll(records []feed.Record) {
	listed := map[string]bool{}
	for _, r := range records {
		listed[r.Key] = true
		s.take(r)
	}
	for _, id := range s.cfg.List.IDs() {
		if !listed[id] {
			s.lapsed(id)
		}
	}
}

func (s *Sync) take(r feed.Record) {
	if r.Value == nil {
		s.lapsed(r.Key)
		return
	}
	server, ok := s.cfg.Decode(r)
	if !ok {
		// An unreadable record names no server to use.
		s.remove(r.Key, "unreadable")
		return
	}
	s.put(server)
}

func (s *Sync) put(server placement.Server) {
	delete(s.held, server.ID)
	s.cfg.List.Put(server)
	s.cfg.OnPut(server)
}

// lapsed removes a server, or holds the removal shortly after an outage.
func (s *Sync) lapsed(id string) {
	if !s.backAt.IsZero() && time.Since(s.backAt) < lapseGrace {
		s.held[id] = true
		return
	}
	s.remove(id, "not_listed")
}

func (s *Sync) removeHeld() {
	if len(s.held) == 0 || time.Since(s.backAt) < lapseGrace {
		return
	}
	for id := range s.held {
		s.remove(id, "not_back_after_outage")
	}
	s.cfg.List.Publish()
}

func (s *Sync) remove(id, reason string) {
	delete(s.held, id)
	s.cfg.List.Remove(id)
	s.cfg.OnRemove(id, reason)
}

// Handler serves the list to other entries.
func Handler(list *List) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		epoch, _ := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 64)
		revision, _ := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
		wait := followWait
		if ms, err := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64); err == nil {
			wait = min(wait, time.Duration(ms)*time.Millisecond)
		}
		u := list.Wait(r.Context(), epoch, revision, wait)
		w.Header().Set("Content-Type", "application/json")
		// The follower that left asks again.
		_ = json.NewEncoder(w).Encode(u)
	})
}
