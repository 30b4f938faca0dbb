package main

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

// whole: an agent reads the staged pieces back one after the other and then orders the
// load. At an engine that is slow, a piece that was checked early turns bad while the
// others are still read.
func init() {
	shapes["whole"] = Shape{regions: 1, entriesPerRegion: 3, enginesPerRegion: 7, plains: 0}
	cases["whole"] = func(f *Fleet, trouble bool) error {
		const stageTime, slowFactor = 25 * time.Millisecond, 4
		for _, e := range f.engines {
			e.mu.Lock()
			e.stageTime = stageTime
			e.mu.Unlock()
		}
		stop := make(chan struct{})
		clients := f.load(12, 200*time.Millisecond, stop, func(c *Client) { c.modelRequest("prompt", "a1:40") })
		time.Sleep(5 * time.Second)
		slow := f.engines[0]
		if trouble {
			slow.mu.Lock()
			slow.stageTime = slowFactor * stageTime
			slow.mu.Unlock()
			f.note("srv_slow", "engine", slow.address, "x", slowFactor)
			var once sync.Once
			slow.mu.Lock()
			slow.onStagedRead = func(e *Engine, _ int) {
				// Two of 48 pieces turn bad at a random time while the agent reads the
				// pieces back, which takes 4.8 s.
				once.Do(func() { time.AfterFunc(600*time.Millisecond+rand.N(time.Second), e.rotTwo) })
			}
			slow.mu.Unlock()
		}
		f.nameWeights(2)
		for end := time.Now().Add(45 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			loaded := 0
			for _, e := range f.engines {
				e.mu.Lock()
				if e.version == 2 {
					loaded++
				}
				e.mu.Unlock()
			}
			if loaded == len(f.engines) {
				time.Sleep(5 * time.Second)
				close(stop)
				clients.Wait()
				return nil
			}
		}
		return errors.New("the engines did not load the version")
	}
}

// rotTwo turns two of the first six pieces bad.
func (e *Engine) rotTwo() {
	first := rand.IntN(6)
	e.rot(first)
	e.rot((first + 1 + rand.IntN(5)) % 6)
}
