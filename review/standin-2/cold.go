package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// caseCold lets the servers of a plain service, which stand in one zone, go down and come back
// under their ids, cold. With OUTAGE=1 only one of them does, while the store is down.
func caseCold(f *fleet) {
	const (
		rate     = 600
		away     = 2 * time.Second
		outage   = 8 * time.Second
		awayThen = 900 * time.Millisecond
		overage  = 1.5
		slack    = 5.0
		coldTime = 3 * time.Second
	)
	f.coldPerS, f.coldStartS = 17, coldTime.Seconds()
	f.bounds = fmt.Sprintf(", coldOverage: %v, coldSlack: %v, evacuateMs: 5000", overage, slack)
	f.contracts = append(f.contracts, "places")
	f.startBase()
	zones := []string{"norte-a", "centro-a", "sul-a"}
	var servers []*plain
	for i := range 3 {
		servers = append(servers, f.startPlain(fmt.Sprintf("desk-%d", i+1), "desk", f.ip(3, i), "sul-a"))
	}
	f.configure(3, route("booking", "/desk/", "unsafe", "desk", map[string]any{"timeoutMs": 1500, "targetLatencyMs": 200}))
	for i, zone := range zones {
		f.startEntry(i, zone, zone[:len(zone)-2])
	}
	f.awaitReady(3)
	time.Sleep(4 * time.Second)
	begun := time.Now()
	var wait sync.WaitGroup
	var mu sync.Mutex
	count := map[int]int{}
	played := false
	for n := 0; time.Since(begun) < 10*time.Second; n++ {
		if !played && time.Since(begun) > 3*time.Second && trouble() {
			played = true
			if os.Getenv("OUTAGE") == "" {
				for _, p := range servers {
					p.crash(away, coldTime)
				}
			} else {
				f.store.setDown(true)
				f.logf("store   down, answers 503")
				time.AfterFunc(outage, func() {
					f.store.setDown(false)
					f.logf("store   up")
				})
				time.AfterFunc(500*time.Millisecond, func() { servers[0].crash(awayThen, coldTime) })
			}
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			id := fmt.Sprintf("order-%04d", n)
			request := fmt.Sprintf("POST /desk/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\nX-Credential: key-1\r\nContent-Length: 4\r\n\r\nbook", host, id)
			status, _, _ := raw(f.entryIP(n%3)+":8005", request, 3*time.Second)
			f.logf("answer  %s: %d", id, status)
			mu.Lock()
			count[status]++
			mu.Unlock()
		}()
		time.Sleep(time.Second / rate)
	}
	wait.Wait()
	f.logf("answers by status: %v", count)
	for _, p := range servers {
		f.judgeCold(p, coldTime, f.coldPerS*overage+slack)
	}
}

// judgeCold checks FAILBACK: a cold server gets more requests in one second than allowed.
func (f *fleet) judgeCold(p *plain, coldTime time.Duration, allowed float64) {
	p.mu.Lock()
	until := p.coldUntil
	p.mu.Unlock()
	if until.IsZero() {
		return
	}
	var arrived []time.Time
	for _, r := range p.allRuns() {
		if r.at.After(until.Add(-coldTime)) && r.at.Before(until) {
			arrived = append(arrived, r.at)
		}
	}
	most, first := 0, time.Time{}
	for i := range arrived {
		k := 0
		for j := i; j < len(arrived) && arrived[j].Sub(arrived[i]) < time.Second; j++ {
			k++
		}
		if k > most {
			most, first = k, arrived[i]
		}
	}
	f.logf("most requests at %s in one of its cold seconds: %d, from %.3f on; allowed: %v", p.id, most, first.Sub(started).Seconds(), allowed)
	if float64(most) > allowed {
		f.breakf("FAILBACK: %s got %d requests in one second while it was cold; allowed are %v", p.id, most, allowed)
	}
}
