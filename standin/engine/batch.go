package engine

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// sequenceBuffer is how many tokens a sequence may be ahead of its reader.
// A sequence whose buffer is full pauses, which is the engine's back-pressure.
const sequenceBuffer = 16

// sequence is one request in the batch or in the queue.
type sequence struct {
	id       string
	version  string
	priority int
	count    int
	produced int
	// prefill is the number of steps before the first token.
	prefill   int
	out       chan output
	cancelled bool
}

// output is one token or the end of a sequence.
type output struct {
	owner string
	text  string
	end   bool
}

// admit puts a request into the batch or the queue. It reports whether there
// was room.
func (e *Engine) admit(req wire.GenerateRequest) (*sequence, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.status.State != wire.EngineReady {
		return nil, false
	}
	if len(e.batch) >= e.cfg.MaxBatch && len(e.queue) >= e.cfg.MaxQueue {
		return nil, false
	}
	count := req.MaxTokens
	if count <= 0 {
		count = defaultMaxTokens
	}
	missing := e.cache.take(req.Prompt)
	s := &sequence{
		id: req.RequestID, version: e.status.Version, priority: req.Priority, count: count,
		prefill: (missing + e.cfg.PrefillBytes - 1) / e.cfg.PrefillBytes,
		out:     make(chan output, sequenceBuffer),
	}
	e.queue = append(e.queue, s)
	if !e.stepping {
		e.stepping = true
		go e.steps()
	}
	return s, true
}

// cancel ends a sequence at the next step and reports whether it was there.
func (e *Engine) cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range slices.Concat(e.batch, e.queue) {
		if s.id == id && !s.cancelled {
			s.cancelled = true
			e.stats.Cancelled++
			return true
		}
	}
	return false
}

// steps runs the batch until it is empty. Each step gives every sequence one
// token. Its time is the token time, or longer when the sequences together
// exceed the capacity.
func (e *Engine) steps() {
	next := time.Now()
	for {
		n := e.step()
		if n == 0 {
			return
		}
		d := e.cfg.TokenTime
		if e.cfg.Capacity > 0 {
			d = max(d, time.Duration(float64(n)/e.cfg.Capacity*float64(time.Second)))
		}
		e.mu.Lock()
		d += time.Duration(e.faults.TokenDelayMS) * time.Millisecond
		e.mu.Unlock()
		next = next.Add(d)
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		} else {
			next = time.Now()
		}
	}
}

// step returns the number of sequences in the batch.
func (e *Engine) step() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queue = slices.DeleteFunc(e.queue, closeCancelled)
	e.batch = slices.DeleteFunc(e.batch, closeCancelled)
	slices.SortStableFunc(e.queue, func(a, b *sequence) int { return b.priority - a.priority })
	for len(e.queue) > 0 && len(e.batch) < e.cfg.MaxBatch {
		e.batch = append(e.batch, e.queue[0])
		e.queue = e.queue[1:]
	}
	n := len(e.batch)
	for i, s := range e.batch {
		owner := s
		if e.faults.Cross && n > 1 {
			owner = e.batch[(i+1)%n]
		}
		e.produce(s, owner)
	}
	e.batch = slices.DeleteFunc(e.batch, func(s *sequence) bool { return s.produced > s.count })
	if n == 0 {
		e.stepping = false
	}
	return n
}

func closeCancelled(s *sequence) bool {
	if s.cancelled {
		close(s.out)
	}
	return s.cancelled
}

// produce gives s a token that was made for owner.
func (e *Engine) produce(s, owner *sequence) {
	if s.prefill > 0 {
		s.prefill--
		return
	}
	if e.faults.StallAfter > 0 && s.produced >= e.faults.StallAfter {
		return
	}
	// The version is read for each token, as an engine would answer from the
	// weights that are loaded at that moment.
	s.version = e.status.Version
	out := output{owner: owner.id, text: fmt.Sprintf("%s-%d ", s.version, s.produced)}
	if pad := e.cfg.TokenBytes - len(out.text); pad > 0 {
		out.text += strings.Repeat("x", pad)
	}
	if s.produced == s.count {
		out = output{owner: owner.id, end: true}
	}
	select {
	case s.out <- out:
		s.produced++
	default:
		e.stats.Paused++
	}
}
