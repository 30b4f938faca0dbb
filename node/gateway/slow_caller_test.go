package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// slowCaller is the connection of a caller that takes a time for each write.
type slowCaller struct {
	*httptest.ResponseRecorder
	each time.Duration

	mu       sync.Mutex
	deadline time.Time
}

func (s *slowCaller) SetWriteDeadline(t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = t
	return nil
}

func (s *slowCaller) Write(p []byte) (int, error) {
	<-time.After(s.each)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.deadline.IsZero() && time.Now().After(s.deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	return s.ResponseRecorder.Write(p)
}

// Each event that was read before the deadline must not give a caller that reads slowly more
// time after it: the stream would keep its place long past its timeout.
func TestSlowCallerIsNotWaitedForPastTheDeadline(t *testing.T) {
	c := qt.New(t)
	r := newTestGateway(c, newServer(c, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "s")
		for i := 1; i <= 40; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("t", 1000))
		}
	}))
	req := r.request(c, http.MethodPost, "/stream/1", "x")
	req.Header.Set("Left", "500")
	w := &slowCaller{ResponseRecorder: httptest.NewRecorder(), each: 200 * time.Millisecond}
	began := time.Now()
	func() {
		// A cut stream ends by a panic.
		defer func() { c.Check(recover(), qt.Equals, http.ErrAbortHandler) }()
		r.ServeHTTP(w, req)
	}()
	held := time.Since(began) - 500*time.Millisecond
	c.Check(held < lastWriteTimeout+w.each, qt.IsTrue, qt.Commentf("held %v past the deadline", held))
}
