// Command casehost plays one case of the review: it starts the entries and agents as
// processes, with stand-ins of the platform's store, of model engines, of the origin of
// weights and of clients on loopback addresses, and checks one rule.
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
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	modelService  = "dele69a"
	plainService  = "xano55b"
	originService = "gowu98c"
	otherService  = "zika42b"
	modelName     = "daka510000"
	hostName      = "hulo84.example"
	apiKey        = "jnbanfqasnmgkcuyj8pj"
	modelPrefix   = "/notice/"
	orderPrefix   = "/order/"
)

// Shape is the size of a deployment.
type Shape struct {
	regions, entriesPerRegion, enginesPerRegion, plains int
}

// Fleet is one small deployment.
type Fleet struct {
	shape     Shape
	root, tmp string
	a, b      int
	basePort  int
	store     *Store
	origin    *Origin
	engines   []*Engine
	plains    []*Plain
	entries   []*Proc
	agents    []*Proc
	started   time.Time
	starter   chan func()

	recMu  sync.Mutex
	record *bufio.Writer
	file   *os.File

	mu       sync.Mutex
	config   int64
	timeouts map[string]int
	requests map[string]*Request
	// arrivals are the requests that reached model engines.
	arrivals []Arrival
	broken   []string
	nextID   int
	// onPlainArrival sees each request that reaches a plain server; may be nil.
	onPlainArrival func(p *Plain, id string)
	// extraRoutes returns routes beside the usual ones; may be nil.
	extraRoutes func() []any
	// crashTimes are the times at which engines crashed.
	crashTimes []time.Time
}

// Arrival is a request that reached a model engine.
type Arrival struct {
	at     time.Time
	id     string
	engine string
	parts  string
}

// Request is one request of a client, over all its attempts.
type Request struct {
	ID       string    `json:"id"`
	Kind     string    `json:"kind"`
	SentAt   time.Time `json:"-"`
	Status   int       `json:"status"`
	Whole    bool      `json:"whole"`
	Attempts int       `json:"attempts"`
	Reused   bool      `json:"reused"`
	Cause    string    `json:"cause,omitempty"`
	MS       int64     `json:"ms"`
	Runs     int       `json:"-"`
	Done     bool      `json:"-"`
}

// Proc is a process of the system.
type Proc struct {
	f        *Fleet
	name     string
	program  string
	settings string
	ip       string

	mu  sync.Mutex
	cmd *exec.Cmd
	log *os.File
	// ended is closed when the process has ended; nil before its first start.
	ended chan struct{}
}

func newFleet(folder string, shape Shape) (*Fleet, error) {
	root := os.Getenv("CASE_ROOT")
	tmp, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		shape: shape, root: root, tmp: tmp, a: 64 + rand.IntN(128), b: rand.IntN(250), basePort: 18000 + rand.IntN(10000), store: newStore(), started: time.Now(),
		starter: make(chan func()), record: bufio.NewWriter(file), file: file, requests: map[string]*Request{}, timeouts: map[string]int{},
	}
	// A child ends with the thread that started it, so that thread stays.
	go func() {
		runtime.LockOSThread()
		for start := range f.starter {
			start()
		}
	}()
	f.origin = &Origin{f: f, newest: 1}
	return f, nil
}

// ip returns the loopback address of a machine; the last byte names its kind and number.
func (f *Fleet) ip(n int) string { return fmt.Sprintf("127.%d.%d.%d", f.a, f.b, n) }

func (f *Fleet) entryIP(i int) string  { return f.ip(1 + i) }
func (f *Fleet) engineIP(i int) string { return f.ip(101 + i) }
func (f *Fleet) plainIP(i int) string  { return f.ip(201 + i) }

// Ports of a machine, from the base port.
const (
	portFront, portReady, portControl, portDirectory, portEngine, portStore, portOrigin, portPlain, portOwn = 0, 1, 2, 3, 4, 5, 6, 7, 20
)

func (f *Fleet) at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, f.basePort+port) }

func (f *Fleet) region(i int) string { return fmt.Sprintf("r%d", i%f.shape.regions+1) }
func (f *Fleet) zone(i int) string   { return fmt.Sprintf("z%d", i%f.shape.regions+1) }

// note writes a line to the record.
func (f *Fleet) note(what string, fields ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%9.3f %s", time.Since(f.started).Seconds(), what)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, " %v=%v", fields[i], fields[i+1])
	}
	b.WriteByte('\n')
	f.recMu.Lock()
	defer f.recMu.Unlock()
	_, _ = f.record.WriteString(b.String())
}

// breaks records that the rule is broken.
func (f *Fleet) breaks(rule, detail string) {
	f.note("BROKEN", "rule", rule, "detail", strconv.Quote(detail))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broken = append(f.broken, detail)
}

func (f *Fleet) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return nil
}

// start starts the stand-ins and the system.
func (f *Fleet) start() error {
	if err := f.serve(f.at(f.ip(251), portStore), f.store); err != nil {
		return err
	}
	if err := f.serve(f.at(f.ip(252), portOrigin), f.origin); err != nil {
		return err
	}
	for i := range f.shape.regions * f.shape.enginesPerRegion {
		e := newEngine(f, i, f.at(f.engineIP(i), portEngine), f.zone(i))
		if err := e.start(); err != nil {
			return err
		}
		f.engines = append(f.engines, e)
	}
	for i := range f.shape.plains {
		p := f.newPlain(i)
		if err := p.listen(); err != nil {
			return err
		}
		f.plains = append(f.plains, p)
	}
	f.configure()
	go func() {
		for {
			for _, e := range f.engines {
				e.beat()
			}
			f.mu.Lock()
			plains := f.plains
			f.mu.Unlock()
			for _, p := range plains {
				p.beat()
			}
			time.Sleep(beatEvery)
		}
	}()
	for i := range f.shape.regions * f.shape.entriesPerRegion {
		p, err := f.process("entry", i, f.entryIP(i))
		if err != nil {
			return err
		}
		f.entries = append(f.entries, p)
	}
	for i := range f.engines {
		p, err := f.process("agent", i, f.engineIP(i))
		if err != nil {
			return err
		}
		f.agents = append(f.agents, p)
	}
	for _, p := range append(append([]*Proc{}, f.entries...), f.agents...) {
		if err := p.spawn(true); err != nil {
			return err
		}
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f.readyEntries() == len(f.entries) {
			return nil
		}
	}
	return errors.New("the entries did not become ready")
}

func (f *Fleet) readyEntries() (n int) {
	for i := range f.entries {
		resp, err := quickClient.Get("http://" + f.at(f.entryIP(i), portReady) + "/v1/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			n++
		}
	}
	return n
}

var quickClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// routeOf returns a route of the configuration.
func routeOf(prefix, kind, service string, timeout, target int) map[string]any {
	r := map[string]any{
		"name": "r-" + strings.ReplaceAll(strings.Trim(prefix, "/"), "/", "-"), "hostname": hostName, "pathPrefix": prefix, "kind": kind, "service": service,
		"timeoutMs": timeout, "targetLatencyMs": target, "priority": 1, "maxAttempts": 2, "public": false,
	}
	if kind == "streaming" {
		r["sessionAffinity"], r["streamResume"], r["gapTargetMs"] = true, true, 400
	}
	return r
}

// configure writes the next configuration.
func (f *Fleet) configure() {
	f.mu.Lock()
	f.config += 3
	version := f.config
	f.mu.Unlock()
	routes := []any{routeOf(modelPrefix, "streaming", modelService, 6000, 500), routeOf(orderPrefix, "unsafe", plainService, 1500, 150)}
	if f.extraRoutes != nil {
		routes = append(routes, f.extraRoutes()...)
	}
	f.store.Put("keyed.op", "config", map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{
			map[string]any{
				"name": modelService, "healthPath": "/health", "maxConns": 780, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": slots, "kvCapacity": 317000, "kvTokenBytes": 262144, "stride": 5, "models": []any{map[string]any{"name": modelName, "pace": 1.0, "loadS": 4.0, "warmS": 0.3}},
					"sizeMb": 149000.0, "step_ms": 9.27, "per_seq_ms": 0.0232, "context_per_k": 0.0322, "read_per_s": 20700.0, "report_lag_ms": 200.0,
					"usual": map[string]any{"prompt": 979, "answer": 92}, "layers": layers, "layer_mb": 4090.0, "chunks": chunks, "chunkBytes": chunkBytes,
				},
			},
			map[string]any{"name": originService, "origin": f.at(f.ip(252), portOrigin), "zone": "z1", "linkMbps": 15.0, "maxConns": 103},
			map[string]any{"name": plainService, "healthPath": "/health", "maxConns": 214, "protocol": "h1", "tls": false},
			map[string]any{"name": otherService, "healthPath": "/health", "maxConns": 214, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "bozi300", "apiKeys": []string{apiKey}, "priority": 1}},
	})
	f.note("configuration_acknowledged", "version", version)
}

// nameWeights names a weight version.
func (f *Fleet) nameWeights(version int64) {
	f.origin.mu.Lock()
	f.origin.newest = version
	f.origin.mu.Unlock()
	f.store.Put("keyed.op", "version/"+modelName, map[string]any{"model": modelName, "version": version})
	f.note("version_acknowledged", "version", version)
}

// process prepares a process and its settings file.
func (f *Fleet) process(role string, i int, ip string) (*Proc, error) {
	p := &Proc{f: f, name: fmt.Sprintf("%s-%s-%d", role, f.zone(i), i/f.shape.regions+1), program: "target/laburnum-" + role, ip: ip}
	p.settings = filepath.Join(f.tmp, p.name+".yaml")
	log, err := os.Create(filepath.Join(f.tmp, p.name+".log"))
	if err != nil {
		return nil, err
	}
	p.log = log
	return p, p.writeSettings(role, i, true)
}

func (p *Proc) writeSettings(role string, i int, bootstrap bool) error {
	f := p.f
	var zones, seeds strings.Builder
	for r := range f.shape.regions {
		fmt.Fprintf(&zones, "  %s: %q\n", f.zone(r), f.region(r))
		fmt.Fprintf(&seeds, "  - %q\n", f.at(f.entryIP(r), portControl))
	}
	memory, mbps := 206, 700.0
	listen := fmt.Sprintf("listen:\n  front: %q\n  ready: %q\n  control: %q\n  directory: %q\n", f.at(p.ip, portFront), f.at(p.ip, portReady), f.at(p.ip, portControl), f.at(p.ip, portDirectory))
	extra := ""
	if role == "agent" {
		memory, mbps, listen = 152, 9.4, "listen: {}\n"
		extra = fmt.Sprintf("app: %q\nservice: %q\n", f.at(p.ip, portEngine), modelService)
	}
	text := fmt.Sprintf("node: %q\nrole: %q\nip: %q\nzone: %q\nregion: %q\nzones:\n%s%sportRange:\n  - %d\n  - %d\nseeds:\n%sbootstrap: %t\n", p.name, role, p.ip, f.zone(i), f.region(i), zones.String(), listen, f.basePort+portOwn, f.basePort+portOwn+15, seeds.String(), bootstrap) +
		fmt.Sprintf("limits:\n  cpuShare: 0.272\n  cores: 1\n  memoryMb: %d\n  maxFds: 2048\n  linkMbps: %g\n  diskMb: 0\nheartbeatMs: 1200\n", memory, mbps) +
		"bounds:\n  contactMs: 3000\n  drainMs: 2000\n  graceS: 8\n  configApplyMs: 2000\n  retryBudgetRatio: 0.2\n  budgetWindowS: 10\n  budgetSlack: 219\n  recoveryS: 12\n  version_ms: 8000\n  ttl_max_s: 5\n" +
		fmt.Sprintf("platform:\n  address: %q\n  form: \"log\"\n  writesPerS: 400\n  readsPerS: 2000\n  parts: 8\n  appendMs: 4.0\n", f.at(f.ip(251), portStore)) + extra
	return os.WriteFile(p.settings, []byte(text), 0o600)
}

// spawn starts the process.
func (p *Proc) spawn(bootstrap bool) error {
	text, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	if !bootstrap {
		text = []byte(strings.Replace(string(text), "bootstrap: true", "bootstrap: false", 1))
		if err := os.WriteFile(p.settings, text, 0o600); err != nil {
			return err
		}
	}
	// The command of the deploy file, in the repository's root.
	cmd := exec.Command(filepath.Join(p.f.root, p.program), "platform")
	cmd.Dir = p.f.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.f.tmp, "LABURNUMLOFT_CONFIG=" + p.settings}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	result := make(chan error)
	p.f.starter <- func() { result <- cmd.Start() }
	if err := <-result; err != nil {
		return err
	}
	p.mu.Lock()
	p.cmd = cmd
	p.mu.Unlock()
	ended := make(chan struct{})
	p.mu.Lock()
	p.ended = ended
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	p.f.note("process_started", "name", p.name, "pid", cmd.Process.Pid)
	return nil
}

// kill9 ends the process at once, also while it is stopped.
func (p *Proc) kill9() {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	_ = cmd.Process.Kill()
	time.Sleep(20 * time.Millisecond)
}

// kill ends the process at once.
func (p *Proc) kill() {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	}
}

// awaitEnd waits until the process has ended, for a time at most.
func (p *Proc) awaitEnd(limit time.Duration) {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(limit):
	}
}

func (p *Proc) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// logText returns what the process has logged.
func (p *Proc) logText() string {
	data, _ := os.ReadFile(filepath.Join(p.f.tmp, p.name+".log"))
	return string(data)
}

// logCount counts the log lines that hold a text, over all processes.
func (f *Fleet) logCount(text string) (n int) {
	for _, p := range append(append([]*Proc{}, f.entries...), f.agents...) {
		n += strings.Count(p.logText(), text)
	}
	return n
}

// close ends everything that was started.
func (f *Fleet) close() {
	for _, p := range append(append([]*Proc{}, f.entries...), f.agents...) {
		p.kill()
	}
	for _, p := range append(append([]*Proc{}, f.entries...), f.agents...) {
		p.awaitEnd(2 * time.Second)
	}
	f.recMu.Lock()
	_ = f.record.Flush()
	_ = f.file.Close()
	f.recMu.Unlock()
	if keep := os.Getenv("CASE_KEEP"); keep == "" {
		_ = os.RemoveAll(f.tmp)
	}
}

// arrived records a request that reached a model engine.
func (f *Fleet) arrived(e *Engine, r *http.Request) {
	a := Arrival{time.Now(), r.Header.Get("X-Request-Id"), e.address, r.Header.Get("X-Prompt-Prefix")}
	f.mu.Lock()
	f.arrivals = append(f.arrivals, a)
	f.mu.Unlock()
	f.note("arrives", "id", a.id, "engine", a.engine, "parts", a.parts)
}

// ran records that a request began to run.
func (f *Fleet) ran(e *Engine, id string, version int64, spoilt []int) {
	f.mu.Lock()
	if q := f.requests[id]; q != nil {
		q.Runs++
	}
	f.mu.Unlock()
	f.note("runs", "id", id, "engine", e.address, "version", version)
	if len(spoilt) > 0 {
		f.breaks("WHOLE", fmt.Sprintf("request %s got a token from engine %s, which holds version %d with spoilt pieces %v", id, e.address, version, spoilt))
	}
}

// Plain is a stand-in of a plain service's server.
type Plain struct {
	f                 *Fleet
	id, address, zone string
	service           string
	born              int64
	seq               int
	work              time.Duration
	server            *http.Server
	// drained is when the store accepted that the server is draining.
	mu      sync.Mutex
	drained time.Time
	ended   bool
	// targets are the request targets of the requests that ran, by id.
	targets sync.Map
}

// target returns the request target of a request that ran here, or "".
func (p *Plain) target(id string) string {
	target, _ := p.targets.Load(id)
	text, _ := target.(string)
	return text
}

func (f *Fleet) newPlain(i int) *Plain {
	return &Plain{f: f, id: fmt.Sprintf("i-%04x", 0x5000+i), address: f.at(f.plainIP(i), portPlain), zone: f.zone(i), service: plainService, born: time.Now().UnixMilli(), work: 15 * time.Millisecond}
}

func (p *Plain) listen() error {
	listener, err := net.Listen("tcp4", p.address)
	if err != nil {
		return err
	}
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(listener) }()
	return nil
}

// drain says that the server is draining.
func (p *Plain) drain() {
	p.mu.Lock()
	p.drained = time.Now()
	p.mu.Unlock()
	p.beat()
	p.f.note("draining", "server", p.id)
}

func (p *Plain) drainedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.drained
}

// end ends the server and removes its record.
func (p *Plain) end() {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	p.f.store.Put("keyed.servers", p.id, nil)
	_ = p.server.Close()
	p.f.note("server_ended", "server", p.id)
}

func (p *Plain) beat() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return
	}
	state := "ready"
	if !p.drained.IsZero() {
		state = "draining"
	}
	p.seq++
	p.f.store.Put("keyed.servers", p.id, map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": 6, "state": state, "coldRemainingMs": 0, "seq": p.seq, "born": p.born,
	})
}

func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", p.id)
	if r.URL.Path == "/health" {
		return
	}
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != p.id {
		notExecuted(w, http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if p.f.onPlainArrival != nil {
		p.f.onPlainArrival(p, id)
	}
	p.f.mu.Lock()
	if q := p.f.requests[id]; q != nil {
		q.Runs++
	}
	p.f.mu.Unlock()
	p.targets.Store(id, r.RequestURI)
	p.f.note("runs", "id", id, "server", p.address, "body", len(body))
	time.Sleep(p.work)
	w.Header().Set("X-Response-Signature", "3e1b."+p.id+"."+id)
	_, _ = io.WriteString(w, strings.Repeat("b", 800))
}

// Client sends requests one after the other over a kept connection.
type Client struct {
	f     *Fleet
	zone  string
	http  *http.Client
	entry string
	at    time.Time
	list  []string
}

func newClient(f *Fleet, n int) *Client {
	return &Client{f: f, zone: f.zone(n), http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 1, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
}

// resolve asks the directory where to connect, at most every 2 s.
func (c *Client) resolve() {
	if time.Since(c.at) < 2*time.Second {
		return
	}
	for range 3 {
		i := rand.IntN(len(c.f.entries))
		resp, err := quickClient.Get(fmt.Sprintf("http://%s/v1/resolve?name=%s&region=r1&zone=%s", c.f.at(c.f.entryIP(i), portDirectory), hostName, c.zone))
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			c.list, c.at = answer.Addresses, time.Now()
			return
		}
	}
}

// send sends one request, and once more after a promise or without a connection.
func (c *Client) send(kind, path string, deadline time.Duration, header map[string]string, body []byte) *Request {
	f := c.f
	began := time.Now()
	var q *Request
	for attempt := 1; attempt <= 2; attempt++ {
		c.resolve()
		f.mu.Lock()
		f.nextID++
		id := fmt.Sprintf("%s-%06d", kind, f.nextID)
		q = &Request{ID: id, Kind: kind, SentAt: began, Attempts: attempt}
		f.requests[id] = q
		f.mu.Unlock()
		if len(c.list) == 0 {
			q.Cause = "no address"
			time.Sleep(200 * time.Millisecond)
		} else {
			retry := c.attempt(q, path, deadline-time.Since(began), header, body)
			if retry > 0 && attempt == 1 && time.Since(began)+retry < deadline {
				time.Sleep(retry)
				continue
			}
		}
		break
	}
	f.mu.Lock()
	q.Done = true
	q.MS = time.Since(began).Milliseconds()
	f.mu.Unlock()
	f.note("client", "request", string(mustJSON(q)))
	return q
}

// attempt sends one attempt; retry is positive if the client may ask again after it.
func (c *Client) attempt(q *Request, path string, left time.Duration, header map[string]string, body []byte) (retry time.Duration) {
	address := c.list[rand.IntN(len(c.list))]
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path+q.ID, strings.NewReader(string(body)))
	if err != nil {
		panic(err)
	}
	req.Host = hostName
	for name, value := range header {
		req.Header.Set(name, value)
	}
	req.Header.Set("X-Request-Id", q.ID)
	req.Header.Set("X-Credential", apiKey)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	client := *c.http
	client.Timeout = left
	c.f.note("sent", "id", q.ID, "to", address, "parts", header["X-Prompt-Prefix"], "bytes", len(body))
	resp, err := client.Do(req)
	if err != nil {
		q.Cause = err.Error()
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			c.at = time.Time{}
			return 10 * time.Millisecond
		}
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	q.Status, q.Whole = resp.StatusCode, err == nil
	if err != nil {
		q.Cause = err.Error()
	}
	if q.Status == http.StatusOK && q.Whole && resp.Header.Get("X-Response-Signature") == "" {
		q.Cause = "no signature"
	}
	_ = data
	if q.Status == http.StatusServiceUnavailable || q.Status == http.StatusTooManyRequests {
		after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return max(10*time.Millisecond, min(time.Duration(after*float64(time.Second)), left/3))
	}
	return 0
}

// modelRequest sends a request for the model.
func (c *Client) modelRequest(kind, parts string) *Request {
	return c.send(kind, modelPrefix, 6*time.Second, map[string]string{
		"X-Model": modelName, "X-Token-Count": "647,70", "X-Prompt-Prefix": fmt.Sprintf("%s,%08x:607", parts, rand.Uint32()),
	}, []byte(strings.Repeat("p", 320)))
}

// load runs clients, each of which sends one request after the other with pauses, until
// stop is closed.
func (f *Fleet) load(clients int, pause time.Duration, stop chan struct{}, send func(c *Client)) *sync.WaitGroup {
	var wait sync.WaitGroup
	for n := range clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := newClient(f, n)
			for {
				select {
				case <-stop:
					return
				case <-time.After(pause/2 + rand.N(pause)):
				}
				send(c)
			}
		}()
	}
	return &wait
}

// served returns how many requests of a kind that were sent in a span were served and
// sent. Those without an end yet don't count.
func (f *Fleet) served(kind string, from, to time.Time) (served, sent int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, q := range f.requests {
		if q.Kind != kind || q.SentAt.Before(from) || !q.SentAt.Before(to) || !q.Done {
			continue
		}
		sent++
		if q.Status == http.StatusOK && q.Whole {
			served++
		}
	}
	return served, sent
}
