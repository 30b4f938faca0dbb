package gateway

import (
	"net/http"
	"net/url"
	"strings"
)

// writtenPath returns the path of a request's target as the caller wrote it. net/http keeps
// that in its URL only if each character is one that it would not encode; otherwise it encodes
// the decoded path, in which an encoded slash is a plain one.
func writtenPath(r *http.Request) string {
	target, _, _ := strings.Cut(r.RequestURI, "?")
	if _, rest, absolute := strings.Cut(target, "://"); absolute && !strings.HasPrefix(target, "/") {
		_, path, found := strings.Cut(rest, "/")
		if !found {
			return r.URL.EscapedPath()
		}
		target = "/" + path
	}
	if !strings.HasPrefix(target, "/") {
		return r.URL.EscapedPath()
	}
	return target
}

// serverURL returns the URL at a server whose target has the path and the query as the caller
// wrote them.
func serverURL(r *http.Request, address string) *url.URL {
	u := &url.URL{Scheme: "http", Host: address, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}
	written := writtenPath(r)
	switch {
	case written == u.EscapedPath():
	case strings.HasPrefix(written, "//"):
		// What follows two slashes would be taken for an address.
		u.Opaque = "//" + address + written
	default:
		u.Opaque = written
	}
	return u
}
