package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/route"
)

// coldConfiguration returns a configuration whose servers bear a rate while they are cold, in
// requests a second; 0 for no limit. A request waits for them as long as its caller does.
func coldConfiguration(version int64, perSecond float64) route.Configuration {
	cfg := configuration(version)
	for n := range cfg.Routes {
		cfg.Routes[n].Target = 20 * time.Second
	}
	cfg.Services = []route.Service{{Name: "svc", ColdPerSecond: perSecond, ColdStart: time.Minute}}
	return cfg
}

// A request that waits for cold servers must go on when a configuration lifts their limit.
// It was woken only by the next message about a server, and refused at its deadline
// without one.
func TestLiftedColdLimitWakesWaitingRequests(t *testing.T) {
	c := qt.New(t)
	s := newServer(c, answerWith(http.StatusOK))
	r := newTestGateway(c)
	r.cfg.OrderedWaiting = true
	// The first request is due ten seconds after the server was seen.
	c.Assert(r.Configure(coldConfiguration(2, 0.1), "test"), qt.IsTrue)
	r.PutServer(placement.Server{ID: "s0", Address: strings.TrimPrefix(s.URL, "http://"), Service: "svc", Zone: "z", ColdRemaining: time.Minute})
	answered := make(chan int, 1)
	go func() { answered <- r.post("/order/1") }()
	for !r.hasMissed("svc", placement.AllCold) {
		<-time.After(time.Millisecond)
	}
	c.Assert(r.Configure(coldConfiguration(3, 0), "test"), qt.IsTrue)
	c.Check(<-answered, qt.Equals, http.StatusOK)
}

// post serves a request in this goroutine and returns its status.
func (r *testGateway) post(path string) int {
	req := httptest.NewRequest(http.MethodPost, "http://h.example"+path, http.NoBody)
	req.Header.Set("Id", path)
	req.Header.Set("Key", "key")
	req.Header.Set("Left", "1500")
	recorder := httptest.NewRecorder()
	r.ServeHTTP(recorder, req)
	return recorder.Code
}

// hasMissed reports whether a request waits for a service after a miss.
func (r *testGateway) hasMissed(service string, miss placement.Miss) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	queue := r.queues[service]
	return queue != nil && queue.Len() > 0 && queue.missed.miss == miss
}
