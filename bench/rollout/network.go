// Package rollout measures how fast a version spreads. It runs agents in one
// process over loopback sockets whose bytes are paced like the links of VMs.
package rollout

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Pacing of connections.
const (
	// pieceBytes is the unit in which connections share a link.
	pieceBytes = 16 << 10
	// smallBytes is the size up to which a write counts as control traffic,
	// which is not paced.
	smallBytes    = 512
	idlePerHost   = 4
	idlePerAgent  = 48
	dialTimeout   = 2 * time.Second
	stallInterval = 20 * time.Millisecond
)

var errKilled = eris.New("VM was killed")

// link is one direction of a link with a rate in bytes per second.
type link struct {
	rate  float64
	mu    sync.Mutex
	next  time.Time
	bytes atomic.Int64
}

// reserve returns when n more bytes have passed the link.
func (l *link) reserve(n int) time.Time {
	l.bytes.Add(int64(n))
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.next.Before(now) {
		l.next = now
	}
	l.next = l.next.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	return l.next
}

// region holds the uplink of a region in both directions.
type region struct {
	name    string
	in, out *link
}

// host is a VM or the origin.
type host struct {
	network  *network
	ip       string
	region   *region
	up, down *link
	killed   atomic.Bool
	stalled  atomic.Bool
	corrupt  float64
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// network connects hosts by their loopback addresses.
type network struct {
	mu    sync.Mutex
	hosts map[string]*host
}

func newNetwork() *network {
	return &network{hosts: map[string]*host{}}
}

func (n *network) add(ip string, r *region, up, down float64) *host {
	h := &host{network: n, ip: ip, region: r, up: &link{rate: up}, down: &link{rate: down}, conns: map[net.Conn]bool{}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[ip] = h
	return h
}

func (n *network) of(address net.Addr) *host {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[tcp.IP.String()]
}

// kill breaks all connections of the host and refuses new ones.
func (h *host) kill() {
	h.killed.Store(true)
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		_ = c.Close()
	}
}

func (h *host) track(c net.Conn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.killed.Load() {
		_ = c.Close()
		return false
	}
	h.conns[c] = true
	return true
}

// pacedConn is a connection between two hosts. Writes of a server are paced
// by the sender's and the regions' links, reads of a client by its own link.
type pacedConn struct {
	net.Conn
	host *host
	// path holds the links that writes pass.
	path []*link
	down *link
	once sync.Once
}

// Write implements net.Conn.
func (c *pacedConn) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		piece := p[:min(len(p), pieceBytes)]
		if len(c.path) > 0 && len(piece) > smallBytes {
			if err := c.pass(piece); err != nil {
				return written, err
			}
			if rand.Float64() < c.host.corrupt*float64(len(piece))/float64(chunkBytes) {
				piece = append([]byte(nil), piece...)
				piece[len(piece)-1] ^= 1
			}
		}
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
		p = p[len(piece):]
	}
	return written, nil
}

func (c *pacedConn) pass(piece []byte) error {
	for c.host.stalled.Load() && !c.host.killed.Load() {
		time.Sleep(stallInterval)
	}
	var at time.Time
	for _, l := range c.path {
		if t := l.reserve(len(piece)); t.After(at) {
			at = t
		}
	}
	time.Sleep(time.Until(at))
	if c.host.killed.Load() {
		return errKilled
	}
	return nil
}

// Read implements net.Conn.
func (c *pacedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), pieceBytes)])
	if c.down != nil && n > smallBytes {
		time.Sleep(time.Until(c.down.reserve(n)))
	}
	return n, err
}

// Close implements net.Conn.
func (c *pacedConn) Close() error {
	c.once.Do(func() {
		c.host.mu.Lock()
		defer c.host.mu.Unlock()
		delete(c.host.conns, c.Conn)
	})
	return c.Conn.Close()
}

// pacedListener wraps the connections that a host accepts.
type pacedListener struct {
	net.Listener
	host *host
}

func (h *host) wrap(l net.Listener) net.Listener {
	return &pacedListener{Listener: l, host: h}
}

// Accept implements net.Listener.
func (l *pacedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.host.track(c) {
			continue
		}
		paced := &pacedConn{Conn: c, host: l.host}
		if peer := l.host.network.of(c.RemoteAddr()); peer != nil {
			paced.path = []*link{l.host.up}
			if peer.region != l.host.region {
				paced.path = append(paced.path, l.host.region.out, peer.region.in)
			}
		}
		return paced, nil
	}
}

// transport returns the transport of a VM's agent.
func (h *host) transport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(h.ip)}}
	return &http.Transport{
		MaxIdleConns:        idlePerAgent,
		MaxIdleConnsPerHost: idlePerHost,
		ReadBufferSize:      pieceBytes,
		WriteBufferSize:     smallBytes * 2,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if h.killed.Load() {
				return nil, errKilled
			}
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if !h.track(c) {
				return nil, errKilled
			}
			paced := &pacedConn{Conn: c, host: h}
			if h.network.of(c.RemoteAddr()) != nil {
				paced.down = h.down
			}
			return paced, nil
		},
	}
}
