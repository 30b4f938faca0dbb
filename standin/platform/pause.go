package platform

import (
	"context"
	"sync"
	"time"
)

// gate holds work back while it is closed.
type gate struct {
	mu sync.Mutex
	// opened is closed when the gate opens; nil while it is open.
	opened chan struct{}
}

// set closes or opens the gate.
func (g *gate) set(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case closed && g.opened == nil:
		g.opened = make(chan struct{})
	case !closed && g.opened != nil:
		close(g.opened)
		g.opened = nil
	}
}

// wait returns when the gate is open, or when ctx ends.
func (g *gate) wait(ctx context.Context) {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	if opened == nil {
		return
	}
	select {
	case <-opened:
	case <-ctx.Done():
	}
}

// SetPaused makes the server stand still, or go on: meanwhile it accepts connections, but
// reads and writes nothing, as a process that is not scheduled.
func (s *Server) SetPaused(paused bool) { s.pause.set(paused) }

// Load is how a server works on requests; fields that are zero keep the usual values.
type Load struct {
	// Places is how many requests the server runs at once, refusing more; 0 is no limit.
	Places int
	// Events is the number of events of a stream and EventTime the time for each.
	Events    int
	EventTime time.Duration
	// AnswerTime is the time for an answer of a plain service.
	AnswerTime time.Duration
}

// SetLoad sets how the server works on later requests.
func (s *Server) SetLoad(l Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load = l
}
