package callerconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A request in flight on an HTTP/2 connection must end whole beside a planned stop, also on
// a connection that was idle before. net/http may report such a connection idle when the next
// request has been read already, so that it never counts as between requests.
func TestShutdownLeavesRequestsOverHTTP2(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	started, release := make(chan struct{}), make(chan struct{})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Protocols: protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			close(started)
			<-release
		}
		_, _ = io.WriteString(w, "answer")
	})}
	wrapped := Configure(server, listener)
	go func() { _ = server.Serve(wrapped) }()
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 10 * time.Second}
	get := func(path string) error {
		resp, err := client.Get("http://" + listener.Addr().String() + path)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		c.Check(resp.ProtoMajor, qt.Equals, 2)
		_, err = io.ReadAll(resp.Body)
		return err
	}
	c.Assert(get("/first"), qt.IsNil)
	<-time.After(50 * time.Millisecond)
	c.Check(slices.ContainsFunc(wrapped.(Listener).open.list(), (*conn).isIdle), qt.IsFalse)
	result, stopped := make(chan error, 1), make(chan error, 1)
	go func() { result <- get("/held") }()
	<-started
	go func() { stopped <- Shutdown(context.Background(), server) }()
	<-time.After(lastRequests + lastHeads + 200*time.Millisecond)
	close(release)
	c.Check(<-result, qt.IsNil)
	c.Check(<-stopped, qt.IsNil)
}
