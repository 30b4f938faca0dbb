package fleet

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/standin/platform"
)

const (
	// maxEndDelay is the users' bound on the time from a caller's leaving until its
	// server sees the end of its connection.
	maxEndDelay = 500 * time.Millisecond
	// leavesAfter is when callers leave, and callerDeadline what they say they wait.
	leavesAfter    = 300 * time.Millisecond
	callerDeadline = 5500 * time.Millisecond
	// usualLeaving is how many callers leave at once in most cases.
	usualLeaving = 24
	// largeBody is larger than what a server's receive window takes.
	largeBody = 60_000
	// nextSuffix follows a request's id in the id of the next one on its connection.
	nextSuffix = "-next"
	// holdingServers is how many holding servers a test has.
	holdingServers = 2
)

// startHolding adds holding servers to the fleet.
func (f *fleet) startHolding() {
	ctx, cancel := context.WithCancel(context.Background())
	f.c.Cleanup(cancel)
	var refusals platform.Refusals
	for i := range holdingServers {
		s, err := platform.ListenHolding(ctx, fmt.Sprint("holding-", i), holdingIP(i)+":8001", &refusals)
		f.c.Assert(err, qt.IsNil)
		f.mu.Lock()
		f.holding = append(f.holding, s)
		f.mu.Unlock()
	}
	f.awaitHolding()
}

// awaitHolding waits until all entries know the holding servers.
func (f *fleet) awaitHolding() {
	f.setWork(platform.Work{})
	for i := range entries {
		f.eventually("holding servers known", func() bool {
			return f.holdCall(i, "/hold/", "probe").send() == "200"
		})
	}
}

func (f *fleet) setWork(w platform.Work) {
	for _, s := range f.holding {
		s.SetWork(w)
	}
}

func (f *fleet) visits() (all []platform.Visit) {
	for _, s := range f.holding {
		all = append(all, s.Visits()...)
	}
	return all
}

// holdCaller is a caller of a holding server.
type holdCaller struct {
	platform.Caller
	entry int
	left  time.Time
}

func (f *fleet) holdCall(entry int, path, id string) *holdCaller {
	return &holdCaller{Caller: platform.Caller{ID: id, Path: path, Deadline: callerDeadline}, entry: entry}
}

// address is where the caller connects.
func (h *holdCaller) address() string { return entryIP(h.entry) + ":8005" }

// send sends the request and returns the answer's status; empty if there is none.
func (h *holdCaller) send() string {
	if h.Send(h.address()) != nil {
		return ""
	}
	defer func() { _ = h.Leave(platform.Closes) }()
	return h.readStatus()
}

func (h *holdCaller) readStatus() string {
	buffer := make([]byte, 4<<10)
	_ = h.Conn().SetReadDeadline(time.Now().Add(callerDeadline + 2*time.Second))
	n, err := h.Conn().Read(buffer)
	if fields := strings.Fields(string(buffer[:n])); err == nil && len(fields) > 1 {
		return fields[1]
	}
	return ""
}

// leaveAll lets callers send their requests and leave, and returns how long after
// that each visit ended, by request id.
func (f *fleet) leaveAll(callers []*holdCaller, how platform.Departure, after time.Duration) {
	var wait sync.WaitGroup
	for _, h := range callers {
		wait.Go(func() {
			f.c.Check(h.Send(h.address()), qt.IsNil)
			<-time.After(after)
			h.left = time.Now()
			f.c.Check(h.Leave(how), qt.IsNil)
		})
	}
	wait.Wait()
}

// checkEnded checks that no server works for a caller that has left, and returns how
// many visits there were.
func (f *fleet) checkEnded(callers []*holdCaller) int {
	f.c.Helper()
	left := map[string]time.Time{}
	for _, h := range callers {
		left[h.ID] = h.left
	}
	<-time.After(2 * maxEndDelay)
	seen, late, worst, arrivedLate := 0, 0, time.Duration(0), 0
	now := time.Now()
	for _, v := range f.visits() {
		at, known := left[strings.TrimSuffix(v.ID, nextSuffix)]
		if !known || v.Answered && v.Ended.IsZero() && v.Arrived.Before(at) {
			continue
		}
		seen++
		ended := v.Ended
		if ended.IsZero() {
			ended = now
		}
		worst = max(worst, ended.Sub(at))
		if ended.Sub(at) > maxEndDelay {
			late++
		}
		if v.Arrived.Sub(at) > maxEndDelay {
			arrivedLate++
		}
	}
	f.c.Logf("%d of %d runs went on after their callers had left, worst %v; %d requests arrived late", late, seen, worst.Round(time.Millisecond), arrivedLate)
	f.c.Check(late, qt.Equals, 0, qt.Commentf("%d of %d runs went on more than %v after their callers had left", late, seen, maxEndDelay))
	f.c.Check(arrivedLate, qt.Equals, 0)
	return seen
}

// departure is one way in which callers leave.
type departure struct {
	name string
	path string
	work platform.Work
	// shape sets up a caller.
	shape func(h *holdCaller)
	how   platform.Departure
	// callers and after differ from usualLeaving and leavesAfter if set.
	callers int
	after   time.Duration
	// unseen means that the requests reach no server.
	unseen bool
}

// departures are the states in which a caller can leave.
func departures() []departure {
	long := platform.Work{Time: 10 * time.Second}
	stream := platform.Work{Time: 10 * time.Second, EventBytes: 40}
	body := func(size int, chunked bool) func(*holdCaller) {
		return func(h *holdCaller) { h.BodyBytes, h.Chunked = size, chunked }
	}
	next := func(path string, body int) func(*holdCaller) {
		return func(h *holdCaller) {
			following := platform.Caller{ID: h.ID + nextSuffix, Path: path, Deadline: callerDeadline, BodyBytes: body}
			h.Further = following.Request()
		}
	}
	return []departure{
		{name: "before an answer", path: "/hold/", work: long, how: platform.Closes},
		{name: "resets", path: "/hold/", work: long, how: platform.Resets},
		{name: "ends its sending side", path: "/hold/", work: long, how: platform.EndsSending},
		{name: "safe request", path: "/holdsafe/", work: long, how: platform.Closes},
		{name: "chunked body", path: "/hold/", work: long, how: platform.Closes, shape: body(2000, true)},
		{name: "large body", path: "/hold/", work: long, how: platform.Closes, shape: body(largeBody, false)},
		{name: "large body that the server does not read", path: "/hold/", work: platform.Work{Time: 10 * time.Second, Unread: true}, how: platform.Closes, shape: body(largeBody, false)},
		{name: "body that is never complete", path: "/hold/", work: long, how: platform.Closes, unseen: true, shape: func(h *holdCaller) { h.BodyBytes, h.HeldBack = 2000, 1000 }},
		{name: "inside a stream", path: "/holdstream/", work: stream, how: platform.Closes},
		{name: "inside a stream that it does not read", path: "/holdstream/", work: platform.Work{Time: 10 * time.Second, EventBytes: 30_000}, how: platform.Closes, after: time.Second},
		{name: "ends its sending side in a stream that it does not read", path: "/holdstream/", work: platform.Work{Time: 10 * time.Second, EventBytes: 30_000}, how: platform.EndsSending, after: time.Second},
		{name: "after a first refusal", path: "/holdsafe/", work: platform.Work{Time: 10 * time.Second, RefuseFirst: 1}, how: platform.Closes, callers: 18}, // within the retry budget
		{name: "after a stray line end", path: "/hold/", work: long, how: platform.Closes, shape: func(h *holdCaller) { h.Further = "\r\n" }},
		{name: "after a stray line end in a stream", path: "/holdstream/", work: stream, how: platform.Closes, shape: func(h *holdCaller) { h.Further = "\r\n" }},
		{name: "after its next request", path: "/holdsafe/", work: long, how: platform.Closes, shape: next("/holdsafe/", 0)},
		{name: "after its next request, ends its sending side", path: "/hold/", work: long, how: platform.EndsSending, shape: next("/hold/", 0)},
		{name: "after its next request with a large body", path: "/hold/", work: long, how: platform.Closes, shape: next("/hold/", largeBody)},
		{name: "300 at once", path: "/hold/", work: long, how: platform.Closes, callers: 300},
		{name: "300 at once after a stray line end", path: "/hold/", work: long, how: platform.Resets, callers: 300, shape: func(h *holdCaller) { h.Further = "\r\n" }},
	}
}

// play lets the callers of a departure leave and checks that their work ends.
func (f *fleet) play(d departure) {
	f.c.Helper()
	f.setWork(d.work)
	callers := make([]*holdCaller, cmp.Or(d.callers, usualLeaving))
	for n := range callers {
		callers[n] = f.holdCall(n%entries, d.path, fmt.Sprintf("%s-%d-%d", strings.ReplaceAll(d.name, " ", "-"), time.Now().UnixNano(), n))
		if d.shape != nil {
			d.shape(callers[n])
		}
	}
	f.leaveAll(callers, d.how, max(d.after, leavesAfter))
	seen := f.checkEnded(callers)
	if d.unseen {
		f.c.Check(seen, qt.Equals, 0)
	} else {
		f.c.Check(seen >= len(callers), qt.IsTrue, qt.Commentf("%d visits of %d callers", seen, len(callers)))
	}
}

// A server must not work on for a caller that has left, whatever the state of the
// request and whatever the caller sent behind it (incident GONE).
func TestWorkEndsWhenItsCallerLeaves(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	f.startHolding()
	for _, d := range departures() {
		f.sub(d.name, func() { f.play(d) })
	}
}

// Work ends with its caller also while the entry stops, reloads its settings or takes
// over a new configuration.
func TestWorkEndsWhenItsCallerLeavesDuringChanges(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	f.startHolding()
	stray := func(h *holdCaller) { h.Further = "\r\n" }
	long := platform.Work{Time: 10 * time.Second}
	for _, change := range []struct {
		name string
		do   func()
	}{
		{"reload", func() { _ = f.entries[0].Process.Signal(syscall.SIGHUP) }},
		{"new timeout", func() { f.holdTimeout = 4 * time.Second; f.configure() }},
		{"stop", func() { _ = f.entries[0].Process.Signal(syscall.SIGTERM) }},
	} {
		f.sub(change.name, func() {
			time.AfterFunc(leavesAfter/2, change.do)
			f.play(departure{name: change.name, path: "/hold/", work: long, how: platform.Closes})
			if change.name != "stop" {
				time.AfterFunc(leavesAfter/2, change.do)
				f.play(departure{name: change.name + " stray", path: "/hold/", work: long, how: platform.Closes, shape: stray})
			}
		})
	}
}

// The work of an entry that is killed ends at once, too: its connections end with it
// (TestDepartureSoak, seed 1, once: a body that the server had not read).
func TestWorkEndsWhenItsEntryIsKilled(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	f.startHolding()
	for _, body := range []int{0, largeBody} {
		f.sub(fmt.Sprint("body of ", body), func() {
			f.setWork(platform.Work{Time: 10 * time.Second, Unread: true})
			var callers []*holdCaller
			for n := range 8 {
				h := f.holdCall(0, "/hold/", fmt.Sprintf("killed-%d-%d", body, n))
				h.BodyBytes = body
				c.Assert(h.Send(h.address()), qt.IsNil)
				callers = append(callers, h)
			}
			f.eventually("all requests at servers", func() bool { return len(f.visits()) == len(callers) })
			for _, h := range callers {
				h.left = time.Now()
			}
			f.restart(f.entries, 0, syscall.SIGKILL)
			f.c.Check(f.checkEnded(callers), qt.Equals, len(callers))
			f.eventually("entry ready", func() bool { return f.ready(0) })
		})
	}
}

// sub runs a part of a test as a subtest.
func (f *fleet) sub(name string, run func()) {
	parent := f.c
	defer func() { f.c = parent }()
	parent.Run(name, func(c *qt.C) {
		f.c = c
		run()
	})
}

// The end of a caller's deadline or of the route's timeout ends the work at the server,
// also after a change of the timeout.
func TestWorkEndsAtTheDeadline(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	f.startHolding()
	check := func(name, path string, bound, deadline time.Duration, further string) {
		f.sub(name, func() {
			f.setWork(platform.Work{Time: 10 * time.Second, EventBytes: map[bool]int{true: 40}[path == "/holdstream/"]})
			var callers []*holdCaller
			var wait sync.WaitGroup
			for n := range entries {
				h := f.holdCall(n, path, fmt.Sprintf("%s-%d", strings.ReplaceAll(name, " ", "-"), n))
				h.Deadline, h.Further = deadline, further
				callers = append(callers, h)
				wait.Go(func() {
					begun := time.Now()
					c.Check(h.Send(h.address()), qt.IsNil)
					h.left = begun.Add(bound)
				})
			}
			wait.Wait()
			<-time.After(bound)
			c.Check(f.checkEnded(callers), qt.Equals, entries)
			for _, h := range callers {
				_ = h.Leave(platform.Closes)
			}
		})
	}
	check("caller's deadline", "/hold/", 700*time.Millisecond, 700*time.Millisecond, "")
	check("caller's deadline in a stream", "/holdstream/", 700*time.Millisecond, 700*time.Millisecond, "")
	check("caller's deadline after a stray line end", "/hold/", 700*time.Millisecond, 700*time.Millisecond, "\r\n")
	f.holdTimeout = 1500 * time.Millisecond
	f.configure()
	for i := range entries {
		f.eventually("configuration in force", func() bool { return f.inForce(i) })
	}
	check("changed timeout", "/hold/", f.holdTimeout, callerDeadline, "")
	check("changed timeout in a stream", "/holdstream/", f.holdTimeout, callerDeadline, "")
}

// A request whose caller leaves while it waits for a permit must reach no server.
func TestCallersThatLeaveInTheQueueReachNoServer(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	for _, s := range f.plains {
		s.SetDistress(platform.Distress{Limit: []string{"0.5"}})
	}
	for n := range 2 * entries {
		f.call(n%entries, "/order/", fmt.Sprint("order-first-", n))
	}
	for _, further := range []string{"", "\r\n"} {
		var callers []*holdCaller
		for n := range usualLeaving {
			h := f.holdCall(n%entries, "/order/", fmt.Sprintf("order-%d-%d", len(further), n))
			h.Further = further
			callers = append(callers, h)
		}
		f.leaveAll(callers, platform.Closes, leavesAfter)
		left := time.Now()
		<-time.After(4 * time.Second)
		late := 0
		for _, s := range f.plains {
			late += len(arrivalsBetween(s, left.Add(maxEndDelay), time.Now()))
		}
		c.Check(late, qt.Equals, 0, qt.Commentf("%d requests reached a server after their callers had left; further bytes %q", late, further))
	}
}
