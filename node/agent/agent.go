// Package agent implements the role that runs beside each backend server.
// An agent is the only way into its backend server: it fetches and shares
// weights, orders the engine to load them, and admits requests.
package agent

import (
	"cmp"
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/callerconn"
	"github.com/laburnumloft/laburnumloft/node/lib/intake"
	"github.com/laburnumloft/laburnumloft/node/lib/lifecycle"
	"github.com/laburnumloft/laburnumloft/node/lib/platform"
	"github.com/laburnumloft/laburnumloft/node/lib/response"
	"github.com/laburnumloft/laburnumloft/node/lib/ring"
	"github.com/laburnumloft/laburnumloft/node/lib/secure"
	"github.com/laburnumloft/laburnumloft/node/lib/telemetry"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// ErrStart is returned when an agent can't start.
var ErrStart = eris.New("agent can't start")

// Limits of the agent's connections.
const (
	// idlePerHost is the number of idle connections kept to each host.
	idlePerHost     = 16
	maxRequestBytes = 2 << 20
)

// Config holds the settings of one agent.
type Config struct {
	ID, Region, Zone string
	// Service is the service that the backend server belongs to.
	Service       string
	Kind          settings.Kind
	Listen        string
	BackendURL    string
	WeightsURL    string
	MembershipURL string
	// MemoryCeiling bounds the bytes of weights held in memory.
	MemoryCeiling int64
	// HeldBodyBytes bounds the bodies of all requests together, MaxConnections the
	// connections; 0 means a default bound, and none.
	HeldBodyBytes  int64
	MaxConnections int
	DrainTimeout   time.Duration
	// StallTimeout is how long the backend server may make no progress on an
	// answer until the agent looks whether it still runs the version; 0 means
	// DefaultStallTimeout.
	StallTimeout time.Duration
	Logger       hclog.Logger
	// Transport is used towards other VMs; nil means a default one.
	Transport http.RoundTripper
	// PeerTransport is used towards other agents; nil means a default one.
	PeerTransport http.RoundTripper
	// Channel protects the traffic between own processes; nil protects nothing.
	Channel *secure.Channel
	// WrapListener wraps the listening socket; nil means to use it as it is.
	WrapListener func(net.Listener) net.Listener
	Rollout      RolloutConfig
	// Force ends a planned stop at once; nil means never.
	Force context.Context
	// Dial opens connections for membership traffic; nil means a default one.
	Dial lifecycle.DialFunc
}

// Agent is one agent process.
type Agent struct {
	cfg         Config
	logger      hclog.Logger
	incarnation int64
	client      *http.Client
	peers       *http.Client
	weights     *platform.Weights
	membership  *platform.Membership
	engine      *engineClient
	state       *agentState
	rollout     *rolloutDuty
	sync        *syncDuty
	tracker     *lifecycle.Tracker
	operations  *operationsDuty
	admission   *admission
	// gate keeps requests away from a backend server in need.
	gate    *backendGate
	cancels *ring.Ring[string]
}

// agentState is what the duties of one agent share.
type agentState struct {
	mu       sync.Mutex
	settings *settings.State
	// inForce guards the order of the settings; settings is its state.
	inForce       *settings.InForce
	settingsGate  settingsGate
	changed       chan struct{}
	version       string
	versionState  string
	problem       string
	intended      string
	chunksHeld    int
	chunksTotal   int
	leaving       bool
	running       int
	sequence      uint64
	peers         []*rpc.PeerAddress
	reportChanged chan struct{}
	// gate decides on the admission of requests; nil admits those for the
	// reported version.
	gate admissionGate
}

// New returns an agent that is not started yet.
func New(cfg Config) *Agent {
	cfg.Rollout = cfg.Rollout.withDefaults()
	base, platformBase := cfg.Transport, cfg.Transport
	if base == nil {
		base, platformBase = cfg.Channel.Transport(lifecycle.DataTransport(idlePerHost)), response.NewTransport(lifecycle.DataTransport(idlePerHost))
	}
	client := &http.Client{Transport: &telemetry.Transport{Base: base}}
	platformClient := &http.Client{Transport: &telemetry.Transport{Base: platformBase}}
	a := &Agent{
		cfg:         cfg,
		logger:      cfg.Logger,
		incarnation: time.Now().UnixMilli(),
		client:      client,
		peers:       &http.Client{Transport: peerTransport(cfg)},
		weights:     platform.NewWeights(cfg.WeightsURL, platformClient),
		membership:  platform.NewMembership(cfg.MembershipURL, platformClient),
		gate:        newBackendGate(cfg.BackendURL, cfg.Logger),
		state: &agentState{
			settings:      settings.NewState(),
			inForce:       settings.NewInForce(),
			changed:       make(chan struct{}),
			reportChanged: make(chan struct{}, 1),
		},
	}
	a.engine = newEngineClient(cfg.BackendURL, a.gate)
	a.rollout = newRolloutDuty(a)
	a.sync = newSyncDuty(a, lifecycle.ControlClient(cfg.Channel, cfg.Dial))
	a.tracker = lifecycle.NewTracker()
	a.operations = newOperationsDuty(a)
	if cfg.Kind == settings.KindEngine {
		a.state.gate = a.rollout
	}
	a.admission = newAdmission(a.gate)
	a.cancels = newCancelRing()
	return a
}

// Run serves until ctx ends, then lets requests in flight end.
func (a *Agent) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.cfg.Listen)
	if err != nil {
		return eris.Wrap(errors.Join(ErrStart, err), "listening")
	}
	if a.cfg.WrapListener != nil {
		listener = a.cfg.WrapListener(listener)
	}
	log := intake.Logger(a.logger)
	bodies := intake.NewBodies(cmp.Or(a.cfg.HeldBodyBytes, intake.DefaultBodyBytes), intake.LogGivenUp(log))
	server := lifecycle.NewServer(a.handler(), serverProtocols())
	limited := intake.Limit(server, listener, "agent", a.cfg.MaxConnections, intake.LogClosed(log))
	server.Handler = bodies.Handler(server.Handler)
	limited = callerconn.Configure(server, limited)
	var duties sync.WaitGroup
	dutyCtx, stopDuties := context.WithCancel(context.Background())
	defer stopDuties()
	duties.Go(func() { a.sync.run(dutyCtx) })
	duties.Go(func() { a.operations.run(dutyCtx) })
	duties.Go(func() { a.admission.run(dutyCtx) })
	duties.Go(func() { a.cancelAbandoned(dutyCtx) })
	if a.cfg.Kind == settings.KindEngine {
		duties.Go(func() { a.rollout.run(dutyCtx) })
	} else {
		a.state.setServing("")
	}
	duties.Go(func() {
		// The connections of package callerconn lie below TLS. A planned stop closes the
		// listener first.
		if err := server.Serve(a.cfg.Channel.Listener(limited)); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			a.logger.Error("server stopped", "error", err)
		}
	})
	a.logger.Info("agent started", "listen", listener.Addr(), "incarnation", a.incarnation)
	select {
	case <-ctx.Done():
	case <-a.tracker.LeavingStarted():
	}
	force := a.cfg.Force
	if force == nil {
		force = context.Background()
	}
	err = a.shutdown(force, server)
	stopDuties()
	duties.Wait()
	return err
}

func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /agent/v1/requests", a.handleRequest)
	mux.HandleFunc("GET /weights/v1/{model}/{version}/manifest", a.rollout.handleManifest)
	mux.HandleFunc("GET /weights/v1/{model}/{version}/chunks/{index}", a.rollout.handleChunk)
	mux.HandleFunc("GET /v1/health", a.handleHealth)
	mux.Handle(rpc.OperationsPathPrefix, rpc.NewOperationsServer(a.operations))
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		wire.WriteError(w, wire.Error{Kind: wire.ErrorNotFound, Message: "no such path: " + r.URL.Path})
	})
	return telemetry.Handler("agent", a.cfg.Channel.Handler(a.tracker.Count(a.tracker.Track(mux, isWork, refuse), isOperation)))
}
