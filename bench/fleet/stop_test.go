package fleet

import (
	"errors"
	"fmt"
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
	// stopGrace is the usual grace period of the settings.
	stopGrace = 4 * time.Second
	// stopTimeout is the timeout of the routes, which is shorter than the grace.
	stopTimeout = 3 * time.Second
	// stopCallInterval is the time between two requests on a connection of their own;
	// as many come on kept connections.
	stopCallInterval = 40 * time.Millisecond
)

// outcome is what a caller got around a planned stop; status 0 is a connection that
// ended without an answer.
type outcome struct {
	id     string
	status int
	// sent is when the request was sent, relative to the SIGTERM.
	sent time.Duration
}

// callsAround sends requests to an entry from before its stop until after its end.
func (f *fleet) callsAround(entry int, path, name string, stop func()) []outcome {
	var mu sync.Mutex
	var out []outcome
	var wait sync.WaitGroup
	kept := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}, Timeout: 8 * time.Second}
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 8 * time.Second}
	var stopped time.Time
	begun := time.Now()
	const before = 500 * time.Millisecond
	time.AfterFunc(before, func() {
		mu.Lock()
		stopped = time.Now()
		mu.Unlock()
		stop()
	})
	for n := 0; time.Since(begun) < before+stopGrace+300*time.Millisecond; n++ {
		client, id := fresh, fmt.Sprintf("%s-%d", name, n)
		if n%2 == 1 {
			client = kept
		}
		wait.Go(func() {
			sent := time.Now()
			status, delivered := f.stopCall(client, entry, path, id)
			mu.Lock()
			defer mu.Unlock()
			if delivered {
				out = append(out, outcome{id, status, sent.Sub(stopped)})
			}
		})
		<-time.After(stopCallInterval / 2)
	}
	wait.Wait()
	return out
}

// stopCall makes one call. delivered is false if no connection could be opened.
func (f *fleet) stopCall(client *http.Client, entry int, path, id string) (status int, delivered bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+entryIP(entry)+":8005"+path+id, strings.NewReader("body of "+id))
	f.c.Check(err, qt.IsNil)
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callerDeadline.Milliseconds()))
	req.Header.Set("X-Credential", "key")
	resp, err := client.Do(req)
	if err != nil {
		var op *net.OpError
		return 0, !(errors.As(err, &op) && op.Op == "dial")
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, true
}

// In a planned stop, a request that was given to a server gets an answer before the
// process ends, and one that can't end within the grace period is refused and has not
// run (report of other operators: LOST).
func TestPlannedStopAnswersWhatItTook(t *testing.T) {
	for _, test := range []struct {
		path string
		work time.Duration
	}{
		{"/hold/", 300 * time.Millisecond},
		{"/hold/", 1200 * time.Millisecond},
		{"/hold/", 2400 * time.Millisecond},
		{"/hold/", 3600 * time.Millisecond},
		{"/holdsafe/", 2400 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%s %v", strings.Trim(test.path, "/"), test.work), func(t *testing.T) {
			c := qt.New(t)
			f := start(c)
			f.holdTimeout = stopTimeout
			f.startHolding()
			f.configure()
			f.eventually("configuration in force", func() bool { return f.inForce(0) })
			f.setWork(platform.Work{Time: test.work})
			outcomes := f.callsAround(0, test.path, "stop", func() { _ = f.entries[0].Process.Signal(syscall.SIGTERM) })
			f.checkStop(outcomes, test.work)
		})
	}
}

// checkStop checks the outcomes of the calls around a planned stop.
func (f *fleet) checkStop(outcomes []outcome, work time.Duration) {
	f.c.Helper()
	visited := map[string]bool{}
	for _, v := range f.visits() {
		visited[v.ID] = true
	}
	cut, refusedAndRan, served, servedInStop := 0, 0, 0, 0
	for _, o := range outcomes {
		switch {
		case o.status == 0 && visited[o.id]:
			cut++
			f.c.Logf("cut: sent %v after SIGTERM", o.sent.Round(time.Millisecond))
		case o.status == http.StatusServiceUnavailable && visited[o.id]:
			refusedAndRan++
		case o.status == http.StatusOK:
			served++
			if o.sent > 0 {
				servedInStop++
			}
		}
	}
	f.c.Logf("work %v: %d calls, %d served, %d of these sent during the stop, %d cut, %d refused though they ran", work, len(outcomes), served, servedInStop, cut, refusedAndRan)
	f.c.Check(cut, qt.Equals, 0)
	f.c.Check(refusedAndRan, qt.Equals, 0)
	if work < stopTimeout/2 {
		f.c.Check(servedInStop > 0, qt.IsTrue, qt.Commentf("no request was taken during the stop"))
	}
}
