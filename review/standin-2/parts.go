package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	deadlyPart = "dead0001"
	engines    = 6
	// poisonFrom and poisonFor are when requests with the deadly part come, after the begin
	// of the traffic.
	poisonFrom = 4 * time.Second
	poisonFor  = 22 * time.Second
	contact    = 3 * time.Second
)

// startEngines starts the engines with their agents.
func (f *fleet) startEngines(n int) (all []*engine) {
	zones := []string{"norte-a", "centro-a", "sul-a"}
	for i := range n {
		zone := zones[i%3]
		e := f.startEngine(fmt.Sprintf("tutor-%d", i+1), f.ip(1, i), zone)
		all = append(all, e)
	}
	return all
}

func (f *fleet) startAgents(all []*engine) {
	for i, e := range all {
		name := fmt.Sprintf("side-%s-%d", e.zone, i+1)
		f.spawn("laburnum-agent", name, f.ip(1, i), f.settings(name, f.ip(1, i), e.zone, e.zone[:len(e.zone)-2], true, e.address, "llm"))
	}
}

// caseParts sends streams of which one in twenty holds a part that crashes engines, as the
// 18th of 20 parts. POSITION changes its place, for comparison.
func caseParts(f *fleet) {
	position := 18
	if p := os.Getenv("POSITION"); p != "" {
		fmt.Sscan(p, &position)
	}
	playParts(f, 20, position, false)
}

// caseDark does the same with a prompt of two parts, whose first one is deadly, and engines
// that go dark when they crash. CRASH=refuse lets their machines refuse connections, for
// comparison.
func caseDark(f *fleet) { playParts(f, 2, 1, os.Getenv("CRASH") != "refuse") }

func playParts(f *fleet, places, position int, dark bool) {
	f.startBase()
	all := f.startEngines(engines)
	for _, e := range all {
		if trouble() {
			e.deadly, e.dark = deadlyPart, dark
		}
	}
	f.configure(3, route("review", "/review/", "streaming", "llm", map[string]any{"timeoutMs": 6000, "targetLatencyMs": 500, "gapTargetMs": 400, "streamResume": true, "sessionAffinity": true}))
	for i, zone := range []string{"norte-a", "centro-a", "sul-a"} {
		f.startEntry(i, zone, zone[:len(zone)-2])
	}
	f.startAgents(all)
	f.awaitReady(3)
	time.Sleep(4 * time.Second)

	begun := time.Now()
	var wait sync.WaitGroup
	var mu sync.Mutex
	count := map[string]int{}
	for n := 0; time.Since(begun) < poisonFrom+poisonFor; n++ {
		deadly := n%20 == 10 && time.Since(begun) > poisonFrom
		wait.Add(1)
		go func() {
			defer wait.Done()
			var parts []string
			for k := 1; k < places; k++ {
				if deadly && k == position {
					parts = append(parts, deadlyPart+":40")
					continue
				}
				parts = append(parts, fmt.Sprintf("a%07x:40", k))
			}
			parts = append(parts, fmt.Sprintf("b%07x:240", n))
			id, kind := fmt.Sprintf("r-%04d", n), "sound"
			if deadly {
				id, kind = fmt.Sprintf("deadly-%04d", n), "deadly"
			}
			body := "prompt " + id
			request := fmt.Sprintf("POST /review/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 6000\r\nX-Credential: key-1\r\nX-Model: %s\r\nX-Token-Count: 1000,60\r\nX-Prompt-Prefix: %s\r\nContent-Length: %d\r\n\r\n%s",
				host, id, model, strings.Join(parts, ","), len(body), body)
			if deadly {
				f.logf("sent    %s: part %s at place %d of %d", id, deadlyPart, position, places)
			}
			status, answered, err := raw(f.entryIP(n%3)+":8005", request, 7*time.Second)
			whole := status == 200 && err == nil && strings.Count(answered, "\n\n") == events
			f.logf("answer  %s: %d, whole %v, %v", id, status, whole, err)
			mu.Lock()
			count[fmt.Sprintf("%s %d whole=%v", kind, status, whole)]++
			mu.Unlock()
		}()
		time.Sleep(33 * time.Millisecond)
	}
	wait.Wait()
	f.logf("answers: %v", count)
	judgeParts(f, all)
}

// judgeParts checks BUDGET: more than three requests with the part reach engines later than
// contactMs after the fifth crash.
func judgeParts(f *fleet, all []*engine) {
	var crashes []time.Time
	for _, e := range all {
		e.mu.Lock()
		crashes = append(crashes, e.crashes...)
		e.mu.Unlock()
	}
	sortTimes(crashes)
	f.logf("crashes: %d", len(crashes))
	if len(crashes) < 5 {
		return
	}
	from := crashes[4].Add(contact)
	late := 0
	for _, e := range all {
		e.mu.Lock()
		for _, a := range e.arrivals {
			if a.at.After(from) && strings.Contains(","+a.parts, ","+deadlyPart+":") {
				late++
			}
		}
		e.mu.Unlock()
	}
	f.logf("requests with the part that reached engines later than %v after the fifth crash (at %.3f): %d", contact, crashes[4].Sub(started).Seconds(), late)
	if late > 3 {
		f.breakf("BUDGET: %d requests with the part that crashes engines reached engines later than contactMs after the fifth crash; %d crashes in all", late, len(crashes))
	}
}

func sortTimes(t []time.Time) {
	for i := range t {
		for j := i; j > 0 && t[j].Before(t[j-1]); j-- {
			t[j], t[j-1] = t[j-1], t[j]
		}
	}
}
