package main

import (
	"fmt"
	"time"
)

// casePath sends orders whose path has an encoded slash and, as the disruption, a vertical
// bar, which browsers send as it is.
func casePath(f *fleet) {
	f.startBase()
	desk := f.startPlain("desk-1", "desk", f.ip(3, 0), "norte-a")
	desk2 := f.startPlain("desk-2", "desk", f.ip(3, 1), "centro-a")
	info := f.startPlain("info-1", "info", f.ip(3, 2), "sul-a")
	f.configure(3,
		route("booking", "/desk/", "unsafe", "desk", nil),
		route("open-hours", "/desk/open/", "safe", "info", map[string]any{"public": true}),
	)
	for i, zone := range []string{"norte-a", "centro-a", "sul-a"} {
		f.startEntry(i, zone, zone[:len(zone)-2])
	}
	f.awaitReady(3)
	time.Sleep(3500 * time.Millisecond)
	mark := "-"
	if trouble() {
		mark = "|"
	}
	sent := map[string]string{}
	for n := range 12 {
		id := fmt.Sprintf("order-%02d", n)
		target := fmt.Sprintf("/desk/slot%d%sa", n, mark)
		if n%2 == 1 {
			target = fmt.Sprintf("/desk/open%%2Fslot%d%sa", n, mark)
		}
		sent[id] = target
		body := "book " + id
		request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\nX-Credential: key-1\r\nContent-Length: %d\r\n\r\n%s", target, host, id, len(body), body)
		f.logf("sent    %s: POST %s", id, target)
		status, answered, err := raw(f.entryIP(n%3)+":8005", request, 3*time.Second)
		f.logf("answer  %s: %d %q %v", id, status, answered, err)
		if status == 0 || status >= 500 {
			f.cannotRun("no answer of a server")
		}
	}
	for _, p := range []*plain{desk, desk2, info} {
		for _, r := range p.allRuns() {
			if r.target != sent[r.id] {
				f.breakf("UNASKED: %s was sent with path %s and run with path %s", r.id, sent[r.id], r.target)
			}
			if r.service != "desk" {
				f.breakf("ROUTE: %s, path %s, was run by service %s, but only the prefix /desk/ of service desk begins its path", r.id, sent[r.id], r.service)
			}
		}
	}
}
