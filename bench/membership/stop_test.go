package membership_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/bench/harness"
)

const (
	// crossing is how soon after a listener has closed the rest of a request is sent.
	crossing = 100 * time.Millisecond
	// connectionsOfAKind is the number of connections of each kind beside a stop.
	connectionsOfAKind = 5
	// crossingAnswerLimit is how long an answer beside a stop may take.
	crossingAnswerLimit = 5 * time.Second
)

// crossingRequest is a request of which a part is sent before the listener closes.
type crossingRequest struct {
	conn   net.Conn
	reader *bufio.Reader
	kind   string
	rest   string
}

// exchange sends the rest of a request and returns the status of its answer.
func (r crossingRequest) exchange(rest string) (int, error) {
	_ = r.conn.SetDeadline(time.Now().Add(crossingAnswerLimit))
	if _, err := io.WriteString(r.conn, rest); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(r.reader, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// crossStop stops a process while requests arrive on open connections, and returns what
// those got that were whole within crossing of the close.
func (f *fixture) crossStop(p *harness.Process, path string) (statuses map[string]map[string]int) {
	f.Helper()
	const body = "{}"
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	var requests []crossingRequest
	for _, kept := range []bool{false, true} {
		for _, before := range []int{0, 20} {
			for range connectionsOfAKind {
				conn, err := net.Dial("tcp", p.Address)
				qt.Assert(f, err, qt.IsNil)
				f.Cleanup(func() { _ = conn.Close() })
				r := crossingRequest{conn, bufio.NewReader(conn), fmt.Sprintf("kept %v, %d bytes before", kept, before), request[before:]}
				if kept {
					_, err := r.exchange("GET /v1/health HTTP/1.1\r\nHost: h\r\n\r\n")
					qt.Assert(f, err, qt.IsNil)
				}
				_, err = io.WriteString(conn, request[:before])
				qt.Assert(f, err, qt.IsNil)
				requests = append(requests, r)
			}
		}
	}
	qt.Assert(f, p.Cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	var lastOpen time.Time
	for {
		other, err := net.Dial("tcp", p.Address)
		if err != nil {
			break
		}
		lastOpen = time.Now()
		_ = other.Close()
		<-time.After(5 * time.Millisecond)
	}
	statuses = map[string]map[string]int{}
	for _, r := range requests {
		if time.Since(lastOpen) > crossing {
			continue
		}
		status, err := r.exchange(r.rest)
		if statuses[r.kind] == nil {
			statuses[r.kind] = map[string]int{}
		}
		outcome := fmt.Sprint(status)
		if err != nil {
			outcome = err.Error()
		}
		statuses[r.kind][outcome]++
	}
	return statuses
}

// A request that arrives as a planned stop closes the listener, or of which a part has been
// read by then, must be answered with a refusal. http.Server.Shutdown drops a request whose
// head it has just read, and closes kept connections on which one begins.
func TestPlannedStopAnswersRequestsThatCrossIt(t *testing.T) {
	t.Parallel()
	f := newFixture(t, nil, nil)
	for _, test := range []struct {
		process *harness.Process
		path    string
		refusal string
	}{
		{f.entries[1], requestPath, "307"},
		{f.agents[1], "/agent/v1/requests", "503"},
	} {
		statuses := f.crossStop(test.process, test.path)
		qt.Check(t, statuses, qt.HasLen, 4)
		for kind, got := range statuses {
			t.Logf("%s, %s: %v", test.process.Name, kind, got)
			for outcome := range got {
				qt.Check(t, outcome, qt.Equals, test.refusal, qt.Commentf("%s, %s", test.process.Name, kind))
			}
		}
		qt.Check(t, f.wait(test.process), qt.Equals, 0)
	}
}
