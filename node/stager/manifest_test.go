package stager

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/rollout"
)

// A list of digests that became corrupt on its way from the origin must not keep a version
// away from its agent for ever, and must not be published (review/2).
func TestCorruptManifestIsReplaced(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, &fakeOrigin{newest: 1, corruptManifests: 1}, newFakeEngine(1), newFakeEngine(1))
	g.setTarget(2)
	g.awaitVersion(2)
	g.mu.Lock()
	defer g.mu.Unlock()
	c.Check(g.published, qt.Not(qt.HasLen), 0)
	for _, p := range g.published {
		c.Check(p, qt.Matches, "agent[01] 2")
	}
}

// After a loss of power all agents start with a published list that has a wrong digest. They
// must replace it, from the origin or, while that one repeats the fault, from the next
// answer that fits the pieces.
func TestCorruptPublishedManifestIsReplaced(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, &fakeOrigin{newest: 1, corruptManifests: 2}, newFakeEngine(0), newFakeEngine(0))
	for _, s := range g.stagers {
		s.HandleManifest(corruptManifest(2))
	}
	g.setTarget(2)
	g.awaitVersion(2)
}

// A manifest with digests that are none must be refused at once.
func TestMalformedDigestIsRefused(t *testing.T) {
	c := qt.New(t)
	for _, digest := range []string{"", "12", "not hexadecimal", testManifest(1).Digests[0] + "00"} {
		m := testManifest(1)
		m.Digests[2] = digest
		c.Check(ManifestRequirements{Model: "m", Version: 1}.Check(m), qt.ErrorIs, ErrDigestMismatch, qt.Commentf("%q", digest))
	}
	c.Check(ManifestRequirements{Model: "m", Version: 1}.Check(testManifest(1)), qt.IsNil)
}

// shorten cuts the last digest, lengthen repeats it.
func shorten(m *Manifest)  { m.Digests = m.Digests[:len(m.Digests)-1] }
func lengthen(m *Manifest) { m.Digests = append(m.Digests, m.Digests[len(m.Digests)-1]) }

// A list of digests of another length, which all of its own pieces match, must not be loaded:
// the engine would keep a piece of the version before (review/11). The origin may give it,
// with and without a configuration that names the number of pieces.
func TestManifestOfWrongLengthIsNotLoaded(t *testing.T) {
	for name, spoil := range map[string]func(*Manifest){"short": shorten, "long": lengthen} {
		for _, pieces := range []int{testPieces, 0} {
			t.Run(name, func(t *testing.T) {
				c := qt.New(t)
				g := newGroup(c, &fakeOrigin{newest: 1, spoiltManifests: 1, spoilManifest: spoil}, newFakeEngine(1), newFakeEngine(1))
				g.pieces = pieces
				g.setTarget(2)
				g.awaitVersion(2)
				g.mu.Lock()
				defer g.mu.Unlock()
				c.Check(slices.Contains(g.published, "a wrong manifest"), qt.IsFalse)
			})
		}
	}
}

// A short list in the store's record must be refused, also if it is read before the
// configuration and while the origin is down, and must not replace a correct one.
func TestShortPublishedManifestIsRefused(t *testing.T) {
	c := qt.New(t)
	short := testManifest(2)
	shorten(short)
	e := newFakeEngine(1)
	g := newGroup(c, &fakeOrigin{newest: 1, down: true}, e)
	g.stagers[0].HandleManifest(short)
	g.setTarget(2)
	c.Check(g.stagers[0].publishedManifest("m", 2), qt.Equals, short)
	_, _, err := g.stagers[0].findManifest(c.Context(), g.origin, "m", 2)
	c.Check(err, qt.IsNotNil)
	g.stagers[0].HandleManifest(testManifest(2))
	g.stagers[0].HandleManifest(short)
	g.origin.mu.Lock()
	g.origin.down = false
	g.origin.mu.Unlock()
	g.awaitVersion(2)
}

// An agent that has taken a short list before the configuration named the number of pieces
// must hold the order back, and fetch the missing piece.
func TestNumberOfPiecesLearntLater(t *testing.T) {
	c := qt.New(t)
	e := newFakeEngine(1)
	e.busyOrders = 4
	// Two answers agree, so that the short list is taken.
	g := newGroup(c, &fakeOrigin{newest: 1, spoiltManifests: 2, spoilManifest: shorten}, e)
	g.pieces = 0
	g.setTarget(2)
	for deadline := time.Now().Add(10 * time.Second); !g.stagers[0].store.complete("m", 2); {
		c.Assert(time.Now().Before(deadline), qt.IsTrue)
		<-time.After(time.Millisecond)
	}
	g.pieces = testPieces
	g.setTarget(2)
	g.awaitVersion(2)
	g.origin.mu.Lock()
	defer g.origin.mu.Unlock()
	c.Check(g.origin.sent, qt.Equals, testPieces)
}

// A short list of another agent, which may run the release before, must reach neither an
// agent nor an entry, which writes it to the store.
func TestShortManifestOfAnAgentIsRefused(t *testing.T) {
	c := qt.New(t)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		m := testManifest(2)
		shorten(m)
		_ = json.NewEncoder(w).Encode(m)
	}))
	defer agent.Close()
	address := agent.Listener.Addr().String()
	_, err := FetchManifest(c.Context(), http.DefaultClient, address, ManifestRequirements{Model: "m", Version: 2, Pieces: testPieces})
	c.Check(err, qt.ErrorIs, ErrPieceCount)
	g := newGroup(c, &fakeOrigin{newest: 1, down: true}, newFakeEngine(1))
	g.setTarget(2)
	s := g.stagers[0]
	peers := []rollout.Peer{{ID: "older", Address: address, Region: "r"}}
	for _, pieces := range []int{testPieces, 0} {
		c.Check(s.manifestFromPeers(c.Context(), peers, ManifestRequirements{Model: "m", Version: 2, Pieces: pieces}), qt.IsNil)
	}
}
