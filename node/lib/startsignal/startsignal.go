// Package startsignal catches SIGHUP and SIGTERM from the start of a program on, before it
// knows its options and settings. Until a handler is set, these signals end the process.
//
// Only main packages import it. It imports nothing but the handling of signals, so that it is
// initialized before most other packages of a program.
package startsignal

import (
	"os"
	"os/signal"
	"syscall"
)

var (
	stops   = make(chan os.Signal, 1)
	reloads = make(chan os.Signal, 1)
)

func init() {
	signal.Notify(stops, syscall.SIGTERM)
	signal.Notify(reloads, syscall.SIGHUP)
}

// Stops returns the channel of SIGTERM. It holds one that has come already.
func Stops() <-chan os.Signal { return stops }

// Reloads returns the channel of SIGHUP. It holds one that has come already.
func Reloads() <-chan os.Signal { return reloads }

// Release ends the handling, for programs that the signals shall end, also if one has come.
func Release() {
	signal.Stop(stops)
	signal.Stop(reloads)
	for _, received := range []<-chan os.Signal{stops, reloads} {
		select {
		case s := <-received:
			_ = syscall.Kill(os.Getpid(), s.(syscall.Signal))
		default:
		}
	}
}
