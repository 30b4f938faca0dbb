package gateway

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"github.com/laburnumloft/laburnumloft/core/limits"
	"github.com/laburnumloft/laburnumloft/core/placement"
)

// unconnectable is an address that answers no SYN, like a virtual machine that stands still.
type unconnectable struct {
	address  string
	listener net.Listener
	fillers  []net.Conn
}

// newUnconnectable listens with a full accept queue, so that the kernel drops every SYN.
func newUnconnectable(c *qt.C) *unconnectable {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), qt.IsNil)
	c.Assert(unix.Listen(fd, 0), qt.IsNil)
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }()
	u := &unconnectable{}
	u.listener, err = net.FileListener(file)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = u.listener.Close() })
	// net.FileListener leaves the backlog as it is.
	u.address = u.listener.Addr().String()
	for {
		conn, err := net.DialTimeout("tcp4", u.address, 50*time.Millisecond)
		if err != nil {
			break
		}
		u.fillers = append(u.fillers, conn)
		c.Assert(len(u.fillers) < 8, qt.IsTrue, qt.Commentf("the accept queue never fills"))
	}
	return u
}

// refusingAddress returns an address that refuses connections and that no other test gets
// meanwhile: its socket is bound and doesn't listen.
func refusingAddress(c *qt.C) string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = unix.Close(fd) })
	c.Assert(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), qt.IsNil)
	name, err := unix.Getsockname(fd)
	c.Assert(err, qt.IsNil)
	bound, ok := name.(*unix.SockaddrInet4)
	c.Assert(ok, qt.IsTrue)
	return fmt.Sprintf("127.0.0.1:%d", bound.Port)
}

// resume serves the address.
func (u *unconnectable) resume(answer answerFunc) {
	for _, conn := range u.fillers {
		_ = conn.Close()
	}
	server := &http.Server{Handler: http.HandlerFunc(answer)}
	go func() { _ = server.Serve(u.listener) }()
}

// A virtual machine that stands still when a request arrives completes its connection a
// second later. Requests to it got a refusal after 0.4 s where no other server could take
// them, or where the other one refused.
func TestServerThatConnectsLateIsNotGivenUp(t *testing.T) {
	type other struct {
		name   string
		answer answerFunc
		dead   bool
	}
	others := []other{{name: "absent"}, {name: "refusing", answer: notRun}, {name: "dead", dead: true}, {name: "answering", answer: events(silentEvents, false)}}
	var all sync.WaitGroup
	for _, beside := range others {
		for _, path := range []string{"/order/1", "/read/1", "/stream/1", "/once/1"} {
			for _, still := range []time.Duration{500, 1500, 2500} {
				all.Go(func() {
					t.Run(fmt.Sprintf("%s/%s/%v", beside.name, path, still*time.Millisecond), func(t *testing.T) {
						c := qt.New(t)
						r := silenceGateway(c)
						late := newUnconnectable(c)
						var runs atomic.Int64
						answer := func(w http.ResponseWriter, q *http.Request) {
							runs.Add(1)
							events(silentEvents, false)(w, q)
						}
						r.addServer("late", late.address, nil)
						if beside.answer != nil {
							// The other server has no room until the request was sent to the one that
							// stands still.
							handler := beside.answer
							if beside.name == "answering" {
								handler = answer
							}
							s := httptest.NewServer(http.HandlerFunc(handler))
							c.Cleanup(s.Close)
							time.AfterFunc(50*time.Millisecond, func() { r.addServer("other", s.URL, nil) })
						}
						if beside.dead {
							address := refusingAddress(c)
							time.AfterFunc(50*time.Millisecond, func() { r.addServer("other", address, nil) })
						}
						time.AfterFunc(still*time.Millisecond, func() { late.resume(answer) })
						got := r.call(c, path, "request")
						c.Check(got.err, qt.IsNil)
						c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%q", got.body))
						c.Check(runs.Load(), qt.Equals, int64(1))
						if beside.name == "answering" {
							c.Check(got.took < time.Second, qt.IsTrue, qt.Commentf("after %v", got.took))
						}
					})
				})
			}
		}
	}
	all.Wait()
}

// Servers that answer no SYN for good must be left soon where another one is free.
func TestUnconnectableServersAreLeft(t *testing.T) {
	for _, path := range []string{"/order/1", "/read/1", "/stream/1", "/once/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			r := silenceGateway(c)
			for i := range 2 {
				r.addServer(fmt.Sprint("dead-", i), newUnconnectable(c).address, nil)
			}
			sound := newServer(c, events(silentEvents, false))
			time.AfterFunc(50*time.Millisecond, func() { r.addServer("sound", sound.URL, nil) })
			got := r.call(c, path, "request")
			c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%q", got.body))
			c.Check(got.took < 2*slowConnectAfter+300*time.Millisecond, qt.IsTrue, qt.Commentf("after %v", got.took))
		})
	}
}

// A server that begins to leave, or is gone, while a connect to it is slow must not get the
// request, and the caller must learn at once that nobody can.
func TestSlowConnectEndsWithItsServer(t *testing.T) {
	for name, end := range map[string]func(r *testGateway, address string){
		"leaving": func(r *testGateway, address string) {
			r.addServer("late", address, func(s *placement.Server) { s.Draining = true })
		},
		"gone": func(r *testGateway, _ string) { r.RemoveServer("late", "test") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			r := silenceGateway(c)
			late := newUnconnectable(c)
			r.addServer("late", late.address, nil)
			var runs atomic.Int64
			time.AfterFunc(700*time.Millisecond, func() { end(r, late.address) })
			time.AfterFunc(900*time.Millisecond, func() {
				late.resume(func(w http.ResponseWriter, q *http.Request) {
					runs.Add(1)
					events(silentEvents, false)(w, q)
				})
			})
			got := r.call(c, "/order/1", "request")
			c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
			c.Check(got.took < 2*time.Second, qt.IsTrue, qt.Commentf("after %v", got.took))
			c.Check(runs.Load(), qt.Equals, int64(0))
		})
	}
}

// A connect to a server that is gone for good must not hold a request until its deadline
// while another server exists that it may not go to for the moment: its caller needs time to come back.
func TestSlowConnectLeavesTimeToComeBack(t *testing.T) {
	c := qt.New(t)
	r := silenceGateway(c)
	r.addServer("dead", newUnconnectable(c).address, nil)
	other := newServer(c, answerWith(http.StatusOK))
	r.mu.Lock()
	r.budget = limits.NewRetryBudget(limits.RetryBudgetConfig{MaxKeys: 4})
	r.mu.Unlock()
	time.AfterFunc(50*time.Millisecond, func() { r.addServer("other", other.URL, nil) })
	got := r.call(c, "/order/1", "request")
	c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(got.took > 2*time.Second && got.took < 4*time.Second, qt.IsTrue, qt.Commentf("after %v", got.took))
	c.Check(other.count(), qt.Equals, 0)
}
