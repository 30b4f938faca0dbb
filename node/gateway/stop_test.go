package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/shutdown"
)

// A request of which the process has read a part before a stop, or that arrives on a
// connection opened before it, must be refused and not dropped when it is whole.
func TestStopRefusesRequestsThatCrossIt(t *testing.T) {
	for _, before := range []string{"", "POST /order/1 HTTP/1.1\r\nHo"} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes before, kept %v", len(before), kept), func(t *testing.T) {
				// On a busy machine the request may come later than it must be refused.
				for attempt := 1; !crossStop(qt.New(t), before, kept); attempt++ {
					qt.Assert(t, attempt < 10, qt.IsTrue)
				}
			})
		}
	}
}

// crossStop sends the first part of a request before a stop and the rest after the process
// has closed its listener, and checks that it is refused. timely is false if the rest was
// sent too late.
func crossStop(c *qt.C, before string, kept bool) (timely bool) {
	r := newTestGateway(c, newServer(c, wholeRequestServer))
	server, address := r.listenForCallers(c, 0)
	conn, err := net.Dial("tcp4", address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	kinds := wholeRequests("1")
	request := kinds[slices.IndexFunc(kinds, func(k rawRequest) bool { return strings.HasPrefix(k.parts[0], "POST /order/1 ") })]
	if kept {
		_, _, err := exchangeRaw(conn, reader, request)
		c.Assert(err, qt.IsNil)
	}
	_, err = io.WriteString(conn, before)
	c.Assert(err, qt.IsNil)
	plan := shutdown.NewPlan(time.Now(), 3*time.Second)
	r.BeginDrain(plan)
	drained := make(chan error, 1)
	go func() { drained <- Drain(server, r.Gateway, plan, r.cfg.Log) }()
	for err == nil {
		var other net.Conn
		if other, err = net.Dial("tcp4", address); err == nil {
			_ = other.Close()
		}
	}
	request.parts[0] = strings.TrimPrefix(request.parts[0], before)
	wholeAt, keep, err := exchangeRaw(conn, reader, request)
	c.Assert(<-drained, qt.IsNil)
	if wholeAt.IsZero() || wholeAt.After(plan.AcceptUntil().Add(crossing)) {
		return false
	}
	c.Check(err, qt.IsNil)
	c.Check(keep, qt.IsFalse)
	return true
}

// An answer during a stop must end its connection, also one that a server gave: the callers
// of the others would go on using connections that the stop closes.
func TestAnswersDuringAStopEndTheirConnections(t *testing.T) {
	c := qt.New(t)
	r := newTestGateway(c, newServer(c, wholeRequestServer))
	_, address := r.listenForCallers(c, 0)
	for kind, request := range wholeRequests("1") {
		conn, err := net.Dial("tcp4", address)
		c.Assert(err, qt.IsNil)
		if kind == 0 {
			_, keep, err := exchangeRaw(conn, bufio.NewReader(conn), request)
			c.Assert(err, qt.IsNil)
			c.Check(keep, qt.IsTrue)
			r.BeginDrain(shutdown.NewPlan(time.Now(), time.Minute))
		}
		_, keep, err := exchangeRaw(conn, bufio.NewReader(conn), request)
		c.Check(err, qt.IsNil, qt.Commentf("kind %d", kind))
		c.Check(keep, qt.IsFalse, qt.Commentf("kind %d", kind))
		c.Check(conn.Close(), qt.IsNil)
	}
}

// An answer to a request that was taken before a stop must end its connection as well: its
// caller would send the next request on a connection that the stop closes.
func TestAnswersToEarlierRequestsEndTheirConnections(t *testing.T) {
	c := qt.New(t)
	r := newTestGateway(c, newServer(c, silentRead(400*time.Millisecond)))
	_, address := r.listenForCallers(c, 0)
	conn, err := net.Dial("tcp4", address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	time.AfterFunc(200*time.Millisecond, func() { r.BeginDrain(shutdown.NewPlan(time.Now(), time.Minute)) })
	kinds := wholeRequests("1")
	request := kinds[slices.IndexFunc(kinds, func(k rawRequest) bool { return strings.HasPrefix(k.parts[0], "POST /order/1 ") })]
	_, keep, err := exchangeRaw(conn, bufio.NewReader(conn), request)
	c.Assert(err, qt.IsNil)
	c.Check(keep, qt.IsFalse)
}
