package fleet

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/standin/platform"
)

const (
	// ownPause is how long an entry is stopped. It is longer than any silence after which
	// another server is tried.
	ownPause = 2 * time.Second
	// ownPauseRounds is how often that happens, and ownPauseCallers how many streams it
	// meets.
	ownPauseRounds  = 4
	ownPauseCallers = 24
)

// An entry that was stopped for a while itself must not take that time for a silence of its
// servers: it tried other ones beside sound streams, and suspected sound servers.
func TestOwnPauseIsNoSilenceOfServers(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	f.startPauses()
	for round := range ownPauseRounds {
		var callers sync.WaitGroup
		for n := range ownPauseCallers {
			callers.Go(func() {
				// The streams are at different points when the entry is stopped.
				<-time.After(time.Duration(rand.Int64N(int64(time.Second))))
				k := &keptCaller{}
				o, ok := k.call("/notice/", fmt.Sprintf("notice-%d-%d", round, n), pauseDeadline, shortestTimeout, false)
				c.Check(ok && o.whole, qt.IsTrue, qt.Commentf("%s: status %d", o.id, o.status))
				if k.conn != nil {
					k.close()
				}
			})
		}
		<-time.After(time.Second)
		f.signalEntry(0, syscall.SIGSTOP)
		<-time.After(ownPause)
		f.signalEntry(0, syscall.SIGCONT)
		callers.Wait()
	}
	for _, line := range strings.Split(f.logs.String(), "\n") {
		if strings.Contains(line, "attempt_silent") || strings.Contains(line, "process_paused") {
			c.Log(line)
		}
	}
	c.Check(strings.Count(f.logs.String(), "attempt_silent"), qt.Equals, 0)
	f.checkServers(nil)
}

// Answers that arrived in time while their entry was stopped must be delivered, also when the
// deadline has passed before the entry goes on: it ended their attempts before it read them.
func TestAnswersAreDeliveredAfterAnOwnPause(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	f.startPauses()
	for _, s := range f.plains {
		s.SetLoad(platform.Load{AnswerTime: 500 * time.Millisecond})
	}
	// Streams last 1.2 s.
	const readTime, streamTime = time.Second, 1800 * time.Millisecond
	for round := range ownPauseRounds {
		var callers sync.WaitGroup
		call := func(after time.Duration, path, kind string, n int, deadline time.Duration) {
			callers.Go(func() {
				<-time.After(after)
				k := &keptCaller{}
				o, ok := k.call(path, fmt.Sprintf("%s-%d-%d", kind, round, n), deadline, shortestTimeout, false)
				c.Check(ok && o.whole && o.status == http.StatusOK, qt.IsTrue, qt.Commentf("%s: status %d after %v", o.id, o.status, o.ended.Sub(o.sent)))
				if k.conn != nil {
					k.close()
				}
			})
		}
		for n := range ownPauseCallers {
			call(700*time.Millisecond, "/order/", "order", n, readTime)
			call(700*time.Millisecond, "/read/", "read", n, readTime)
			call(0, "/notice/", "notice", n, streamTime)
		}
		<-time.After(time.Second)
		f.signalEntry(0, syscall.SIGSTOP)
		<-time.After(1500 * time.Millisecond)
		f.signalEntry(0, syscall.SIGCONT)
		callers.Wait()
	}
	if c.Failed() {
		c.Log(tail(f.logs.String()))
	}
}

// callerHeaderTimeout is how long a caller may take to send a head.
const callerHeaderTimeout = 10 * time.Second

// Callers whose bytes arrived while their entry was stopped must not be taken for slow ones:
// it closed their connections before it read the rest of their requests.
func TestHeadsAreReadAfterAnOwnPause(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	f.startPauses()
	var callers sync.WaitGroup
	began := time.Now()
	for n := range ownPauseCallers {
		callers.Go(func() {
			conn, err := net.DialTimeout("tcp4", entryIP(0)+":8005", time.Second)
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			text := (&platform.Caller{ID: fmt.Sprint("order-", n), Path: "/order/", Deadline: pauseDeadline}).Request()
			_, err = io.WriteString(conn, text[:20])
			c.Assert(err, qt.IsNil)
			<-time.After(time.Until(began.Add(callerHeaderTimeout)))
			_, err = io.WriteString(conn, text[20:])
			c.Assert(err, qt.IsNil)
			_ = conn.SetReadDeadline(time.Now().Add(pauseDeadline))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if c.Check(err, qt.IsNil) {
				c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
				_ = resp.Body.Close()
			}
		})
	}
	<-time.After(time.Until(began.Add(callerHeaderTimeout - time.Second)))
	f.signalEntry(0, syscall.SIGSTOP)
	<-time.After(ownPause)
	f.signalEntry(0, syscall.SIGCONT)
	callers.Wait()
}
