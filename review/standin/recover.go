package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// recover: one answer with digests of the origin is corrupted, and later all machines
// lose power.
func init() {
	shapes["recover"] = Shape{regions: 3, entriesPerRegion: 2, enginesPerRegion: 2, plains: 0}
	cases["recover"] = func(f *Fleet, trouble bool) error {
		stop := make(chan struct{})
		clients := f.load(12, 200*time.Millisecond, stop, func(c *Client) { c.modelRequest("prompt", "a1:40") })
		time.Sleep(6 * time.Second)
		if trouble {
			var once sync.Once
			f.origin.mu.Lock()
			f.origin.manifestAnswer = func(_ string, version int64, digests []string) (delay time.Duration) {
				once.Do(func() {
					// One of the digests' characters is another one, and the answer is late.
					const number = 17
					bad := []byte(digests[number])
					if bad[9]++; bad[9] > 'f' {
						bad[9] = '0'
					} else if bad[9] == '9'+1 {
						bad[9] = 'a'
					}
					f.note("manifest_corrupted", "version", version, "piece", number, "was", digests[number], "sent", string(bad))
					digests[number] = string(bad)
					delay = 300 * time.Millisecond
				})
				return delay
			}
			f.origin.mu.Unlock()
		}
		f.nameWeights(2)
		time.Sleep(10 * time.Second)
		loaded := 0
		for _, e := range f.engines {
			e.mu.Lock()
			if e.version == 2 {
				loaded++
			}
			e.mu.Unlock()
		}
		f.origin.mu.Lock()
		answers := f.origin.answers
		f.origin.mu.Unlock()
		f.note("before_final_fault", "engines_on_version_2", loaded, "answers_of_the_origin", answers)
		if loaded < len(f.engines)/2 {
			return errors.New("less than half of the engines loaded the version before the final fault")
		}
		// The final fault: a configuration is acknowledged and all machines lose power.
		f.configure()
		fault := time.Now()
		f.note("power_off_all", "how", "all", "down_s", 1.6)
		for _, p := range append(append([]*Proc{}, f.entries...), f.agents...) {
			p.kill()
		}
		for _, e := range f.engines {
			e.stop(true)
		}
		time.Sleep(1600 * time.Millisecond)
		for _, e := range f.engines {
			if err := e.start(); err != nil {
				return err
			}
			e.beat()
		}
		for _, p := range append(append([]*Proc{}, f.entries...), f.agents...) {
			if err := p.spawn(false); err != nil {
				return err
			}
		}
		back := time.Now()
		f.note("machines_back")
		const recovery, judged = 12 * time.Second, 25 * time.Second
		time.Sleep(recovery + judged + 7*time.Second)
		close(stop)
		clients.Wait()
		before, sentBefore := f.served("prompt", fault.Add(-10*time.Second), fault.Add(-2*time.Second))
		after, sentAfter := f.served("prompt", back.Add(recovery), back.Add(recovery+judged))
		f.note("recovery", "served_before", before, "sent_before", sentBefore, "served_after", after, "sent_after", sentAfter,
			"pieces_corrupt", f.logCount(`"outcome":"corrupt"`))
		if sentBefore == 0 || sentAfter == 0 {
			return errors.New("no requests to judge")
		}
		if 4*before >= sentBefore && 4*after < sentAfter {
			f.breaks("RECOVER", fmt.Sprintf("served %d of %d before the final fault, %d of %d sent later than 12 s after the machines were back", before, sentBefore, after, sentAfter))
		}
		return nil
	}
}
