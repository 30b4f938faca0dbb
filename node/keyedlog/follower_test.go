package keyedlog

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/storeera"
	"github.com/laburnumloft/laburnumloft/node/decision"
)

// fakeSource returns scripted answers, one for each call of Read.
type fakeSource struct {
	mu          sync.Mutex
	newestCalls int
	reads       []int64
	answers     []func() ([]Record, int64, error)
	// era is the era of all answers.
	era storeera.Era
}

func (s *fakeSource) Newest(context.Context) ([]Record, storeera.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newestCalls++
	return []Record{{Key: "config", Value: []byte("1"), Offset: 4}}, storeera.Position{Offset: 5, Era: s.era}, nil
}

func (s *fakeSource) Read(ctx context.Context, from storeera.Position, _ time.Duration) ([]Record, storeera.Position, error) {
	s.mu.Lock()
	s.reads = append(s.reads, from.Offset)
	if len(s.answers) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return nil, storeera.Position{}, ctx.Err()
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	s.mu.Unlock()
	records, next, err := answer()
	return records, storeera.Position{Offset: next, Era: from.Era}, err
}

// Across an outage, each record must be delivered once and in order. After the
// log has expired the offset, a new snapshot must be delivered.
func TestFollowerOverOutageAndExpiry(t *testing.T) {
	c := qt.New(t)
	down := func() ([]Record, int64, error) { return nil, 0, errors.New("down") }
	source := &fakeSource{answers: []func() ([]Record, int64, error){
		down, down,
		func() ([]Record, int64, error) {
			return []Record{{Key: "config", Value: []byte("2"), Offset: 5}}, 6, nil
		},
		func() ([]Record, int64, error) { return nil, 0, ErrOffsetExpired },
		func() ([]Record, int64, error) { return []Record{{Key: "config", Offset: 7}}, 8, nil },
	}}
	type received struct {
		value    string
		snapshot bool
	}
	got := make(chan received, 10)
	f := NewFollower(Config{
		Name: "op", Source: source, Log: decision.New(decision.Config{Output: io.Discard}), Wait: time.Second,
		OnRecords: func(b Batch) {
			for _, r := range b.Records {
				got <- received{string(r.Value), b.Snapshot}
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { f.Run(ctx) })
	want := []received{{"1", true}, {"2", false}, {"1", true}, {"", false}}
	for _, w := range want {
		select {
		case g := <-got:
			c.Assert(g, qt.Equals, w)
		case <-time.After(10 * time.Second):
			c.Fatal("no record delivered within 10 s")
		}
	}
	cancel()
	wait.Wait()
	c.Assert(source.newestCalls, qt.Equals, 2)
	c.Assert(source.reads[:5], qt.DeepEquals, []int64{5, 5, 5, 6, 5})
	_, ok := f.ContactAge()
	c.Assert(ok, qt.IsTrue)
}

// The maximum age of a record must be known, because the deadline of published
// weights depends on it. A read that waited gets the record at once; a read after
// a pause may find a record that was appended during the pause.
func TestMaxAgeOfRecords(t *testing.T) {
	c := qt.New(t)
	records := []Record{{Key: "version/m", Value: []byte("1"), Offset: 5}}
	source := &fakeSource{answers: []func() ([]Record, int64, error){
		func() ([]Record, int64, error) { return records, 6, nil },
		func() ([]Record, int64, error) {
			<-time.After(2 * minLongPollDuration)
			return records, 7, nil
		},
	}}
	const pause = 200 * time.Millisecond
	got := make(chan Batch, 10)
	f := NewFollower(Config{
		Name: "op", Source: source, Log: decision.New(decision.Config{Output: io.Discard}), Wait: time.Second, Pause: pause,
		OnRecords: func(b Batch) { got <- b },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { f.Run(ctx) })
	c.Assert((<-got).Snapshot, qt.IsTrue)
	c.Assert((<-got).MaxAge >= pause, qt.IsTrue)
	c.Assert((<-got).MaxAge, qt.Equals, time.Duration(0))
	cancel()
	wait.Wait()
}

// An inactive follower must not call the store, because other processes read for
// it. When it becomes active, it must read a snapshot, not each record that was
// appended in the meantime.
func TestIdleFollower(t *testing.T) {
	c := qt.New(t)
	var active atomic.Bool
	source := &fakeSource{answers: []func() ([]Record, int64, error){func() ([]Record, int64, error) { return nil, 5, nil }}}
	got := make(chan Batch, 10)
	f := NewFollower(Config{
		Name: "op", Source: source, Log: decision.New(decision.Config{Output: io.Discard}), Wait: time.Second,
		OnRecords: func(b Batch) { got <- b }, Active: active.Load,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { f.Run(ctx) })
	<-time.After(3 * inactivePollInterval)
	source.mu.Lock()
	c.Assert(source.newestCalls+len(source.reads), qt.Equals, 0)
	source.mu.Unlock()
	active.Store(true)
	c.Assert((<-got).Snapshot, qt.IsTrue)
	cancel()
	wait.Wait()
}

// A process that starts during an outage has no configuration and can't serve
// requests, so it must read soon after the store recovers. With the normal retry
// delay, all requests were still refused 1.5 s after the recovery.
func TestRetriesQuicklyUntilTheFirstContact(t *testing.T) {
	c := qt.New(t)
	f := NewFollower(Config{Name: "op", Log: decision.New(decision.Config{Output: io.Discard})})
	for range 20 {
		c.Assert(f.handleFailure(t.Context(), errors.New("down")) <= maxInitialRetryDelay*3/2, qt.IsTrue)
	}
	f.handleSuccess()
	longest := time.Duration(0)
	for range 20 {
		longest = max(longest, f.handleFailure(t.Context(), errors.New("down")))
	}
	c.Assert(longest > maxInitialRetryDelay*3/2, qt.IsTrue)
}

// A snapshot that was read because an era has ended must say so, and its records may
// have been there since before the read that waited in the old era: a version that was
// named meanwhile is that old.
func TestSnapshotOfANewEra(t *testing.T) {
	c := qt.New(t)
	const wait = 300 * time.Millisecond
	source := &fakeSource{era: storeera.Era{Number: 3, Known: true}}
	source.answers = []func() ([]Record, int64, error){func() ([]Record, int64, error) {
		<-time.After(wait)
		return nil, 0, ErrEraEnded
	}}
	got := make(chan Batch, 10)
	f := NewFollower(Config{
		Name: "op", Source: source, Log: decision.New(decision.Config{Output: io.Discard}), Wait: time.Second,
		OnRecords: func(b Batch) { got <- b },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { f.Run(ctx) })
	first, second := <-got, <-got
	c.Assert(first.EraEnded, qt.IsFalse)
	c.Assert(second.Snapshot && second.EraEnded, qt.IsTrue)
	c.Assert(second.Era.Number, qt.Equals, int64(3))
	c.Assert(second.MaxAge >= wait, qt.IsTrue, qt.Commentf("age %v", second.MaxAge))
	cancel()
	running.Wait()
}
