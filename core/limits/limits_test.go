package limits

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain sets seed 1 for the randomised tests unless a flag gives another.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_800_000_000, 0)

var testQueue = QueueConfig{MaxQueued: 40, MaxQueuedPerWorkspace: 30, HeadroomShare: 0.1}

// TestFairShares guards against a workspace that gets more than its share
// because it sends more requests or gives its requests a higher priority.
func TestFairShares(t *testing.T) {
	q := NewFairQueue(QueueConfig{MaxQueued: 1000, MaxQueuedPerWorkspace: 1000})
	id := uint64(0)
	push := func(workspace string, weight, count, priority int) {
		for range count {
			id++
			q.Push(start, Item{ID: id, Workspace: workspace, Weight: weight, Cost: 10, Priority: priority, Deadline: start.Add(time.Hour)})
		}
	}
	push("burst", 1, 400, 9)
	push("quiet", 1, 40, 0)
	push("large", 2, 80, 0)
	got := map[string]int{}
	for range 120 {
		item, ok, _ := q.Pop(start, 1000, nil)
		if !ok {
			t.Fatal("queue is empty")
		}
		got[item.Workspace]++
	}
	for workspace, want := range map[string]int{"burst": 30, "quiet": 30, "large": 60} {
		if n := got[workspace]; n < want-2 || n > want+2 {
			t.Errorf("%s started %d of 120 items, want %d", workspace, n, want)
		}
	}
}

// TestHeadroomIsKeptForOthers guards against a burst of one workspace that uses
// all slots, so that the next request of a quiet workspace has to wait.
func TestHeadroomIsKeptForOthers(t *testing.T) {
	q := NewFairQueue(testQueue)
	for i := range 30 {
		q.Push(start, Item{ID: uint64(i + 1), Workspace: "burst", Deadline: start.Add(time.Hour)})
	}
	started := 0
	for free := 20; ; free-- {
		if _, ok, _ := q.Pop(start, free, nil); !ok {
			break
		}
		started++
	}
	if started != 18 {
		t.Errorf("burst used %d of 20 slots, want 18", started)
	}
	q.Push(start, Item{ID: 100, Workspace: "quiet", Deadline: start.Add(time.Hour)})
	if item, ok, _ := q.Pop(start, 2, nil); !ok || item.Workspace != "quiet" {
		t.Errorf("request of the quiet workspace did not start at once: popped %+v", item)
	}
}

// TestFullQueueDisplacesLargestUser guards against a burst of one workspace that
// fills the queue, so that requests of other workspaces are refused.
func TestFullQueueDisplacesLargestUser(t *testing.T) {
	q := NewFairQueue(QueueConfig{MaxQueued: 10, MaxQueuedPerWorkspace: 10})
	for i := range 10 {
		q.Push(start, Item{ID: uint64(i + 1), Workspace: "burst", Deadline: start.Add(time.Hour)})
	}
	if got := q.Push(start, Item{ID: 50, Workspace: "burst", Deadline: start.Add(time.Hour)}); got.Refused != RefusedWorkspaceFull || got.RetryAfter <= 0 {
		t.Errorf("burst beyond the limit of its workspace: %+v", got)
	}
	if got := q.Push(start, Item{ID: 51, Workspace: "quiet", Deadline: start.Add(time.Hour)}); got.Refused != "" || got.Displaced != 10 {
		t.Errorf("request of the quiet workspace at a full queue: %+v", got)
	}
}

// TestEarlyRefusal guards against a queue that accepts a request which can't
// finish before its deadline.
func TestEarlyRefusal(t *testing.T) {
	q := NewFairQueue(QueueConfig{MaxQueued: 100, MaxQueuedPerWorkspace: 100})
	now := start
	for i := range 20 {
		q.Push(now, Item{ID: uint64(i + 1), Workspace: "w", Cost: 10, Deadline: now.Add(time.Hour)})
		item, _, _ := q.Pop(now, 1, nil)
		now = now.Add(100 * time.Millisecond)
		q.Done(now, item.ID, 10)
	}
	for i := range 20 {
		if got := q.Push(now, Item{ID: uint64(100 + i), Workspace: "w", Cost: 10, Deadline: now.Add(time.Hour)}); got.Refused != "" {
			t.Fatalf("item %d refused: %+v", i, got)
		}
	}
	got := q.Push(now, Item{ID: 200, Workspace: "w", Cost: 10, Deadline: now.Add(time.Second)})
	if got.Refused != RefusedDeadline || got.RetryAfter < time.Second || got.RetryAfter > 4*time.Second {
		t.Errorf("push behind 20 items of 100 ms with a deadline in 1 s: got %+v, want a refusal for the deadline with RetryAfter from 1 s to 4 s", got)
	}
}

// TestQueueProperties guards against lost or duplicated items, starvation and
// growth beyond the bounds, in random sequences of events.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, checkQueueProperties)
}

func checkQueueProperties(t *rapid.T) {
	q := NewFairQueue(testQueue)
	now := start
	waiting := map[uint64]bool{}
	running := map[uint64]Item{}
	next := uint64(0)
	const slots = 10
	t.Repeat(map[string]func(*rapid.T){
		"push": func(t *rapid.T) {
			next++
			got := q.Push(now, Item{
				ID: next, Workspace: fmt.Sprint(rapid.IntRange(0, 60).Draw(t, "workspace")),
				Weight: rapid.IntRange(0, 5).Draw(t, "weight"), Cost: rapid.IntRange(0, 500).Draw(t, "cost"),
				Priority: rapid.IntRange(0, 9).Draw(t, "priority"),
				Deadline: now.Add(time.Duration(rapid.IntRange(-10, 20000).Draw(t, "deadline")) * time.Millisecond),
			})
			if got.Refused == "" {
				waiting[next] = true
			} else if got.RetryAfter <= 0 {
				t.Fatalf("refused without RetryAfter: %+v", got)
			}
			if got.Displaced != 0 {
				if !waiting[got.Displaced] {
					t.Fatalf("displaced item %d was not waiting", got.Displaced)
				}
				delete(waiting, got.Displaced)
			}
		},
		"pop": func(t *rapid.T) {
			item, ok, expired := q.Pop(now, slots-len(running), nil)
			for _, id := range expired {
				if !waiting[id] {
					t.Fatalf("expired item %d was not waiting", id)
				}
				delete(waiting, id)
			}
			if !ok {
				if len(waiting) > 0 && len(running) == 0 {
					t.Fatalf("%d items wait although nothing is running", len(waiting))
				}
				return
			}
			if !waiting[item.ID] {
				t.Fatalf("popped item %d was not waiting", item.ID)
			}
			delete(waiting, item.ID)
			if rapid.IntRange(0, 5).Draw(t, "unplaced") == 0 {
				q.Requeue(item)
				waiting[item.ID] = true
				return
			}
			running[item.ID] = item
		},
		"done": func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			if len(running) == 0 {
				return
			}
			id := slices.Min(slices.Collect(maps.Keys(running)))
			q.Done(now, id, rapid.IntRange(0, running[id].Cost).Draw(t, "served"))
			delete(running, id)
		},
		"cancel": func(t *rapid.T) {
			id := rapid.Uint64Range(0, next).Draw(t, "id")
			if q.Cancel(id) != waiting[id] {
				t.Fatalf("result of Cancel for item %d does not match whether the item was waiting", id)
			}
			delete(waiting, id)
		},
		"": func(t *rapid.T) {
			if q.Len() != len(waiting) || q.Running() != len(running) {
				t.Fatalf("queue has %d waiting, %d running; want %d, %d", q.Len(), q.Running(), len(waiting), len(running))
			}
			if q.Workspaces() > testQueue.MaxQueued+slots+1 {
				t.Fatalf("queue holds state of %d workspaces, more than its limit", q.Workspaces())
			}
		},
	})
}

// TestConcurrencyFindsTheKnee guards against a limit that grows beyond the
// saturation point of an engine, where the time per token grows with the load,
// or that leaves an engine half idle.
func TestConcurrencyFindsTheKnee(t *testing.T) {
	c := NewConcurrency(DefaultConcurrency)
	now := start
	const knee = 40
	for range 600 {
		running := c.Limit()
		perToken := 5 * time.Millisecond * time.Duration(max(running, knee)) / knee
		c.Observe(perToken*100, 100, running)
		now = now.Add(DefaultConcurrency.Window)
		c.Tick(now)
	}
	if got := c.Limit(); got < knee || float64(got) > knee*1.3 {
		t.Errorf("limit is %d, engine saturates at %d requests", got, knee)
	}
}

// TestRetryBudget guards against retries that multiply the load and against an
// unbounded number of keys.
func TestRetryBudget(t *testing.T) {
	b := NewRetryBudget(RetryBudgetConfig{Ratio: 0.1, Burst: 3, MaxKeys: 10})
	retries := 0
	for range 1000 {
		b.RecordAttempt(RetryKey{"w", "s"})
		if b.TryRetry(RetryKey{"w", "s"}) {
			retries++
		}
	}
	if retries > 103 || retries < 95 {
		t.Errorf("%d retries for 1000 first attempts, want 95 to 103", retries)
	}
	for i := range 100 {
		b.RecordAttempt(RetryKey{fmt.Sprint(i), "s"})
	}
	if b.Len() != 10 {
		t.Errorf("budget holds %d keys, want 10", b.Len())
	}
}

// TestTokenBucket guards against a rate above the configured one and against a
// wait for more tokens than the burst.
func TestTokenBucket(t *testing.T) {
	b := NewTokenBucket(1000, 500)
	now, sent := start, 0.0
	for range 1000 {
		if _, ok := b.Take(now, 100); ok {
			sent += 100
		}
		now = now.Add(10 * time.Millisecond)
	}
	if sent < 10_000 || sent > 10_500 {
		t.Errorf("sent %v tokens in 10 s at 1000/s, want 10000 to 10500", sent)
	}
	if wait, ok := b.Take(now, 501); ok || wait >= 0 {
		t.Errorf("take of more than the burst: wait %v, ok %v", wait, ok)
	}
}
