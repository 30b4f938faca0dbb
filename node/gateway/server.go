package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/laburnumloft/laburnumloft/core/shutdown"
	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/lib/callerconn"
	"github.com/laburnumloft/laburnumloft/node/lib/intake"
)

const (
	// callerHeaderTimeout limits how long a caller may take to send a header.
	callerHeaderTimeout = 10 * time.Second
	// MaxCallerHeaderBytes limits the size of a request's header.
	MaxCallerHeaderBytes = 64 << 10
)

// ListenConfig configures the listener for callers.
type ListenConfig struct {
	Address string
	// Idle is the time after which an idle connection is closed.
	Idle time.Duration
	// MaxConnections bounds the connections; 0 means no bound.
	MaxConnections int
}

// Listen starts a server for callers.
func Listen(cfg ListenConfig, g *Gateway) (*http.Server, error) {
	listener, err := net.Listen("tcp4", cfg.Address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler: g, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: cfg.Idle, MaxHeaderBytes: MaxCallerHeaderBytes,
	}
	listener = intake.Limit(server, listener, "callers", cfg.MaxConnections, intake.LogClosed(g.cfg.Log))
	server.Handler = g.bodies.Handler(server.Handler)
	listener = callerconn.Configure(server, listener)
	go func() {
		// The error is ignored: Serve returns one on every Shutdown, and the
		// platform's health checks detect any other failure.
		_ = server.Serve(listener)
	}()
	return server, nil
}

// Drain completes a planned stop: new connections are taken for a while, requests on kept
// connections as long as callers use these and the plan allows it. The rest is refused, and
// requests in flight are awaited until the plan ends them.
func Drain(server *http.Server, g *Gateway, plan shutdown.Plan, log *decision.Log) error {
	started := time.Now()
	time.Sleep(time.Until(plan.AcceptUntil()))
	ctx, cancel := context.WithDeadline(context.Background(), plan.ExitBy())
	defer cancel()
	keep, cancelKeep := context.WithDeadline(ctx, plan.KeepUntil())
	defer cancelKeep()
	callerconn.AwaitUnused(keep, server, shutdown.QuietPeriod)
	g.Close()
	err := callerconn.Shutdown(ctx, server)
	log.Event("stopped", "whole", err == nil, "ms", time.Since(started).Milliseconds())
	return nil
}
