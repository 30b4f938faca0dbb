package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Entries of the own region that hang must not keep a record away that live entries of
// other regions have.
func TestRecordSources(t *testing.T) {
	c := qt.New(t)
	candidate := func(address, region string, age time.Duration) Candidate {
		return Candidate{Address: address, Region: region, HeardAge: age}
	}
	late := maxHeardAge + time.Millisecond
	candidates := []Candidate{
		candidate("r1", "r", late), candidate("r2", "r", 0), candidate("r3", "r", 0),
		candidate("s1", "s", late), candidate("s2", "s", 0), candidate("t1", "t", 0),
	}
	addresses := func(limit int) (out []string) {
		for _, s := range RecordSources("r", candidates, limit) {
			out = append(out, s.Address)
		}
		return out
	}
	c.Check(addresses(10), qt.DeepEquals, []string{"r2", "s2", "r3", "t1", "r1", "s1"})
	c.Check(addresses(2), qt.DeepEquals, []string{"r2", "s2"})
	// A hello of another region may be late, so that its entries are asked last.
	for i := range candidates {
		candidates[i].Unannounced = i > 1
	}
	c.Check(addresses(10), qt.DeepEquals, []string{"r2", "r1", "s1", "s2", "t1"})
	candidates = candidates[:1]
	c.Check(addresses(2), qt.DeepEquals, []string{"r1"})
}

// The lag must count from the first version that is missing, also while newer ones come
// in quick succession.
func TestLag(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var l Lag
	c.Check(l.Update(1, 1, at(0)), qt.Equals, time.Duration(0))
	c.Check(l.Update(1, 2, at(100)), qt.Equals, time.Duration(0))
	c.Check(l.Update(1, 4, at(300)), qt.Equals, 200*time.Millisecond)
	c.Check(l.Update(1, 4, at(400)), qt.Equals, 300*time.Millisecond)
	c.Check(l.Update(3, 5, at(500)), qt.Equals, 200*time.Millisecond)
	c.Check(l.Update(5, 5, at(600)), qt.Equals, time.Duration(0))
	for v := range int64(200) {
		l.Update(5, 6+v, at(700))
	}
	c.Check(l.heard, qt.HasLen, maxHeardVersions)
}
