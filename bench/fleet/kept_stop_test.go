package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// keptGrace is the grace period of the stops beside kept connections, in seconds.
	keptGrace = 8
	// keptDelay is the time of each direction between a caller and its entry; between
	// regions a request and its answer need up to about 100 ms together.
	keptDelay = 50 * time.Millisecond
	// keptDeadline is the deadline of the requests.
	keptDeadline = time.Second
	// idleStopLimit is how long a stop may last whose connections nobody uses: 2.5 s in
	// which new connections are taken, 0.3 s for requests under way, and the exit.
	idleStopLimit = 3500 * time.Millisecond
)

// delayed forwards the bytes of connections with a delay in each direction.
func (f *fleet) delayed(target string) (address string) {
	listener, err := net.Listen("tcp4", loopback(9, 1)+":0")
	f.c.Assert(err, qt.IsNil)
	f.c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp4", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			go forwardDelayed(in, out)
			go forwardDelayed(out, in)
		}
	}()
	return listener.Addr().String()
}

// forwardDelayed copies bytes, and closes both connections after the end.
func forwardDelayed(from, to net.Conn) {
	type part struct {
		due  time.Time
		data []byte
	}
	parts := make(chan part, 64)
	go func() {
		defer close(parts)
		for {
			data := make([]byte, 4<<10)
			n, err := from.Read(data)
			parts <- part{time.Now().Add(keptDelay), data[:n]}
			if err != nil {
				return
			}
		}
	}()
	for p := range parts {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.data); err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	for range parts {
	}
}

// keptCounts counts what callers with kept connections saw.
type keptCounts struct {
	// crossed counts requests that got no answer because the connection was closed, refused
	// those with 503, and inStop the others that were answered after the SIGTERM.
	crossed, refused, inStop, other atomic.Int32
}

// keepCalling sends a request every interval on one connection until it ends.
func (f *fleet) keepCalling(ctx context.Context, address, name string, first, interval time.Duration, stopping *atomic.Bool, counts *keptCounts) {
	conn, err := net.Dial("tcp4", address)
	if !f.c.Check(err, qt.IsNil) {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	next := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		if n > 0 {
			// A caller that sees the end of its connection uses another one.
			_ = conn.SetReadDeadline(next)
			if _, err := reader.Peek(1); err == nil || !isTimeout(err) {
				return
			}
		}
		request := fmt.Sprintf("POST /order/%[1]s-%[2]d HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %[1]s-%[2]d\r\nX-Deadline-Ms: %[3]d\r\nX-Credential: key\r\nContent-Length: 4\r\n\r\nbody",
			name, n, keptDeadline.Milliseconds())
		sentInStop := stopping.Load()
		_ = conn.SetReadDeadline(time.Now().Add(2 * keptDeadline))
		if _, err := io.WriteString(conn, request); err != nil {
			counts.crossed.Add(1)
			return
		}
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			counts.crossed.Add(1)
			return
		}
		_, err = io.Copy(io.Discard, answer.Body)
		switch {
		case err != nil:
			counts.crossed.Add(1)
		case answer.StatusCode == http.StatusServiceUnavailable:
			counts.refused.Add(1)
		case answer.StatusCode != http.StatusOK:
			counts.other.Add(1)
		case sentInStop:
			counts.inStop.Add(1)
		}
		if answer.Close {
			return
		}
		if n == 0 {
			next = time.Now().Add(first)
		} else {
			next = next.Add(interval)
		}
	}
}

// Callers that keep their connections and use them now and then must be answered during a
// planned stop. An idle connection that was closed 0.3 s after the listener lost the
// requests that crossed the close (incident, item 3). The stop must end within the grace
// period, and must not wait for connections that nobody uses.
func TestPlannedStopAnswersKeptConnections(t *testing.T) {
	for _, test := range []struct {
		interval time.Duration
		callers  int
		limit    time.Duration
	}{
		{time.Second, 100, keptGrace * time.Second},
		{5 * time.Second, 200, keptGrace * time.Second},
		{6500 * time.Millisecond, 200, keptGrace * time.Second},
		{time.Hour, 50, idleStopLimit},
	} {
		t.Run(test.interval.String(), func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c)
			f.graceS = keptGrace
			f.startProcesses(usualPlains)
			address := f.delayed(entryIP(0) + ":8005")
			ctx, cancel := context.WithCancel(context.Background())
			var stopping atomic.Bool
			var counts keptCounts
			var callers sync.WaitGroup
			for n := range test.callers {
				first := test.interval * time.Duration(n+1) / time.Duration(test.callers)
				callers.Go(func() {
					f.keepCalling(ctx, address, fmt.Sprint("kept-", n), first+time.Second, test.interval, &stopping, &counts)
				})
			}
			<-time.After(time.Second)
			stopping.Store(true)
			begun := time.Now()
			c.Assert(f.entries[0].Process.Signal(syscall.SIGTERM), qt.IsNil)
			c.Check(f.entries[0].Wait(), qt.IsNil)
			lasted := time.Since(begun)
			cancel()
			callers.Wait()
			c.Logf("every %v: %d crossed a close, %d refused, %d answered during the stop, %d other; the stop lasted %v", test.interval,
				counts.crossed.Load(), counts.refused.Load(), counts.inStop.Load(), counts.other.Load(), lasted.Round(time.Millisecond))
			c.Check(counts.crossed.Load(), qt.Equals, int32(0))
			c.Check(counts.other.Load(), qt.Equals, int32(0))
			c.Check(lasted < test.limit, qt.IsTrue)
		})
	}
}
