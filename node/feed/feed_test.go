package feed

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/node/decision"
)

// fakeSource gives scripted answers, one a call.
type fakeSource struct {
	mu      sync.Mutex
	newest  int
	reads   []int64
	answers []func() ([]Record, int64, error)
}

func (s *fakeSource) Newest(context.Context) ([]Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest++
	return []Record{{Key: "config", Value: []byte("1"), Offset: 4}}, 5, nil
}

func (s *fakeSource) Read(ctx context.Context, from int64, _ time.Duration) ([]Record, int64, error) {
	s.mu.Lock()
	s.reads = append(s.reads, from)
	if len(s.answers) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	s.mu.Unlock()
	return answer()
}

// Records must be taken in order and once over an outage, and the newest ones
// again after the log dropped the offset.
func TestFollowerOverOutageAndExpiry(t *testing.T) {
	c := qt.New(t)
	down := func() ([]Record, int64, error) { return nil, 0, errors.New("down") }
	source := &fakeSource{answers: []func() ([]Record, int64, error){
		down, down,
		func() ([]Record, int64, error) {
			return []Record{{Key: "config", Value: []byte("2"), Offset: 5}}, 6, nil
		},
		func() ([]Record, int64, error) { return nil, 0, ErrExpired },
		func() ([]Record, int64, error) { return []Record{{Key: "config", Offset: 7}}, 8, nil },
	}}
	type taken struct {
		value    string
		snapshot bool
	}
	got := make(chan taken, 10)
	f := NewFollower(Config{
		Name: "op", Source: source, Log: decision.New(decision.Config{Output: io.Discard}), Wait: time.Second,
		OnRecords: func(b Batch) {
			for _, r := range b.Records {
				got <- taken{string(r.Value), b.Snapshot}
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { f.Run(ctx) })
	want := []taken{{"1", true}, {"2", false}, {"1", true}, {"", false}}
	for _, w := range want {
		select {
		case g := <-got:
			c.Assert(g, qt.Equals, w)
		case <-time.After(10 * time.Second):
			c.Fatal("no record came")
		}
	}
	cancel()
	wait.Wait()
	c.Assert(source.newest, qt.Equals, 2)
	c.Assert(source.reads[:5], qt.DeepEquals, []int64{5, 5, 5, 6, 5})
	_, ok := f.ContactAge()
	c.Assert(ok, qt.IsTrue)
}

// How long a record may have been there must be known: a read that waited gets
// it at once, a read after a pause may find an old one. Named weights are due by
// their age.
func TestLateRecords(t *testing.T) {
	c := qt.New(t)
	record := []Record{{Key: "version/m", Value: []byte("1"), Offset: 5}}
	source := &fakeSource{answers: []func() ([]Record, int64, error){
		func() ([]Record, int64, error) { return record, 6, nil },
		func() ([]Record, int64, error) {
			<-time.After(2 * waitedAtLeast)
			return record, 7, nil
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
	c.Assert((<-got).Late >= pause, qt.IsTrue)
	c.Assert((<-got).Late, qt.Equals, time.Duration(0))
	cancel()
	wait.Wait()
}

// While others read for this process it must not call the store; afterwards it
// takes the newest records and not each one that was appended meanwhile.
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
	<-time.After(3 * idlePause)
	source.mu.Lock()
	c.Assert(source.newest+len(source.reads), qt.Equals, 0)
	source.mu.Unlock()
	active.Store(true)
	c.Assert((<-got).Snapshot, qt.IsTrue)
	cancel()
	wait.Wait()
}

// A process that starts during an outage knows no configuration and serves
// nobody: it must read soon after the store is back (recorded incident: 1.5 s
// after it all requests were still refused).
func TestRetriesQuicklyUntilTheFirstContact(t *testing.T) {
	c := qt.New(t)
	f := NewFollower(Config{Name: "op", Log: decision.New(decision.Config{Output: io.Discard})})
	for range 20 {
		c.Assert(f.failed(t.Context(), errors.New("down")) <= startRetry*3/2, qt.IsTrue)
	}
	f.succeeded()
	longest := time.Duration(0)
	for range 20 {
		longest = max(longest, f.failed(t.Context(), errors.New("down")))
	}
	c.Assert(longest > startRetry*3/2, qt.IsTrue)
}
