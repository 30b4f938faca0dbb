package registry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/relay"
	"github.com/laburnumloft/laburnumloft/core/storeera"
	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/keyedlog"
)

// fakeStore is a keyed topic in memory.
type fakeStore struct {
	records []keyedlog.Record
	down    bool
	// othersReachedStore means that the other entries could reach the store while
	// this entry could not.
	othersReachedStore bool
	// era is the number of the era; a read from a position of another one fails.
	era int64
}

// restore makes the store come back with only the first records.
func (s *fakeStore) restore(count int) {
	s.records = s.records[:count:count]
	s.era++
}

func (s *fakeStore) end() storeera.Position {
	return storeera.Position{Offset: int64(len(s.records)), Era: storeera.Era{Number: s.era, Known: true}}
}

func (s *fakeStore) put(key, value string) {
	r := keyedlog.Record{Key: key, Offset: int64(len(s.records))}
	if value != "" {
		r.Value = []byte(value)
	}
	s.records = append(s.records, r)
}

func (s *fakeStore) Newest(context.Context) ([]keyedlog.Record, storeera.Position, error) {
	if s.down {
		return nil, storeera.Position{}, errors.New("down")
	}
	var live []keyedlog.Record
	for _, r := range newestByKey(s.records) {
		if r.Value != nil {
			live = append(live, r)
		}
	}
	return live, s.end(), nil
}

func (s *fakeStore) Read(_ context.Context, from storeera.Position, _ time.Duration) ([]keyedlog.Record, storeera.Position, error) {
	if s.down {
		return nil, storeera.Position{}, errors.New("down")
	}
	if from.Era.Number != s.era {
		return nil, storeera.Position{}, keyedlog.ErrEraEnded
	}
	return s.records[from.Offset:], s.end(), nil
}

func newSync(store *fakeStore, address string) (*Sync, *List) {
	list := NewList()
	var sources []relay.Source
	if address != "" {
		sources = []relay.Source{{Address: address}}
	}
	return NewSync(Config{
		List: list, Source: store, Log: decision.New(decision.Config{Output: io.Discard}), Client: &http.Client{},
		Decode: func(r keyedlog.Record) (placement.Server, bool) {
			return placement.Server{ID: r.Key, Address: string(r.Value)}, string(r.Value) != "junk"
		},
		Relays: func() []relay.Source { return sources }, OtherEntries: func() []string { return nil }, OthersReachedStore: func() bool { return store.othersReachedStore },
		OnPut: func(placement.Server) {}, OnRemove: func(string, string) {},
	}), list
}

func ids(l *List) map[string]bool {
	out := map[string]bool{}
	for _, id := range l.IDs() {
		out[id] = true
	}
	return out
}

// Guards against publishing superseded records after an outage: a server that
// registered, changed and left while the reader was disconnected must not appear
// in the list. Otherwise requests are sent to servers that have drained.
func TestBatchIsReducedToTheNewest(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	store.put("a", "10.0.0.1:1")
	s, list := newSync(store, "")
	s.syncOnce(t.Context())
	before := list.Wait(t.Context(), 0, 0, 0)
	store.put("b", "10.0.0.2:1")
	store.put("b", "10.0.0.2:2")
	store.put("b", "")
	s.syncOnce(t.Context())
	after := list.Wait(t.Context(), before.Epoch, before.Revision, 0)
	c.Assert(after.Revision, qt.Equals, before.Revision)
	c.Assert(ids(list), qt.DeepEquals, map[string]bool{"a": true})
}

// A server with an invalid record must be removed, and other servers must stay.
func TestUnreadableRecord(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	store.put("a", "10.0.0.1:1")
	store.put("b", "10.0.0.2:1")
	s, list := newSync(store, "")
	s.syncOnce(t.Context())
	store.put("a", "junk")
	s.syncOnce(t.Context())
	c.Assert(ids(list), qt.DeepEquals, map[string]bool{"b": true})
}

// After an outage of the store, servers whose records expired must stay in the
// list until the running ones have registered again. In the meantime the list
// must not count as settled, so that no other entry uses it.
func TestLapsedServersAreHeldAfterAnOutage(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	store.put("a", "10.0.0.1:1")
	store.put("b", "10.0.0.2:1")
	s, list := newSync(store, "")
	s.syncOnce(t.Context())
	c.Assert(list.Settled(), qt.IsTrue)
	store.down = true
	s.syncOnce(t.Context())
	s.lastContact = s.lastContact.Add(-2 * outageThreshold)
	s.storeRetryAt = time.Time{}
	store.down = false
	store.put("a", "")
	store.put("b", "")
	s.syncOnce(t.Context())
	c.Assert(ids(list), qt.DeepEquals, map[string]bool{"a": true, "b": true})
	c.Assert(list.Settled(), qt.IsFalse)
	store.put("a", "10.0.0.1:1")
	s.syncOnce(t.Context())
	s.reconnectedAt = s.reconnectedAt.Add(-removalGracePeriod)
	s.syncOnce(t.Context())
	c.Assert(ids(list), qt.DeepEquals, map[string]bool{"a": true})
}

// When only this entry was disconnected from the store, removals must take
// effect at once. Otherwise the entry may send a request to a server that has left,
// for example 2.66 s after it left.
func TestRemovalsAreNotHeldWhenOnlyThisEntryWasCutOff(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	store.put("a", "10.0.0.1:1")
	store.put("b", "10.0.0.2:1")
	s, list := newSync(store, "")
	s.syncOnce(t.Context())
	store.down = true
	s.syncOnce(t.Context())
	s.lastContact = s.lastContact.Add(-2 * outageThreshold)
	s.storeRetryAt = time.Time{}
	store.down, store.othersReachedStore = false, true
	store.put("a", "")
	s.syncOnce(t.Context())
	c.Assert(ids(list), qt.DeepEquals, map[string]bool{"b": true})
	c.Assert(list.Settled(), qt.IsFalse)
}

// An entry that starts during an outage of the store has no list and must accept
// the list of another entry, however old. A limit on the age would make
// TestStartDuringOutage fail when the entry restarts more than 1.2 s after the
// store goes down.
func TestStartTakesAnOldList(t *testing.T) {
	c := qt.New(t)
	staleList := NewList()
	staleList.Put(placement.Server{ID: "a", Address: "10.0.0.1:1"})
	staleList.RecordRead(10 * time.Second)
	server := httptest.NewServer(Handler(staleList))
	defer server.Close()
	s, list := newSync(&fakeStore{down: true}, "")
	s.cfg.OtherEntries = func() []string { return []string{strings.TrimPrefix(server.URL, "http://")} }
	s.syncOnce(t.Context())
	c.Assert(ids(list), qt.DeepEquals, map[string]bool{"a": true})
}

// A follower must apply the changes that a relay publishes, and must read the
// store itself as soon as the relay's list is stale.
func TestFollowerLeavesAStaleRelay(t *testing.T) {
	c := qt.New(t)
	relayList := NewList()
	relayList.Put(placement.Server{ID: "a", Address: "10.0.0.1:1"})
	relayList.RecordRead(0)
	server := httptest.NewServer(Handler(relayList))
	defer server.Close()
	store := &fakeStore{}
	store.put("fromstore", "10.0.0.9:1")
	s, list := newSync(store, strings.TrimPrefix(server.URL, "http://"))
	s.syncOnce(t.Context())
	c.Assert(ids(list), qt.DeepEquals, map[string]bool{"a": true})
	relayList.Remove("a")
	relayList.Put(placement.Server{ID: "b", Address: "10.0.0.2:1"})
	s.syncOnce(t.Context())
	c.Assert(ids(list), qt.DeepEquals, map[string]bool{"b": true})
	relayList.RecordReconnect()
	s.syncOnce(t.Context())
	c.Assert(ids(list), qt.DeepEquals, map[string]bool{"fromstore": true})
}

// A version change updates the record of every server within one read of the
// store. A follower must get all changes in one response; otherwise each of many
// followers sends a request for each server.
func TestChangesOfOneReadArePublishedTogether(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	store.put("a", "10.0.0.1:1")
	s, list := newSync(store, "")
	s.syncOnce(t.Context())
	first := list.Wait(t.Context(), 0, 0, 0)
	updates := make(chan Update)
	go func() { updates <- list.Wait(t.Context(), first.Epoch, first.Revision, 10*time.Second) }()
	for i := range 50 {
		store.put(fmt.Sprint("server", i), "10.0.0.2:1")
	}
	// The follower may start waiting at any time during the read.
	for s.cfg.List.Revision() == first.Revision {
		s.syncOnce(t.Context())
	}
	c.Assert((<-updates).Servers, qt.HasLen, 50)
}

// The handler must not delay a response for longer than the request's wait_ms: an
// entry whose list other entries poll requests a short wait.
func TestHandlerLimitsWaitToRequested(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	store.put("a", "10.0.0.1:1")
	s, list := newSync(store, "")
	s.syncOnce(t.Context())
	u := list.Wait(t.Context(), 0, 0, 0)
	server := httptest.NewServer(Handler(list))
	defer server.Close()
	start := time.Now()
	resp, err := http.Get(fmt.Sprintf("%s%s?epoch=%d&revision=%d&wait_ms=1", server.URL, Path, u.Epoch, u.Revision))
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	c.Assert(time.Since(start) < pollWait, qt.IsTrue)
}

// bornRecords makes a sync decode records of the form ADDRESS/BORN/STATE.
func bornRecords(s *Sync) {
	s.cfg.Decode = func(r keyedlog.Record) (placement.Server, bool) {
		fields := strings.Split(string(r.Value), "/")
		return placement.Server{ID: r.Key, Address: fields[0], Born: int64(len(fields[1])), Draining: fields[2] == "draining"}, true
	}
}

// After a restore, the list must not follow the copy where more is known: servers that
// left stay away, those that the copy lacks stay for the time in which they write
// again, and what the new era says takes effect.
func TestListAfterARestore(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	store.put("left", "10.0.0.1:1/b/ready")
	store.put("draining", "10.0.0.2:1/b/ready")
	store.put("kept", "10.0.0.3:1/b/ready")
	s, list := newSync(store, "")
	bornRecords(s)
	s.syncOnce(t.Context())
	store.put("left", "")
	store.put("draining", "10.0.0.2:1/b/draining")
	store.put("new", "10.0.0.4:1/b/ready")
	s.syncOnce(t.Context())
	want := map[string]bool{"draining": true, "kept": true, "new": true}
	c.Assert(ids(list), qt.DeepEquals, want)
	store.restore(3)
	// The new history has grown beyond the last position.
	for range 4 {
		store.put("kept", "10.0.0.3:1/b/ready")
	}
	s.syncOnce(t.Context())
	c.Assert(list.Era(), qt.Equals, int64(1))
	c.Assert(ids(list), qt.DeepEquals, want)
	draining, _ := list.Get("draining")
	c.Assert(draining.Draining, qt.IsTrue)
	// Another snapshot of the same era, after the list of a relay, says nothing new.
	s.positionKnown = false
	s.syncOnce(t.Context())
	c.Assert(ids(list), qt.DeepEquals, want)
	// A record that is written in the new era does.
	store.put("left", "10.0.0.1:1/b/ready")
	store.put("new", "10.0.0.4:1/b/ready")
	s.syncOnce(t.Context())
	c.Assert(ids(list), qt.DeepEquals, map[string]bool{"left": true, "draining": true, "kept": true, "new": true})
	// What does not write again within the grace period is gone.
	store.restore(3)
	s.syncOnce(t.Context())
	c.Assert(ids(list)["new"], qt.IsTrue)
	s.reconnectedAt = s.reconnectedAt.Add(-removalGracePeriod)
	s.syncOnce(t.Context())
	c.Assert(ids(list), qt.DeepEquals, map[string]bool{"left": true, "draining": true, "kept": true})
}

// A removal that is held when the store is restored stays held, whatever the copy
// lists: only a record of the new era shows that the server lives.
func TestHeldRemovalAcrossARestore(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	store.put("a", "10.0.0.1:1/b/ready")
	store.put("b", "10.0.0.2:1/b/ready")
	s, list := newSync(store, "")
	bornRecords(s)
	s.syncOnce(t.Context())
	s.reconnectedAt = time.Now()
	store.put("a", "")
	store.put("b", "")
	s.syncOnce(t.Context())
	c.Assert(s.heldRemovals, qt.HasLen, 2)
	store.restore(2)
	s.syncOnce(t.Context())
	c.Assert(s.heldRemovals, qt.HasLen, 2)
	store.put("b", "10.0.0.2:1/b/ready")
	s.syncOnce(t.Context())
	s.reconnectedAt = s.reconnectedAt.Add(-removalGracePeriod)
	s.syncOnce(t.Context())
	c.Assert(ids(list), qt.DeepEquals, map[string]bool{"b": true})
}

// An entry must refuse the list of one that has not noticed the restore, tell the
// process of a new era, and get the departures before it reads a copy at its start.
func TestListsOfOtherEras(t *testing.T) {
	c := qt.New(t)
	relayList := NewList()
	relayList.Put(placement.Server{ID: "a", Address: "10.0.0.1:1", Born: 1})
	relayList.Put(placement.Server{ID: "b", Address: "10.0.0.2:1", Born: 1})
	relayList.Remove("b")
	relayList.SetEra(2)
	relayList.RecordRead(0)
	server := httptest.NewServer(Handler(relayList))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	store := &fakeStore{era: 2}
	store.put("a", "10.0.0.1:1/b/ready")
	store.put("b", "10.0.0.2:1/b/ready")

	s, list := newSync(store, "")
	bornRecords(s)
	var hinted []int64
	s.cfg.OnStoreEra = func(number int64) { hinted = append(hinted, number) }
	s.cfg.StoreRestored = func() bool { return true }
	s.cfg.KnownEntries = func() []string { return []string{address} }
	s.syncOnce(t.Context())
	c.Assert(ids(list), qt.DeepEquals, map[string]bool{"a": true})
	c.Assert(hinted, qt.DeepEquals, []int64{2})

	list.SetEra(3)
	c.Assert(s.pollEntry(t.Context(), address, 0, time.Hour), qt.ErrorIs, ErrOldEra)
}

// Followers must hear of a new era at once, without a change of the list.
func TestFollowersHearOfAnEra(t *testing.T) {
	c := qt.New(t)
	list := NewList()
	list.RecordRead(0)
	first := list.Wait(t.Context(), 0, -1, 0)
	updates := make(chan Update)
	go func() { updates <- list.Wait(t.Context(), first.Epoch, first.Revision, 10*time.Second) }()
	list.SetEra(4)
	list.RecordRead(0)
	c.Assert((<-updates).StoreEra, qt.Equals, int64(4))
}

// silentRelay returns the address of a relay that accepts requests and never answers,
// like an entry that is frozen.
func silentRelay(c *qt.C) string {
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-ended:
		}
	}))
	c.Cleanup(server.Close)
	c.Cleanup(func() { close(ended) })
	return server.Listener.Addr().String()
}

// A draining server must be known within the bound of 2 s although all relays that an
// entry knows are silent (review/3). They were asked one after the other, for a second
// each, before the store was read.
func TestSilentRelaysDoNotDelayTheList(t *testing.T) {
	c := qt.New(t)
	for silent := 1; silent <= 4; silent++ {
		store := &fakeStore{}
		store.put("a", "ready")
		s, list := newSync(store, "")
		c.Assert(s.readStore(t.Context()), qt.IsNil)
		var relays []relay.Source
		for i := range silent {
			relays = append(relays, relay.Source{Address: silentRelay(c), OtherRegion: i >= 2})
		}
		s.cfg.Relays = func() []relay.Source { return relays }
		store.put("a", "draining")
		start := time.Now()
		for range 10 {
			s.syncOnce(t.Context())
			if server, _ := list.Get("a"); server.Address == "draining" {
				break
			}
		}
		c.Check(time.Since(start) < 1600*time.Millisecond, qt.IsTrue, qt.Commentf("%d silent relays: the change was known after %v", silent, time.Since(start)))
		server, _ := list.Get("a")
		c.Check(server.Address, qt.Equals, "draining")
		c.Check(s.usableRelays(), qt.HasLen, 0, qt.Commentf("silent relays are asked again at once"))
	}
}

// While one relay is silent, another one must be asked, not the store, and followed from
// then on.
func TestSilentRelayIsReplaced(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{down: true}
	live := NewList()
	live.Put(placement.Server{ID: "a", Address: "draining"})
	live.RecordRead(0)
	server := httptest.NewServer(Handler(live))
	defer server.Close()
	s, list := newSync(store, "")
	list.RecordRead(0)
	relays := []relay.Source{{Address: silentRelay(c)}, {Address: silentRelay(c)}, {Address: server.Listener.Addr().String(), OtherRegion: true}}
	s.cfg.Relays = func() []relay.Source { return relays }
	start := time.Now()
	s.syncOnce(t.Context())
	c.Check(time.Since(start) < 1200*time.Millisecond, qt.IsTrue, qt.Commentf("the list came after %v", time.Since(start)))
	c.Check(ids(list), qt.DeepEquals, map[string]bool{"a": true})
	c.Check(s.relayAddress, qt.Equals, relays[2].Address)
	c.Check(s.usableRelays()[0], qt.Equals, relays[2])
}

// A relay whose answer stops in its middle is silent, too.
func TestRelayThatStopsInItsAnswerIsSilent(t *testing.T) {
	c := qt.New(t)
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"epoch":1,`)
		_ = http.NewResponseController(w).Flush()
		<-ended
	}))
	defer server.Close()
	defer close(ended)
	store := &fakeStore{}
	store.put("a", "ready")
	s, list := newSync(store, server.Listener.Addr().String())
	list.RecordRead(0)
	start := time.Now()
	s.syncOnce(t.Context())
	c.Check(time.Since(start) < 1600*time.Millisecond, qt.IsTrue)
	c.Check(ids(list), qt.DeepEquals, map[string]bool{"a": true})
}
