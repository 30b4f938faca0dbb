package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// caseQuiet lets a server restart under its id. It answers 503 with Retry-After while it warms
// up, and writes its record when it has been up for a while.
func caseQuiet(f *fleet) {
	const (
		rate       = 300
		back       = 300 * time.Millisecond
		registers  = 2 * time.Second
		retryAfter = 8 * time.Second
		refusal    = 100 * time.Millisecond
	)
	f.startBase()
	zones := []string{"norte-a", "centro-a", "sul-a"}
	var servers []*plain
	for i, zone := range zones {
		p := f.startPlain(fmt.Sprintf("desk-%d", i+1), "desk", f.ip(3, i), zone)
		p.slots = 24
		p.work = func(conn net.Conn, _ *http.Request, id string) {
			time.Sleep(100 * time.Millisecond)
			success(conn, id, "done "+id)
		}
		servers = append(servers, p)
	}
	warming := servers[0]
	type refused struct {
		machine string
		arrived time.Time
		at      time.Time
	}
	var mu sync.Mutex
	var refusals []refused
	var warmUntil time.Time
	warming.refuse = func(conn net.Conn, _ *http.Request, id string) bool {
		mu.Lock()
		until := warmUntil
		mu.Unlock()
		if until.IsZero() || time.Now().After(until) {
			return false
		}
		// Order n goes to entry n mod 3.
		var n int
		fmt.Sscanf(id, "order-%d", &n)
		machine := fmt.Sprintf("edge-%s-%d", zones[n%3], n%3+1)
		arrived := time.Now()
		time.Sleep(refusal)
		fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nRetry-After: %d\r\nContent-Length: 0\r\n\r\n", id, retryAfter/time.Second)
		f.logf("refused %s of machine %s at %s: 503, Retry-After %v", id, machine, warming.id, retryAfter)
		mu.Lock()
		refusals = append(refusals, refused{machine, arrived, time.Now()})
		mu.Unlock()
		return true
	}
	f.configure(3, route("booking", "/desk/", "unsafe", "desk", map[string]any{"timeoutMs": 1500, "targetLatencyMs": 400}))
	for i, zone := range zones {
		f.startEntry(i, zone, zone[:len(zone)-2])
	}
	f.awaitReady(3)
	time.Sleep(4 * time.Second)
	begun := time.Now()
	var wait sync.WaitGroup
	count := map[int]int{}
	played := false
	for n := 0; time.Since(begun) < 12*time.Second; n++ {
		if !played && time.Since(begun) > 3*time.Second && trouble() {
			played = true
			mu.Lock()
			warmUntil = time.Now().Add(back + 20*time.Second)
			mu.Unlock()
			warming.mu.Lock()
			warming.silentUntil = time.Now().Add(back + registers)
			warming.mu.Unlock()
			warming.crash(back, 0)
			time.AfterFunc(back+registers+10*time.Millisecond, func() {
				f.store.put("keyed.servers", warming.id, warming.record())
				f.logf("record  of %s written with its new start", warming.id)
			})
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
	// BUDGET: more than two requests from a machine between half a second after a 503 with
	// Retry-After and the end of that time.
	worst := map[string]int{}
	for _, first := range refusals {
		n := 0
		for _, r := range refusals {
			if r.machine == first.machine && r.arrived.After(first.at.Add(500*time.Millisecond)) && r.arrived.Before(first.at.Add(retryAfter)) {
				n++
			}
		}
		worst[first.machine] = max(worst[first.machine], n)
	}
	for machine, n := range worst {
		f.logf("machine %s: %d requests between half a second after a 503 with Retry-After and its end", machine, n)
		if n > 2 {
			f.breakf("BUDGET: %d requests reached %s from machine %s between half a second after it had answered 503 with Retry-After %v and the end of that time", n, warming.id, machine, retryAfter)
		}
	}
}
