package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/laburnumloft/laburnumloft/node/decision"
)

const (
	// callerHeaderTimeout bounds how long a caller may take to send a header.
	callerHeaderTimeout = 10 * time.Second
	// acceptAfterStop is how long new requests are taken after a stop was
	// asked for: callers learn within that time to go elsewhere, and what
	// they start by then ends within the grace.
	acceptAfterStop = 2500 * time.Millisecond
	// stopReserve of the grace is left to end the process.
	stopReserve = 300 * time.Millisecond
	// maxCallerHeader bounds the header of a request.
	maxCallerHeader = 64 << 10
)

// Listen serves callers on an address.
func Listen(address string, g *Gateway, idle time.Duration) (*http.Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler: g, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: idle, MaxHeaderBytes: maxCallerHeader,
	}
	go func() {
		// Shutdown ends it; any other error is seen by the platform's checks.
		_ = server.Serve(listener)
	}()
	return server, nil
}

// Drain ends a stop: new requests are taken for a while, and those in flight
// end before the process does.
func Drain(server *http.Server, g *Gateway, grace time.Duration, log *decision.Log) error {
	begun := time.Now()
	time.Sleep(min(acceptAfterStop, grace/3))
	g.Close()
	ctx, cancel := context.WithTimeout(context.Background(), grace-time.Since(begun)-stopReserve)
	defer cancel()
	err := server.Shutdown(ctx)
	log.Event("stopped", "whole", err == nil, "ms", time.Since(begun).Milliseconds())
	return nil
}
