package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// shortList spoils one answer of the origin of weights: the list of digests of version 2 that
// one agent gets lacks its last digest.
func shortList(dir string, trouble bool) (broken bool, err error) {
	f, err := newFleet(dir)
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.startOrigin(); err != nil {
		return false, err
	}
	zones := []string{"norte-a", "centro-a", "sul-a"}
	region := func(zone string) string { return strings.TrimSuffix(zone, "-a") }
	const engines = 9
	for n := range engines {
		if _, err := f.startEngine(n+1, zones[n%3]); err != nil {
			return false, err
		}
	}
	f.configureLLM(3)
	f.store.put("keyed.op", "version/"+modelName, map[string]any{"model": modelName, "version": 1})
	for n := range 3 {
		if err := f.startEntry(n+1, zones[n], region(zones[n])); err != nil {
			return false, err
		}
	}
	for n := range engines {
		if err := f.startAgent(n+1, zones[n%3], region(zones[n%3])); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	f.origin.mu.Lock()
	f.origin.spoilNext = trouble
	f.origin.mu.Unlock()
	f.store.put("keyed.op", "version/"+modelName, map[string]any{"model": modelName, "version": 2})
	f.log("acknowledged version 2 of %s", modelName)
	named := time.Now()
	var wait sync.WaitGroup
	for n := 0; time.Since(named) < 14*time.Second; n++ {
		for i, e := range f.entries {
			id := fmt.Sprintf("tone-%d-%d", i, n)
			wait.Go(func() { f.stream(e, "/tone/"+id, id) })
		}
		time.Sleep(100 * time.Millisecond)
	}
	wait.Wait()
	bad, requests := 0, 0
	for _, e := range f.engines {
		e.mu.Lock()
		if e.loadedBadly {
			bad++
			f.log("BROKEN   %s: %d requests began on version %d with a piece of version 1", e.id, e.badBegins, e.version)
		}
		requests += e.badBegins
		e.mu.Unlock()
	}
	f.origin.mu.Lock()
	answers := f.origin.answers
	f.origin.mu.Unlock()
	result := fmt.Sprintf("%d of %d engines took weights with a piece of another version, %d requests began on them; one of %d answers of the origin was spoilt: %v", bad, engines, requests, answers, trouble)
	f.log("result   %s", result)
	fmt.Println(result)
	return requests > 0, nil
}
