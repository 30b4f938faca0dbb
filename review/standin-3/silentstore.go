package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// silentStore makes the open connections to the store silent, and changes the configuration
// afterwards. The new connections work all the time, and nothing else is disturbed.
func silentStore(dir string, trouble bool) (broken bool, err error) {
	f, err := newFleet(dir)
	if err != nil {
		return false, err
	}
	defer f.close()
	for n, service := range []string{"desk", "desk", "till", "till"} {
		if _, err := f.startServer(n+1, service, "norte-a"); err != nil {
			return false, err
		}
	}
	tenants := []map[string]any{{"name": "banda", "apiKeys": []string{"chave-um", "chave-dois"}}}
	services := []string{"desk", "till"}
	before := []map[string]any{route("book", "/book/", "unsafe", "desk"), route("read", "/read/", "safe", "desk")}
	after := []map[string]any{route("book", "/book/", "unsafe", "till"), route("read", "/read/", "safe", "desk")}
	f.configure(3, before, services, tenants)
	zones := []string{"norte-a", "norte-a", "norte-a", "centro-a", "centro-a", "centro-a"}
	regions := []string{"norte", "norte", "norte", "centro", "centro", "centro"}
	for n := range zones {
		if err := f.startEntry(n+1, zones[n], regions[n]); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	// The operator's changes come in quick succession.
	f.configure(5, before, services, tenants)
	time.Sleep(300 * time.Millisecond)
	silenced := time.Now()
	if trouble {
		f.log("silent   %d open connections to the store, for good; new ones work", f.tap.silence())
	}
	time.Sleep(700 * time.Millisecond)
	acked := f.configure(8, after, services, tenants)
	// Machines are in touch again contactMs after their connections were disturbed.
	judgedFrom := acked.Add(configApplyMS * time.Millisecond)
	if touch := silenced.Add(contactMS * time.Millisecond); touch.After(judgedFrom) {
		judgedFrom = touch
	}
	var mu sync.Mutex
	old, judged, bad := 0, 0, 0
	var last time.Duration
	var wait sync.WaitGroup
	for n := 0; time.Since(silenced) < 14*time.Second; n++ {
		for i, e := range f.entries {
			id := fmt.Sprintf("book-%d-%d", i, n)
			wait.Go(func() {
				sent := time.Now()
				a := f.send(e, http.MethodPost, "/book/"+id, "chave-um", id)
				mu.Lock()
				defer mu.Unlock()
				late := sent.After(judgedFrom)
				if late {
					judged++
				}
				ranOld := false
				for _, s := range f.servers {
					if _, ran := s.ran(id); ran && s.service == "desk" {
						ranOld = true
					}
				}
				if ranOld && late {
					old++
					last = max(last, sent.Sub(acked))
					f.log("BROKEN   %s, sent %.3f s after the acknowledgement of configuration 8, ran at the old service", id, sent.Sub(acked).Seconds())
				}
				if a.status != http.StatusOK {
					bad++
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
	}
	wait.Wait()
	result := fmt.Sprintf("%d of %d judged requests ran at the old service, the last sent %.3f s after the acknowledgement; %d without success in all", old, judged, last.Seconds(), bad)
	f.log("result   %s", result)
	fmt.Println(result)
	return old > 0, nil
}
