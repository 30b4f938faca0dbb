package fleet

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/standin/platform"
)

const (
	// wholePlains is how many plain servers stand in one service, and wholePlaces how many
	// requests each runs at once; one more server serves a service of its own.
	wholePlains, wholePlaces = 3, 6
	// wholeCallers want more than the places of the plain servers.
	wholeCallers = 40
	// wholeDeadline is the deadline of requests and shortestWholeTimeout the shortest timeout
	// that the configurations give them.
	wholeDeadline        = 1500 * time.Millisecond
	shortestWholeTimeout = 700 * time.Millisecond
	// wholeConfigureInterval is the time between two configurations.
	wholeConfigureInterval = 150 * time.Millisecond
	// wholePauseInterval is the time between the begins of two silences, which last between
	// shortestWholePause and longestWholePause.
	wholePauseInterval = 400 * time.Millisecond
	shortestWholePause = 500 * time.Millisecond
	longestWholePause  = 1500 * time.Millisecond
	// wholeChangesPerRestore is the mean number of configurations between two outages of the
	// store, which last wholeOutage and end with a copy.
	wholeChangesPerRestore = 40
	wholeOutage            = 300 * time.Millisecond
	// timeoutWindow is how long after a timeout its answer may reach the caller. A hedge may
	// begin after half of the deadline, 50 ms after the shortest timeout.
	timeoutWindow = 40 * time.Millisecond
	// unansweredSlack is how long after its deadline a request may be without an answer.
	unansweredSlack = 500 * time.Millisecond
)

// wholeStreamLoad and wholePlainLoad are how the engines and the plain servers of
// TestWholeRequestSoak work.
var (
	wholeStreamLoad = platform.Load{Places: pausePlaces, Events: pauseLoad.Events, EventTime: 20 * time.Millisecond}
	wholePlainLoad  = platform.Load{Places: wholePlaces, AnswerTime: 80 * time.Millisecond}
)

// wholeDistress is what servers say in the soak, mostly nothing.
var wholeDistress = []platform.Distress{{}, {}, {}, {}, {}, {Limit: []string{"6"}}, {Limit: []string{"0.5"}}, {Refuse: true, RetryAfter: "0.4"}}

// TestWholeRequestSoak lets configurations in series take routes, services, keys, zones and
// time away and give them back, with reloads and changes of the settings beside them, while
// plain servers with few places limit their rate, refuse, or fall silent for a moment and go on. Every request that is
// sent whole on a kept connection gets a whole answer or a refusal in its time (the users'
// rule LOST; a whole request got neither beside a configuration).
func TestWholeRequestSoak(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	f.services = map[string]string{fmt.Sprint("plain-", wholePlains): "lone"}
	f.startProcesses(wholePlains + 1)
	for _, s := range f.engines {
		s.SetLoad(wholeStreamLoad)
	}
	for _, s := range f.plains {
		s.SetLoad(wholePlainLoad)
	}
	t.Logf("seed %d, %v", *soakSeed, *soakTime)
	stop := make(chan struct{})
	var outcomes fates
	var callers, changes sync.WaitGroup
	changes.Go(func() { f.changeEverything(stop, rand.New(rand.NewPCG(*soakSeed, 5))) })
	changes.Go(func() { f.reloadInSeries(stop, rand.New(rand.NewPCG(*soakSeed, 6))) })
	changes.Go(func() { f.silenceInSeries(stop, rand.New(rand.NewPCG(*soakSeed, 7))) })
	for n := range wholeCallers {
		own := rand.New(rand.NewPCG(*soakSeed, uint64(400+n)))
		callers.Go(func() { f.callWhole(stop, own, n, &outcomes) })
	}
	<-time.After(*soakTime)
	close(stop)
	changes.Wait()
	callers.Wait()
	f.checkWhole(outcomes.all)
	f.checkAlive()
}

// changeEverything publishes configurations in series, each of which may lack a route, a
// service or the key, empties zones, and at times lets the store come back from a copy, until
// stop. The last configuration lacks nothing.
func (f *fleet) changeEverything(stop <-chan struct{}, random *rand.Rand) {
	evacuated, mark := false, f.store.Mark()
	for {
		select {
		case <-stop:
			f.store.Drop("keyed.op", "evacuate/x")
			f.configure()
			return
		case <-time.After(time.Duration(random.Int64N(2 * int64(wholeConfigureInterval)))):
		}
		switch random.IntN(wholeChangesPerRestore) {
		case 0:
			f.store.SetDown(true)
			<-time.After(wholeOutage)
			f.store.Restore(mark)
			f.store.SetDown(false)
		case 1:
			mark = f.store.Mark()
		}
		f.putWhole(random)
		if random.IntN(4) == 0 {
			if evacuated = !evacuated; evacuated {
				f.c.Check(f.store.Put("keyed.op", "evacuate/x", map[string]any{}), qt.IsNil)
			} else {
				f.store.Drop("keyed.op", "evacuate/x")
			}
		}
		f.plains[random.IntN(len(f.plains))].SetDistress(wholeDistress[random.IntN(len(wholeDistress))])
		f.mu.Lock()
		if f.zones == nil {
			f.zones = map[string]string{}
		}
		f.zones[fmt.Sprint("plain-", random.IntN(wholePlains))] = []string{"x", "z"}[random.IntN(2)]
		f.services[fmt.Sprint("plain-", random.IntN(wholePlains))] = []string{"", "", "", "lone"}[random.IntN(4)]
		f.mu.Unlock()
	}
}

// putWhole writes the next configuration of TestWholeRequestSoak.
func (f *fleet) putWhole(random *rand.Rand) {
	f.mu.Lock()
	f.config++
	version := f.config
	f.mu.Unlock()
	var routes []any
	without := random.IntN(12)
	for n, r := range []struct{ prefix, kind, service string }{
		{"/order/", "unsafe", "switching"}, {"/read/", "safe", "switching"}, {"/lone/", "unsafe", "lone"}, {"/notice/", "streaming", "llm"},
	} {
		if n == without {
			continue
		}
		// Plain servers can't answer with streams.
		if r.service != "llm" && random.IntN(8) == 0 {
			r.service = []string{"lone", "gone", "switching"}[random.IntN(3)]
		}
		timeout := shortestWholeTimeout + time.Duration(random.IntN(4))*800*time.Millisecond
		target := usualTarget - time.Duration(random.IntN(3))*150*time.Millisecond
		routes = append(routes, map[string]any{
			"name": r.prefix, "hostname": "h.example", "pathPrefix": r.prefix, "kind": r.kind, "service": r.service, "streamResume": true,
			"timeoutMs": timeout.Milliseconds(), "targetLatencyMs": target.Milliseconds(), "maxAttempts": 1 + random.IntN(3),
		})
	}
	services := []any{
		map[string]any{"name": "llm", "engine": map[string]any{"slots": 16, "models": []any{map[string]any{"name": model}}, "layers": platform.Pieces, "chunks": platform.Pieces}},
		map[string]any{"name": "weights", "origin": originAddress(), "zone": "z"},
	}
	for _, name := range []string{"switching", "lone"} {
		if random.IntN(12) > 0 {
			services = append(services, map[string]any{"name": name, "coldPerS": float64(random.IntN(2) * 20), "coldStartS": coldStart.Seconds()})
		}
	}
	tenants := []any{map[string]any{"name": "w", "apiKeys": []string{"key"}}}
	switch random.IntN(16) {
	case 0:
		tenants = []any{map[string]any{"name": "w", "apiKeys": []string{"other"}}}
	case 1:
		tenants = []any{}
	}
	f.c.Check(f.store.Put("keyed.op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxBodyBytes": []int{64 << 10, 1 << 20, 1 << 10}[random.IntN(3)]},
		"tenants": tenants,
	}), qt.IsNil)
}

// reloadInSeries sends entries a SIGHUP, at times after a change of their settings, until
// stop.
func (f *fleet) reloadInSeries(stop <-chan struct{}, random *rand.Rand) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.Int64N(int64(time.Second)))):
		}
		i := random.IntN(entries)
		if random.IntN(2) == 0 {
			path := filepath.Join(f.dir, fmt.Sprint("entry", i, ".yaml"))
			text, err := os.ReadFile(path)
			f.c.Check(err, qt.IsNil)
			old, changed := []byte("graceS: 4"), []byte("graceS: 5")
			if bytes.Contains(text, changed) {
				old, changed = changed, old
			}
			f.c.Check(os.WriteFile(path, bytes.Replace(text, old, changed, 1), 0o600), qt.IsNil)
		}
		f.signalEntry(i, syscall.SIGHUP)
	}
}

// silenceInSeries lets one, some or all plain servers, and at times an engine, fall silent
// and go on, until stop.
func (f *fleet) silenceInSeries(stop <-chan struct{}, random *rand.Rand) {
	var silences sync.WaitGroup
	defer silences.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(wholePauseInterval):
		}
		first, size, length := random.IntN(len(f.plains)), []int{1, 1, 2, len(f.plains)}[random.IntN(4)], between(random, shortestWholePause, longestWholePause)
		group := []*platform.Server{f.engines[random.IntN(engines)]}
		for i := range size {
			group = append(group, f.plains[(first+i)%len(f.plains)])
		}
		silences.Go(func() {
			for _, s := range group {
				s.SetPaused(true)
			}
			<-time.After(length)
			for _, s := range group {
				s.SetPaused(false)
			}
		})
	}
}

// callWhole sends requests as caller n over kept connections until stop.
func (f *fleet) callWhole(stop <-chan struct{}, random *rand.Rand, n int, outcomes *fates) {
	k := &keptCaller{}
	defer func() {
		if k.conn != nil {
			k.close()
		}
	}()
	var pause time.Duration
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(pause + time.Duration(random.Int64N(int64(40*time.Millisecond)))):
		}
		if k.conn == nil {
			k.entry = random.IntN(entries)
		}
		path := []string{"/order/", "/order/", "/lone/", "/read/", "/notice/"}[random.IntN(5)]
		id := fmt.Sprintf("%s-%d-%d", strings.Trim(path, "/"), n, i)
		if path == "/order/" || path == "/lone/" {
			id = "order-" + id
		}
		o, ok := k.call(path, id, wholeDeadline, shortestWholeTimeout, random.IntN(2) == 0)
		if ok {
			outcomes.add(o)
			pause = min(o.retryAfter, wholeDeadline/3)
		}
	}
}

// atTimeout reports whether a request took all of its time, from when its caller began to
// send it: its deadline, or the shortest timeout. No other timeout of the configurations is shorter than the deadline.
func atTimeout(took time.Duration) bool {
	return took >= wholeDeadline || took >= shortestWholeTimeout && took < shortestWholeTimeout+timeoutWindow
}

// checkWhole checks that each request got a whole answer or a refusal in its time. Only a
// stream that has begun may be ended, at its route's timeout.
func (f *fleet) checkWhole(all []fate) {
	statuses, refused := map[int]int{}, map[string]bool{}
	unanswered, late, failed, ended := 0, 0, 0, 0
	for _, o := range all {
		took := o.ended.Sub(o.sent)
		switch {
		case o.whole && o.status == http.StatusBadGateway && !atTimeout(o.ended.Sub(o.begun)):
			failed++
			f.logRequest("failed", o)
		case o.whole:
			statuses[o.status]++
			refused[o.id] = o.status == http.StatusServiceUnavailable
		case o.closed && strings.HasPrefix(o.id, "notice") && o.status == http.StatusOK && !o.judged():
			ended++
		default:
			unanswered++
			f.logRequest("unanswered", o)
		}
		if took > wholeDeadline+unansweredSlack {
			late++
			f.logRequest("late", o)
		}
	}
	f.c.Logf("%d requests, statuses %v; %d streams ended at their timeout; %d unanswered, %d late, %d failed", len(all), statuses, ended, unanswered, late, failed)
	f.c.Check(unanswered, qt.Equals, 0, qt.Commentf("neither a whole answer nor a refusal"))
	f.c.Check(late, qt.Equals, 0, qt.Commentf("answered later than %v after the deadline", unansweredSlack))
	f.c.Check(failed, qt.Equals, 0, qt.Commentf("failed with 502 before the end of its time"))
	f.c.Check(statuses[http.StatusOK] > 0, qt.IsTrue)
	f.checkServers(refused)
}
