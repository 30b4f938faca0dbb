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

// startLLM starts a deployment of model engines with their agents, a plain service and entries.
func (f *fleet) startLLM(engines, entries int) error {
	if err := f.startOrigin(); err != nil {
		return err
	}
	for n := range engines {
		if _, err := f.startEngine(n+1, "norte-a"); err != nil {
			return err
		}
	}
	f.configureLLM(3)
	f.store.put("keyed.op", "version/"+modelName, map[string]any{"model": modelName, "version": 1})
	for n := range entries {
		if err := f.startEntry(n+1, "norte-a", "norte"); err != nil {
			return err
		}
	}
	for n := range engines {
		if err := f.startAgent(n+1, "norte-a", "norte"); err != nil {
			return err
		}
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	return nil
}

// comments has sound engines that send comments between the events of a stream.
func comments(dir string, trouble bool) (broken bool, err error) {
	f, err := newFleet(dir)
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.startLLM(4, 3); err != nil {
		return false, err
	}
	lost := 0
	const requests = 12
	for n := range requests {
		for _, e := range f.engines {
			e.mu.Lock()
			// The first request on each connection has no comments in its answer.
			e.comments = false
			e.mu.Unlock()
		}
		conn, err := net.DialTimeout("tcp4", f.entries[n%len(f.entries)].front, time.Second)
		if err != nil {
			return false, err
		}
		_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
		reader := bufio.NewReader(conn)
		if end := f.keptStream(conn, reader, fmt.Sprintf("first-%d", n)); end != "" {
			return false, fmt.Errorf("the first request of connection %d: %s", n, end)
		}
		for _, e := range f.engines {
			e.mu.Lock()
			e.comments = trouble
			e.mu.Unlock()
		}
		if end := f.keptStream(conn, reader, fmt.Sprintf("second-%d", n)); end != "" {
			lost++
			f.log("BROKEN   second-%d: %s", n, end)
		}
		_ = conn.Close()
	}
	result := fmt.Sprintf("%d of %d requests ended with their kept connection and without a whole answer; 3 are allowed", lost, requests)
	f.log("result   %s", result)
	fmt.Println(result)
	return lost > 3, nil
}

// keptStream sends a streaming request on a kept connection. It returns how the answer ended
// if it did not come whole.
func (f *fleet) keptStream(conn net.Conn, reader *bufio.Reader, id string) string {
	f.log("sent     %s on a kept connection", id)
	fmt.Fprintf(conn, "POST /tone/%s HTTP/1.1\r\nHost: loja.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 6000\r\nX-Credential: chave-um\r\nX-Model: %s\r\nX-Token-Count: 979,92\r\nX-Prompt-Prefix: 5c1e07a2:40,%x:939\r\nContent-Length: 6\r\n\r\nprompt", id, id, modelName, time.Now().UnixNano())
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return "no answer: " + err.Error()
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	events := strings.Count("\n"+string(data), "\nid: ")
	f.log("answered %s %d with %d events, error %v", id, resp.StatusCode, events, err)
	switch {
	case err != nil:
		return fmt.Sprintf("the connection was closed after %d of %d events: %v", events, streamEvents, err)
	case resp.StatusCode == http.StatusOK && events != streamEvents:
		return fmt.Sprintf("%d of %d events, with an end that looks whole", events, streamEvents)
	}
	return ""
}
