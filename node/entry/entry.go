// Package entry implements the role that callers and operators connect to.
// An entry tails the settings log, keeps a view of the members, answers
// discovery and routes requests to agents. It keeps nothing that must last.
package entry

import (
	"cmp"
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/membership"
	"github.com/laburnumloft/laburnumloft/node/lib/callerconn"
	"github.com/laburnumloft/laburnumloft/node/lib/intake"
	"github.com/laburnumloft/laburnumloft/node/lib/lifecycle"
	"github.com/laburnumloft/laburnumloft/node/lib/platform"
	"github.com/laburnumloft/laburnumloft/node/lib/response"
	"github.com/laburnumloft/laburnumloft/node/lib/secure"
	"github.com/laburnumloft/laburnumloft/node/lib/telemetry"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// ErrStart is returned when an entry can't start.
var ErrStart = eris.New("entry can't start")

// idlePerHost is the number of idle connections kept to each host.
const idlePerHost = 64

// Config holds the settings of one entry.
type Config struct {
	ID, Region, Zone string
	// Listen is the address for callers, PeerListen the one for own processes.
	Listen, PeerListen string
	LogURL             string
	MembershipURL      string
	// LogRetention is the time for which the log keeps settings records.
	LogRetention time.Duration
	// SnapshotEvery is the largest number of records between two snapshots.
	SnapshotEvery int64
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes int64
	// HeldBodyBytes bounds the bodies of all requests together, MaxConnections the
	// connections of each listener; 0 means a default bound, and none.
	HeldBodyBytes  int64
	MaxConnections int
	// DrainTimeout bounds a planned stop.
	DrainTimeout time.Duration
	// StallTimeout is how long an agent may be silent on an answer until the entry
	// looks whether it is gone; 0 means DefaultStallTimeout.
	StallTimeout time.Duration
	Logger       hclog.Logger
	// Channel protects the traffic between own processes; nil protects nothing.
	Channel *secure.Channel
	// Force ends a planned stop at once; nil means never.
	Force context.Context
	// Dial opens connections for membership traffic; nil means a default one.
	Dial lifecycle.DialFunc
}

// Entry is one entry process.
type Entry struct {
	cfg        Config
	logger     hclog.Logger
	log        *platform.Log
	membership *platform.Membership
	// client reaches own processes.
	client *http.Client
	// control reaches other entries for membership.
	control     *http.Client
	settings    *settingsStore
	members     *memberTable
	direct      directReports
	tracker     *lifecycle.Tracker
	incarnation int64
	claims      *claimStore
	calls       *callState
	open        *openRequests
	dispatcher  *dispatcher
	bodies      *intake.Bodies
}

// New returns an entry that is not started yet.
func New(cfg Config) *Entry {
	client := &http.Client{Transport: &telemetry.Transport{Base: cfg.Channel.Transport(lifecycle.DataTransport(idlePerHost))}}
	platformClient := &http.Client{Transport: &telemetry.Transport{Base: platform.LimitBody(response.NewTransport(lifecycle.DataTransport(idlePerHost)), settingsPageBytes)}}
	e := &Entry{
		cfg:         cfg,
		logger:      cfg.Logger,
		log:         platform.NewLog(cfg.LogURL, platformClient),
		membership:  platform.NewMembership(cfg.MembershipURL, platformClient),
		client:      client,
		control:     lifecycle.ControlClient(cfg.Channel, cfg.Dial),
		settings:    newSettingsStore(),
		members:     newMemberTable(),
		tracker:     lifecycle.NewTracker(),
		incarnation: time.Now().UnixMilli(),
		claims:      newClaimStore(),
		calls:       newCallState(),
		open:        newOpenRequests(),
	}
	e.bodies = intake.NewBodies(cmp.Or(cfg.HeldBodyBytes, intake.DefaultBodyBytes), intake.LogGivenUp(intake.Logger(cfg.Logger)))
	e.bodies.SetLargest(cfg.MaxBodyBytes)
	e.dispatcher = newDispatcher(cfg.Region, e.servingAgents)
	return e
}

// Run serves until ctx ends, then lets requests in flight end.
func (e *Entry) Run(ctx context.Context) error {
	public, err := net.Listen("tcp", e.cfg.Listen)
	if err != nil {
		return eris.Wrap(errors.Join(ErrStart, err), "listening for callers")
	}
	peer, err := net.Listen("tcp", e.cfg.PeerListen)
	if err != nil {
		return eris.Wrap(errors.Join(ErrStart, err), "listening for own processes")
	}
	servers := []*http.Server{
		lifecycle.NewServer(e.publicHandler(), lifecycle.ControlProtocols()),
		lifecycle.NewServer(e.peerHandler(), lifecycle.ControlProtocols()),
	}
	var duties sync.WaitGroup
	dutyCtx, stopDuties := context.WithCancel(context.Background())
	defer stopDuties()
	duties.Go(func() { e.tailSettings(dutyCtx) })
	duties.Go(func() { e.members.run(dutyCtx, membership.New(time.Now(), e.viewConfig())) })
	duties.Go(func() { e.pollMembers(dutyCtx) })
	duties.Go(func() { e.gossip(dutyCtx) })
	duties.Go(func() { e.tailClaims(dutyCtx) })
	duties.Go(func() { e.dispatcher.run(dutyCtx) })
	public, peer = e.limit(servers[0], public, "callers"), e.limit(servers[1], peer, "peers")
	duties.Go(func() { e.serve(servers[0], public) })
	// The connections of package callerconn lie below TLS.
	duties.Go(func() { e.serve(servers[1], e.cfg.Channel.Listener(peer)) })
	e.logger.Info("entry started", "listen", public.Addr(), "peer_listen", peer.Addr())
	select {
	case <-ctx.Done():
	case <-e.tracker.LeavingStarted():
	}
	force := e.cfg.Force
	if force == nil {
		force = context.Background()
	}
	err = e.shutdown(force, servers)
	stopDuties()
	duties.Wait()
	return err
}

// limit bounds the connections of a listener and the bodies of its requests, and ends the
// context of each request with its caller.
func (e *Entry) limit(server *http.Server, listener net.Listener, name string) net.Listener {
	limited := intake.Limit(server, listener, name, e.cfg.MaxConnections, intake.LogClosed(intake.Logger(e.logger)))
	server.Handler = e.bodies.Handler(server.Handler)
	return callerconn.Configure(server, limited)
}

func (e *Entry) serve(server *http.Server, listener net.Listener) {
	// A planned stop closes the listener first.
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		e.logger.Error("server stopped", "error", err)
	}
}

func (e *Entry) publicHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/discovery", e.handleDiscovery)
	mux.HandleFunc("POST /v1/workspaces/{workspace}/services/{service}/requests", e.handleRequest)
	mux.HandleFunc("GET /v1/health", e.handleHealth)
	e.routeOperations(mux)
	mux.HandleFunc("DELETE /v1/requests/{id}", e.handleCancel)
	mux.HandleFunc("GET /v1/status", e.handleStatus)
	mux.HandleFunc("GET /v1/settings", e.handleSettings)
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		wire.WriteError(w, wire.Error{Kind: wire.ErrorNotFound, Message: "no such path: " + r.URL.Path})
	})
	return telemetry.Handler("entry", ownRequestID(e.tracker.Track(mux, isWork, e.redirect)))
}

func (e *Entry) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(rpc.ControlPathPrefix, rpc.NewControlServer(&controlServer{entry: e}))
	mux.Handle(rpc.PeerPathPrefix, rpc.NewPeerServer(&peerServer{entry: e}))
	return telemetry.Handler("entry.peer", e.cfg.Channel.Handler(mux))
}

// ownRequestID drops the id that a caller sends: two callers with the same
// id could otherwise cancel each other's requests.
func ownRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set(requestIDHeader, uuid.NewString())
		next.ServeHTTP(w, r)
	})
}
