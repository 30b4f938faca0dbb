package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

var cases = map[string]func(*fleet){"path": casePath, "parts": caseParts, "cold": caseCold, "ids": caseIDs, "quiet": caseQuiet, "dark": caseDark}

func init() {
	// The programs end with the thread that started them, the main one.
	runtime.LockOSThread()
}

// main plays a case: standin-2 CASE FOLDER, in the root of the repository.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		os.Exit(2)
	}
	f := newFleet(filepath.Clean(os.Args[2]))
	f.logf("case %s, disruption: %v", os.Args[1], trouble())
	go f.endEarly()
	cases[os.Args[1]](f)
	f.finish()
}

func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "hostname": host, "pathPrefix": prefix, "kind": kind, "service": service,
		"timeoutMs": 3000, "targetLatencyMs": 400, "maxAttempts": 2, "priority": 1,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// configure writes a configuration.
func (f *fleet) configure(version int, routes ...any) {
	desk := map[string]any{"name": "desk", "healthPath": "/health", "maxConns": 214}
	if f.coldPerS > 0 {
		desk["coldPerS"], desk["coldStartS"] = f.coldPerS, f.coldStartS
	}
	f.store.put("keyed.op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			desk,
			map[string]any{"name": "info", "healthPath": "/health", "maxConns": 107},
			map[string]any{"name": "llm", "healthPath": "/health", "maxConns": 780, "engine": map[string]any{
				"slots": 16, "models": []any{map[string]any{"name": model}}, "layers": pieces, "step_ms": 9.27, "read_per_s": 20700, "stride": 5, "report_lag_ms": 200, "usual": map[string]any{"prompt": 900, "answer": 90}, "kvCapacity": 317000}},
			map[string]any{"name": "weights", "origin": f.originAddress(), "zone": "sul-a", "linkMbps": 15.0, "maxConns": 103},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
		"tenants": []any{map[string]any{"name": "school", "apiKeys": []string{"key-1"}}},
	})
	f.logf("configuration %d acknowledged", version)
}

// startBase starts the stand-ins of the platform, and runs the heartbeats.
func (f *fleet) startBase() {
	f.listen(f.storeAddress(), f.store)
	f.listen(f.originAddress(), f.origin)
	go f.runBeats()
}

func (f *fleet) awaitReady(n int) {
	for i := range n {
		f.await(fmt.Sprintf("entry %d is ready", i+1), 20e9, func() bool { return f.ready(f.entryIP(i)) })
	}
}
