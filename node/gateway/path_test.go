package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Callers send characters in paths that net/http would encode. The path must select its route,
// and reach the server, as it was written: an encoded slash beside such a character was turned
// into a plain one, so that orders ran at another service or twice.
func TestPathIsPassedOnAsWritten(t *testing.T) {
	for _, path := range []string{
		"/order/1|a", "/order/a%2Fb|c", "/order/a%2fb|%7c", "/order/a^b", `/order/a\b`, "/order/{a}`b`", `/order/"<a>"`, "/order/a[1]",
		"/order/a#b", "/order/\xc3\xbc", "/order/\xff%2F", "/order/a//b|c", "/order/./../order/a|b", "/order/|?q=a|b%2F", "/order/|?", "/order/a;b,c|=@:!$&'()*+",
		"//order/1", "//order/1|a", "//order/a%2Fb|c",
	} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			s := newServer(c, answerWith(http.StatusOK))
			r := newTestGateway(c, s)
			cfg := configuration(2)
			order := cfg.Routes[0]
			order.Prefix = "//order/"
			cfg.Routes = append(cfg.Routes, order)
			c.Assert(r.Configure(cfg, "test"), qt.IsTrue)
			_, address := r.listenForCallers(c, 0)
			for _, target := range []string{path, "http://h.example" + path} {
				c.Assert(rawStatus(c, address, target), qt.Equals, http.StatusOK)
				got := s.arrivals[len(s.arrivals)-1].RequestURI
				// A path that begins with two slashes may come behind the server's address.
				if server := "http://" + s.Listener.Addr().String(); got != path && path[1] == '/' {
					got = got[len(server):]
				}
				c.Check(got, qt.Equals, path)
			}
		})
	}
}

// An encoded slash must not become a plain one in the choice of the route, whatever stands
// beside it.
func TestEncodedSlashBesideOtherCharactersSelectsNoRoute(t *testing.T) {
	c := qt.New(t)
	s := newServer(c, answerWith(http.StatusOK))
	r := newTestGateway(c, s)
	_, address := r.listenForCallers(c, 0)
	for _, path := range []string{"/order%2F1|a", "/read%2F1^a", "/read%2f1\xc3\xbc", "/order%2F1"} {
		c.Check(rawStatus(c, address, path), qt.Equals, http.StatusNotFound, qt.Commentf("%s", path))
	}
	c.Check(s.count(), qt.Equals, 0)
}

// rawStatus sends a request with a target as it is and returns the status of the answer.
func rawStatus(c *qt.C, address, target string) int {
	conn, err := net.Dial("tcp4", address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nLeft: 1500\r\nKey: key\r\nContent-Length: 4\r\n\r\nbody", target)
	c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	return resp.StatusCode
}
