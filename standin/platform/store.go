// Package platform holds stand-ins that speak the users' platform's published
// protocol: the store with keyed topics, model engines with staged weights,
// plain services and the origin of weights, each with switches for faults.
package platform

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// maxWait bounds a long poll.
const maxWait = 30 * time.Second

// maxAppend bounds the body of an append.
const maxAppend = 2 << 20

// record is one record of a keyed topic; a nil value drops the key.
type record struct {
	key   string
	value []byte
}

type topic struct {
	records []record
	changed chan struct{}
	// newest is the index of the newest record of each key, and keys are its sorted
	// keys; nil after a new key.
	newest map[string]int
	keys   []string
}

// sortedKeys returns the keys in order. The caller holds the store's lock and does not
// change them.
func (t *topic) sortedKeys() []string {
	if t.keys == nil {
		t.keys = slices.Sorted(maps.Keys(t.newest))
	}
	return t.keys
}

// Store is an in-memory store with one partition a topic.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// down answers 503, losing executes appends without an answer.
	down, losing bool
	// deaf is how many waiting reads of the operator's records miss what comes
	// next.
	deaf int
	// waiting counts the waiting reads of the operator's records.
	waiting int
	era     eraHeader
	// pause holds all calls back while the store stands still.
	pause gate
	// appends and newestReads count the calls of the system by topic.
	appends, newestReads map[string]int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: map[string]*topic{}, appends: map[string]int{}, newestReads: map[string]int{}}
}

// SetDown makes every call fail with 503.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetPaused makes the store stand still, or go on: meanwhile it accepts connections, but
// answers nothing.
func (s *Store) SetPaused(paused bool) { s.pause.set(paused) }

// SetLosing makes appends take effect without an answer.
func (s *Store) SetLosing(losing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losing = losing
}

// SetDeaf makes some waiting reads of the operator's records miss what comes
// next, until they end by themselves.
func (s *Store) SetDeaf(reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = reads
}

// Waiting returns how many reads of the operator's records wait.
func (s *Store) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

// wait counts a waiting read in or out.
func (s *Store) wait(name string, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == "keyed.op" {
		s.waiting += change
	}
}

// missed reports whether a woken read is one of those.
func (s *Store) missed(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "keyed.op" || s.deaf == 0 {
		return false
	}
	s.deaf--
	return true
}

// Put appends a record, as the operator or a server does. It works while the
// store is down for the system.
func (s *Store) Put(name, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.append(name, record{key, data})
	return nil
}

// PutRaw appends a record with the given bytes, as another writer may.
func (s *Store) PutRaw(name, key string, value []byte) { s.append(name, record{key, value}) }

// Drop appends a record without a value.
func (s *Store) Drop(name, key string) { s.append(name, record{key: key}) }

func (s *Store) append(name string, r record) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appendLocked(name, r)
}

// appendLocked appends a record. The caller holds the lock.
func (s *Store) appendLocked(name string, r record) int {
	t := s.topic(name)
	if _, known := t.newest[r.key]; !known {
		t.keys = nil
	}
	t.newest[r.key] = len(t.records)
	t.records = append(t.records, r)
	close(t.changed)
	t.changed = make(chan struct{})
	return len(t.records)
}

// topic returns a topic. The caller holds the lock.
func (s *Store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{changed: make(chan struct{}), newest: map[string]int{}}
	}
	return s.topics[name]
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.pause.wait(r.Context())
	s.mu.Lock()
	down, losing := s.down, s.losing
	s.mu.Unlock()
	name := r.URL.Query().Get("topic")
	w = &eraWriter{ResponseWriter: w, ctx: r.Context(), store: s, topic: name}
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/v1/log-append":
		s.serveAppend(w, r, name, losing)
	case "/v1/log-read":
		s.serveRead(w, r, name)
	case "/v1/log-newest":
		s.serveNewest(w, name, r.URL.Query().Get("after"))
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request, name string, losing bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAppend))
	if err != nil || len(body) < 5 || name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	records, ok := decodeRecords(body)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	at := -1
	if text := r.URL.Query().Get("at"); text != "" {
		if at, err = strconv.Atoi(text); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	end, ok := s.appendAt(name, at, records)
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]int{"end": end})
		return
	}
	if losing {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]int{"offset": end - len(records), "end": end})
}

// decodeRecords decodes the body of an append.
func decodeRecords(body []byte) (records []record, ok bool) {
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		size, keyLength := int(binary.BigEndian.Uint32(body)), int(body[4])
		if size > len(body)-4 || 1+keyLength > size {
			return nil, false
		}
		r := record{key: string(body[5 : 5+keyLength])}
		if value := body[5+keyLength : 4+size]; len(value) > 0 {
			r.value = bytes.Clone(value)
		}
		records = append(records, r)
		body = body[4+size:]
	}
	return records, true
}

// appendAt appends records if the topic ends at an offset, which counts if it is not
// negative. It returns the end of the topic.
func (s *Store) appendAt(name string, at int, records []record) (end int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends[name]++
	if end := len(s.topic(name).records); at >= 0 && at != end {
		return end, false
	}
	for _, r := range records {
		s.appendLocked(name, r)
	}
	return len(s.topic(name).records), true
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	maxKiB, err2 := strconv.Atoi(r.URL.Query().Get("maxKib"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if from > s.end(name) {
		w.WriteHeader(http.StatusGone)
		writeJSON(w, map[string]int{"first": 0})
		return
	}
	timeout := time.After(min(time.Duration(waitMS)*time.Millisecond, maxWait))
	s.wait(name, 1)
	defer s.wait(name, -1)
	for {
		s.mu.Lock()
		t := s.topic(name)
		records, changed, down := t.records, t.changed, s.down
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if from < len(records) {
			writeFrame(w, records, from, maxKiB<<10)
			return
		}
		select {
		case <-changed:
			if s.missed(name) {
				<-r.Context().Done()
				return
			}
		case <-timeout:
			writeFrame(w, records, len(records), 0)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// writeFrame answers a read with records of at most maxBytes, but at least one.
func writeFrame(w http.ResponseWriter, records []record, from, maxBytes int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i, r := range records[from:] {
		if i > 0 && len(out)+len(r.value) > maxBytes {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(append(out, r.key...), r.value...)
	}
	// A caller that left reads again.
	_, _ = w.Write(out)
}

// A page of newest records has at most so many records and bytes.
const (
	maxPageRecords = 500
	maxPageBytes   = 1 << 20
)

func (s *Store) serveNewest(w http.ResponseWriter, name, after string) {
	s.mu.Lock()
	s.newestReads[name]++
	t := s.topic(name)
	keys, end := t.sortedKeys(), len(t.records)
	first, found := slices.BinarySearch(keys, after)
	if found {
		first++
	}
	// Values in base64 need no escapes, and an encoder would read a megabyte a page.
	var items bytes.Buffer
	count, size, truncated := 0, 0, false
	for _, key := range keys[first:] {
		r := t.records[t.newest[key]]
		if r.value == nil {
			continue
		}
		if size += len(r.value); count == maxPageRecords || count > 0 && size > maxPageBytes {
			truncated = true
			break
		}
		if count++; count > 1 {
			items.WriteByte(',')
		}
		// A string is always encoded.
		quoted, _ := json.Marshal(key)
		fmt.Fprintf(&items, `{"key":%s,"value":"`, quoted)
		items.Write(base64.StdEncoding.AppendEncode(nil, r.value))
		fmt.Fprintf(&items, `","offset":%d}`, t.newest[key])
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	// A caller that left asks again.
	_, _ = fmt.Fprintf(w, `{"items":[%s],"truncated":%t,"end":%d}`, items.Bytes(), truncated, end)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that left asks again.
	_ = json.NewEncoder(w).Encode(v)
}
