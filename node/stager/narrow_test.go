package stager

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/rollout"
	"github.com/laburnumloft/laburnumloft/node/decision"
)

// slowLink is a machine's downlink: one queue for the bytes of all connections.
type slowLink struct {
	packets chan packet

	mu     sync.Mutex
	rate   float64
	queued int
}

type packet struct {
	to   net.Conn
	data []byte
	// sent is called when the packet has left the queue.
	sent func()
}

const (
	packetBytes = 1460
	// connectionWindow is how many bytes of one connection may be on their way.
	connectionWindow = 32 << 10
	// statedMbps is what the settings say of the link, and narrowRate the rate of a
	// link of 1.2 Mbit/s in bytes per second.
	statedMbps = 9.4
	narrowRate = 1.2e6 / 8
)

func newSlowLink(ctx context.Context, rate float64) *slowLink {
	l := &slowLink{packets: make(chan packet, 4096), rate: rate}
	go l.run(ctx)
	return l
}

func (l *slowLink) run(ctx context.Context) {
	var free time.Time
	for {
		select {
		case p := <-l.packets:
			l.mu.Lock()
			rate := l.rate
			l.mu.Unlock()
			if now := time.Now(); free.Before(now) {
				free = now
			}
			free = free.Add(time.Duration(float64(len(p.data)) / rate * float64(time.Second)))
			<-time.After(time.Until(free))
			l.mu.Lock()
			l.queued -= len(p.data)
			l.mu.Unlock()
			// A receiver that has left reads nothing.
			_, _ = p.to.Write(p.data)
			p.sent()
		case <-ctx.Done():
			return
		}
	}
}

func (l *slowLink) setRate(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = rate
}

// delay is how long a packet that arrives now waits.
func (l *slowLink) delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(float64(l.queued) / l.rate * float64(time.Second))
}

// listen returns an address that leads to a server, whose bytes pass the link.
func (l *slowLink) listen(c *qt.C, server string) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn, server)
		}
	}()
	return listener.Addr().String()
}

func (l *slowLink) forward(client net.Conn, server string) {
	upstream, err := net.Dial("tcp4", server)
	if err != nil {
		_ = client.Close()
		return
	}
	go func() {
		_, _ = io.Copy(upstream, client)
		_ = upstream.Close()
	}()
	window := make(chan struct{}, connectionWindow/packetBytes)
	for {
		data := make([]byte, packetBytes)
		n, err := upstream.Read(data)
		if err != nil {
			break
		}
		window <- struct{}{}
		l.mu.Lock()
		l.queued += n
		l.mu.Unlock()
		l.packets <- packet{client, data[:n], func() { <-window }}
	}
	for range connectionWindow / packetBytes {
		window <- struct{}{}
	}
	_ = client.Close()
}

// narrowFleet is an agent behind a slow link whose peers hold version 2.
type narrowFleet struct {
	link   *slowLink
	agent  *Stager
	engine *fakeEngine
}

func newNarrowFleet(c *qt.C, rate float64) *narrowFleet {
	pieceRepeats = 2200 // about 48 KiB a piece
	c.Cleanup(func() { pieceRepeats = 50 })
	g := newGroup(c, &fakeOrigin{newest: 2}, newFakeEngine(1), newFakeEngine(1), newFakeEngine(1), newFakeEngine(1), newFakeEngine(1), newFakeEngine(1))
	g.setTarget(2)
	g.awaitVersion(2)
	ctx, cancel := context.WithCancel(context.Background())
	n := &narrowFleet{link: newSlowLink(ctx, rate), engine: newFakeEngine(1)}
	var peers []rollout.Peer
	for _, p := range g.peers {
		p.Address = n.link.listen(c, p.Address)
		peers = append(peers, p)
	}
	n.agent = New(Config{
		Self: rollout.Peer{ID: "narrow", Address: "127.0.0.1:1", Region: "r"}, Address: "127.0.0.1:1", Engine: n.engine,
		NewOrigin: func(string) Origin { return &fakeOrigin{down: true} }, Peers: func() []rollout.Peer { return peers }, Report: n.engine.report,
		Announce: func(version int64, _ []bool, _ Audience) {
			held := make([]bool, testPieces)
			for i := range held {
				held[i] = true
			}
			for _, p := range peers {
				go n.agent.HandleAnnouncement(p.ID, true, version, held)
			}
		},
		Log: decision.New(decision.Config{Output: io.Discard}), LinkMbps: statedMbps, AdoptionTimeout: 30 * time.Second,
	})
	var wait sync.WaitGroup
	wait.Go(func() { n.agent.Run(ctx) })
	c.Cleanup(func() { cancel(); wait.Wait() })
	return n
}

// fetch makes the agent fetch version 2 and returns how long that took, the longest
// delay on the link, and the longest from a time after the start on.
func (n *narrowFleet) fetch(c *qt.C, during func(elapsed time.Duration), from time.Duration) (took, worst, worstSettled time.Duration) {
	begun := time.Now()
	n.agent.SetTarget(Target{Model: "m", Version: 2, Pieces: testPieces, KnownSince: map[int64]time.Time{2: begun}, Origin: "origin", OriginRegion: "r"})
	for !n.agent.store.complete("m", 2) {
		elapsed := time.Since(begun)
		if elapsed > 25*time.Second {
			c.Fatalf("not all pieces were fetched within %v", elapsed)
		}
		during(elapsed)
		delay := n.link.delay()
		worst = max(worst, delay)
		if elapsed >= from {
			worstSettled = max(worstSettled, delay)
		}
		<-time.After(2 * time.Millisecond)
	}
	return time.Since(begun), worst, worstSettled
}

// maxEndDelay is the time within which the end of a request must reach the engine, and
// maxLinkDelay half of it, which pieces may use up when an agent knows its link.
const (
	maxEndDelay  = 500 * time.Millisecond
	maxLinkDelay = maxEndDelay / 2
)

// Pieces must not delay the requests to the engine on a narrow link, nor the ends of
// those whose callers have left (incident GONE: 1.4 s). The version must still arrive.
func TestPiecesLeaveANarrowLinkToTheRequests(t *testing.T) {
	wide := statedMbps * 1e6 / 8
	for _, test := range []struct {
		name string
		rate float64
		// narrowAfter is when the link becomes narrow, 0 for never. The agent must know
		// it from settle on.
		narrowAfter, settle time.Duration
		// slowest is the longest that the fetch may take: 0.6 s for the manifest and
		// three times what the link needs for the bytes.
		slowest time.Duration
	}{
		{"narrow from the start", narrowRate, 0, 0, 12 * time.Second},
		{"becomes narrow", wide, 150 * time.Millisecond, 650 * time.Millisecond, 12 * time.Second},
		{"usual link", wide, 0, 0, 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			n := newNarrowFleet(c, test.rate)
			took, worst, settled := n.fetch(c, func(elapsed time.Duration) {
				if test.narrowAfter > 0 && elapsed > test.narrowAfter {
					n.link.setRate(narrowRate)
				}
			}, test.settle)
			c.Logf("fetched in %v, longest delay on the link %v, %v after it was known", took.Round(time.Millisecond), worst.Round(time.Millisecond), settled.Round(time.Millisecond))
			c.Check(worst <= maxEndDelay, qt.IsTrue, qt.Commentf("a request waited %v on the link", worst))
			c.Check(settled <= maxLinkDelay, qt.IsTrue, qt.Commentf("a request waited %v on a link known to be narrow", settled))
			c.Check(took <= test.slowest, qt.IsTrue, qt.Commentf("the fetch took %v", took))
		})
	}
}

// A part beyond the piece must be refused, and one that reaches over its end shortened.
func TestPartOfAPiece(t *testing.T) {
	c := qt.New(t)
	for query, want := range map[string][3]int{
		"": {0, 100, 1}, "from=40": {40, 60, 1}, "from=40&bytes=16": {40, 16, 1}, "from=90&bytes=16": {90, 10, 1}, "from=100&bytes=1": {100, 0, 1},
		"from=101": {}, "from=-1": {}, "from=x": {}, "bytes=0": {}, "bytes=-5": {}, "bytes=99999999999999999999": {}, "from=9223372036854775807&bytes=9223372036854775807": {},
	} {
		values, err := url.ParseQuery(query)
		c.Assert(err, qt.IsNil)
		from, length, ok := partOf(values, 100)
		c.Check(ok, qt.Equals, want[2] == 1, qt.Commentf("%q", query))
		if ok {
			c.Check([2]int{from, length}, qt.Equals, [2]int{want[0], want[1]}, qt.Commentf("%q", query))
		}
	}
}

// An agent of an earlier version sends whole pieces whatever part is asked for, during
// an update of the fleet.
func TestPeerThatKnowsNoPartsSendsItsPiece(t *testing.T) {
	c := qt.New(t)
	piece := pieceBytes(2, 3)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(piece) }))
	defer server.Close()
	peer := rollout.Peer{ID: "old", Address: server.Listener.Addr().String()}
	pieces := newIncomingPieces(statedMbps)
	for _, from := range []int{0, 100} {
		part, complete, err := newPeerClient().piecePart(context.Background(), peer, pieceQuery{Number: 3, From: from, Bytes: 50}, pieces.beginTransfer, func() {})
		c.Assert(err, qt.IsNil)
		c.Assert(complete, qt.IsTrue)
		c.Assert(string(part), qt.Equals, string(piece[from:]))
	}
}

// Peers whose piece never ends, or that send it byte by byte, must be given up.
func TestEndlessPiecesAreGivenUp(t *testing.T) {
	for name, part := range map[string]int{"large parts": 1 << 20, "single bytes": 1} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			data := make([]byte, part)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(pieceBytesHeader, "9000000000")
				_, _ = w.Write(data)
			}))
			defer server.Close()
			s := New(Config{Log: decision.New(decision.Config{Output: io.Discard}), LinkMbps: statedMbps})
			f := &fetch{Stager: s, manifest: testManifest(2)}
			begun := time.Now()
			_, err := f.pullFromPeer(context.Background(), rollout.Peer{ID: "odd", Address: server.Listener.Addr().String()}, 3)
			c.Assert(err, qt.ErrorIs, errEndlessPiece)
			c.Assert(time.Since(begun) < pullTimeout+2*time.Second, qt.IsTrue)
		})
	}
}
