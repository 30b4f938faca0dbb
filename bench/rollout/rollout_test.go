package rollout

import (
	"fmt"
	"os"
	"testing"

	core "github.com/laburnumloft/laburnumloft/core/rollout"
	"github.com/laburnumloft/laburnumloft/core/settings"
)

// baselineBounds ends baselines that would take minutes, in fluid bounds. Their
// figures then hold for the replicas that were reached.
const baselineBounds = 3

// BenchmarkRollout measures the spread of one version. Sizes are scaled down:
// 8 MiB in chunks of 32 KiB, 1 MiB/s per VM and direction (256 KiB/s for
// n=340), twice that for the origin and for each region's uplink and direction.
func BenchmarkRollout(b *testing.B) {
	list := []Setting{
		{Name: "setting=origin-saving", Objective: settings.ObjectiveOrigin},
		{Name: "setting=time-saving", Objective: settings.ObjectiveTime},
		{Name: "setting=origin-saving/faults=true", Objective: settings.ObjectiveOrigin, Faults: true},
		{Name: "setting=time-saving/faults=true", Objective: settings.ObjectiveTime, Faults: true},
		{Name: "variant=direct-roots", Strategy: core.StrategyDirectRoots},
		{Name: "baseline=all-from-origin", Strategy: core.StrategyOriginOnly, Baseline: true},
		{Name: "baseline=random-peers", Strategy: core.StrategyRandomPeers, Baseline: true},
	}
	for _, n := range []int{20, 40, 100, 340} {
		for _, setting := range list {
			b.Run(fmt.Sprintf("n=%d/%s", n, setting.Name), func(b *testing.B) {
				if setting.Baseline {
					setting.Limit = baselineBounds * bound(n)
				}
				for range b.N {
					report(b, setting, n)
				}
			})
		}
	}
}

func report(b *testing.B, setting Setting, n int) {
	r, err := Run(setting, n)
	if err != nil {
		b.Fatal(err)
	}
	if !r.Converged && !setting.Baseline {
		b.Errorf("only %d VMs have the version", r.Replicas)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(r.XBound, "x-bound")
	b.ReportMetric(r.OriginCopies, "origin-copies")
	b.ReportMetric(r.RegionCopies, "region-copies")
	b.ReportMetric(r.MaxLinkCopies, "max-link-copies")
	b.ReportMetric(float64(r.Mixed), "mixed-answers")
	b.ReportMetric(float64(r.Answers), "answers")
	b.ReportMetric(float64(r.Cut), "cut-answers")
	b.ReportMetric(float64(r.Replicas), "replicas")
	if path := os.Getenv("ROLLOUT_SAMPLES"); path != "" {
		if err := AppendSamples(path, setting.Name, n, r.Samples); err != nil {
			b.Fatal(err)
		}
	}
}
