package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// appendTime is how long the store takes to answer a call (appendMs).
const appendTime = 4 * time.Millisecond

type storeRecord struct {
	key   string
	value []byte
}

type storeTopic struct {
	records []storeRecord
	changed chan struct{}
}

// Store is a stand-in of the platform's metadata store: keyed topics with one
// partition, appends, long polls and the newest record of each key.
type Store struct {
	mu     sync.Mutex
	topics map[string]*storeTopic
	// onAppend sees the records that the system's processes write.
	onAppend func(topic, key string, value []byte)
}

func newStore() *Store { return &Store{topics: map[string]*storeTopic{}} }

func (s *Store) topic(name string) *storeTopic {
	if s.topics[name] == nil {
		s.topics[name] = &storeTopic{changed: make(chan struct{})}
	}
	return s.topics[name]
}

// Put writes a record as the operator or an engine does. A nil value drops the key.
func (s *Store) Put(topic, key string, value any) {
	var data []byte
	if value != nil {
		data = mustJSON(value)
	}
	s.append(topic, []storeRecord{{key, data}}, -1)
}

func (s *Store) append(name string, records []storeRecord, at int) (end int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if at >= 0 && at != len(t.records) {
		return len(t.records), false
	}
	t.records = append(t.records, records...)
	close(t.changed)
	t.changed = make(chan struct{})
	return len(t.records), true
}

// Newest returns the newest value of a key, nil if there is none.
func (s *Store) Newest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var value []byte
	for _, r := range s.topic(name).records {
		if r.key == key {
			value = r.value
		}
	}
	return value
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(appendTime)
	name := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/v1/log-append":
		s.serveAppend(w, r, name)
	case "/v1/log-read":
		s.serveRead(w, r, name)
	case "/v1/log-newest":
		s.serveNewest(w, r, name)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(r.Body)
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records []storeRecord
	for err == nil && len(body) > 0 {
		if len(body) < 5 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		size, keyLen := int(binary.BigEndian.Uint32(body)), int(body[4])
		if size > len(body)-4 || 1+keyLen > size {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		rec := storeRecord{key: string(body[5 : 5+keyLen])}
		if v := body[5+keyLen : 4+size]; len(v) > 0 {
			rec.value = append([]byte(nil), v...)
		}
		records, body = append(records, rec), body[4+size:]
	}
	at := -1
	if text := r.URL.Query().Get("at"); text != "" {
		at, _ = strconv.Atoi(text)
	}
	end, ok := s.append(name, records, at)
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]int{"end": end})
		return
	}
	if s.onAppend != nil {
		for _, rec := range records {
			s.onAppend(name, rec.key, rec.value)
		}
	}
	writeJSON(w, map[string]int{"offset": end - len(records), "end": end})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMS, _ := strconv.Atoi(q.Get("waitMs"))
	maxBytes := 1024 << 10
	if kib, err := strconv.Atoi(q.Get("maxKib")); err == nil {
		maxBytes = kib << 10
	}
	timeout := time.After(min(time.Duration(waitMS)*time.Millisecond, 30*time.Second))
	for {
		s.mu.Lock()
		t := s.topic(name)
		records, changed := t.records, t.changed
		s.mu.Unlock()
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]int{"first": 0})
			return
		}
		done := from < len(records)
		if !done {
			select {
			case <-changed:
				continue
			case <-timeout:
			case <-r.Context().Done():
				return
			}
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		for i, rec := range records[from:] {
			if i > 0 && len(out)+len(rec.value) > maxBytes {
				break
			}
			out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
			out = append(out, byte(len(rec.key)))
			out = append(append(out, rec.key...), rec.value...)
		}
		_, _ = w.Write(out)
		return
	}
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request, name string) {
	const maxItems = 500
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	t := s.topic(name)
	newest := map[string]int{}
	for i, rec := range t.records {
		newest[rec.key] = i
	}
	var keys []string
	for key, i := range newest {
		if key > after && t.records[i].value != nil {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	for _, key := range keys[:min(len(keys), maxItems)] {
		i := newest[key]
		items = append(items, item{key, base64.StdEncoding.EncodeToString(t.records[i].value), i})
	}
	end := len(t.records)
	s.mu.Unlock()
	writeJSON(w, map[string]any{"items": items, "truncated": len(keys) > maxItems, "end": end})
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(mustJSON(v))
}
