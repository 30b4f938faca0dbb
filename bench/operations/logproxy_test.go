package operations_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// logProxy stands between one entry and the log, so that one entry can lose
// the log while another keeps it.
type logProxy struct {
	url, target string
	// loseAppends lets appends take effect and drops their answers, blockReads
	// refuses reads; both concern the claims stream only.
	loseAppends, blockReads atomic.Bool
}

func newLogProxy(tb testing.TB, target string) *logProxy {
	p := &logProxy{target: target}
	server := httptest.NewServer(p)
	tb.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	p.url = server.URL
	return p
}

func (p *logProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	claims := strings.HasPrefix(r.URL.Path, "/v1/streams/claims/")
	blocked := func() bool { return claims && r.Method == http.MethodGet && p.blockReads.Load() }
	body, _ := io.ReadAll(r.Body)
	out, err := http.NewRequestWithContext(r.Context(), r.Method, p.target+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil || blocked() {
		wire.WriteError(w, wire.Error{Kind: wire.ErrorUnavailable, Message: "fault: log is down"})
		return
	}
	out.Header.Set("Content-Type", r.Header.Get("Content-Type"))
	resp, err := http.DefaultClient.Do(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	// A long poll that began before the fault must not deliver records.
	if claims && r.Method == http.MethodPost && p.loseAppends.Load() || blocked() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}
