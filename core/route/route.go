// Package route holds the published configuration and looks up in it which
// service a request goes to, by host and path, and which workspace it belongs to,
// by key. It knows no load and no single server: the choice of a backend server
// or an entry is made by package routing.
//
// A Table is immutable once built, so that all decisions for a request use the
// same configuration.
package route

import (
	"hash/fnv"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/laburnumloft/laburnumloft/core/eligibility"
)

// Kind determines whether a request may be retried after it may have run.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Stream requests are answered with a stream of events. They are idempotent
	// only if the route is resumable.
	Stream
)

// Route maps a host and a path prefix to one or more services.
type Route struct {
	Name, Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout limits the time that a request waits for its answer.
	Timeout time.Duration
	// Target is the longest time to the answer, or to a stream's first event,
	// that counts as on time.
	Target time.Duration
	// PauseTarget is the longest pause between two events that counts as on time.
	PauseTarget time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// MaxAttempts limits the number of backend servers that one request is sent to.
	MaxAttempts int
	// Public routes require no key.
	Public bool
	// Resumable streams may be continued by another backend server.
	Resumable bool
	// Shares are the services of the route with their weights.
	Shares []Share
	// Homes are the regions in which requests may be served; none means all.
	Homes []string `json:",omitempty"`
}

// Share is the weight of one service on a route.
type Share struct {
	Service string
	Weight  int
}

// Retryable reports whether a request may be retried after a backend server may
// have run it.
func (r *Route) Retryable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service returns the service for a request, or none if no share has a weight above 0. The
// hash of the request id distributes the requests over the shares by weight.
func (r *Route) Service(requestID string) string {
	total := 0
	for _, s := range r.Shares {
		total += max(0, s.Weight)
	}
	if total == 0 {
		return ""
	}
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(requestID))
	draw := int(h.Sum32() % uint32(total))
	for _, s := range r.Shares {
		if draw < s.Weight {
			return s.Service
		}
		draw -= max(0, s.Weight)
	}
	return ""
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// Step is the time that one token step takes with an empty batch.
	Step time.Duration
	// PrefillPerSecond is the number of prompt tokens processed per second.
	PrefillPerSecond float64
	// Stride is the number of steps in one pass.
	Stride int
	// Layers is the number of layers of the model.
	Layers int
	// Models are the names of the models that the engines serve.
	Models []string
	// ReportLag is the age of a load report when it is published.
	ReportLag time.Duration
	// MemoryTokens is how many tokens of requests one engine holds; 0 means unknown.
	MemoryTokens int `json:",omitempty"`
	// UsualAnswer is the mean number of tokens of an answer; 0 means unknown.
	UsualAnswer float64 `json:",omitempty"`
	// Pieces is the number of pieces of one version of the weights; 0 means unknown.
	Pieces int `json:",omitempty"`
	// PieceBytes is the size of a piece in bytes; 0 means unknown.
	PieceBytes int64 `json:",omitempty"`
}

// Service is a group of backend servers or the origin server of weights.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections limits the number of connections to one backend server.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
	// Origin is the address of the origin server of weights, and OriginZone its
	// availability zone; empty for other services.
	Origin, OriginZone string
	// OriginMbps is the bandwidth of the origin server's link in Mbit/s; 0 means
	// unknown.
	OriginMbps float64
	// ColdPerSecond is the rate of requests, in requests per second of all entries
	// together, that a backend server bears for ColdStart after its start; 0 means
	// that it is not limited.
	ColdPerSecond float64       `json:",omitempty"`
	ColdStart     time.Duration `json:",omitempty"`
}

// ModelFor returns the model that must be loaded for a request with the given
// model name; empty for plain services. A name that is not in Models, for example
// that of an adapter, maps to the first model.
func (s *Service) ModelFor(name string) string {
	if s.Engine == nil || len(s.Engine.Models) == 0 {
		return ""
	}
	if slices.Contains(s.Engine.Models, name) {
		return name
	}
	return s.Engine.Models[0]
}

// Workspace is a tenant of the deployment, identified by its keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route; nil means not set.
	Priority *int
	// Homes are the regions in which the workspace's requests may be served; none
	// means all.
	Homes []string `json:",omitempty"`
}

// Access is which requests need the key of a workspace.
type Access string

const (
	// AccessUnstated is the access of a configuration that does not say which. Requests
	// need keys as with AccessByKey. Entries of earlier releases send it.
	AccessUnstated Access = ""
	// AccessByKey lets requests without the key of a workspace use public routes only,
	// also if there is no workspace.
	AccessByKey Access = "key"
	// AccessOpen lets requests without a key use all routes.
	AccessOpen Access = "open"
)

// Limits holds the limits on what a caller may send.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are sizes in bytes; 0 means unlimited.
	MaxHeaderBytes, MaxBodyBytes int64
	HeaderTimeout, IdleTimeout   time.Duration
}

// Configuration is one published version of the configuration.
type Configuration struct {
	Version int64
	// StoreEra is the number of the store's era in which the configuration was read; 0
	// also if it is not known.
	StoreEra   int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// Access is stated apart from Workspaces, because an empty list does not tell whether
	// keys are not in use or have all been taken away.
	Access Access `json:",omitempty"`
	Limits Limits
}

// AccessKnown reports whether the configuration says which requests need a key.
func (c *Configuration) AccessKnown() bool {
	return c.Access != AccessUnstated || len(c.Workspaces) > 0
}

// Table is an index for lookups in one configuration.
type Table struct {
	cfg             Configuration
	routesByHost    map[string][]hostRoute
	workspacesByKey map[string]*Workspace
	servicesByName  map[string]*Service
	// directoryRegions are, by host, the regions whose entries the directory may name
	// beside those of the caller's region; hosts without homes are missing.
	directoryRegions map[string]eligibility.Regions
}

// hostRoute is a route with its prefix in the form in which paths are compared.
type hostRoute struct {
	prefix string
	route  *Route
}

// NewTable returns a table of the configuration.
func NewTable(cfg Configuration) *Table {
	t := &Table{cfg: cfg, routesByHost: map[string][]hostRoute{}, workspacesByKey: map[string]*Workspace{}, servicesByName: map[string]*Service{}}
	for i := range t.cfg.Routes {
		r := &t.cfg.Routes[i]
		host := normalizeHost(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], hostRoute{NormalizePath(r.Prefix), r})
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].prefix) > len(routes[j].prefix) })
	}
	for i := range t.cfg.Workspaces {
		w := &t.cfg.Workspaces[i]
		for _, key := range w.Keys {
			// An empty key would admit requests without a key.
			if key != "" {
				t.workspacesByKey[key] = w
			}
		}
	}
	for i := range t.cfg.Services {
		t.servicesByName[t.cfg.Services[i].Name] = &t.cfg.Services[i]
	}
	t.indexHomes()
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.cfg.Version }

// Limits returns the limits on what callers may send.
func (t *Table) Limits() Limits { return t.cfg.Limits }

// Services returns all services.
func (t *Table) Services() []Service { return t.cfg.Services }

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.servicesByName[name] }

// Workspace returns the workspace with the name, or nil.
func (t *Table) Workspace(name string) *Workspace {
	for i := range t.cfg.Workspaces {
		if t.cfg.Workspaces[i].Name == name {
			return &t.cfg.Workspaces[i]
		}
	}
	return nil
}

// Match returns the route of the host whose prefix is the longest that matches
// the path, or nil. The path is encoded, as the caller wrote it.
func (t *Table) Match(host, encodedPath string) *Route {
	path := NormalizePath(encodedPath)
	for _, r := range t.routesByHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.prefix) {
			return r.route
		}
	}
	return nil
}

// Authenticate returns the workspace that the key belongs to and reports whether
// the request is allowed. A nil workspace with ok true means that the request
// needs no workspace: the route is public or the configuration has open access and no
// workspaces.
func (t *Table) Authenticate(r *Route, key string) (w *Workspace, ok bool) {
	if t.cfg.Access == AccessOpen && len(t.cfg.Workspaces) == 0 {
		return nil, true
	}
	w = t.workspacesByKey[key]
	return w, w != nil || r.Public
}

// normalizeHost removes the port from a host name and converts it to lower case.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Configuration returns the configuration that the table indexes.
func (t *Table) Configuration() Configuration { return t.cfg }
