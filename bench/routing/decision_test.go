package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/laburnumloft/laburnumloft/core/routing"
)

// BenchmarkRoutingDecision measures one choice of a backend server and its
// counting out, with half of the members' places in use.
func BenchmarkRoutingDecision(b *testing.B) {
	for _, engines := range []int{10, 100, 600} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			pool := routing.NewPool(routing.DefaultConfig("priangan"))
			members := make([]routing.Backend, engines)
			for i := range members {
				members[i] = routing.Backend{ID: fmt.Sprintf("agent-%d", i), Region: "priangan", Version: "v1", Running: i % 8}
			}
			pool.Update(now, members)
			b.ReportAllocs()
			affinity := uint64(0)
			for b.Loop() {
				affinity += 0x9e3779b97f4a7c15
				choice, _ := pool.Choose(now, routing.Request{Version: "v1", Affinity: affinity})
				pool.Done(now, choice.Handle, routing.Succeeded)
			}
		})
	}
}
