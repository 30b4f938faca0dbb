package gateway

import (
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// BenchmarkStream measures one stream of 14 events through the gateway,
// including the caller and the server, which run in the same process.
func BenchmarkStream(b *testing.B) {
	c := qt.New(b)
	s := newServer(c, events(14, false))
	r := newTestGateway(c, s)
	b.ReportAllocs()
	for range b.N {
		resp, err := http.DefaultClient.Do(r.request(c, http.MethodPost, "/stream/1", "x"))
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, resp.Body)
		c.Assert(err, qt.IsNil)
		_ = resp.Body.Close()
	}
}
