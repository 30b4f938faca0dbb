// Package lifecycle holds what both roles need for a planned stop: the
// signals, and the count of requests in flight.
package lifecycle

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Signals returns a context that ends with the first SIGTERM or SIGINT, and
// one that ends with the second. Release stops the delivery of signals.
func Signals() (stop, force context.Context, release func()) {
	stop, cancelStop := context.WithCancel(context.Background())
	force, cancelForce := context.WithCancel(context.Background())
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan struct{})
	go func() {
		for _, cancel := range []context.CancelFunc{cancelStop, cancelForce} {
			select {
			case <-received:
				cancel()
			case <-done:
				return
			}
		}
	}()
	return stop, force, func() {
		signal.Stop(received)
		close(done)
		cancelStop()
		cancelForce()
	}
}
