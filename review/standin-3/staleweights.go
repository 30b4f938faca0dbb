package main

import (
	"bufio"
	"cmp"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// staleWeights makes the open connections to the store silent, and publishes new weights
// afterwards. New connections work all the time, and nothing else is disturbed.
func staleWeights(dir string, trouble bool) (broken bool, err error) {
	f, err := newFleet(dir)
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.startOrigin(); err != nil {
		return false, err
	}
	zones := []string{"norte-a", "centro-a", "sul-a"}
	for n := range engineCount {
		if _, err := f.startEngine(n+1, zones[n%3]); err != nil {
			return false, err
		}
	}
	f.configureLLM(3)
	f.store.put("keyed.op", "version/"+modelName, map[string]any{"model": modelName, "version": 1})
	region := func(zone string) string { return strings.TrimSuffix(zone, "-a") }
	for n := range 6 {
		if err := f.startEntry(n+1, zones[n%3], region(zones[n%3])); err != nil {
			return false, err
		}
	}
	for n := range engineCount {
		if err := f.startAgent(n+1, zones[n%3], region(zones[n%3])); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	f.configureLLM(7)
	time.Sleep(300 * time.Millisecond)
	if trouble {
		f.log("silent   %d open connections to the store, for good; new ones work", f.tap.silence())
	}
	time.Sleep(500 * time.Millisecond)
	f.store.put("keyed.op", "version/"+modelName, map[string]any{"model": modelName, "version": 2})
	acked := time.Now()
	f.log("acknowledged version 2 of %s", modelName)
	var wait sync.WaitGroup
	var mu sync.Mutex
	served, unserved := 0, 0
	for n := 0; time.Since(acked) < 20*time.Second; n++ {
		for i, e := range f.entries {
			id := fmt.Sprintf("tone-%d-%d", i, n)
			wait.Go(func() {
				ok := f.stream(e, "/tone/"+id, id)
				mu.Lock()
				defer mu.Unlock()
				if ok {
					served++
				} else {
					unserved++
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	wait.Wait()
	late, last := 0, time.Duration(0)
	for _, e := range f.engines {
		e.mu.Lock()
		for id, b := range e.begins {
			if after := b.at.Sub(acked); b.version < 2 && after > versionMS*time.Millisecond {
				late++
				last = max(last, after)
				f.log("BROKEN   %s began on version %d %.3f s after the acknowledgement of version 2", id, b.version, after.Seconds())
			}
		}
		e.mu.Unlock()
	}
	f.log("result   %d requests began on version 1 later than %d ms, the last after %v; %d streams whole, %d not", late, versionMS, last, served, unserved)
	fmt.Printf("%d requests began on version 1 later than %d ms, the last after %v; %d streams whole, %d not\n", late, versionMS, last, served, unserved)
	return late > 0, nil
}

// configureLLM writes a configuration with a route to the model engines.
func (f *fleet) configureLLM(version int) {
	stream := route("tone", "/tone/", "streaming", llmService)
	stream["timeoutMs"], stream["targetLatencyMs"], stream["gapTargetMs"], stream["priority"] = 6000, 500, 400, 1
	stream["streamResume"], stream["sessionAffinity"] = true, true
	f.store.put("keyed.op", "config", map[string]any{
		"version": version, "routes": []any{stream},
		"services": []any{
			map[string]any{"name": llmService, "healthPath": "/health", "maxConns": 780, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": engineSlots, "kvCapacity": 317000, "kvTokenBytes": 262144, "linkMbps": 400000.0, "stride": 5, "models": []any{map[string]any{"name": modelName, "pace": 1.0, "loadS": 4.0, "warmS": 0.3}},
				"sizeMb": 149000.0, "step_ms": 9.27, "per_seq_ms": 0.0232, "context_per_k": 0.0322, "read_per_s": 20700.0, "pairs_per_m": 1.18, "chunk": 2048, "report_lag_ms": 200.0,
				"usual": map[string]any{"prompt": 979, "answer": 92}, "layers": layers, "layer_mb": 4090.0, "chunks": pieces, "chunkBytes": pieceBytes,
			}},
			map[string]any{"name": "misc", "origin": f.net + ".3:8006", "zone": "sul-a", "linkMbps": originMbps, "maxConns": 103},
		},
		"tenants": []any{map[string]any{"name": "banda", "apiKeys": []string{"chave-um"}}},
		"limits":  map[string]any{"maxHeaderBytes": cmp.Or(f.maxHeaderBytes, 16384), "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	f.log("acknowledged configuration %d", version)
}

// stream sends a streaming request and reports whether all events came.
func (f *fleet) stream(entry *process, path, id string) bool {
	conn, err := net.DialTimeout("tcp4", entry.front, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(7 * time.Second))
	f.log("sent     %s POST %s to %s", id, path, entry.front)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: loja.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 6000\r\nX-Credential: chave-um\r\nX-Model: %s\r\nX-Token-Count: 979,92\r\nX-Prompt-Prefix: 5c1e07a2:40,%x:939\r\nContent-Length: 6\r\n\r\nprompt", path, id, modelName, len(id)*7919+int(time.Now().UnixNano()%1e9))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		f.log("answered %s no answer: %v", id, err)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	events := 0
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "id: ") {
			events++
		}
	}
	f.log("answered %s %d, %d events, version %s, error %v", id, resp.StatusCode, events, resp.Header.Get("X-Weight-Versions"), scanner.Err())
	return resp.StatusCode == http.StatusOK && events == streamEvents && scanner.Err() == nil
}
