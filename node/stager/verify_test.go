package stager

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A staged piece that becomes corrupt after it was checked must not be loaded because
// the engine is slow to return the others (review/1): with one read at a time the
// first check was 4.2 s old when the order came.
func TestPieceSpoilsWhileOthersAreReadBack(t *testing.T) {
	c := qt.New(t)
	e := newFakeEngine(1)
	e.readTime = 350 * time.Millisecond
	var once sync.Once
	e.onRead = func(n int) { once.Do(func() { e.corrupt(n) }) }
	g := newGroup(c, &fakeOrigin{newest: 1}, e)
	g.setTarget(2)
	g.awaitVersion(2)
}

// An engine that can't return all staged pieces while their checks are valid must get
// no load order, and must go on serving between the attempts. It gets the order once
// it is fast enough.
func TestLoadIsWithheldWhileChecksExpire(t *testing.T) {
	c := qt.New(t)
	e := newFakeEngine(1)
	e.readTime, e.serial = 250*time.Millisecond, true
	g := newGroup(c, &fakeOrigin{newest: 1}, e)
	g.setTarget(2)
	// The first load is withheld after three passes; the next checks begin before the
	// engine is drained.
	deadline := time.After(20 * time.Second)
	for read := 0; read <= 3*testPieces; {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-deadline:
			c.Fatal("the agent did not check the pieces a second time within 20 s")
		}
		e.mu.Lock()
		read = e.reads
		e.mu.Unlock()
	}
	e.mu.Lock()
	c.Check(e.loads, qt.HasLen, 0)
	c.Check(e.lastReportLoading, qt.IsFalse)
	e.readTime = 0
	e.mu.Unlock()
	g.awaitVersion(2)
}
