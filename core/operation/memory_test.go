package operation

import (
	"fmt"
	"runtime"
	"testing"
)

// heapGrowth returns the number of heap bytes that the result of build uses.
func heapGrowth(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkMemory reports the size in bytes of a full table and a full index,
// including their bounded histories of events.
func BenchmarkMemory(b *testing.B) {
	limits := DefaultLimits()
	const uuidText = "0194c3a0-0000-4000-8000-%012d"
	for range b.N {
		b.ReportMetric(heapGrowth(func() any {
			table := NewTable("agent-priangan-a-001", start.UnixMilli(), limits)
			for i := range 2 * limits.Tickets {
				ticket, _ := table.Reserve(start, fmt.Sprintf(uuidText, i))
				_, _, _ = table.Run(start, ticket.ID, fmt.Sprintf("%064d", i))
				table.Finish(start, ticket.ID, Result{Outcome: OutcomeCompleted, Body: make([]byte, 4096)})
			}
			return table
		}), "table-bytes")
		b.ReportMetric(heapGrowth(func() any {
			const claims = 40_000
			index := NewIndex(claims)
			for i := range 2 * claims {
				now := start.UnixMilli() + int64(i)*10
				index.Apply(int64(i+1), now, &Claim{
					Workspace: fmt.Sprintf("workspace-%02d", i%10), Service: fmt.Sprintf("saklar-%d", i%3), Key: testKey(now, i),
					Ticket: fmt.Sprintf("agent-priangan-a-001.1700000000000.%d."+uuidText, i, i), Request: fmt.Sprintf("%064d", i),
				})
			}
			return index
		}), "index-bytes")
	}
}
