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
	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/feed"
)

// fakeStore is a keyed topic in memory.
type fakeStore struct {
	records []feed.Record
	down    bool
	// othersInTouch says that only this entry is cut off.
	othersInTouch bool
}

func (s *fakeStore) put(key, value string) {
	r := feed.Record{Key: key, Offset: int64(len(s.records))}
	if value != "" {
		r.Value = []byte(value)
	}
	s.records = append(s.records, r)
}

func (s *fakeStore) Newest(context.Context) ([]feed.Record, int64, error) {
	if s.down {
		return nil, 0, errors.New("down")
	}
	var live []feed.Record
	for _, r := range newestByKey(s.records) {
		if r.Value != nil {
			live = append(live, r)
		}
	}
	return live, int64(len(s.records)), nil
}

func (s *fakeStore) Read(_ context.Context, from int64, _ time.Duration) ([]feed.Record, int64, error) {
	if s.down {
		return nil, 0, errors.New("down")
	}
	return s.records[from:], int64(len(s.records)), nil
}

func newSync(store *fakeStore, address string) (*Sync, *List) {
	list := NewList()
	var sources []relay.Source
	if address != "" {
		sources = []relay.Source{{Address: address}}
	}
	return NewSync(Config{
		List: list, Source: store, Log: decision.New(decision.Config{Output: io.Discard}), Client: &http.Client{},
		Decode: func(r feed.Record) (placement.Server, bool) {
			return placement.Server{ID: r.Key, Address: string(r.Value)}, string(r.Value) != "junk"
		},
		Relays: func() []relay.Source { return sources }, Others: func() []string { return nil }, OthersInTouch: func() bool { return store.othersInTouch },
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

// A reader that comes back must never pass on what was true in between: a
// server that drained and left meanwhile (DRAIN broken on a hunted day).
func TestBatchIsReducedToTheNewest(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	store.put("a", "10.0.0.1:1")
	s, list := newSync(store, "")
	s.round(t.Context())
	before := list.Wait(t.Context(), 0, 0, 0)
	store.put("b", "10.0.0.2:1")
	store.put("b", "10.0.0.2:2")
	store.put("b", "")
	s.round(t.Context())
	after := list.Wait(t.Context(), before.Epoch, before.Revision, 0)
	c.Assert(after.Revision, qt.Equals, before.Revision)
	c.Assert(ids(list), qt.DeepEquals, map[string]bool{"a": true})
}

// An unreadable record names no server and harms no other.
func TestUnreadableRecord(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	store.put("a", "10.0.0.1:1")
	store.put("b", "10.0.0.2:1")
	s, list := newSync(store, "")
	s.round(t.Context())
	store.put("a", "junk")
	s.round(t.Context())
	c.Assert(ids(list), qt.DeepEquals, map[string]bool{"b": true})
}

// Entries of servers that lapsed during an outage are held until those that
// live are back, and a list in that state is no relay's.
func TestLapsedServersAreHeldAfterAnOutage(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	store.put("a", "10.0.0.1:1")
	store.put("b", "10.0.0.2:1")
	s, list := newSync(store, "")
	s.round(t.Context())
	c.Assert(list.Settled(), qt.IsTrue)
	store.down = true
	s.round(t.Context())
	s.contact = s.contact.Add(-2 * outageAfter)
	s.storeRetry = time.Time{}
	store.down = false
	store.put("a", "")
	store.put("b", "")
	s.round(t.Context())
	c.Assert(ids(list), qt.DeepEquals, map[string]bool{"a": true, "b": true})
	c.Assert(list.Settled(), qt.IsFalse)
	store.put("a", "10.0.0.1:1")
	s.round(t.Context())
	s.backAt = s.backAt.Add(-lapseGrace)
	s.round(t.Context())
	c.Assert(ids(list), qt.DeepEquals, map[string]bool{"a": true})
}

// An entry that alone was cut off must not hold removals: the servers have left
// (hunted day, DRAIN: a request 2.66 s after its server had left).
func TestOwnCutHoldsNoRemovals(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	store.put("a", "10.0.0.1:1")
	store.put("b", "10.0.0.2:1")
	s, list := newSync(store, "")
	s.round(t.Context())
	store.down = true
	s.round(t.Context())
	s.contact = s.contact.Add(-2 * outageAfter)
	s.storeRetry = time.Time{}
	store.down, store.othersInTouch = false, true
	store.put("a", "")
	s.round(t.Context())
	c.Assert(ids(list), qt.DeepEquals, map[string]bool{"b": true})
	c.Assert(list.Settled(), qt.IsFalse)
}

// An entry that starts during an outage must take the list of another entry,
// however old: it has none (TestStartDuringOutage failed when the restart came
// more than 1.2 s after the store went down).
func TestStartTakesAnOldList(t *testing.T) {
	c := qt.New(t)
	old := NewList()
	old.Put(placement.Server{ID: "a", Address: "10.0.0.1:1"})
	old.Read(10 * time.Second)
	server := httptest.NewServer(Handler(old))
	defer server.Close()
	s, list := newSync(&fakeStore{down: true}, "")
	s.cfg.Others = func() []string { return []string{strings.TrimPrefix(server.URL, "http://")} }
	s.round(t.Context())
	c.Assert(ids(list), qt.DeepEquals, map[string]bool{"a": true})
}

// A follower takes changes from the relay, and reads the store itself as soon
// as the relay is stale.
func TestFollowerLeavesAStaleRelay(t *testing.T) {
	c := qt.New(t)
	relayList := NewList()
	relayList.Put(placement.Server{ID: "a", Address: "10.0.0.1:1"})
	relayList.Read(0)
	server := httptest.NewServer(Handler(relayList))
	defer server.Close()
	store := &fakeStore{}
	store.put("fromstore", "10.0.0.9:1")
	s, list := newSync(store, strings.TrimPrefix(server.URL, "http://"))
	s.round(t.Context())
	c.Assert(ids(list), qt.DeepEquals, map[string]bool{"a": true})
	relayList.Remove("a")
	relayList.Put(placement.Server{ID: "b", Address: "10.0.0.2:1"})
	s.round(t.Context())
	c.Assert(ids(list), qt.DeepEquals, map[string]bool{"b": true})
	relayList.Back()
	s.round(t.Context())
	c.Assert(ids(list), qt.DeepEquals, map[string]bool{"fromstore": true})
}

// A version change alters the record of every server within one reading. A
// follower must get them in one answer, or each of many followers asks once for
// each server.
func TestChangesOfOneReadingGoOutTogether(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	store.put("a", "10.0.0.1:1")
	s, list := newSync(store, "")
	s.round(t.Context())
	first := list.Wait(t.Context(), 0, 0, 0)
	waiting := make(chan Update)
	go func() { waiting <- list.Wait(t.Context(), first.Epoch, first.Revision, 10*time.Second) }()
	for i := range 50 {
		store.put(fmt.Sprint("server", i), "10.0.0.2:1")
	}
	// The follower may come at any moment of the reading.
	for s.cfg.List.Revision() == first.Revision {
		s.round(t.Context())
	}
	c.Assert((<-waiting).Servers, qt.HasLen, 50)
}

// An entry that others follow must not wait longer for news than it asked for.
func TestQuestionNamesItsWait(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	store.put("a", "10.0.0.1:1")
	s, list := newSync(store, "")
	s.round(t.Context())
	u := list.Wait(t.Context(), 0, 0, 0)
	server := httptest.NewServer(Handler(list))
	defer server.Close()
	begun := time.Now()
	resp, err := http.Get(fmt.Sprintf("%s%s?epoch=%d&revision=%d&wait_ms=1", server.URL, Path, u.Epoch, u.Revision))
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	c.Assert(time.Since(begun) < followWait, qt.IsTrue)
}
