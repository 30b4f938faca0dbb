// Command standin-2 plays the cases of the second review: small stand-ins of the platform,
// of servers and of clients, and the project's own programs as processes.
package main

import (
	"encoding/json"
	"fmt"
	"io"
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

const host = "h.example"

// fleet is a small deployment on loopback addresses. Its settings are those of a small
// site: bounds, limits and heartbeat are taken from the example in DEPLOY.md.
type fleet struct {
	dir     string
	net     int // second byte of the addresses
	store   *store
	origin  *origin
	version int64
	record  *os.File
	mu      sync.Mutex
	broken  []string
	procs   []*proc
	beats   map[string]func() map[string]any
	stopped chan struct{}
	// contracts are the parts of the rules in force.
	contracts []string
	bounds    string
	// coldPerS and coldStartS are the pace of cold servers of service desk; 0 for none.
	coldPerS, coldStartS float64
	memoryMB             int
	maxFDs               int
	graceS               int
}

type proc struct {
	cmd      *exec.Cmd
	program  string
	settings string
	ip       string
	name     string
	done     chan struct{}
}

// cannotRun ends the case with status 2.
func (f *fleet) cannotRun(why any) {
	f.logf("cannot run: %v", why)
	fmt.Fprintln(os.Stderr, "cannot run:", why)
	f.stop()
	os.Exit(2)
}

var started = time.Now()

// longest is how long a case may run.
const longest = 110 * time.Second

// endEarly ends a case that is stopped from outside, or that runs for too long.
func (f *fleet) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case s := <-signals:
		f.cannotRun(s)
	case <-time.After(longest):
		f.cannotRun("the case took too long")
	}
}

func (f *fleet) logf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f "+format+"\n", append([]any{time.Since(started).Seconds()}, args...)...)
}

func (f *fleet) breakf(format string, args ...any) {
	f.logf("BROKEN "+format, args...)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broken = append(f.broken, fmt.Sprintf(format, args...))
}

func newFleet(folder string) *fleet {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	f := &fleet{
		dir: dir, record: record, beats: map[string]func() map[string]any{}, stopped: make(chan struct{}), version: 1,
		memoryMB: 206, maxFDs: 2870, graceS: 8, store: newStore(), origin: &origin{newest: 1},
		contracts: []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "chunks"},
	}
	// A free network: nothing listens on its first address.
	for n := 90 + os.Getpid()%100; ; n = 90 + (n-89)%160 {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.0.250:7799", n))
		if err == nil {
			f.net = n
			f.lock(l)
			return f
		}
	}
}

// lock holds the network while the case runs.
func (f *fleet) lock(l net.Listener) { go func() { <-f.stopped; _ = l.Close() }() }

func (f *fleet) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", f.net, kind, n+1) }
func (f *fleet) entryIP(n int) string  { return f.ip(0, n) }
func (f *fleet) storeAddress() string  { return f.ip(2, 0) + ":8007" }
func (f *fleet) originAddress() string { return f.ip(2, 1) + ":8006" }

func (f *fleet) listen(address string, h http.Handler) *http.Server {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		f.cannotRun(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return s
}

// beat registers a server's record, which is written every heartbeat.
func (f *fleet) beat(id string, record func() map[string]any) {
	f.mu.Lock()
	f.beats[id] = record
	f.mu.Unlock()
	f.store.put("keyed.servers", id, record())
}

func (f *fleet) runBeats() {
	for {
		select {
		case <-f.stopped:
			return
		case <-time.After(1200 * time.Millisecond):
		}
		f.mu.Lock()
		all := map[string]func() map[string]any{}
		for id, r := range f.beats {
			all[id] = r
		}
		f.mu.Unlock()
		for id, r := range all {
			if record := r(); record != nil {
				f.store.put("keyed.servers", id, record)
			}
		}
	}
}

// command returns the command of a role in the deploy file.
func command(program string) []string {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil
	}
	for _, line := range strings.Split(string(text), "\n") {
		if _, rest, found := strings.Cut(line, `run = "target/`+program+" "); found {
			return strings.Fields("target/" + program + " " + strings.TrimSuffix(strings.TrimSpace(rest), `"`))
		}
	}
	return nil
}

// settings writes the settings file of a process.
func (f *fleet) settings(name, ip, zone, region string, bootstrap bool, engine, service string) string {
	listen := "listen: {}\napp: \"" + engine + "\"\nservice: \"" + service + "\"\nserves: [side]\nmachineClass: side\n"
	class := fmt.Sprintf("limits: {cpuShare: 0.48, cores: 1, memoryMb: 152, maxFds: 2048, linkMbps: 9.4, diskMb: 0}\n")
	if engine == "" {
		listen = fmt.Sprintf("listen: {front: \"%[1]s:8005\", ready: \"%[1]s:8002\", control: \"%[1]s:8000\", directory: \"%[1]s:8009\"}\nserves: [edge, control, directory]\nmachineClass: edge\n", ip)
		class = fmt.Sprintf("limits: {cpuShare: 0.272, cores: 1, memoryMb: %d, maxFds: %d, linkMbps: 700.0, diskMb: 0}\n", f.memoryMB, f.maxFDs)
	}
	text := fmt.Sprintf("node: %q\nip: %q\nzone: %q\nregion: %q\nzones: {norte-a: norte, centro-a: centro, sul-a: sul}\nportRange: [7700, 7715]\nbootstrap: %v\nseeds: [\"%s:8000\"]\n",
		name, ip, zone, region, bootstrap, f.entryIP(0)) + listen + class +
		"dataDir: null\ndiscovery: platform\nentry: directory\nheartbeatMs: 1200\ncontracts: [" + strings.Join(f.contracts, ", ") + "]\n" +
		"bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: " + fmt.Sprint(f.graceS) + ", lossSlackMs: 200, configApplyMs: 2000, downgradeMs: 250, maxSkewMs: 5000, strictRevoke: false, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 219, recoveryS: 12, passMs: 120, retryAfterS: 0, version_ms: 8000, version_all_ms: 0, ttl_max_s: 5" + f.bounds + "}\n" +
		"platform: {address: \"" + f.storeAddress() + "\", form: log, writesPerS: 400, readsPerS: 2000, parts: 8, appendMs: 4.0, partitionMbS: 20.0, readMbS: 80.0, recordBytes: 262144, callBytes: 2097152, keep_s: 300, partMb: 200, ttlMinMs: 1000}\n"
	path := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.cannotRun(err)
	}
	return path
}

func (f *fleet) spawn(program, name, ip, settings string) *proc {
	words := command(program)
	if len(words) == 0 {
		f.cannotRun("deploy/system.toml does not start " + program)
	}
	p := &proc{program: program, settings: settings, ip: ip, name: name, done: make(chan struct{})}
	p.cmd = exec.Command(words[0], words[1:]...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LABURNUMLOFT_CONFIG=" + settings}
	out, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.cannotRun(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		f.cannotRun(err)
	}
	go func() {
		err := p.cmd.Wait()
		f.logf("process %s ended: %v", name, err)
		_ = out.Close()
		close(p.done)
	}()
	f.mu.Lock()
	f.procs = append(f.procs, p)
	f.mu.Unlock()
	return p
}

// startEntry starts an entry.
func (f *fleet) startEntry(n int, zone, region string) *proc {
	name := fmt.Sprintf("edge-%s-%d", zone, n+1)
	return f.spawn("laburnum-entry", name, f.entryIP(n), f.settings(name, f.entryIP(n), zone, region, true, "", ""))
}

// restart starts a process again whose predecessor has ended, as no first start of the system.
func (f *fleet) restart(p *proc) *proc {
	text, err := os.ReadFile(p.settings)
	if err != nil {
		f.cannotRun(err)
	}
	_ = os.WriteFile(p.settings, []byte(strings.Replace(string(text), "bootstrap: true", "bootstrap: false", 1)), 0o600)
	return f.spawn(p.program, p.name, p.ip, p.settings)
}

func (f *fleet) ready(ip string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + ip + ":8002/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) await(what string, most time.Duration, ok func() bool) {
	for begun := time.Now(); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Since(begun) > most {
			f.cannotRun("waited in vain: " + what)
		}
	}
	f.logf("%s", what)
}

func (f *fleet) stop() {
	f.mu.Lock()
	procs := f.procs
	f.procs = nil
	f.mu.Unlock()
	for _, p := range procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	select {
	case <-f.stopped:
	default:
		close(f.stopped)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

// finish ends the case with the status of its result.
func (f *fleet) finish() {
	f.stop()
	if len(f.broken) > 0 {
		fmt.Printf("rule broken: %s (%d in all)\n", f.broken[0], len(f.broken))
		os.Exit(1)
	}
	fmt.Println("rule held")
	os.Exit(0)
}

// trouble reports whether the case plays its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// raw sends a request as it is on a connection of its own and returns the answer's status and
// body; status 0 if there was none.
func raw(address, request string, timeout time.Duration) (status int, body string, err error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, "", err
	}
	return readAnswer(conn)
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
