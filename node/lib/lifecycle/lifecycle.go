// Package lifecycle implements what entries and agents share for a planned stop
// and for their connections: signal handling, tracking of the requests in flight,
// and the configuration of HTTP clients and servers.
package lifecycle

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Signals returns a context that ends with the first SIGTERM or SIGINT and
// another one that ends with the second. release stops the signal handling and
// ends both contexts. early holds a SIGTERM that came before; stop has ended then.
func Signals(early <-chan os.Signal) (stop, force context.Context, release func()) {
	stop, cancelStop := context.WithCancel(context.Background())
	force, cancelForce := context.WithCancel(context.Background())
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	cancels := []context.CancelFunc{cancelStop, cancelForce}
	select {
	case <-early:
		cancelStop()
		cancels = cancels[1:]
	default:
	}
	done := make(chan struct{})
	go func() {
		for _, cancel := range cancels {
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
