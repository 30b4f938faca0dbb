package logservice

import (
	"net/http"
	"time"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// maxControlBytes bounds a control request.
const maxControlBytes = 64 << 10

// Control holds the limits and faults of a log service. The zero value has
// none.
type Control struct {
	// RetentionMS is the time in milliseconds for which records are kept, 0
	// for ever. Expired records go when the stream is next read.
	RetentionMS int64 `json:"retention_ms"`
	// MaxRecords is the number of records that each stream keeps, 0 for all.
	MaxRecords int `json:"max_records"`
	// AppendsPerSecond limits the rate of appends, 0 for no limit.
	AppendsPerSecond float64 `json:"appends_per_second"`
	// OldTail makes reads end before this offset, as those from a lagging
	// replica do. 0 switches it off.
	OldTail int64 `json:"old_tail"`
	// OldTailEvery applies OldTail to one of so many reads; 0 means all.
	OldTailEvery int `json:"old_tail_every"`
}

func (s *Service) handleControl(w http.ResponseWriter, r *http.Request) {
	var control Control
	if failure := wire.ReadJSON(r, maxControlBytes, &control); failure != nil {
		wire.WriteError(w, *failure)
		return
	}
	s.mu.Lock()
	s.control = control
	s.mu.Unlock()
	wire.WriteJSON(w, http.StatusOK, control)
}

// handleExpire drops the records before an offset, so that tests of the
// retention need not wait for it.
func (s *Service) handleExpire(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Stream string `json:"stream"`
		Before int64  `json:"before"`
	}
	if failure := wire.ReadJSON(r, maxControlBytes, &request); failure != nil {
		wire.WriteError(w, *failure)
		return
	}
	s.mu.Lock()
	st := s.get(request.Stream)
	st.drop(request.Before - st.oldest)
	s.mu.Unlock()
	wire.WriteJSON(w, http.StatusOK, request)
}

// handleRestore makes the log come back from a copy that holds only the first records of
// some streams. Offsets are given out again in the next era.
func (s *Service) handleRestore(w http.ResponseWriter, r *http.Request) {
	var request struct {
		// Ends maps streams to the offset after their last record in the copy.
		Ends map[string]int64 `json:"ends"`
	}
	if failure := wire.ReadJSON(r, maxControlBytes, &request); failure != nil {
		wire.WriteError(w, *failure)
		return
	}
	s.mu.Lock()
	s.era++
	s.eraBegan = time.Now()
	for name, end := range request.Ends {
		st := s.get(name)
		kept := max(0, min(end-st.oldest, int64(len(st.records))))
		st.records = st.records[:kept:kept]
	}
	s.mu.Unlock()
	wire.WriteJSON(w, http.StatusOK, request)
}

// expire drops the records that the retention does not cover.
func (st *stream) expire(c Control, now time.Time) {
	if c.MaxRecords > 0 {
		st.drop(int64(len(st.records) - c.MaxRecords))
	}
	limit := now.UnixMilli() - c.RetentionMS
	expired := int64(0)
	for c.RetentionMS > 0 && expired < int64(len(st.records)) && st.records[expired].TimeMS < limit {
		expired++
	}
	st.drop(expired)
}

// drop removes the oldest records.
func (st *stream) drop(count int64) {
	count = max(min(count, int64(len(st.records))), 0)
	st.records = st.records[count:]
	st.oldest += count
}

// allowAppend takes a token of the rate limit; the caller holds the lock.
func (s *Service) allowAppend(now time.Time) bool {
	rate := s.control.AppendsPerSecond
	if rate <= 0 {
		return true
	}
	burst := max(rate, 1)
	s.tokens = min(s.tokens+now.Sub(s.refilled).Seconds()*rate, burst)
	s.refilled = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// truncate returns the page as a replica gives it whose log ends before tail.
func truncate(page wire.LogPage, tail int64) wire.LogPage {
	page.Next = min(page.Next, tail)
	page.Oldest = min(page.Oldest, tail)
	for i, rec := range page.Records {
		if rec.Offset >= tail {
			page.Records = page.Records[:i]
			break
		}
	}
	return page
}
