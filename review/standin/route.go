package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// route: two routes of one host, the longer prefix for another service. The path of a
// request holds an encoded slash, so that only the shorter prefix begins it.
func init() {
	shapes["route"] = Shape{regions: 1, entriesPerRegion: 2, enginesPerRegion: 1, plains: 2}
	cases["route"] = func(f *Fleet, trouble bool) error {
		f.plains[1].service = otherService
		f.plains[1].beat()
		f.extraRoutes = func() []any {
			public := routeOf("/lepu270/pub/", "unsafe", otherService, 1500, 150)
			public["public"] = true
			return []any{
				public,
				routeOf("/lepu270/", "unsafe", plainService, 1500, 150),
				routeOf("/lepu270/2f/", "unsafe", otherService, 1500, 150),
			}
		}
		f.configure()
		time.Sleep(3 * time.Second)
		for n := range 40 {
			path, allowed := fmt.Sprintf("/lepu270/2f/%d", n), f.plains[1]
			if n%2 == 0 {
				path, allowed = fmt.Sprintf("/lepu270/7a/%d", n), f.plains[0]
				if trouble {
					path = fmt.Sprintf("/lepu270/2f%%2F%d", n)
				}
			}
			key := apiKey
			if trouble && n%4 == 0 {
				// Without a key: the longest prefix that begins the path is not public.
				path, key = fmt.Sprintf("/lepu270/pub%%2F%d", n), ""
			}
			id := fmt.Sprintf("order-%03d", n)
			status, err := rawRequest(f.at(f.entryIP(n%2), portFront), "POST", path, id, key, "booking")
			if err != nil {
				return err
			}
			ranBy := ""
			for _, p := range f.plains {
				if target := p.target(id); target != "" {
					ranBy = p.service
					f.note("ran", "id", id, "service", p.service, "server", p.id, "target", target)
				}
			}
			f.note("answered", "id", id, "path", path, "key", key != "", "status", status, "allowed", allowed.service)
			if ranBy != "" && key == "" {
				f.breaks("ROUTE", fmt.Sprintf("request %s for %s ran at service %s without a key; the route with the longest prefix that begins the path is not public", id, path, ranBy))
			} else if ranBy != "" && ranBy != allowed.service {
				f.breaks("ROUTE", fmt.Sprintf("request %s for %s ran at service %s; the longest prefix that begins the path is that of service %s", id, path, ranBy, allowed.service))
			}
			time.Sleep(20 * time.Millisecond)
		}
		return nil
	}
}

// rawRequest sends a request with exactly this path and returns the status.
func rawRequest(address, method, path, id, key, body string) (int, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\n", method, path, hostName, id)
	if key != "" {
		head += "X-Credential: " + key + "\r\n"
	}
	head += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	if _, err := io.Copy(conn, strings.NewReader(head)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Body.Close()
}
