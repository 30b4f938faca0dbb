package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site that the cases are judged by (sites/tromba-serrana.toml, SYSTEM.md).
const (
	contactMS     = 3000
	drainMS       = 2000
	configApplyMS = 2000
)

// fleet is a small deployment on loopback addresses: entries as processes of their own, the
// platform's store behind a tap, and plain servers.
type fleet struct {
	dir, net  string
	start     time.Time
	store     *store
	tap       *tap
	processes []*process
	entries   []*process
	servers   []*server
	engines   []*engine

	mu     sync.Mutex
	record *os.File
	stop   chan struct{}
	origin *origin
	// maxHeaderBytes is the limit of the configuration; 0 selects that of the site.
	maxHeaderBytes int
}

type process struct {
	*exec.Cmd
	front, ready string
}

// newFleet starts the store. Record lines go to record.txt in the case's folder.
func newFleet(caseDir string) (*fleet, error) {
	f := &fleet{start: time.Now(), store: newStore(), stop: make(chan struct{})}
	var err error
	if f.record, err = os.Create(filepath.Join(caseDir, "record.txt")); err != nil {
		return nil, err
	}
	if f.dir, err = os.MkdirTemp("", "review3"); err != nil {
		return nil, err
	}
	f.endEarly()
	for range 50 {
		f.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		inner, lerr := net.Listen("tcp4", f.net+".2:8007")
		if lerr != nil {
			continue
		}
		if f.tap, err = newTap(f.net+".1:8007", f.net+".2:8007"); err != nil {
			_ = inner.Close()
			continue
		}
		server := &http.Server{Handler: f.store}
		go func() { _ = server.Serve(inner) }()
		return f, nil
	}
	return nil, errors.New("no free loopback network")
}

// log writes a line with the time since the start to the record.
func (f *fleet) log(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
}

// mostTime is the longest that a case may take.
const mostTime = 110 * time.Second

// endEarly ends this process with 2, and those that the fleet started before it, on a signal to
// stop or after mostTime.
func (f *fleet) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(mostTime):
		}
		// Nothing more is started while the lock is held.
		f.mu.Lock()
		for _, p := range f.processes {
			_ = p.Process.Kill()
		}
		_ = os.RemoveAll(f.dir)
		os.Exit(2)
	}()
}

// close ends all processes that the fleet started.
func (f *fleet) close() {
	close(f.stop)
	for _, p := range f.processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	_ = os.RemoveAll(f.dir)
	_ = f.record.Close()
}

// root is the root of the repository.
func root() string {
	dir, _ := os.Getwd()
	for ; dir != "/"; dir = filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "deploy", "system.toml")); err == nil {
			return dir
		}
	}
	return "."
}

// command returns the program and the arguments of a role of deploy/system.toml.
func command(program string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(root(), "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		if _, run, found := strings.Cut(line, `run = "target/`+program+" "); found {
			return append([]string{program}, strings.Fields(strings.TrimSuffix(strings.TrimSpace(run), `"`))...), nil
		}
	}
	return nil, errors.New("no role runs " + program)
}

// settingsOf returns a settings file with the figures of tromba-serrana.
func (f *fleet) settingsOf(node, role, class, ip, zone, region, listen, limits string) string {
	return fmt.Sprintf(`node: %q
role: %q
machineClass: %q
serves: ["edge", "control", "directory"]
ip: %q
zone: %q
region: %q
zones: {norte-a: "norte", centro-a: "centro", sul-a: "sul"}
listen: %s
portRange: [7700, 7715]
seeds: ["%[9]s.11:8000", "%[9]s.12:8000", "%[9]s.13:8000"]
bootstrap: true
lossCounts: false
limits: %[8]s
dataDir: null
discovery: "platform"
entry: "directory"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "chunks"]
faultTolerance: {machines: 1, zones: 0, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, downgradeMs: 250, maxSkewMs: 5000, strictRevoke: false, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 219, recoveryS: 12, passMs: 120, retryAfterS: 0, version_ms: 8000, version_all_ms: 0, ttl_max_s: 5}
platform: {address: "%[9]s.1:8007", form: "log", writesPerS: 400, readsPerS: 2000, parts: 8, appendMs: 4.0, partitionMbS: 20.0, readMbS: 80.0, recordBytes: 262144, callBytes: 2097152, keep_s: 300, partMb: 200, ttlMinMs: 1000}
`, node, role, class, ip, zone, region, listen, limits, f.net)
}

// startEntry starts an entry with settings like those of an edge machine of tromba-serrana.
func (f *fleet) startEntry(n int, zone, region string) error {
	ip := fmt.Sprintf("%s.%d", f.net, 10+n)
	listen := fmt.Sprintf(`{front: "%[1]s:8005", ready: "%[1]s:8002", control: "%[1]s:8000", directory: "%[1]s:8009"}`, ip)
	settings := f.settingsOf(fmt.Sprintf("edge-%s-%d", zone, n), "entry", "edge", ip, zone, region, listen, "{cpuShare: 0.272, cores: 1, memoryMb: 206, maxFds: 2940, linkMbps: 700.0, diskMb: 0}")
	p := &process{front: ip + ":8005", ready: ip + ":8002"}
	if err := f.startProcess("laburnum-entry", fmt.Sprintf("entry-%d", n), settings, p); err != nil {
		return err
	}
	f.entries = append(f.entries, p)
	return nil
}

// awaitReady waits until all entries are ready.
func (f *fleet) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, e := range f.entries {
			resp, err := client.Get("http://" + e.ready + "/v1/ready")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.entries) {
			return nil
		}
	}
	return errors.New("the entries did not become ready")
}

// server is a plain server of the users: it runs each request in a few ms and answers it.
type server struct {
	f                    *fleet
	id, address, service string
	born                 int64

	mu    sync.Mutex
	state string
	runs  map[string]time.Time
}

func (f *fleet) startServer(n int, service, zone string) (*server, error) {
	s := &server{f: f, id: fmt.Sprintf("i-%s-%d", service, n), address: fmt.Sprintf("%s.%d:8001", f.net, 100+n), service: service, born: time.Now().UnixMilli(), state: "ready", runs: map[string]time.Time{}}
	l, err := net.Listen("tcp4", s.address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(l) }()
	f.servers = append(f.servers, s)
	go func() {
		for seq := 1; ; seq++ {
			s.beat(zone, seq)
			select {
			case <-time.After(1200 * time.Millisecond):
			case <-f.stop:
				return
			}
		}
	}()
	return s, nil
}

// beat writes the server's record.
func (s *server) beat(zone string, seq int) {
	s.mu.Lock()
	state := s.state
	s.mu.Unlock()
	s.f.store.put("keyed.servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": zone, "version": "1", "slots": 6, "state": state, "coldRemainingMs": 0, "seq": seq, "born": s.born,
	})
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs[id] = time.Now()
	s.mu.Unlock()
	s.f.log("run      %s at %s (%s) tenant %s", id, s.id, s.service, r.Header.Get("X-Tenant"))
	time.Sleep(5 * time.Millisecond)
	w.Header().Set("X-Response-Signature", "sig-"+s.service+"-"+id)
	_, _ = w.Write(append([]byte("answer of "+s.service+" "), body...))
}

// ran returns when a request ran at the server.
func (s *server) ran(id string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.runs[id]
	return at, ok
}

// answer is what a client got; status 0 means none.
type answer struct {
	status          int
	body, signature string
}

// send sends one request on a new connection, as a client does.
func (f *fleet) send(entry *process, method, path, key, id string) answer {
	f.log("sent     %s %s %s to %s", id, method, path, entry.front)
	conn, err := net.DialTimeout("tcp4", entry.front, time.Second)
	if err != nil {
		f.log("answered %s no connection: %v", id, err)
		return answer{}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	body := ""
	if method == http.MethodPost {
		body = "order"
	}
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: loja.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\nX-Credential: %s\r\nContent-Length: %d\r\n\r\n%s", method, path, id, key, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		f.log("answered %s no answer: %v", id, err)
		return answer{}
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	f.log("answered %s %d %q %v", id, resp.StatusCode, data, err)
	return answer{resp.StatusCode, string(data), resp.Header.Get("X-Response-Signature")}
}

// route returns a route of the operator's configuration.
func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "hostname": "loja.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 1500, "targetLatencyMs": 150,
		"priority": 2, "service": service, "maxAttempts": 2, "public": false,
	}
}

// configure writes a configuration and returns the time of its acknowledgement.
func (f *fleet) configure(version int, routes []map[string]any, services []string, tenants []map[string]any) time.Time {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/health", "maxConns": 214, "protocol": "h1", "tls": false})
	}
	f.store.put("keyed.op", "config", map[string]any{
		"version": version, "routes": routes, "services": list, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	at := time.Now()
	data, _ := json.Marshal(routes)
	f.log("acknowledged configuration %d: %s tenants %v", version, data, tenants)
	return at
}
