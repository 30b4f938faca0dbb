package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// config: over half of the entries lose power for two seconds while configurations come in
// quick succession; those that keep power must handle requests as the newest configuration
// says that was acknowledged more than configApplyMs before.
func init() {
	shapes["config"] = Shape{regions: 3, entriesPerRegion: 3, enginesPerRegion: 1, plains: 2}
	cases["config"] = func(f *Fleet, trouble bool) error {
		const (
			apply     = 2 * time.Second
			contact   = 3 * time.Second
			keptPaths = 90
			rounds    = 9
			roundTime = 9 * time.Second
			stormGap  = 80 * time.Millisecond
			stormTime = 2 * time.Second
			darkTime  = 2 * time.Second
		)
		type acked struct {
			prefix string
			at     time.Time
		}
		var mu sync.Mutex
		var versions []acked
		// troubledUntil is the end of the last disruption of each entry.
		troubledUntil := make([]time.Time, len(f.entries))
		f.extraRoutes = func() (routes []any) {
			mu.Lock()
			defer mu.Unlock()
			for _, v := range versions[max(0, len(versions)-keptPaths):] {
				routes = append(routes, routeOf(v.prefix, "safe", plainService, 1500, 150))
			}
			return routes
		}
		change := func(n int) {
			mu.Lock()
			versions = append(versions, acked{prefix: fmt.Sprintf("/v%d/", n)})
			mu.Unlock()
			f.configure()
			mu.Lock()
			versions[len(versions)-1].at = time.Now()
			mu.Unlock()
		}
		change(0)
		time.Sleep(4 * time.Second)
		stop := make(chan struct{})
		var probers sync.WaitGroup
		for i := range f.entries {
			probers.Add(1)
			go func() {
				defer probers.Done()
				client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
					mu.Lock()
					sent := time.Now()
					inTouch := sent.Sub(troubledUntil[i]) > contact
					var newest acked
					for _, v := range slices.Backward(versions) {
						if !v.at.IsZero() && sent.Sub(v.at) > apply {
							newest = v
							break
						}
					}
					mu.Unlock()
					if !inTouch || newest.prefix == "" {
						continue
					}
					id := fmt.Sprintf("probe-%d-%d", i, n)
					req, err := http.NewRequest(http.MethodGet, "http://"+f.at(f.entryIP(i), portFront)+newest.prefix+id, nil)
					if err != nil {
						panic(err)
					}
					req.Host = hostName
					req.Header.Set("X-Request-Id", id)
					req.Header.Set("X-Credential", apiKey)
					req.Header.Set("X-Deadline-Ms", "1000")
					resp, err := client.Do(req)
					if err != nil {
						continue
					}
					_ = resp.Body.Close()
					if resp.StatusCode == http.StatusNotFound {
						f.breaks("CONFIG", fmt.Sprintf("%s got 404 for %s at %s, sent %d ms after the acknowledgement of the version with that route", id, newest.prefix, f.entries[i].name, sent.Sub(newest.at).Milliseconds()))
					}
				}
			}()
		}
		version := 1
		for round := range rounds {
			began := time.Now()
			// 0.55 of nine entries; the others keep power.
			victims := rand.Perm(len(f.entries))[:5]
			// The two entries of one region that read the store are among them, the
			// third one is not.
			if region := round % 3; trouble {
				rest := slices.DeleteFunc(rand.Perm(len(f.entries)), func(i int) bool { return i%3 == region })
				victims = append([]int{region, region + 3}, rest[:3]...)
			}
			storm := make(chan struct{})
			go func() {
				defer close(storm)
				for time.Since(began) < stormTime {
					change(version)
					version++
					time.Sleep(stormGap)
				}
			}()
			time.Sleep(stormTime/2 + rand.N(stormTime/4))
			if trouble {
				mu.Lock()
				for _, i := range victims {
					// No power: the machine does not answer at all.
					_ = syscall.Kill(f.entries[i].pid(), syscall.SIGSTOP)
					troubledUntil[i] = time.Now().Add(time.Hour)
					f.note("power_off", "entry", f.entries[i].name)
				}
				mu.Unlock()
				time.Sleep(darkTime)
				for _, i := range victims {
					f.entries[i].kill9()
					if err := f.entries[i].spawn(false); err != nil {
						return err
					}
					mu.Lock()
					troubledUntil[i] = time.Now()
					mu.Unlock()
				}
			}
			<-storm
			time.Sleep(time.Until(began.Add(roundTime)))
		}
		close(stop)
		probers.Wait()
		return nil
	}
}
