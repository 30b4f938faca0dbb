package fleet

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/standin/platform"
)

// The crowds and bounds of these tests. An entry has little memory and few descriptors,
// so that a small crowd shows what a large one does to a VM.
const (
	crowdMemoryMB = 64
	crowdFDs      = 400
	crowdMaxBody  = 1 << 20
	// crowdSize callers send bodies at once, and idleCrowdSize only connect.
	crowdSize     = 120
	idleCrowdSize = 500
	// overLimit is how far over the limit a body is, in multiples of it.
	overLimit = 64
	// crowdSettles is the time for which a crowd stays open after it has sent all.
	crowdSettles = 2 * time.Second
	// crowdHolds is how long servers hold the requests of a crowd.
	crowdHolds = 5 * time.Second
	// crowdWriteTimeout ends the writes of a caller that is no longer read.
	crowdWriteTimeout = 5 * time.Second
)

// startCrowded starts a fleet whose processes have little memory and few descriptors.
func startCrowded(c *qt.C) *fleet {
	f := newFleet(c)
	f.memoryMB, f.maxFDs, f.maxBody = crowdMemoryMB, crowdFDs, crowdMaxBody
	f.startProcesses(usualPlains)
	f.startHolding()
	return f
}

// crowdMember writes what one member of a crowd sends. It stops at the first error: the
// process may refuse or close.
type crowdMember func(n int, conn net.Conn) error

// head returns the head of a request to the entries with further fields.
func head(path, id string, fields ...string) string {
	return fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nX-Credential: key\r\n%s\r\n\r\n",
		path, id, id, strings.Join(fields, "\r\n"))
}

// crowd lets size callers connect to an address and send. It returns when all have sent
// what they can; the connections stay open until leave is called.
func (f *fleet) crowd(address string, size int, send crowdMember) (leave func()) {
	var wait sync.WaitGroup
	conns := make([]net.Conn, size)
	for n := range size {
		wait.Go(func() {
			conn, err := net.DialTimeout("tcp4", address, crowdWriteTimeout)
			if err != nil {
				return
			}
			conns[n] = conn
			_ = conn.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
			_ = send(n, conn)
		})
	}
	wait.Wait()
	return func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
	}
}

// peakMemory returns the largest resident memory that a process has had, in bytes.
func (f *fleet) peakMemory(pid int) int64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	f.c.Assert(err, qt.IsNil, qt.Commentf("the process has ended\n%s", tail(f.logs.String())))
	defer func() { _ = file.Close() }()
	for scan := bufio.NewScanner(file); scan.Scan(); {
		if fields := strings.Fields(scan.Text()); len(fields) > 1 && fields[0] == "VmHWM:" {
			kib, err := strconv.ParseInt(fields[1], 10, 64)
			f.c.Assert(err, qt.IsNil)
			return kib << 10
		}
	}
	f.c.Fatalf("process %d has no VmHWM: it has ended", pid)
	return 0
}

// descriptors returns how many descriptors a process has open.
func (f *fleet) descriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	f.c.Assert(err, qt.IsNil, qt.Commentf("the process has ended"))
	return len(entries)
}

// checkWithinMachine checks that a process lives within the memory and descriptors of its
// VM.
func (f *fleet) checkWithinMachine(pid int) {
	f.c.Helper()
	memory, fds := f.peakMemory(pid), f.descriptors(pid)
	f.c.Logf("peak memory %d MB, %d descriptors", memory>>20, fds)
	f.c.Check(memory <= crowdMemoryMB<<20, qt.IsTrue, qt.Commentf("peak memory %d MB, the VM has %d", memory>>20, crowdMemoryMB))
	f.c.Check(fds <= crowdFDs, qt.IsTrue, qt.Commentf("%d descriptors, the VM has %d", fds, crowdFDs))
}

// checkCrowd plays a crowd against the first entry. Afterwards, the crowd still being
// there, the process must live within its VM and answer an ordinary request; and without
// the crowd the largest legal request.
func checkCrowd(c *qt.C, size int, send crowdMember) {
	f := startCrowded(c)
	f.setWork(platform.Work{Time: crowdHolds, Unread: true})
	pid := f.entries[0].Process.Pid
	leave := f.crowd(entryIP(0)+":8005", size, send)
	<-time.After(crowdSettles)
	f.checkWithinMachine(pid)
	c.Check(f.call(0, "/read/", "ordinary"), qt.Equals, http.StatusOK)
	leave()
	f.checkLargestRequest()
	f.checkWithinMachine(pid)
	f.checkServers(nil)
}

// checkLargestRequest checks that a request with the largest legal body is served in calm.
func (f *fleet) checkLargestRequest() {
	f.c.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+entryIP(0)+":8005/read/largest", strings.NewReader(strings.Repeat("b", crowdMaxBody)))
	f.c.Assert(err, qt.IsNil)
	req.Host = "h.example"
	for name, value := range map[string]string{"X-Request-Id": "largest", "X-Deadline-Ms": "3000", "X-Credential": "key"} {
		req.Header.Set(name, value)
	}
	resp, err := f.client.Do(req)
	f.c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	f.c.Check(err, qt.IsNil)
	f.c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
	f.c.Check(n > crowdMaxBody, qt.IsTrue)
}

var (
	withLength   = fmt.Sprint("Content-Length: ", crowdMaxBody)
	withChunks   = "Transfer-Encoding: chunked"
	bodyButOne   = strings.Repeat("b", crowdMaxBody-1)
	errCrowdDone = errors.New("the member of the crowd has sent all")
)

// write writes the parts one after the other.
func write(conn net.Conn, parts ...string) error {
	for _, part := range parts {
		if _, err := io.WriteString(conn, part); err != nil {
			return err
		}
	}
	return nil
}

// Many bodies of legal size that stop a byte before their end must not fill the memory.
func TestCrowdOfUnfinishedBodies(t *testing.T) {
	checkCrowd(qt.New(t), crowdSize, func(n int, conn net.Conn) error {
		return write(conn, head("/read/", fmt.Sprint("crowd-", n), withLength), bodyButOne)
	})
}

// The same for bodies that come piece by piece.
func TestCrowdOfBodiesInPieces(t *testing.T) {
	checkCrowd(qt.New(t), crowdSize, func(n int, conn net.Conn) error {
		if err := write(conn, head("/read/", fmt.Sprint("crowd-", n), withLength)); err != nil {
			return err
		}
		const piece = 64 << 10
		for sent := 0; sent < len(bodyButOne); sent += piece {
			if err := write(conn, bodyButOne[sent:min(sent+piece, len(bodyButOne))]); err != nil {
				return err
			}
			<-time.After(10 * time.Millisecond)
		}
		return nil
	})
}

// The same for bodies in one large chunk.
func TestCrowdOfLargeChunks(t *testing.T) {
	checkCrowd(qt.New(t), crowdSize, func(n int, conn net.Conn) error {
		return write(conn, head("/read/", fmt.Sprint("crowd-", n), withChunks), fmt.Sprintf("%x\r\n", crowdMaxBody), bodyButOne)
	})
}

// The same for bodies in chunks of a few bytes, with extensions.
func TestCrowdOfSmallChunks(t *testing.T) {
	chunks := strings.Repeat("8;e=1\r\nbbbbbbbb\r\n", (crowdMaxBody-1)/8)
	checkCrowd(qt.New(t), crowdSize, func(n int, conn net.Conn) error {
		return write(conn, head("/read/", fmt.Sprint("crowd-", n), withChunks), chunks)
	})
}

// Many whole bodies at servers that hold their requests must not fill the memory.
func TestCrowdOfWholeBodies(t *testing.T) {
	checkCrowd(qt.New(t), crowdSize, func(n int, conn net.Conn) error {
		return write(conn, head("/hold/", fmt.Sprint("crowd-", n), withLength), bodyButOne, "b")
	})
}

// Bodies far over the limit, announced or just sent, must be refused before they are held.
func TestCrowdOverTheLimit(t *testing.T) {
	for name, send := range map[string]crowdMember{
		"announced": func(n int, conn net.Conn) error {
			if err := write(conn, head("/read/", fmt.Sprint("crowd-", n), fmt.Sprint("Content-Length: ", overLimit*crowdMaxBody))); err != nil {
				return err
			}
			for range overLimit {
				if err := write(conn, bodyButOne); err != nil {
					return err
				}
			}
			return errCrowdDone
		},
		"sent": func(n int, conn net.Conn) error {
			if err := write(conn, head("/read/", fmt.Sprint("crowd-", n), withChunks)); err != nil {
				return err
			}
			for range overLimit {
				if err := write(conn, fmt.Sprintf("%x\r\n", len(bodyButOne)), bodyButOne, "\r\n"); err != nil {
					return err
				}
			}
			return errCrowdDone
		},
	} {
		t.Run(name, func(t *testing.T) { checkCrowd(qt.New(t), crowdSize, send) })
	}
}

// Connections that hold no request, or the beginning of one, must not use up the
// descriptors.
func TestCrowdOfConnections(t *testing.T) {
	for name, send := range map[string]crowdMember{
		"silent":      func(int, net.Conn) error { return nil },
		"half a head": func(_ int, conn net.Conn) error { return write(conn, "POST /read/x HTTP/1.1\r\nHost: h.exa") },
		"half a body": func(n int, conn net.Conn) error {
			return write(conn, head("/read/", fmt.Sprint("crowd-", n), "Content-Length: 10"), "half")
		},
		"long heads": func(_ int, conn net.Conn) error {
			return write(conn, "POST /read/x HTTP/1.1\r\nX-Long: ", strings.Repeat("h", 40<<10))
		},
		"kept for use": func(n int, conn net.Conn) error {
			return write(conn, head("/read/", fmt.Sprint("crowd-", n), "Content-Length: 1"), "b")
		},
	} {
		t.Run(name, func(t *testing.T) { checkCrowd(qt.New(t), idleCrowdSize, send) })
	}
}

// The other listeners of entries and agents must bear the same crowds.
func TestCrowdsAtOtherListeners(t *testing.T) {
	c := qt.New(t)
	f := startCrowded(c)
	entry, agent := f.entries[0].Process.Pid, f.agents[0].Process.Pid
	for _, listener := range []struct {
		name, address string
		pid           int
	}{
		{"own port", fmt.Sprint(entryIP(0), ":", ownPort), entry},
		{"metrics", fmt.Sprint(entryIP(0), ":", ownPort+1), entry},
		{"control", entryIP(0) + ":8000", entry},
		{"ready", entryIP(0) + ":8002", entry},
		{"directory", entryIP(0) + ":8009", entry},
		{"own port of an agent", fmt.Sprint(engineIP(0), ":", ownPort), agent},
		{"metrics of an agent", fmt.Sprint(engineIP(0), ":", ownPort+1), agent},
	} {
		var leave []func()
		leave = append(leave, f.crowd(listener.address, crowdSize, func(_ int, conn net.Conn) error {
			return write(conn, "POST / HTTP/1.1\r\nHost: h\r\n", withLength, "\r\n\r\n", bodyButOne)
		}))
		leave = append(leave, f.crowd(listener.address, idleCrowdSize, func(_ int, conn net.Conn) error {
			return write(conn, "GET / HTTP/1.1\r\nX-Long: ", strings.Repeat("h", 200<<10))
		}))
		<-time.After(crowdSettles)
		c.Logf("crowd at %s", listener.name)
		f.checkWithinMachine(listener.pid)
		c.Check(f.ready(0), qt.IsTrue)
		c.Check(f.call(0, "/read/", "ordinary-"+strings.ReplaceAll(listener.name, " ", "-")), qt.Equals, http.StatusOK)
		for _, end := range leave {
			end()
		}
	}
	f.checkServers(nil)
}
