package rollout

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	core "github.com/laburnumloft/laburnumloft/core/rollout"
	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/agent"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
	"github.com/laburnumloft/laburnumloft/standin/engine"
	"github.com/laburnumloft/laburnumloft/standin/memberlist"
	"github.com/laburnumloft/laburnumloft/standin/weightstore"
)

// Scaled-down sizes and rates. In the time in which the origin's link carries
// four copies and a VM's link two, a region's uplink carries four.
const (
	versionBytes = 8 << 20
	chunkBytes   = 32 << 10
	smallRate    = 1 << 20
	// largeRate lets a few cores carry the traffic of a large fleet. All
	// times grow by the same factor.
	largeRate   = 256 << 10
	largeFleet  = 200
	originShare = 2
	regionShare = 2
	// deadlineShare is the part of the fluid bound that a source may make no
	// progress. The default of 10 s is about that part of the minutes that a
	// full-size version takes.
	deadlineShare = 8
)

// vmRate is a VM's rate in bytes per second and direction.
func vmRate(n int) float64 {
	if n > largeFleet {
		return largeRate
	}
	return smallRate
}

const (
	// listLag is how long the list of peers names a VM that was killed.
	listLag      = time.Second
	pollInterval = 20 * time.Millisecond
	probeEvery   = 10 * time.Millisecond
	model        = "notices"
	service      = "juru-tulis"
	originIP     = "127.20.0.1"
)

var regionNames = []string{"priangan", "pantura", "selatan"}

// Setting is one way to run a rollout.
type Setting struct {
	Name      string
	Objective settings.Objective
	Strategy  core.Strategy
	Faults    bool
	// Bytes is the size of a version; 0 means versionBytes.
	Bytes int
	// Hold is how long all chunks stay in memory; 0 means the default.
	Hold time.Duration
	// Limit ends a baseline that would take too long.
	Limit time.Duration
	// Baseline runs may end at the limit.
	Baseline bool
}

// Sample is the number of replicas at a time after the start.
type Sample struct {
	At       time.Duration
	Replicas int
}

// Result is what one run measured.
type Result struct {
	// Converged is false when the limit came first.
	Converged                               bool
	Elapsed                                 time.Duration
	XBound, OriginCopies, RegionCopies      float64
	MaxLinkCopies, BoundSeconds             float64
	Replicas, Answers, Mixed, Cut, Restarts int
	Samples                                 []Sample
}

// vm is one VM with its engine and its agent.
type vm struct {
	id      string
	host    *host
	address string
	engine  *engine.Engine
	server  *http.Server
	stop    context.CancelFunc
	done    chan struct{}
	dead    bool
}

// fleet is a deployment in one process.
type fleet struct {
	setting  Setting
	rate     float64
	deadline time.Duration
	network  *network
	regions  []*region
	origin   *host
	store    *weightstore.Store
	control  *control
	list     *memberlist.List
	storeURL string
	listURL  string
	servers  []*http.Server
	vms      []*vm
	answers  atomic.Int64
	mixed    atomic.Int64
	cut      atomic.Int64
}

// bound returns the fluid lower bound for n VMs.
func bound(n int) time.Duration {
	size := float64(versionBytes)
	rate := vmRate(n)
	total := size * float64(n) / (float64(n)*rate + originShare*rate)
	seconds := max(size/(originShare*rate), size/rate, size/(regionShare*rate), total)
	return time.Duration(seconds * float64(time.Second))
}

func serve(address string, handler http.Handler, wrap func(net.Listener) net.Listener) (string, *http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, eris.Wrap(err, "listening")
	}
	if wrap != nil {
		listener = wrap(listener)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: dialTimeout}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), server, nil
}

func newFleet(setting Setting, n int) (*fleet, error) {
	rate := vmRate(n)
	f := &fleet{setting: setting, rate: rate, deadline: bound(n) / deadlineShare, network: newNetwork(), store: weightstore.New(), control: newControl(), list: memberlist.New()}
	for _, name := range regionNames {
		f.regions = append(f.regions, &region{name: name, in: &link{rate: regionShare * rate}, out: &link{rate: regionShare * rate}})
	}
	f.origin = f.network.add(originIP, f.regions[0], originShare*rate, originShare*rate)
	if err := f.startPlatform(); err != nil {
		return nil, err
	}
	for i := range n {
		v, err := f.newVM(i)
		if err != nil {
			f.close()
			return nil, err
		}
		f.vms = append(f.vms, v)
	}
	return f, nil
}

func (f *fleet) startPlatform() error {
	address, server, err := serve(originIP+":0", f.store.Handler(), f.origin.wrap)
	if err != nil {
		return err
	}
	f.storeURL = "http://" + address
	f.servers = append(f.servers, server)
	if address, server, err = serve("127.0.0.1:0", f.list.Handler(), nil); err != nil {
		return err
	}
	f.listURL = "http://" + address
	f.servers = append(f.servers, server)
	if address, server, err = serve("127.0.0.1:0", rpc.NewControlServer(f.control), nil); err != nil {
		return err
	}
	f.servers = append(f.servers, server)
	f.list.Put(wire.Member{ID: "entry", Role: wire.RoleEntry, Address: address, PeerAddress: address, State: wire.MemberLive})
	return nil
}

func (f *fleet) newVM(i int) (*vm, error) {
	v := &vm{id: fmt.Sprintf("agent-%03d", i)}
	r := f.regions[i%len(f.regions)]
	ip := fmt.Sprintf("127.%d.%d.%d", 10+i%len(f.regions), i/200, 1+i%200)
	v.host = f.network.add(ip, r, f.rate, f.rate)
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, eris.Wrap(err, "finding a free port")
	}
	v.address = listener.Addr().String()
	_ = listener.Close()
	return v, f.start(v)
}

// start runs an engine and an agent on the VM.
func (f *fleet) start(v *vm) error {
	v.engine = engine.New(engine.Config{TokenTime: time.Millisecond, ChecksFence: true})
	url, server, err := serve("127.0.0.1:0", v.engine.Handler(), nil)
	if err != nil {
		return err
	}
	v.server = server
	peers := v.host.transport()
	peers.Protocols = agent.PeerProtocols()
	a := agent.New(agent.Config{
		ID: v.id, Region: v.host.region.name, Zone: v.host.region.name, Service: service, Kind: settings.KindEngine,
		Listen: v.address, BackendURL: "http://" + url, WeightsURL: f.storeURL, MembershipURL: f.listURL,
		MemoryCeiling: 4 * versionBytes, DrainTimeout: time.Second, Logger: hclog.NewNullLogger(),
		Transport: v.host.transport(), PeerTransport: peers, WrapListener: v.host.wrap,
		Rollout: agent.RolloutConfig{ChunkDeadline: f.deadline, Strategy: f.setting.Strategy, WeightsHold: f.setting.Hold},
	})
	ctx, cancel := context.WithCancel(context.Background())
	v.stop, v.done = cancel, make(chan struct{})
	done := v.done
	go func() {
		defer close(done)
		_ = a.Run(ctx)
	}()
	f.control.put(&rpc.PeerAddress{Id: v.id, Address: v.address, Region: v.host.region.name})
	return nil
}

// kill ends a VM without warning.
func (f *fleet) kill(v *vm) {
	v.dead = true
	v.host.kill()
	_ = v.server.Close()
	v.stop()
	time.AfterFunc(listLag, func() { f.control.remove(v.id) })
}

// restart replaces a killed VM by an empty one with the same address.
func (f *fleet) restart(v *vm) error {
	<-v.done
	v.host.killed.Store(false)
	v.dead = false
	return f.start(v)
}

func (f *fleet) close() {
	for _, v := range f.vms {
		v.host.stalled.Store(false)
		v.host.kill()
		v.stop()
		_ = v.server.Close()
	}
	for _, v := range f.vms {
		<-v.done
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// publish makes a version and puts it in force.
func (f *fleet) publish(offset int64, version string) {
	f.intend(offset, version, f.store.Add(model, version, f.bytes(), chunkBytes, uint64(offset)))
}

func (f *fleet) bytes() int {
	if f.setting.Bytes > 0 {
		return f.setting.Bytes
	}
	return versionBytes
}

// intend puts a version in force.
func (f *fleet) intend(offset int64, version, digest string) {
	f.control.publish(offset, settings.Service{
		Name: service, Kind: settings.KindEngine, Model: model, Version: version, Manifest: digest,
		Objective: f.setting.Objective, OriginRegion: regionNames[0], ChecksFence: true,
	})
}

// replicas counts the live VMs whose engine has the version, and the live VMs.
func (f *fleet) replicas(version string) (have, live int) {
	for _, v := range f.vms {
		if v.dead {
			continue
		}
		live++
		if s := v.engine.Status(); s.State == wire.EngineReady && s.Version == version {
			have++
		}
	}
	return have, live
}

// watch samples the replicas until all live VMs have the version, until the
// condition holds, or until the limit.
func (f *fleet) watch(start time.Time, version string, limit time.Duration, enough func(have, live int) bool) (samples []Sample, done bool) {
	for {
		have, live := f.replicas(version)
		at := time.Since(start)
		if len(samples) == 0 || samples[len(samples)-1].Replicas != have {
			samples = append(samples, Sample{At: at, Replicas: have})
		}
		if enough(have, live) {
			return samples, true
		}
		if at > limit {
			return samples, false
		}
		time.Sleep(pollInterval)
	}
}

func all(have, live int) bool { return have == live }

// probe sends requests to random agents and checks that each whole answer
// comes from one version.
func (f *fleet) probe(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		v := f.vms[rand.IntN(len(f.vms))]
		for _, version := range []string{"v1", "v2"} {
			f.ask(ctx, client, v, version, i)
		}
		select {
		case <-ctx.Done():
		case <-time.After(probeEvery):
		}
	}
}

func (f *fleet) ask(ctx context.Context, client *http.Client, v *vm, version string, i int) {
	body, _ := json.Marshal(wire.AgentRequest{RequestID: fmt.Sprint(i), Service: service, Version: version, MaxTokens: 20})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.address+"/agent/v1/requests", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return
	}
	mixed := false
	for decoder := json.NewDecoder(resp.Body); ; {
		var frame wire.Frame
		if err := decoder.Decode(&frame); err != nil || frame.Error != nil {
			f.cut.Add(1)
			return
		}
		if frame.Token != nil && !strings.HasPrefix(frame.Token.Text, version+"-") {
			mixed = true
		}
		if frame.End != nil {
			f.answers.Add(1)
			if mixed || frame.End.Version != version {
				f.mixed.Add(1)
			}
			return
		}
	}
}

// Run measures one rollout over n VMs.
func Run(setting Setting, n int) (*Result, error) {
	f, err := newFleet(setting, n)
	if err != nil {
		return nil, err
	}
	defer f.close()
	ready := time.Now()
	for f.control.reports() < n {
		if time.Since(ready) > time.Minute {
			return nil, eris.New("agents did not report in time")
		}
		time.Sleep(pollInterval)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var probes sync.WaitGroup
	probes.Go(func() { f.probe(ctx) })
	defer probes.Wait()
	defer cancel()
	limit := setting.Limit
	if limit == 0 {
		limit = 8 * bound(n)
	}
	version := "v1"
	result := &Result{}
	start := time.Now()
	f.publish(1, version)
	if setting.Faults {
		version = "v2"
		result.Samples, start = f.inject(start, limit, result)
	}
	samples, done := f.watch(start, version, limit, all)
	result.Samples = append(result.Samples, samples...)
	result.Converged = done
	f.measure(result, version, start, n)
	return result, nil
}

func (f *fleet) measure(r *Result, version string, start time.Time, n int) {
	r.Elapsed = time.Since(start)
	size := float64(versionBytes)
	r.BoundSeconds = bound(n).Seconds()
	r.XBound = r.Elapsed.Seconds() / r.BoundSeconds
	r.OriginCopies = float64(f.store.DrawnOf(model, version)) / size
	for _, g := range f.regions {
		r.RegionCopies = max(r.RegionCopies, float64(g.out.bytes.Load())/size, float64(g.in.bytes.Load())/size)
	}
	for _, v := range f.vms {
		r.MaxLinkCopies = max(r.MaxLinkCopies, float64(v.host.up.bytes.Load())/size, float64(v.host.down.bytes.Load())/size)
	}
	r.Replicas, _ = f.replicas(version)
	r.Answers, r.Mixed, r.Cut = int(f.answers.Load()), int(f.mixed.Load()), int(f.cut.Load())
}

// Shares of the fleet that faults hit.
const (
	killedShare    = 10
	stalledShare   = 20
	restartedShare = 4
	corruptShare   = 0.01
)

// inject starts all faults and changes the version half-way. It returns the
// samples of the old version and the time of the change.
func (f *fleet) inject(start time.Time, limit time.Duration, r *Result) ([]Sample, time.Time) {
	for _, v := range f.vms {
		v.host.corrupt = corruptShare
	}
	half := time.Now().Add(bound(len(f.vms)) / 2)
	samples, _ := f.watch(start, "v1", limit, func(int, int) bool { return time.Now().After(half) })
	for i, v := range f.vms {
		switch {
		case i%killedShare == killedShare-1:
			f.kill(v)
		case i%stalledShare == stalledShare/2:
			v.host.stalled.Store(true)
			time.AfterFunc(2*bound(len(f.vms)), func() { v.host.stalled.Store(false) })
		}
	}
	change := time.Now()
	f.publish(2, "v2")
	restartAt := change.Add(bound(len(f.vms)) / 2)
	f.watch(change, "v2", limit, func(int, int) bool { return time.Now().After(restartAt) })
	for i, v := range f.vms {
		if i%restartedShare == 1 && !v.dead {
			f.kill(v)
			if err := f.restart(v); err == nil {
				r.Restarts++
			}
		}
	}
	return samples, change
}
