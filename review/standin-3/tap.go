package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// tap is a TCP proxy whose open connections can be made silent for good: what comes on them
// is read and dropped, and nothing is sent back. Connections that are opened later work.
type tap struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     map[*atomic.Bool]struct{}
}

func newTap(address, target string) (*tap, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	t := &tap{listener: l, target: target, open: map[*atomic.Bool]struct{}{}}
	go t.run()
	return t, nil
}

// silence makes all open connections silent and returns their number.
func (t *tap) silence() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for silent := range t.open {
		silent.Store(true)
	}
	return len(t.open)
}

func (t *tap) run() {
	for {
		from, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.serve(from)
	}
}

func (t *tap) serve(from net.Conn) {
	to, err := net.Dial("tcp4", t.target)
	if err != nil {
		_ = from.Close()
		return
	}
	silent := new(atomic.Bool)
	t.mu.Lock()
	t.open[silent] = struct{}{}
	t.mu.Unlock()
	done := make(chan struct{}, 2)
	copyTo := func(dst, src net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := src.Read(buffer)
			if n > 0 && !silent.Load() {
				if _, werr := dst.Write(buffer[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go copyTo(to, from)
	go func() {
		copyTo(from, to)
	}()
	<-done
	_ = from.Close()
	_ = to.Close()
	<-done
	t.mu.Lock()
	delete(t.open, silent)
	t.mu.Unlock()
}
