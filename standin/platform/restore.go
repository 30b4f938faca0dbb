package platform

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// Mark is a state of the store to which it can be restored.
type Mark map[string]int

// eraHeader is what the store says of its era.
type eraHeader struct {
	number int64
	// override replaces the number if it is set; "-" leaves the header out.
	override string
	// late delays the next answer on a topic, which is made before.
	lateTopic string
	late      time.Duration
}

// Mark returns the state of the store, as a copy taken now holds it.
func (s *Store) Mark() Mark {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := Mark{}
	for name, t := range s.topics {
		m[name] = len(t.records)
	}
	return m
}

// Restore makes the store come back from a copy that was taken at a mark: later
// records are gone, their offsets are given out again, and the era rises. Reads that
// wait go on waiting at their offset.
func (s *Store) Restore(m Mark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era.number++
	for name, t := range s.topics {
		t.records, t.keys = t.records[:min(m[name], len(t.records)):min(m[name], len(t.records))], nil
		t.newest = map[string]int{}
		for i, r := range t.records {
			t.newest[r.key] = i
		}
	}
}

// Era returns the current era.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era.number
}

// SetEra sets the number of the era without a restore.
func (s *Store) SetEra(number int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era.number = number
}

// SetEraHeader replaces the value of the header; "-" leaves it out, "" ends that.
func (s *Store) SetEraHeader(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era.override = value
}

// DelayNext makes the next answer on a topic arrive late. The answer is made, with its
// era, before the delay.
func (s *Store) DelayNext(topic string, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era.lateTopic, s.era.late = topic, delay
}

// Newest returns the value of the newest record of a key.
func (s *Store) Newest(topic, key string) (value []byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	if i, known := t.newest[key]; known && t.records[i].value != nil {
		return t.records[i].value, true
	}
	return nil, false
}

// Keys returns the keys of a topic that have a value.
func (s *Store) Keys(topic string) (keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	for _, key := range t.sortedKeys() {
		if t.records[t.newest[key]].value != nil {
			keys = append(keys, key)
		}
	}
	return keys
}

// Calls returns how many appends and reads of newest records the system has made on a
// topic.
func (s *Store) Calls(topic string) (appends, newestReads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends[topic], s.newestReads[topic]
}

// end returns the offset after the last record of a topic.
func (s *Store) end(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topic(name).records)
}

// eraWriter adds the era to an answer when it is made.
type eraWriter struct {
	http.ResponseWriter
	// ctx is the context of the call.
	ctx   context.Context
	store *Store
	topic string
	done  bool
}

func (w *eraWriter) begin() {
	if w.done {
		return
	}
	w.done = true
	w.store.pause.wait(w.ctx)
	w.store.mu.Lock()
	era := w.store.era
	delay := time.Duration(0)
	if era.late > 0 && era.lateTopic == w.topic {
		delay, w.store.era.late = era.late, 0
	}
	w.store.mu.Unlock()
	switch era.override {
	case "":
		w.Header().Set("Store-Era", strconv.FormatInt(era.number, 10))
	case "-":
	default:
		w.Header().Set("Store-Era", era.override)
	}
	<-time.After(delay)
}

func (w *eraWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

func (w *eraWriter) Write(b []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(b)
}
