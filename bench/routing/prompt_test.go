package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/laburnumloft/laburnumloft/core/prompt"
	"github.com/laburnumloft/laburnumloft/core/quarantine"
)

func promptOf(length int, first uint64) []prompt.Part {
	parts := make([]prompt.Part, length)
	for i := range parts {
		parts[i] = prompt.Part(first + uint64(i)*0x9e3779b9)
	}
	return parts
}

// BenchmarkPromptDecision measures what the parts of a prompt add to a request: whether a
// quarantine matches it, with five in force, and its sound answer.
func BenchmarkPromptDecision(b *testing.B) {
	for _, length := range []int{3, 400} {
		b.Run(fmt.Sprintf("parts=%d", length), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			t := quarantine.NewTracker(1)
			for i := range 5 {
				t.Adopt(quarantine.Verdict{Parts: []prompt.Part{prompt.Part(i + 1)}, Crashes: 2, Remaining: time.Hour}, now)
			}
			r := quarantine.Request{Parts: promptOf(length, 1<<40), Whole: 1 << 50}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				if _, blocked := t.Match(r, now); blocked {
					b.Fatal("a sound request is kept away")
				}
				t.RecordSound(r, now, now)
			}
		})
	}
}

// BenchmarkPromptCrashes measures what one more crash costs an entry that has seen 30 of other
// causes, each under 16 requests, three of them its own.
func BenchmarkPromptCrashes(b *testing.B) {
	for _, length := range []int{3, 400} {
		b.Run(fmt.Sprintf("parts=%d", length), func(b *testing.B) {
			const before, requests, own = 30, 16, 3
			now := time.Unix(1_800_000_000, 0)
			t := quarantine.NewTracker(1)
			r := quarantine.Request{Parts: promptOf(length, 1<<40)}
			t.RecordSound(r, now, now)
			crash := func(engine int) {
				now = now.Add(10 * time.Second)
				for i := range requests {
					by := quarantine.OtherEntry
					if i < own {
						by = quarantine.ThisEntry
					}
					t.RecordCrash(t.Suspect(fmt.Sprint(engine), r, now), by, now)
				}
				t.RecordSound(r, now.Add(time.Second), now.Add(time.Second))
			}
			for i := range before {
				crash(i)
			}
			engine := before
			for b.Loop() {
				crash(engine)
				engine++
			}
		})
	}
}
