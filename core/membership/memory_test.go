package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkViewMemory measures the heap size of a view for different numbers of
// agents.
func BenchmarkViewMemory(b *testing.B) {
	for _, n := range []int{100, 600, 1010} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				v := filledView(n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				heap := float64(after.HeapAlloc) - float64(before.HeapAlloc)
				b.ReportMetric(heap/float64(n), "B/member")
				b.ReportMetric(heap/1024, "KiB/view")
				runtime.KeepAlive(v)
			}
		})
	}
}

func filledView(n int) *View {
	now := time.Unix(1_800_000_000, 0)
	v := New(now, Config{ID: "entry-0", Incarnation: 1, Place: Place{Role: RoleEntry, Region: "norte", Zone: "norte-a"}})
	for i := range n {
		v.HandleReport(now, Record{
			ID: fmt.Sprintf("agent-%04d", i), Incarnation: now.UnixMilli(), Sequence: 1, State: Serving,
			Place: Place{
				Role: RoleAgent, Address: fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250),
				Region: fmt.Sprintf("region-%d", i%3), Zone: fmt.Sprintf("zone-%d", i%10), Service: "laburnum-tutors",
			},
			Version: "v12", VersionState: "serving", IntendedVersion: "v12",
		})
	}
	return v
}
