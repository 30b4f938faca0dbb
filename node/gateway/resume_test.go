package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/route"
)

// refuseResumes answers resumes with one answer and other requests with another.
func refuseResumes(resume, fresh answerFunc) answerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last") != "" {
			resume(w, r)
			return
		}
		fresh(w, r)
	}
}

// resumeGateway is a gateway whose routes allow three seconds and three attempts.
func resumeGateway(c *qt.C, services ...route.Service) *testGateway {
	r := newTestGateway(c)
	cfg := configuration(2)
	for i := range cfg.Routes {
		cfg.Routes[i].Timeout, cfg.Routes[i].MaxAttempts = 3*time.Second, 3
	}
	if len(services) > 0 {
		cfg.Services = services
	}
	c.Assert(r.Configure(cfg, "test"), qt.IsTrue)
	return r
}

// resumeRefusals are answers of servers that can't go on with a stream.
var resumeRefusals = []struct {
	name   string
	answer answerFunc
}{
	{"not run", notRun},
	{"foreign text", unsigned},
	{"error", answerWith(http.StatusInternalServerError)},
	{"broken", closeConnection},
}

// breakBeside returns the answer of a server that breaks off after its first event, once
// other servers are known.
func breakBeside(addOthers func()) answerFunc {
	var once sync.Once
	return func(w http.ResponseWriter, r *http.Request) {
		once.Do(addOthers)
		breakAfterFirstEvent(w, r)
	}
}

// A begun stream must end at once when all servers of its service have been asked to go on
// with it and none can: it used to be held until its caller would leave.
func TestBegunStreamThatNobodyResumesEndsAtOnce(t *testing.T) {
	for _, refusal := range resumeRefusals {
		t.Run(refusal.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var r *testGateway
			second := newServer(c, refusal.answer)
			first := newServer(c, breakBeside(func() { r.addServer("second", second.URL, nil) }))
			r = resumeGateway(c)
			r.addServer("first", first.URL, nil)
			got := r.call(c, "/stream/1", "request")
			c.Check(got.err, qt.IsNotNil)
			c.Check(second.count(), qt.Equals, 1)
			c.Check(got.took < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", got.took))
		})
	}
}

// The rest of a stream must still wait while some server isn't known to be unable to go on:
// a full one, one that is down or one that loads weights may come back.
func TestBegunStreamWaitsForAServerThatMayComeBack(t *testing.T) {
	for _, state := range []struct {
		name   string
		report placement.Report
	}{
		{"full", placement.Report{Running: 8, WeightVersion: 1}},
		{"down", placement.Report{Down: true, WeightVersion: 1}},
		{"loading", placement.Report{Loading: true, WeightVersion: 1}},
	} {
		t.Run(state.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var r *testGateway
			engine := func(s *placement.Server) { s.Slots, s.WeightVersion = 4, 1 }
			second, third := newServer(c, notRun), newServer(c, events(silentEvents, false))
			report := func(state placement.Report) {
				state.Address = strings.TrimPrefix(third.URL, "http://")
				r.RecordReports([]placement.Report{state})
			}
			first := newServer(c, breakBeside(func() {
				r.addServer("second", second.URL, engine)
				r.addServer("third", third.URL, engine)
				report(state.report)
				time.AfterFunc(600*time.Millisecond, func() { report(placement.Report{WeightVersion: 1}) })
			}))
			r = resumeGateway(c, route.Service{Name: "svc", Engine: &route.Engine{Models: []string{"m"}}})
			r.addServer("first", first.URL, engine)
			got := r.call(c, "/stream/1", "request")
			c.Check(second.count(), qt.Equals, 1)
			c.Check(got.err, qt.IsNil)
			c.Check(got.body, qt.Equals, wholeStream)
		})
	}
}

// A server that refuses to resume streams must still get fresh requests: its refusal was
// taken for one of all requests, so that fresh ones were refused for lack of a server.
func TestRefusedResumeIsNoRefusalOfFreshRequests(t *testing.T) {
	for range 3 {
		c := qt.New(t)
		var r *testGateway
		second := newServer(c, refuseResumes(notRun, events(silentEvents, false)))
		// Two streams begin at the first server, which is set aside when both have broken.
		both := make(chan struct{})
		first := newServer(c, func(w http.ResponseWriter, req *http.Request) {
			<-both
			breakAfterFirstEvent(w, req)
		})
		r = resumeGateway(c)
		r.addServer("first", first.URL, nil)
		var broken sync.WaitGroup
		for i := range 2 {
			broken.Go(func() { r.call(c, "/stream/1", fmt.Sprint("broken-", i)) })
		}
		waitFor(c, func() bool { return first.count() == 2 })
		r.addServer("second", second.URL, nil)
		close(both)
		waitFor(c, func() bool { return second.count() == 2 })
		got := r.call(c, "/stream/1", "fresh")
		c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("after %v: %s", got.took, got.body))
		c.Check(got.body, qt.Equals, wholeStream)
		broken.Wait()
	}
}

// A hedge of a begun stream resumes it. It must not be sent to a server that has just refused
// to resume streams: that costs a retry and is refused again.
func TestHedgeOfABegunStreamAvoidsServersThatRefuseResumes(t *testing.T) {
	c := qt.New(t)
	r := newTestGateway(c, newServer(c, answerWith(http.StatusOK)))
	req := &request{
		in: r.request(c, http.MethodPost, "/stream/1", "x"), service: "svc", deadline: time.Now().Add(2 * time.Second),
		route: &route.Route{Kind: route.Stream, Target: time.Second, MaxAttempts: 2, Resumable: true},
	}
	choice, reason := r.place(c.Context(), req)
	c.Assert(reason, qt.Equals, Reason(""))
	r.releaseServer(choice, placement.ResumeShed)
	for _, begun := range []bool{false, true} {
		s := &stream{race: &race{}, headerSent: begun, lastEventAt: time.Now()}
		next, ok := newHedges(r.newChain(c.Context(), req, s.race, s)).prepare()
		c.Assert(ok, qt.IsTrue)
		c.Check(r.findAlternative(next).server, qt.Equals, !begun, qt.Commentf("begun %v", begun))
	}
}
