package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/lib/callerconn"
)

const (
	// callerHeaderTimeout limits how long a caller may take to send a header.
	callerHeaderTimeout = 10 * time.Second
	// drainAcceptPeriod is how long new requests are accepted after a stop
	// request. In this time callers switch to other entries, and the requests
	// accepted in it still end within the grace period.
	drainAcceptPeriod = 2500 * time.Millisecond
	// exitReserve is the part of the grace period reserved for process exit.
	exitReserve = 300 * time.Millisecond
	// maxCallerHeaderBytes limits the size of a request's header.
	maxCallerHeaderBytes = 64 << 10
)

// Listen starts a server for callers on an address.
func Listen(address string, g *Gateway, idle time.Duration) (*http.Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler: g, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: idle, MaxHeaderBytes: maxCallerHeaderBytes,
	}
	listener = callerconn.Configure(server, listener)
	go func() {
		// The error is ignored: Serve returns one on every Shutdown, and the
		// platform's health checks detect any other failure.
		_ = server.Serve(listener)
	}()
	return server, nil
}

// Drain completes a stop: it accepts new requests for a while, then refuses them
// and waits for requests in flight until the grace period ends.
func Drain(server *http.Server, g *Gateway, gracePeriod time.Duration, log *decision.Log) error {
	started := time.Now()
	time.Sleep(min(drainAcceptPeriod, gracePeriod/3))
	g.Close()
	ctx, cancel := context.WithTimeout(context.Background(), gracePeriod-time.Since(started)-exitReserve)
	defer cancel()
	err := server.Shutdown(ctx)
	log.Event("stopped", "whole", err == nil, "ms", time.Since(started).Milliseconds())
	return nil
}
