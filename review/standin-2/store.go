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

// store is the platform's store, as far as the system calls it: log-append, log-read and
// log-newest of keyed topics.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	// onRead, if set, is called at the begin of each waiting read.
	onRead func(topic, remote string)
	// down makes the store answer 503 to the system's calls; nothing is written meanwhile.
	down bool
}

type topic struct{ records []keyed }

type keyed struct {
	key   string
	value []byte
}

func newStore() *store { return &store{topics: map[string]*topic{}, changed: make(chan struct{})} }

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

// put writes a record; a nil value removes the key.
func (s *store) put(name, key string, value any) {
	var data []byte
	if value != nil {
		data = mustJSON(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.appendLocked(name, []keyed{{key, data}})
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// setDown begins or ends an outage, which also ends the reads that wait.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) appendLocked(name string, records []keyed) {
	t := s.topic(name)
	t.records = append(t.records, records...)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/v1/log-append":
		s.serveAppend(w, r, q.Get("topic"), q.Get("at"))
	case "/v1/log-read":
		from, _ := strconv.Atoi(q.Get("from"))
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.serveRead(w, r, q.Get("topic"), from, time.Duration(wait)*time.Millisecond)
	case "/v1/log-newest":
		s.serveNewest(w, q.Get("topic"), q.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, name, at string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records []keyed
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if body = body[4:]; size > len(body) || size < 1 || int(body[0]) > size-1 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := int(body[0])
		records = append(records, keyed{string(body[1 : 1+n]), append([]byte(nil), body[1+n:size]...)})
		body = body[size:]
	}
	s.mu.Lock()
	end := len(s.topic(name).records)
	if at != "" && at != strconv.Itoa(end) {
		s.mu.Unlock()
		answer(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	s.appendLocked(name, records)
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"offset": end, "end": end + len(records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, name string, from int, wait time.Duration) {
	if s.onRead != nil && wait > 0 {
		s.onRead(name, r.RemoteAddr)
	}
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		records, changed, down := s.topic(name).records, s.changed, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if from > len(records) {
			answer(w, http.StatusGone, map[string]any{"first": 0})
			return
		}
		if from < len(records) || wait == 0 {
			writeFrame(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeFrame(w http.ResponseWriter, records []keyed, from int) {
	var out []byte
	out = binary.BigEndian.AppendUint64(out, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range records[from:] {
		if len(out) > 900<<10 {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(append(append(out, byte(len(r.key))), r.key...), r.value...)
	}
	_, _ = w.Write(out)
}

func (s *store) serveNewest(w http.ResponseWriter, name, after string) {
	s.mu.Lock()
	records := s.topic(name).records
	s.mu.Unlock()
	newest := map[string]int{}
	for i, r := range records {
		newest[r.key] = i
	}
	var keys []string
	for key, i := range newest {
		if key > after && len(records[i].value) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	truncated := len(keys) > 500
	if truncated {
		keys = keys[:500]
	}
	items := []map[string]any{}
	for _, key := range keys {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(records[newest[key]].value), "offset": newest[key]})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "end": len(records)})
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
