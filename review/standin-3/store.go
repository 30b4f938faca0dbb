package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// storeRecord is one record of a keyed topic; a nil value drops the key.
type storeRecord struct {
	key   string
	value []byte
}

// store is a stand-in of the platform's store: keyed topics with one partition (PROTOCOL.md).
// It answers each call correctly; what goes wrong is done by a tap before it.
type store struct {
	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{}
}

func newStore() *store {
	return &store{topics: map[string][]storeRecord{}, changed: make(chan struct{})}
}

// put appends a record as the operator or a server does. Its return is the acknowledgement.
func (s *store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.append(topic, []storeRecord{{key, data}})
}

func (s *store) append(topic string, records []storeRecord) (end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return len(s.topics[topic])
}

func (s *store) read(topic string) ([]storeRecord, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topics[topic], s.changed
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	switch r.URL.Path {
	case "/v1/log-append":
		s.serveAppend(w, r, topic)
	case "/v1/log-read":
		s.serveRead(w, r, topic)
	case "/v1/log-newest":
		s.serveNewest(w, topic, q.Get("after"))
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 2<<20))
	if topic == "keyed.op" || topic == "keyed.servers" || err != nil {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records []storeRecord
	for len(body) > 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || size > len(body)-4 || int(body[4]) > size-1 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		b := body[4 : 4+size]
		key := int(b[0])
		rec := storeRecord{key: string(b[1 : 1+key])}
		if v := b[1+key:]; len(v) > 0 {
			rec.value = slices.Clone(v)
		}
		records, body = append(records, rec), body[4+size:]
	}
	if text := q(r, "at"); text != "" {
		all, _ := s.read(topic)
		if at, _ := strconv.Atoi(text); at != len(all) {
			w.WriteHeader(http.StatusPreconditionFailed)
			writeJSON(w, map[string]int{"end": len(all)})
			return
		}
	}
	end := s.append(topic, records)
	writeJSON(w, map[string]int{"offset": end - len(records), "end": end})
}

func q(r *http.Request, name string) string { return r.URL.Query().Get(name) }

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(q(r, "from"))
	wait, _ := strconv.Atoi(q(r, "waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		records, changed := s.read(topic)
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]int{"first": 0})
			return
		}
		expired := false
		if from == len(records) {
			select {
			case <-changed:
				continue
			case <-timeout:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if from < len(records) || expired {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range records[from:] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(append(append(out, byte(len(rec.key))), rec.key...), rec.value...)
			}
			_, _ = w.Write(out)
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, topic, after string) {
	records, _ := s.read(topic)
	newest := map[string]int{}
	for i, r := range records {
		newest[r.key] = i
	}
	var keys []string
	for k := range newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	items := []map[string]any{}
	for _, k := range keys {
		if r := records[newest[k]]; r.value != nil {
			items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(r.value), "offset": newest[k]})
		}
	}
	writeJSON(w, map[string]any{"items": items, "truncated": false, "end": len(records)})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
