// Package logservice is a stand-in for the platform's log service.
package logservice

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// maxRecordBytes bounds one record.
const maxRecordBytes = 16 << 20

// stream is one append-only sequence of records.
type stream struct {
	records []wire.LogRecord
	oldest  int64
	changed chan struct{}
}

// Service is an in-memory log service.
type Service struct {
	mu      sync.Mutex
	control Control
	streams map[string]*stream
	reads   int
	// era counts the restores, and eraBegan is the time of the last one.
	era      int64
	eraBegan time.Time
	// tokens are the appends that the rate limit allows at the time refilled.
	tokens   float64
	refilled time.Time
}

// New returns an empty log service.
func New(control Control) *Service {
	return &Service{control: control, streams: map[string]*stream{}}
}

// Handler returns the HTTP interface of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{name}/records", s.handleAppend)
	mux.HandleFunc("GET /v1/streams/{name}/records", s.handleRead)
	mux.HandleFunc("POST /v1/control", s.handleControl)
	mux.HandleFunc("POST /v1/expire", s.handleExpire)
	mux.HandleFunc("POST /v1/restore", s.handleRestore)
	return mux
}

// get returns the stream; the caller holds the lock.
func (s *Service) get(name string) *stream {
	if s.streams[name] == nil {
		s.streams[name] = &stream{oldest: 1, changed: make(chan struct{})}
	}
	return s.streams[name]
}

func (s *Service) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil || !json.Valid(data) {
		wire.WriteError(w, wire.Error{Kind: wire.ErrorBadRequest, Message: "body is not JSON"})
		return
	}
	s.mu.Lock()
	if !s.allowAppend(time.Now()) {
		s.mu.Unlock()
		wire.WriteError(w, wire.Error{Kind: wire.ErrorOverloaded, Message: "append rate limit", RetryAfterMS: 1000})
		return
	}
	st := s.get(r.PathValue("name"))
	offset := st.oldest + int64(len(st.records))
	st.records = append(st.records, wire.LogRecord{Offset: offset, TimeMS: time.Now().UnixMilli(), Data: data})
	close(st.changed)
	st.changed = make(chan struct{})
	era := s.era
	s.mu.Unlock()
	wire.WriteJSON(w, http.StatusOK, wire.LogAppend{Offset: offset, Era: era})
}

func (s *Service) handleRead(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		page, changed := s.page(name, from, limit)
		if len(page.Records) > 0 {
			wire.WriteJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			wire.WriteJSON(w, http.StatusOK, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Service) page(name string, from int64, limit int) (wire.LogPage, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.get(name)
	st.expire(s.control, time.Now())
	page := wire.LogPage{Oldest: st.oldest, Next: st.oldest + int64(len(st.records)), Records: []wire.LogRecord{}, Era: s.era}
	if s.era > 0 {
		page.EraBeganMS = s.eraBegan.UnixMilli()
	}
	start := max(from-st.oldest, 0)
	for _, rec := range st.records[min(start, int64(len(st.records))):] {
		if len(page.Records) == limit {
			break
		}
		page.Records = append(page.Records, rec)
	}
	s.reads++
	if tail := s.control.OldTail; tail > 0 && s.reads%max(s.control.OldTailEvery, 1) == 0 {
		page = truncate(page, tail)
	}
	return page, st.changed
}
