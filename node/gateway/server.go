package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/laburnumloft/laburnumloft/core/shutdown"
	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/lib/callerconn"
)

const (
	// callerHeaderTimeout limits how long a caller may take to send a header.
	callerHeaderTimeout = 10 * time.Second
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

// Drain completes a planned stop: requests are taken for a while, then refused, and
// those in flight are awaited until the plan ends them.
func Drain(server *http.Server, g *Gateway, plan shutdown.Plan, log *decision.Log) error {
	started := time.Now()
	time.Sleep(time.Until(plan.AcceptUntil()))
	g.Close()
	ctx, cancel := context.WithDeadline(context.Background(), plan.ExitBy())
	defer cancel()
	err := server.Shutdown(ctx)
	log.Event("stopped", "whole", err == nil, "ms", time.Since(started).Milliseconds())
	return nil
}
