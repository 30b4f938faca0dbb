// Package routing measures routing and limits under load. Entries, agents,
// engines and the platform's stand-ins run in one process and talk over
// loopback sockets, as separate processes would.
package routing

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/laburnumloft/laburnumloft/bench/harness"
	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/agent"
	"github.com/laburnumloft/laburnumloft/node/entry"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/standin/engine"
	"github.com/laburnumloft/laburnumloft/standin/logservice"
	"github.com/laburnumloft/laburnumloft/standin/memberlist"
	"github.com/laburnumloft/laburnumloft/standin/weightstore"
)

// Names of the one region, service and version that is served.
const (
	region  = "priangan"
	zone    = "priangan-a"
	service = "juru-tulis"
	model   = "notices"
	// Version is the version that all engines serve.
	Version = "v1"
)

// startTimeout bounds the wait for all engines to serve.
const startTimeout = 30 * time.Second

// ClusterConfig sets the size of a cluster.
type ClusterConfig struct {
	Entries, Engines int
	Engine           engine.Config
	// WrapEngine replaces the handler of an engine; nil leaves it as it is.
	WrapEngine func(index int, e *engine.Engine) http.Handler
	// StallTimeout of the agents; 0 means their default.
	StallTimeout time.Duration
	// DrainTimeout bounds planned stops; 0 means a second.
	DrainTimeout time.Duration
	// Workspaces are the names of the workspaces, each with share 1.
	Workspaces []string
}

// Cluster is a running system.
type Cluster struct {
	Engines []*engine.Engine
	// EngineURLs and AgentAddresses belong to Engines by index.
	EngineURLs, AgentAddresses []string
	// EntryURLs are the addresses for callers.
	EntryURLs []string
	// StopEntry and StopAgent begin planned stops, by index.
	StopEntry, StopAgent []context.CancelFunc
	// EngineServers belong to Engines by index.
	EngineServers []*httptest.Server
	logURL        string
	store         *weightstore.Store
	servers       []*httptest.Server
	stop          context.CancelFunc
	running       sync.WaitGroup
}

// StartCluster starts a cluster and waits until every engine serves.
func StartCluster(cfg ClusterConfig) (*Cluster, error) {
	ctx, stop := context.WithCancel(context.Background())
	cfg.DrainTimeout = cmp.Or(cfg.DrainTimeout, time.Second)
	c := &Cluster{stop: stop, store: weightstore.New()}
	weightsURL, membersURL := c.serve(c.store.Handler()).URL, c.serve(memberlist.New().Handler()).URL
	c.logURL = c.serve(logservice.New(logservice.Control{}).Handler()).URL
	if err := c.publish(cfg.Workspaces); err != nil {
		return c, err
	}
	for i := range cfg.Entries {
		if err := c.startEntry(ctx, fmt.Sprintf("entry-%d", i), cfg, membersURL); err != nil {
			return c, err
		}
	}
	for i := range cfg.Engines {
		if err := c.startAgent(ctx, fmt.Sprintf("agent-%d", i), cfg, weightsURL, membersURL); err != nil {
			return c, err
		}
	}
	ready, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, url := range c.EntryURLs {
		if err := harness.Until(ready, func() bool { return servingAgents(url) == cfg.Engines }); err != nil {
			return c, err
		}
	}
	return c, nil
}

// Close stops everything and waits for it.
func (c *Cluster) Close() {
	c.stop()
	c.running.Wait()
	for _, s := range c.servers {
		s.Close()
	}
}

func (c *Cluster) serve(handler http.Handler) *httptest.Server {
	s := httptest.NewServer(handler)
	c.servers = append(c.servers, s)
	return s
}

// PublishVersion puts a version of the model in force. base is the offset of the version
// before, 0 if there is none.
func (c *Cluster) PublishVersion(version string, base int64) error {
	digest := c.store.Add(model, version, 64<<10, 16<<10, uint64(base+1))
	return c.put("template", "notices", base, settings.Template{Name: "notices", Services: []settings.Service{{
		Name: service, Kind: settings.KindEngine, Model: model, Version: version, Manifest: digest,
	}}})
}

func (c *Cluster) put(kind, name string, base int64, body any) error {
	key := kind + "/" + name
	record := map[string]any{"id": fmt.Sprint(key, "-", base), "kind": kind, "key": key, "base": base, "body": body}
	return harness.PostJSON(c.logURL+"/v1/streams/settings/records", record, nil)
}

func (c *Cluster) publish(workspaces []string) error {
	err := c.PublishVersion(Version, 0)
	for _, w := range workspaces {
		if err == nil {
			err = c.put("parameters", w, 0, settings.Parameters{Workspace: w, Template: "notices", Share: 1})
		}
	}
	return err
}

func (c *Cluster) startEntry(ctx context.Context, id string, cfg ClusterConfig, membersURL string) error {
	address, err := harness.FreeAddress()
	if err != nil {
		return err
	}
	peer, err := harness.FreeAddress()
	if err != nil {
		return err
	}
	e := entry.New(entry.Config{
		ID: id, Region: region, Zone: zone, Listen: address, PeerListen: peer, LogURL: c.logURL, MembershipURL: membersURL,
		MaxBodyBytes: 1 << 20, DrainTimeout: cfg.DrainTimeout, Logger: hclog.NewNullLogger(),
	})
	ctx, stop := context.WithCancel(ctx)
	c.StopEntry = append(c.StopEntry, stop)
	c.running.Go(func() { _ = e.Run(ctx) })
	c.EntryURLs = append(c.EntryURLs, "http://"+address)
	return harness.PostJSON(membersURL+"/v1/members", wire.Member{
		ID: id, Role: wire.RoleEntry, Address: address, PeerAddress: peer, Region: region, Zone: zone, State: wire.MemberLive,
	}, nil)
}

func (c *Cluster) startAgent(ctx context.Context, id string, cfg ClusterConfig, weightsURL, membersURL string) error {
	address, err := harness.FreeAddress()
	if err != nil {
		return err
	}
	backend := engine.New(cfg.Engine)
	handler := backend.Handler()
	if cfg.WrapEngine != nil {
		handler = cfg.WrapEngine(len(c.Engines), backend)
	}
	server := c.serve(handler)
	a := agent.New(agent.Config{
		ID: id, Region: region, Zone: zone, Service: service, Kind: settings.KindEngine, Listen: address,
		BackendURL: server.URL, WeightsURL: weightsURL, MembershipURL: membersURL,
		MemoryCeiling: 1 << 20, DrainTimeout: cfg.DrainTimeout, StallTimeout: cfg.StallTimeout, Logger: hclog.NewNullLogger(),
	})
	ctx, stop := context.WithCancel(ctx)
	c.StopAgent = append(c.StopAgent, stop)
	c.running.Go(func() { _ = a.Run(ctx) })
	c.Engines = append(c.Engines, backend)
	c.EngineURLs = append(c.EngineURLs, server.URL)
	c.EngineServers = append(c.EngineServers, server)
	c.AgentAddresses = append(c.AgentAddresses, address)
	return harness.PostJSON(membersURL+"/v1/members", wire.Member{
		ID: id, Role: wire.RoleAgent, Address: address, Region: region, Zone: zone, Service: service, State: wire.MemberLive,
	}, nil)
}

// servingAgents returns how many agents the entry sees serving.
func servingAgents(url string) int {
	resp, err := http.Get(url + "/v1/status")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var status struct {
		Agents []struct {
			VersionState string `json:"version_state"`
		} `json:"agents"`
	}
	if json.NewDecoder(resp.Body).Decode(&status) != nil {
		return 0
	}
	n := 0
	for _, a := range status.Agents {
		if a.VersionState == "serving" {
			n++
		}
	}
	return n
}
