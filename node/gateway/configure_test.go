package gateway

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

// Two configurations that come at once, from the store and from another entry, must leave what
// the newer one says of the servers. The older one's limits stayed in 8 of 20,000 rounds, until
// the next configuration.
func TestConfigurationsOfTwoSourcesKeepTheirOrder(t *testing.T) {
	c := qt.New(t)
	r := newTestGateway(c)
	r.PutServer(placement.Server{ID: "s0", Address: "127.0.0.1:1", Service: "svc", Zone: "z", ColdRemaining: time.Minute})
	outdated := 0
	const rounds = 20_000
	for round := range int64(rounds) {
		var both sync.WaitGroup
		both.Go(func() { r.Configure(coldConfiguration(2*round+2, 0.001), "store") })
		both.Go(func() { r.Configure(coldConfiguration(2*round+3, 0), "entry") })
		both.Wait()
		r.mu.Lock()
		// The newer configuration has no limit for cold servers.
		canServe := r.fleet.CanServe(bootclock.Now(), placement.Query{Service: "svc"})
		r.mu.Unlock()
		if !canServe {
			outdated++
		}
	}
	c.Check(outdated, qt.Equals, 0)
}
