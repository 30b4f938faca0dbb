// Package route holds a published configuration and decides which service a
// request goes to and for which workspace.
//
// A Table is immutable once built, so that a request sees one configuration
// from its first to its last decision.
package route

import (
	"hash/fnv"
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated on a route.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Stream answers with events. It is idempotent only if it is resumable.
	Stream
)

// Route is one way from a host and path to a service.
type Route struct {
	Name, Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may wait for its answer.
	Timeout time.Duration
	// Target is the time to the answer, or to a stream's first event, within
	// which the answer counts in full.
	Target time.Duration
	// PauseTarget is the longest pause between events that is still on time.
	PauseTarget time.Duration
	// Priority is the rank; 0 is the highest.
	Priority int
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue at another backend server.
	Resumable bool
	// Shares are the services of the route with their weights.
	Shares []Share
}

// Share is the weight of one service on a route.
type Share struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request may be sent again after it may have
// run.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service returns the service for a request. The request id spreads requests
// over the shares.
func (r *Route) Service(requestID string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	h := fnv.New32a()
	// A hash never fails to write.
	_, _ = h.Write([]byte(requestID))
	draw := int(h.Sum32() % uint32(total))
	for _, s := range r.Shares {
		if draw < s.Weight {
			return s.Service
		}
		draw -= s.Weight
	}
	return ""
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests one engine runs at once.
	Slots int
	// Step is the time of one token step of an empty batch.
	Step time.Duration
	// PrefillPerSecond is how many prompt tokens are read a second.
	PrefillPerSecond float64
	// Stride is how many steps one pass takes.
	Stride int
	// Layers is how many layers the model has.
	Layers int
	// Models are the names of the models that the engines run.
	Models []string
	// ReportLag is how old a published load is.
	ReportLag time.Duration
}

// Service is a group of backend servers, or the origin of weights.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections of one backend server.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
	// Origin is the address of the origin of weights; empty elsewhere.
	Origin, OriginZone string
	// OriginMbps is its link in Mbit/s; 0 is unknown.
	OriginMbps float64
}

// ModelFor returns the model that must be loaded for a request that names one;
// empty for plain services. A name that isn't listed, for example an adapter's,
// belongs to the first model.
func (s *Service) ModelFor(name string) string {
	if s.Engine == nil || len(s.Engine.Models) == 0 {
		return ""
	}
	if slices.Contains(s.Engine.Models, name) {
		return name
	}
	return s.Engine.Models[0]
}

// Workspace is a tenant of the deployment with its keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's; nil if unset.
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are in bytes; 0 is unlimited.
	MaxHeaderBytes, MaxBodyBytes int64
	HeaderTimeout, IdleTimeout   time.Duration
}

// Configuration is one published version.
type Configuration struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Table answers lookups in one configuration.
type Table struct {
	cfg      Configuration
	hosts    map[string][]*Route
	keys     map[string]*Workspace
	services map[string]*Service
}

// NewTable indexes a configuration.
func NewTable(cfg Configuration) *Table {
	t := &Table{cfg: cfg, hosts: map[string][]*Route{}, keys: map[string]*Workspace{}, services: map[string]*Service{}}
	for i := range t.cfg.Routes {
		r := &t.cfg.Routes[i]
		host := normalHost(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range t.cfg.Workspaces {
		w := &t.cfg.Workspaces[i]
		for _, key := range w.Keys {
			t.keys[key] = w
		}
	}
	for i := range t.cfg.Services {
		t.services[t.cfg.Services[i].Name] = &t.cfg.Services[i]
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.cfg.Version }

// Limits returns what callers may send.
func (t *Table) Limits() Limits { return t.cfg.Limits }

// Services returns all services.
func (t *Table) Services() []Service { return t.cfg.Services }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match returns the route with the longest prefix of the path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[normalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Authenticate returns the workspace of a request. A nil workspace with ok
// means that the route needs none.
func (t *Table) Authenticate(r *Route, key string) (w *Workspace, ok bool) {
	if len(t.cfg.Workspaces) == 0 {
		return nil, true
	}
	w = t.keys[key]
	return w, w != nil || r.Public
}

// normalHost drops the port and the case of a host name.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Configuration returns the configuration that the table indexes.
func (t *Table) Configuration() Configuration { return t.cfg }
