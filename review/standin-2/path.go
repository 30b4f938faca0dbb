package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// casePath sends orders whose path has a vertical bar, which browsers send as it is, and for
// two thirds of them an encoded slash as well. One of the two servers of the desk loses each
// third answer.
func casePath(f *fleet) {
	const orders = 120
	f.startBase()
	desk := f.startPlain("desk-1", "desk", f.ip(3, 0), "norte-a")
	desk2 := f.startPlain("desk-2", "desk", f.ip(3, 1), "centro-a")
	info := f.startPlain("info-1", "info", f.ip(3, 2), "sul-a")
	ran := 0
	desk.work = func(conn net.Conn, _ *http.Request, id string) {
		if ran++; ran%3 == 0 {
			f.logf("lost    the answer of desk-1 to %s", id)
			_ = conn.Close()
			return
		}
		success(conn, id, "done "+id)
	}
	f.configure(3,
		route("booking", "/desk/", "unsafe", "desk", nil),
		route("open-hours", "/desk/open/", "safe", "info", map[string]any{"public": true}),
		route("reading", "/desk/read/", "safe", "desk", nil),
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
	for n := range orders {
		id := fmt.Sprintf("order-%03d", n)
		target := fmt.Sprintf([]string{"/desk/slot%d%sa", "/desk/open%%2Fslot%d%sa", "/desk/read%%2Fslot%d%sa"}[n%3], n, mark)
		sent[id] = target
		body := "book " + id
		request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\nX-Credential: key-1\r\nContent-Length: %d\r\n\r\n%s", target, host, id, len(body), body)
		f.logf("sent    %s: POST %s", id, target)
		status, answered, err := raw(f.entryIP(n%3)+":8005", request, 3*time.Second)
		f.logf("answer  %s: %d %q %v", id, status, answered, err)
		if err != nil && err != io.EOF {
			f.cannotRun(err)
		}
	}
	times := map[string]int{}
	for _, p := range []*plain{desk, desk2, info} {
		for _, r := range p.allRuns() {
			times[r.id]++
			if r.target != sent[r.id] {
				f.breakf("UNASKED: %s was sent with path %s and run with path %s", r.id, sent[r.id], r.target)
			}
			if r.service != "desk" {
				f.breakf("ROUTE: %s, path %s, was run by service %s, but only the prefix /desk/ of service desk begins its path", r.id, sent[r.id], r.service)
			}
		}
	}
	for id, n := range times {
		if n > 1 {
			f.breakf("TWICE: %s, path %s, ran %d times; only the unsafe route /desk/ begins its path", id, sent[id], n)
		}
	}
}
