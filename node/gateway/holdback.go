package gateway

import (
	"errors"
	"io"
	"time"
)

const (
	// holdBackTime is for how long a hedge's first bytes are held back. With its first event
	// a hedge ends the silent attempt, and the way back to that costs a retry. It is short
	// against takeoverTime, in which the event must reach the caller.
	holdBackTime = 100 * time.Millisecond
	// holdBackBytes is how many bytes end the time early.
	holdBackBytes = 8 * readBuffer
)

// readResult is the result of one read.
type readResult struct {
	data []byte
	err  error
}

// heldBody holds back the first bytes of a hedge's answer. If the answer breaks off
// meanwhile, it gives none of them, so that the attempt beside the hedge goes on.
type heldBody struct {
	io.ReadCloser
	// canFallBack reports whether the attempt beside the hedge is in flight.
	canFallBack func() bool
	begun       bool
	held        []byte
	// pending gets the result of the read that was under way when the time was over; nil
	// for none.
	pending chan readResult
	err     error
}

// Read implements io.Reader.
func (b *heldBody) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		b.hold()
	}
	if len(b.held) == 0 && b.pending != nil {
		b.add(<-b.pending)
		b.pending = nil
	}
	if len(b.held) > 0 {
		n := copy(p, b.held)
		b.held = b.held[n:]
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.ReadCloser.Read(p)
}

// hold reads until the time is over, the answer has ended or the bytes suffice.
func (b *heldBody) hold() {
	b.add(<-b.readNext())
	if b.err != nil || !b.canFallBack() {
		return
	}
	timeout := time.NewTimer(holdBackTime)
	defer timeout.Stop()
	for len(b.held) < holdBackBytes && b.err == nil {
		next := b.readNext()
		select {
		case r := <-next:
			b.add(r)
		case <-timeout.C:
			b.pending = next
			return
		}
	}
	if b.err != nil && !errors.Is(b.err, io.EOF) && b.canFallBack() {
		b.held = nil
	}
}

// readNext begins a read.
func (b *heldBody) readNext() chan readResult {
	result := make(chan readResult, 1)
	go func() {
		buffer := make([]byte, readBuffer)
		n, err := b.ReadCloser.Read(buffer)
		result <- readResult{buffer[:n], err}
	}()
	return result
}

func (b *heldBody) add(r readResult) {
	b.held, b.err = append(b.held, r.data...), r.err
}
