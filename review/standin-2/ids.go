package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// caseIDs sends streams on kept connections to engines whose events' ids increase by the five
// tokens that an event holds.
func caseIDs(f *fleet) {
	f.startBase()
	all := f.startEngines(4)
	for _, e := range all {
		e.eventsAtOnce = 2
		if trouble() {
			e.idStep = 5
		}
	}
	f.startPlain("info-1", "info", f.ip(3, 2), "sul-a")
	f.configure(3,
		route("review", "/review/", "streaming", "llm", map[string]any{"timeoutMs": 6000, "targetLatencyMs": 500, "gapTargetMs": 400, "streamResume": true, "sessionAffinity": true}),
		route("schedule", "/schedule/", "safe", "info", nil),
	)
	for i, zone := range []string{"norte-a", "centro-a", "sul-a"} {
		f.startEntry(i, zone, zone[:len(zone)-2])
	}
	f.startAgents(all)
	f.awaitReady(3)
	time.Sleep(4 * time.Second)
	closed, cut, whole := 0, 0, 0
	for n := range 12 {
		conn, err := net.DialTimeout("tcp4", f.entryIP(n%3)+":8005", time.Second)
		if err != nil {
			f.cannotRun(err)
		}
		_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
		reader := bufio.NewReader(conn)
		// The connection is kept: it has answered a request before.
		fmt.Fprintf(conn, "GET /schedule/%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: read-%02d\r\nX-Deadline-Ms: 1500\r\nX-Credential: key-1\r\n\r\n", n, host, n)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != 200 {
			f.cannotRun(fmt.Sprint("the first request of the connection failed: ", err))
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		id := fmt.Sprintf("stream-%02d", n)
		f.logf("sent    %s on a kept connection", id)
		fmt.Fprintf(conn, "POST /review/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 6000\r\nX-Credential: key-1\r\nX-Model: %s\r\nX-Token-Count: 280,60\r\nX-Prompt-Prefix: a0000001:40,b%07x:240\r\nContent-Length: 4\r\n\r\ntone",
			host, id, model, n)
		resp, err = http.ReadResponse(reader, nil)
		switch {
		case err != nil:
			closed++
			f.logf("answer  %s: none, the connection ended: %v", id, err)
		default:
			body, err := io.ReadAll(resp.Body)
			got := strings.Count(string(body), "\n\n")
			f.logf("answer  %s: %d, %d of %d events, end %v", id, resp.StatusCode, got, events, err)
			if resp.StatusCode == 200 && err == nil && got == events {
				whole++
			} else {
				cut++
			}
		}
		_ = conn.Close()
	}
	f.logf("whole %d, cut or refused %d, connection closed without an answer %d", whole, cut, closed)
	if closed > 3 {
		f.breakf("LOST: %d requests from kept connections were passed on to sound engines and their connections closed without an answer", closed)
	}
}
