// Package fleet runs entries and agents as processes against stand-ins that
// speak the users' platform's protocol, injects faults from outside and checks
// the promises while they run.
package fleet

import (
	"bytes"
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/standin/platform"
)

const (
	entries, engines = 3, 4
	// usualPlains is how many plain servers most tests have.
	usualPlains = 2
	// beatEvery is the time between two records of a server.
	beatEvery = 500 * time.Millisecond
	// readers is how many entries of a region read the store.
	readers = 2
	model   = "model-1"
	ownPort = 7700
	// usualHoldTimeout is the timeout of the routes to holding servers, and holdTarget
	// their target, which is so long that no attempt is cut for lack of progress.
	usualHoldTimeout = 6 * time.Second
	holdTarget       = 5 * time.Second
	// usualTimeout and usualTarget are those of the other routes.
	usualTimeout = 3 * time.Second
	usualTarget  = 400 * time.Millisecond
	// usualMemoryMB and usualMaxBody are the memory of a VM and the largest body.
	usualMemoryMB, usualMaxBody = 200, 64 << 10
	// usualPatience is how long eventually waits.
	usualPatience = 30 * time.Second
)

var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "laburnum-fleet")
	if err != nil {
		panic(err)
	}
	bin = dir
	out, err := exec.Command("go", "build", "-o", dir+"/", "../../node/cmd/...").CombinedOutput()
	if err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	c       *qt.C
	dir     string
	store   *platform.Store
	origin  *platform.Origin
	engines []*platform.Server
	plains  []*platform.Server
	logs    lockedBuffer
	// holding are the servers of startHolding, and holdTimeout is the timeout of
	// their routes.
	holding     []*platform.HoldingServer
	holdTimeout time.Duration
	// noticeTimeout and noticeTarget are those of the route of streams, if they differ
	// from the usual ones.
	noticeTimeout, noticeTarget time.Duration
	// patience is how long eventually waits, if it differs from usualPatience.
	patience time.Duration
	// restarts are the engines that are about to open their ports again.
	restarts sync.WaitGroup
	// crashes counts the engines that crashed under a deadly part.
	crashes atomic.Int32

	mu       sync.Mutex
	silent   map[string]bool
	draining map[string]bool
	// zones are the availability zones of servers that stand in another one than z, and
	// cold how much longer servers say that they are cold, in milliseconds.
	zones map[string]string
	cold  map[string]int64
	// services are the services of servers that serve another one than their kind does.
	services map[string]string
	// memoryMB and maxFDs are the memory and the descriptors of each VM, maxFDs 0 for no
	// limit; maxBody is the largest body that callers may send, in bytes.
	memoryMB, maxFDs, maxBody int
	// graceS is the grace period of planned stops, in seconds.
	graceS int
	// coldPerSecond is what plain servers bear while they are cold; 0 for no limit.
	coldPerSecond float64
	// tenants are those of the configuration.
	tenants []any
	entries []*exec.Cmd
	agents  []*exec.Cmd
	version int64
	config  int64
	client  *http.Client
	// load is what TestPauseSoak plays now.
	load pauseSoakLoad
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// network is the second byte of the addresses, so that several runs fit on one machine.
var network = flag.Int("fleet.network", 77, "second byte of the loopback addresses")

// loopback returns an address; its third byte tells the kind of machine.
func loopback(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", *network, kind, n) }

func entryIP(i int) string   { return loopback(0, i+1) }
func engineIP(i int) string  { return loopback(1, i+1) }
func plainIP(i int) string   { return loopback(3, i+1) }
func holdingIP(i int) string { return loopback(4, i+1) }

func storeAddress() string  { return loopback(2, 1) + ":8007" }
func originAddress() string { return loopback(2, 2) + ":8006" }

func start(c *qt.C) *fleet { return startWith(c, usualPlains) }

// startWith starts a fleet with a number of plain servers.
func startWith(c *qt.C, plains int) *fleet {
	f := newFleet(c)
	f.startProcesses(plains)
	return f
}

// newFleet returns a fleet of which nothing runs yet.
func newFleet(c *qt.C) *fleet {
	return &fleet{
		c: c, dir: c.TempDir(), store: platform.NewStore(), origin: platform.NewOrigin(), version: 1, config: 1,
		tenants:  []any{map[string]any{"name": "w", "apiKeys": []string{"key"}}},
		memoryMB: usualMemoryMB, maxBody: usualMaxBody, graceS: int(stopGrace / time.Second),
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// startProcesses starts the stand-ins, with a number of plain servers, and the processes,
// and waits until the entries are ready.
func (f *fleet) startProcesses(plains int) {
	c := f.c
	f.listen(storeAddress(), f.store)
	f.listen(originAddress(), f.origin)
	for i := range engines {
		f.engines = append(f.engines, platform.NewServer(fmt.Sprint("engine-", i), model))
		f.listenEngine(i)
	}
	for i := range plains {
		f.plains = append(f.plains, platform.NewServer(fmt.Sprint("plain-", i), ""))
		f.listen(plainIP(i)+":8001", f.plains[i])
	}
	f.configure()
	ctx, cancel := context.WithCancel(context.Background())
	var beats sync.WaitGroup
	beats.Go(func() { f.beat(ctx) })
	c.Cleanup(func() { cancel(); beats.Wait() })
	c.Cleanup(f.restarts.Wait)
	c.Cleanup(f.killAll)
	for i := range entries {
		f.entries = append(f.entries, f.spawn("laburnum-entry", f.settings(entryIP(i), "entry", i)))
	}
	for i := range engines {
		f.agents = append(f.agents, f.spawn("laburnum-agent", f.settings(engineIP(i), "agent", i)))
	}
	for i := range entries {
		f.eventually("entry ready", func() bool { return f.ready(i) })
	}
}

func (f *fleet) listen(address string, handler http.Handler) *http.Server {
	listener, err := net.Listen("tcp4", address)
	f.c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	f.c.Cleanup(func() { _ = server.Close() })
	return server
}

// engineRestart is how long a crashed engine is gone.
const engineRestart = 400 * time.Millisecond

// listenEngine opens an engine's port, which a deadly part of a prompt closes for
// engineRestart.
func (f *fleet) listenEngine(i int) {
	server := f.listen(engineIP(i)+":8001", f.engines[i])
	var once sync.Once
	f.engines[i].OnDeadlyPart(func() {
		once.Do(func() {
			_ = server.Close()
			f.engines[i].Crash()
			f.crashes.Add(1)
			f.restarts.Go(func() {
				select {
				case <-time.After(engineRestart):
					f.listenEngine(i)
				case <-f.c.Context().Done():
					// The next test uses the same addresses.
				}
			})
		})
	})
}

// settings writes the platform's settings file of a process.
func (f *fleet) settings(ip, role string, i int) string {
	text := fmt.Sprintf("node: %q\nip: %q\nzone: \"z\"\nregion: \"r\"\nzones: {x: \"r\", y: \"r\", z: \"r\"}\nportRange: [%d, %d]\nbootstrap: true\n"+
		"seeds: [\"%s:8000\"]\nlimits: {memoryMb: %d, maxFds: %d, linkMbps: 0}\n"+
		"bounds: {retryBudgetRatio: 0.2, budgetSlack: 200, graceS: %d, version_ms: 8000, coldOverage: 1.5, coldSlack: 5}\nplatform: {address: %q, form: \"log\"}\n",
		fmt.Sprint(role, "-", i), ip, ownPort, ownPort+15, entryIP(0), f.memoryMB, f.maxFDs, f.graceS, storeAddress())
	if role == "entry" {
		text += fmt.Sprintf("listen: {front: \"%[1]s:8005\", ready: \"%[1]s:8002\", control: \"%[1]s:8000\", directory: \"%[1]s:8009\"}\n", ip)
	} else {
		text += fmt.Sprintf("listen: {}\napp: \"%s:8001\"\nservice: \"llm\"\n", ip)
	}
	path := filepath.Join(f.dir, fmt.Sprint(role, i, ".yaml"))
	f.c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

// deployedArguments returns the arguments with which the deployment file starts a program,
// so that the tests play what is deployed.
func (f *fleet) deployedArguments(program string) []string {
	text, err := os.ReadFile("../../deploy/system.toml")
	f.c.Assert(err, qt.IsNil)
	for line := range strings.Lines(string(text)) {
		if _, command, found := strings.Cut(line, `run = "target/`+program+" "); found {
			return strings.Fields(strings.TrimSuffix(strings.TrimSpace(command), `"`))
		}
	}
	f.c.Fatalf("deploy/system.toml does not start %s", program)
	return nil
}

func (f *fleet) spawn(program, settings string) *exec.Cmd {
	cmd := exec.Command(filepath.Join(bin, program), append(f.deployedArguments(program), "--log-routine-share", "1")...)
	cmd.Env = append(os.Environ(), "LABURNUMLOFT_CONFIG="+settings)
	cmd.Stdout, cmd.Stderr = &f.logs, &f.logs
	f.c.Assert(cmd.Start(), qt.IsNil)
	return cmd
}

// restart kills a process and starts it again.
func (f *fleet) restart(set []*exec.Cmd, i int, signal syscall.Signal) {
	f.mu.Lock()
	old := set[i]
	f.mu.Unlock()
	_ = old.Process.Signal(signal)
	_ = old.Wait()
	settings := ""
	for _, e := range old.Env {
		if path, ok := strings.CutPrefix(e, "LABURNUMLOFT_CONFIG="); ok {
			settings = path
		}
	}
	// Only the first start of the whole system is a bootstrap.
	text, err := os.ReadFile(settings)
	f.c.Check(err, qt.IsNil)
	f.c.Check(os.WriteFile(settings, bytes.Replace(text, []byte("bootstrap: true"), []byte("bootstrap: false"), 1), 0o600), qt.IsNil)
	again := f.spawn(filepath.Base(old.Path), settings)
	f.mu.Lock()
	set[i] = again
	f.mu.Unlock()
}

func (f *fleet) killAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, cmd := range append(append([]*exec.Cmd{}, f.entries...), f.agents...) {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

func (f *fleet) beat(ctx context.Context) {
	for {
		for i, s := range f.engines {
			f.writeBeat(fmt.Sprint("engine-", i), s.Beat("llm", engineIP(i)+":8001", "z"))
		}
		for i, s := range f.plains {
			f.writeBeat(fmt.Sprint("plain-", i), s.Beat("switching", plainIP(i)+":8001", "z"))
		}
		f.mu.Lock()
		holding := f.holding
		f.mu.Unlock()
		for i, s := range holding {
			_ = f.store.Put("keyed.servers", fmt.Sprint("holding-", i), s.Beat("holding", holdingIP(i)+":8001", "z"))
		}
		select {
		case <-time.After(beatEvery):
		case <-ctx.Done():
			return
		}
	}
}

// writeBeat writes the record of a server that has not been silenced.
func (f *fleet) writeBeat(id string, beat map[string]any) {
	f.mu.Lock()
	silent, draining, zone, cold := f.silent[id], f.draining[id], f.zones[id], f.cold[id]
	if service := f.services[id]; service != "" {
		beat["service"] = service
	}
	f.mu.Unlock()
	if draining {
		beat["state"] = "draining"
	}
	if zone != "" {
		beat["zone"] = zone
	}
	if cold > 0 {
		beat["coldRemainingMs"] = cold
	}
	if !silent {
		_ = f.store.Put("keyed.servers", id, beat)
	}
}

// silence ends or resumes the records of a server.
func (f *fleet) silence(id string, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent == nil {
		f.silent = map[string]bool{}
	}
	f.silent[id] = silent
}

// drain makes a server say that it is draining.
func (f *fleet) drain(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining == nil {
		f.draining = map[string]bool{}
	}
	f.draining[id] = true
}

// configure publishes the next configuration. Its version is a route of its
// own, by which a test sees what is in force.
func (f *fleet) configure() {
	f.mu.Lock()
	f.config++
	f.mu.Unlock()
	f.writeConfiguration()
}

// writeConfiguration writes the newest configuration.
func (f *fleet) writeConfiguration() {
	f.mu.Lock()
	version, holdTimeout, coldPerSecond := f.config, cmp.Or(f.holdTimeout, usualHoldTimeout), f.coldPerSecond
	noticeTimeout, noticeTarget := cmp.Or(f.noticeTimeout, usualTimeout), cmp.Or(f.noticeTarget, usualTarget)
	f.mu.Unlock()
	route := func(prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": prefix, "hostname": "h.example", "pathPrefix": prefix, "kind": kind, "service": service,
			"timeoutMs": usualTimeout.Milliseconds(), "targetLatencyMs": usualTarget.Milliseconds(), "maxAttempts": attempts, "streamResume": true,
		}
	}
	hold := func(prefix, kind string, resume bool) map[string]any {
		r := route(prefix, kind, "holding", 2)
		r["timeoutMs"], r["streamResume"], r["targetLatencyMs"] = holdTimeout.Milliseconds(), resume, holdTarget.Milliseconds()
		return r
	}
	notice := route("/notice/", "streaming", "llm", 2)
	notice["timeoutMs"], notice["targetLatencyMs"] = noticeTimeout.Milliseconds(), noticeTarget.Milliseconds()
	err := f.store.Put("keyed.op", "config", map[string]any{
		"version": version,
		"routes": []any{
			notice, route("/order/", "unsafe", "switching", 2), route("/read/", "safe", "switching", 2),
			route(fmt.Sprintf("/v%d/", version), "safe", "switching", 2),
			hold("/hold/", "unsafe", false), hold("/holdsafe/", "safe", false), hold("/holdstream/", "streaming", false),
		},
		"services": []any{
			map[string]any{"name": "llm", "engine": map[string]any{"slots": 16, "models": []any{map[string]any{"name": model}}, "layers": platform.Pieces, "chunks": platform.Pieces}},
			map[string]any{"name": "switching", "coldPerS": coldPerSecond, "coldStartS": coldStart.Seconds()},
			map[string]any{"name": "holding"},
			map[string]any{"name": "weights", "origin": originAddress(), "zone": "z"},
		},
		"limits":  map[string]any{"maxBodyBytes": f.maxBody},
		"tenants": f.tenants,
	})
	f.c.Check(err, qt.IsNil)
}

// nameWeights names the next weight version.
func (f *fleet) nameWeights() {
	f.mu.Lock()
	f.version++
	version := f.version
	f.mu.Unlock()
	f.origin.Name(version)
	f.writeNamedWeights()
}

// writeNamedWeights writes the newest weight version that was named, if there is one.
func (f *fleet) writeNamedWeights() {
	f.mu.Lock()
	version := f.version
	f.mu.Unlock()
	if version > 1 {
		f.c.Check(f.store.Put("keyed.op", "version/"+model, map[string]any{"model": model, "version": version}), qt.IsNil)
	}
}

// writeAgain writes the operator's newest records again, as after a restore of the store.
func (f *fleet) writeAgain() {
	f.writeConfiguration()
	f.writeNamedWeights()
}

func (f *fleet) ready(i int) bool {
	resp, err := f.client.Get("http://" + entryIP(i) + ":8002/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) eventually(what string, done func() bool) {
	patience := cmp.Or(f.patience, usualPatience)
	deadline := time.After(patience)
	for !done() {
		select {
		case <-time.After(50 * time.Millisecond):
		case <-deadline:
			f.c.Fatalf("%s: not within %v\n%s", what, patience, tail(f.logs.String()))
		}
	}
}

func tail(s string) string { return s[max(0, len(s)-6000):] }

// call sends one request to an entry and checks what comes back. It returns the
// status; 0 is a broken connection.
func (f *fleet) call(entry int, path, id string) int {
	return f.prompt(entry, path, id, "")
}

// prompt is like call, for a request whose prompt has the given shared parts.
func (f *fleet) prompt(entry int, path, id, parts string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+entryIP(entry)+":8005"+path+id, strings.NewReader("body of "+id))
	f.c.Assert(err, qt.IsNil)
	req.Host = "h.example"
	for name, value := range map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "3000", "X-Credential": "key"} {
		req.Header.Set(name, value)
	}
	if parts != "" {
		req.Header.Set("X-Prompt-Prefix", parts+",f00d:10")
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	if resp.StatusCode == http.StatusOK {
		want := fmt.Sprintf("answer to %s: body of %s", id, id)
		if path == "/notice/" {
			want = ""
			for n := 1; n <= platform.Events; n++ {
				want += fmt.Sprintf("id: %d\ndata: %s\n\n", n, id)
			}
		}
		f.c.Check(string(body), qt.Equals, want, qt.Commentf("%s%s is whole and its own", path, id))
		f.c.Check(resp.Header.Get("X-Response-Signature"), qt.Equals, "sig")
	}
	return resp.StatusCode
}

// inForce reports whether an entry has the newest configuration.
func (f *fleet) inForce(entry int) bool {
	f.mu.Lock()
	version := f.config
	f.mu.Unlock()
	return f.call(entry, fmt.Sprintf("/v%d/", version), "probe") == http.StatusOK
}

// onVersion reports whether all engines run the newest weights.
func (f *fleet) onVersion() bool {
	f.mu.Lock()
	version := f.version
	f.mu.Unlock()
	for _, e := range f.engines {
		if e.Version() != version {
			return false
		}
	}
	return true
}

// checkServers checks what the servers saw: whole weights, no key, and no order
// twice.
func (f *fleet) checkServers(refused map[string]bool) {
	runs := map[string]int{}
	for _, s := range append(append([]*platform.Server{}, f.engines...), f.plains...) {
		f.c.Check(s.Broken(), qt.HasLen, 0)
		for id, n := range s.Runs() {
			runs[id] += n
		}
	}
	for id, n := range runs {
		if strings.HasPrefix(id, "order") && n > 1 {
			f.c.Errorf("%s ran %d times", id, n)
		}
		if refused[id] {
			f.c.Errorf("%s was refused and ran", id)
		}
	}
}

// Once the last workspace has been taken away, no entry may pass on a request, neither one
// that was running nor one that starts then (review/14).
func TestLastWorkspaceTakenAway(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	c.Check(f.call(0, "/order/", "order-before"), qt.Equals, http.StatusOK)
	f.tenants = []any{}
	f.configure()
	refuses := func(i int) bool { return f.call(i, "/read/", "probe") == http.StatusUnauthorized }
	for i := range entries {
		f.eventually("the key refused", func() bool { return refuses(i) })
	}
	f.restart(f.entries, 0, syscall.SIGKILL)
	f.eventually("the key refused after a restart", func() bool { return refuses(0) })
	for i := range entries {
		c.Check(f.call(i, "/order/", fmt.Sprint("order-after-", i)), qt.Equals, http.StatusUnauthorized)
	}
	for _, s := range f.plains {
		for i := range entries {
			c.Check(s.Runs()[fmt.Sprint("order-after-", i)], qt.Equals, 0)
		}
	}
}

// The whole path: every kind of request is answered, a configuration is in force
// within its bound, and a weight version reaches every engine.
func TestCalmDay(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	for n := range 30 {
		for _, path := range []string{"/notice/", "/order/", "/read/"} {
			c.Check(f.call(n%entries, path, fmt.Sprint(strings.Trim(path, "/"), n)), qt.Equals, http.StatusOK)
		}
	}
	f.configure()
	published := time.Now()
	for i := range entries {
		f.eventually("configuration in force", func() bool { return f.inForce(i) })
	}
	c.Check(time.Since(published) < 2*time.Second, qt.IsTrue)
	f.nameWeights()
	named := time.Now()
	f.eventually("weights on all engines", f.onVersion)
	c.Check(time.Since(named) < 8*time.Second, qt.IsTrue)
	f.checkServers(nil)
}

// An entry that is asked to stop ends what is in flight whole.
func TestPlannedStop(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	var calls sync.WaitGroup
	for n := range 20 {
		calls.Go(func() { c.Check(f.call(0, "/notice/", fmt.Sprint("notice", n)), qt.Equals, http.StatusOK) })
	}
	c.Assert(f.entries[0].Process.Signal(syscall.SIGTERM), qt.IsNil)
	calls.Wait()
	f.eventually("not ready", func() bool { return !f.ready(0) })
	c.Assert(f.entries[0].Wait(), qt.IsNil)
	f.checkServers(nil)
}

// An entry that starts while the store is down takes configuration and members
// from another one.
func TestStartDuringOutage(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	f.store.SetDown(true)
	f.restart(f.entries, 1, syscall.SIGKILL)
	f.eventually("configuration from another entry", func() bool { return f.inForce(1) })
	c.Check(f.call(1, "/order/", "order-1"), qt.Equals, http.StatusOK)
	f.store.SetDown(false)
	f.checkServers(nil)
}

// A settings file that can't be used stops the start with one line and code 2.
func TestBadSettings(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "bad.yaml")
	c.Assert(os.WriteFile(path, []byte("node: \"x\"\nzone: \"z\"\nportRange: [1]\n"), 0o600), qt.IsNil)
	for _, program := range []string{"laburnum-entry", "laburnum-agent"} {
		cmd := exec.Command(filepath.Join(bin, program), "platform")
		cmd.Env = append(os.Environ(), "LABURNUMLOFT_CONFIG="+path)
		out, err := cmd.CombinedOutput()
		c.Assert(err, qt.Not(qt.IsNil))
		c.Check(cmd.ProcessState.ExitCode(), qt.Equals, 2)
		c.Check(strings.Count(strings.TrimSpace(string(out)), "\n"), qt.Equals, 0, qt.Commentf("%s", out))
		c.Check(string(out), qt.Contains, "portRange")
	}
}

// SIGHUP and a changed settings file must end no process; a bad file is refused
// and the settings in force stay.
func TestReload(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	path := filepath.Join(f.dir, "entry0.yaml")
	c.Assert(f.entries[0].Process.Signal(syscall.SIGHUP), qt.IsNil)
	c.Assert(f.agents[0].Process.Signal(syscall.SIGHUP), qt.IsNil)
	f.eventually("reload", func() bool { return strings.Count(f.logs.String(), "settings_reloaded") >= 2 })
	c.Assert(os.WriteFile(path, []byte("node: 1\n"), 0o600), qt.IsNil)
	f.eventually("refusal without a signal", func() bool { return strings.Contains(f.logs.String(), "settings_refused") })
	c.Check(f.ready(0), qt.IsTrue)
	c.Check(f.call(0, "/order/", "order-1"), qt.Equals, http.StatusOK)
}

// An entry that hears nothing from the store must still learn of named weights
// from the others (tromba scale-1: one long poll was not answered for 14 s, and
// the entry used a version 8 s too long).
func TestWeightsFromANeighbour(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	f.eventually("the region's readers wait for the store", func() bool { return f.store.Waiting() == readers })
	f.store.SetDeaf(1)
	f.nameWeights()
	known := fmt.Sprintf(`"version":%d`, f.version)
	f.eventually("weights known at all entries, with their age", func() bool {
		n := 0
		for _, line := range strings.Split(f.logs.String(), "\n") {
			if strings.Contains(line, "weights_named") && strings.Contains(line, known) && !strings.Contains(line, `"age_ms":-1`) {
				n++
			}
		}
		return n == entries
	})
}
