package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// drain: six of fifteen entries freeze for 3.5 s while the servers of a plain service are
// replaced one after the other; the other entries must send nothing to a server later than
// drainMs after the store has accepted that it is draining.
func init() {
	shapes["drain"] = Shape{regions: 3, entriesPerRegion: 5, enginesPerRegion: 1, plains: 3}
	cases["drain"] = func(f *Fleet, trouble bool) error {
		const (
			drainTime  = 2 * time.Second
			linger     = 1500 * time.Millisecond
			contact    = 3 * time.Second
			frozenTime = 3500 * time.Millisecond
			rounds     = 9
			roundTime  = 8500 * time.Millisecond
		)
		var mu sync.Mutex
		troubledUntil := make([]time.Time, len(f.entries))
		inTouch := func(i int, at time.Time) bool {
			mu.Lock()
			defer mu.Unlock()
			return at.Sub(troubledUntil[i]) > contact
		}
		f.onPlainArrival = func(p *Plain, id string) {
			said := p.drainedAt()
			if said.IsZero() || time.Since(said) <= drainTime {
				return
			}
			var entry int
			if _, err := fmt.Sscanf(id, "order-e%d-", &entry); err != nil || !inTouch(entry, time.Now()) {
				return
			}
			f.breaks("DRAIN", fmt.Sprintf("request %s reached server %s from %s %d ms after it had said that it is draining", id, p.id, f.entries[entry].name, time.Since(said).Milliseconds()))
		}
		stop := make(chan struct{})
		var clients sync.WaitGroup
		for i := range f.entries {
			clients.Add(1)
			go func() {
				defer clients.Done()
				client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(20*time.Millisecond + rand.N(20*time.Millisecond)):
					}
					id := fmt.Sprintf("order-e%d-%d", i, n)
					req, err := http.NewRequest(http.MethodPost, "http://"+f.at(f.entryIP(i), portFront)+orderPrefix+id, strings.NewReader("booking"))
					if err != nil {
						panic(err)
					}
					req.Host = hostName
					req.Header.Set("X-Request-Id", id)
					req.Header.Set("X-Credential", apiKey)
					req.Header.Set("X-Deadline-Ms", "1500")
					resp, err := client.Do(req)
					if err != nil {
						f.note("client", "id", id, "cause", err)
						continue
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					f.note("client", "id", id, "status", resp.StatusCode)
				}
			}()
		}
		time.Sleep(4 * time.Second)
		for round := range rounds {
			began := time.Now()
			// Of each region the first two by name hand on the list of servers.
			region := round % 3
			frozen := []int{region, region + 3}
			rest := slices.DeleteFunc(rand.Perm(len(f.entries)), func(i int) bool { return slices.Contains(frozen, i) })
			frozen = append(frozen, rest[:4]...)
			// The new servers start first, then the old ones drain.
			for k := range 2 {
				fresh := f.newPlain(len(f.plains))
				if err := fresh.listen(); err != nil {
					return err
				}
				mu.Lock()
				f.mu.Lock()
				f.plains = append(f.plains, fresh)
				old := f.plains[2*round+k]
				f.mu.Unlock()
				mu.Unlock()
				fresh.beat()
				time.AfterFunc(700*time.Millisecond+rand.N(900*time.Millisecond), func() {
					old.drain()
					time.AfterFunc(drainTime+linger, old.end)
				})
			}
			time.Sleep(800 * time.Millisecond)
			if trouble {
				mu.Lock()
				for _, i := range frozen {
					_ = syscall.Kill(f.entries[i].pid(), syscall.SIGSTOP)
					troubledUntil[i] = time.Now().Add(time.Hour)
					f.note("node_freeze", "entry", f.entries[i].name)
				}
				mu.Unlock()
			}
			time.Sleep(frozenTime)
			if trouble {
				mu.Lock()
				for _, i := range frozen {
					_ = syscall.Kill(f.entries[i].pid(), syscall.SIGCONT)
					troubledUntil[i] = time.Now()
				}
				mu.Unlock()
			}
			time.Sleep(time.Until(began.Add(roundTime)))
		}
		close(stop)
		clients.Wait()
		return nil
	}
}
