package stager

import (
	"testing"

	qt "github.com/frankban/quicktest"
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
		c.Check(validateManifest(m, "m", 1), qt.ErrorIs, ErrDigestMismatch, qt.Commentf("%q", digest))
	}
	c.Check(validateManifest(testManifest(1), "m", 1), qt.IsNil)
}
