// Package containment tells the entries of prompt parts that crash engines, and
// keeps the verdicts on them in the platform's store, so that entries that start
// know them. The decisions are made by core/quarantine.
package containment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/core/quarantine"
	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/gateway"
	"github.com/laburnumloft/laburnumloft/node/mesh"
)

const (
	// gossipInterval is the time between two rounds in which an entry repeats its
	// verdicts to gossipFanout others, for those that missed the first notice.
	// With three of them a round, 150 entries know a verdict after about 2.5 s.
	gossipInterval = 500 * time.Millisecond
	gossipFanout   = 3
	// maxVerdictsPerNotice keeps a notice within one packet, or a few if the verdicts have
	// many parts.
	maxVerdictsPerNotice = 6
	// maxKeyBytes is the length up to which the parts of a verdict are its key in the store,
	// whose keys have up to 255 bytes.
	maxKeyBytes = 200
	// storeTimeout limits one write to the store.
	storeTimeout = 2 * time.Second
	// storeRetryDelay is the mean time between two attempts to write.
	storeRetryDelay = time.Second
	// queueCapacity bounds the notices that wait to be sent. More of them would
	// mean that engines crash faster than datagrams leave.
	queueCapacity = 64
)

// Config configures a Sharer.
type Config struct {
	Mesh    *mesh.Mesh
	Gateway *gateway.Gateway
	Log     *decision.Log
	// Put writes the record of a verdict to the store. A nil value removes it.
	Put func(ctx context.Context, id string, value []byte) error
}

// Sharer exchanges verdicts with the other entries and the store.
type Sharer struct {
	cfg     Config
	notices chan mesh.CrashNotice

	mu sync.Mutex
	// unsaved are the own verdicts that the store lacks, by id; saved is when
	// the records written by this entry expire.
	unsaved map[string]quarantine.Verdict
	saved   map[string]time.Time
	wake    chan struct{}
}

// New returns a sharer. Run starts it.
func New(cfg Config) *Sharer {
	return &Sharer{
		cfg: cfg, notices: make(chan mesh.CrashNotice, queueCapacity), wake: make(chan struct{}, 1),
		unsaved: map[string]quarantine.Verdict{}, saved: map[string]time.Time{},
	}
}

// AnnounceSuspect tells the other entries of a suspect and of the verdicts that it
// led to, and saves the verdicts. It doesn't block.
func (s *Sharer) AnnounceSuspect(suspect quarantine.Suspect, verdicts []quarantine.Verdict) {
	select {
	case s.notices <- mesh.CrashNotice{Suspect: &suspect, Verdicts: verdicts}:
	default:
		s.cfg.Log.Event("crash_notice_dropped", "incarnation", suspect.Engine)
	}
	if len(verdicts) == 0 {
		return
	}
	s.mu.Lock()
	for _, v := range verdicts {
		s.unsaved[key(v)] = v
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// HandleNotice handles a notice of another entry.
func (s *Sharer) HandleNotice(n mesh.CrashNotice) {
	if n.Suspect != nil {
		s.cfg.Gateway.RecordCrash(*n.Suspect)
	}
	s.cfg.Gateway.AdoptVerdicts(n.Verdicts, "entry")
}

// record is a verdict as the store holds it.
type record struct {
	Verdict quarantine.Verdict `json:"verdict"`
	// SavedMS is when the record was written, in Unix milliseconds.
	SavedMS int64 `json:"saved_ms"`
}

// HandleRecord handles a record of the store, which holds verdicts for entries that
// start.
func (s *Sharer) HandleRecord(value []byte) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		s.cfg.Log.Event("quarantine_record_refused", "cause", err.Error())
		return
	}
	// Clocks of VMs differ and jump by seconds; quarantines last longer.
	age := max(0, time.Since(time.UnixMilli(r.SavedMS)))
	r.Verdict.Remaining -= age
	r.Verdict.SinceFirst += age
	s.cfg.Gateway.AdoptVerdicts([]quarantine.Verdict{r.Verdict}, "store")
}

// Run sends notices, repeats verdicts and saves them until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	go s.saveVerdicts(ctx)
	tick := time.NewTicker(gossipInterval)
	defer tick.Stop()
	for {
		select {
		case n := <-s.notices:
			s.send(n, 0)
		case <-tick.C:
			s.gossip()
		case <-ctx.Done():
			return
		}
	}
}

// gossip repeats some of the verdicts in force to a few entries.
func (s *Sharer) gossip() {
	verdicts := s.cfg.Gateway.ActiveVerdicts()
	if len(verdicts) == 0 {
		return
	}
	if len(verdicts) > maxVerdictsPerNotice {
		rand.Shuffle(len(verdicts), func(i, j int) { verdicts[i], verdicts[j] = verdicts[j], verdicts[i] })
		verdicts = verdicts[:maxVerdictsPerNotice]
	}
	s.send(mesh.CrashNotice{Verdicts: verdicts}, gossipFanout)
}

func (s *Sharer) send(n mesh.CrashNotice, limit int) {
	if err := s.cfg.Mesh.SendCrashNotice(n, limit); err != nil {
		s.cfg.Log.Event("crash_notice_unsent", "verdicts", len(n.Verdicts), "cause", err.Error())
	}
}

// saveVerdicts writes the verdicts that this entry reached to the store, and
// removes them when they have expired.
func (s *Sharer) saveVerdicts(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(s.saveDelay())
		select {
		case <-s.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		s.saveOnce(ctx)
	}
}

// saveDelay is short while something waits to be saved.
func (s *Sharer) saveDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unsaved) > 0 {
		return storeRetryDelay/2 + rand.N(storeRetryDelay)
	}
	return time.Minute
}

func (s *Sharer) saveOnce(ctx context.Context) {
	s.mu.Lock()
	unsaved := make([]quarantine.Verdict, 0, len(s.unsaved))
	for _, v := range s.unsaved {
		unsaved = append(unsaved, v)
	}
	var expired []string
	for id, until := range s.saved {
		if time.Now().After(until) {
			expired = append(expired, id)
			delete(s.saved, id)
		}
	}
	s.mu.Unlock()
	for _, v := range unsaved {
		s.save(ctx, v)
	}
	for _, id := range expired {
		// A record that stays is ignored by entries that start.
		_ = s.put(ctx, id, nil)
	}
}

// Record is the record of a verdict in force.
type Record struct {
	ID    string
	Value []byte
	// Outdated reports whether a record with the same id counts fewer crashes.
	Outdated func(stored []byte) bool
}

// Records returns the records of the verdicts in force, whoever reached them.
func (s *Sharer) Records() (records []Record) {
	for _, v := range s.cfg.Gateway.ActiveVerdicts() {
		value, err := encodeRecord(v)
		if err != nil {
			s.cfg.Log.Event("quarantine_unsaved", "quarantine", v.ID(), "cause", err.Error())
			continue
		}
		records = append(records, Record{ID: key(v), Value: value, Outdated: func(stored []byte) bool {
			var r record
			return json.Unmarshal(stored, &r) != nil || r.Verdict.Crashes < v.Crashes
		}})
	}
	return records
}

// RecordSaved records that this entry has written the record of a verdict in force, so
// that it removes the record when the verdict has expired.
func (s *Sharer) RecordSaved(id string) {
	for _, v := range s.cfg.Gateway.ActiveVerdicts() {
		if key(v) == id {
			s.mu.Lock()
			s.saved[id] = time.Now().Add(v.Remaining)
			s.mu.Unlock()
		}
	}
}

// key returns the key of a verdict's record.
func key(v quarantine.Verdict) string {
	id := v.ID()
	if len(id) <= maxKeyBytes {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:])
}

func encodeRecord(v quarantine.Verdict) ([]byte, error) {
	return json.Marshal(record{Verdict: v, SavedMS: time.Now().UnixMilli()})
}

func (s *Sharer) save(ctx context.Context, v quarantine.Verdict) {
	value, err := encodeRecord(v)
	if err == nil {
		err = s.put(ctx, key(v), value)
	}
	if err != nil {
		s.cfg.Log.Event("quarantine_unsaved", "quarantine", v.ID(), "cause", err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unsaved[key(v)].Crashes <= v.Crashes {
		delete(s.unsaved, key(v))
	}
	s.saved[key(v)] = time.Now().Add(v.Remaining)
}

func (s *Sharer) put(ctx context.Context, id string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return s.cfg.Put(ctx, id, value)
}
