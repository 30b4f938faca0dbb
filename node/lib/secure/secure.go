// Package secure protects the traffic between entries and agents by mutual TLS
// and a shared secret.
package secure

import (
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/node/lib/options"
	"github.com/laburnumloft/laburnumloft/node/lib/response"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// secretHeader is the header that carries the shared secret.
const secretHeader = "Laburnum-Secret"

// Options are the options for the traffic between entries and agents.
type Options struct {
	Secret   string `long:"secret" env:"LABURNUM_SECRET" description:"shared secret of all own processes; prefer the environment variable"`
	TLSCert  string `long:"tls-cert" env:"LABURNUM_TLS_CERT" description:"PEM file with this process's certificate"`
	TLSKey   string `long:"tls-key" env:"LABURNUM_TLS_KEY" description:"PEM file with the certificate's key"`
	TLSCA    string `long:"tls-ca" env:"LABURNUM_TLS_CA" description:"PEM file with the authority of all own processes"`
	Insecure bool   `long:"insecure" env:"LABURNUM_INSECURE" description:"allow addresses other than loopback without a secret"`
}

// minSecretLength is the minimum length of the secret in bytes.
const minSecretLength = 16

// Check returns an error for the first option that is invalid for a process that
// listens on the address.
func (o Options) Check(listen string) error {
	if o.Secret != "" && len(o.Secret) < minSecretLength {
		return &options.Invalid{Name: "secret", Value: "(hidden)", Allowed: "at least 16 bytes"}
	}
	given := 0
	for _, file := range []string{o.TLSCert, o.TLSKey, o.TLSCA} {
		if file != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		return &options.Invalid{Name: "tls-cert", Value: o.TLSCert, Allowed: "tls-cert, tls-key and tls-ca together or none of them"}
	}
	host, _, _ := net.SplitHostPort(listen)
	if o.Secret == "" && !o.Insecure && !net.ParseIP(host).IsLoopback() {
		return &options.Invalid{Name: "secret", Value: "", Allowed: "a secret, or --insecure, since " + listen + " is not a loopback address"}
	}
	return nil
}

// Channel applies the options to servers and clients. The zero value and a nil
// Channel provide no protection.
type Channel struct {
	secret string
	tls    *tls.Config
}

// Open returns a Channel with the certificates from the files in the options.
func Open(o Options) (*Channel, error) {
	c := &Channel{secret: o.Secret}
	if o.TLSCert == "" {
		return c, nil
	}
	cert, err := tls.LoadX509KeyPair(o.TLSCert, o.TLSKey)
	if err != nil {
		return nil, eris.Wrap(err, "reading the TLS certificate")
	}
	caPEM, err := os.ReadFile(o.TLSCA)
	if err != nil {
		return nil, eris.Wrap(err, "reading the TLS certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return nil, eris.Errorf("no certificate found in the TLS certificate authority file %s", o.TLSCA)
	}
	c.tls = &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
	return c, nil
}

// TLS reports whether the traffic is encrypted.
func (c *Channel) TLS() bool {
	return c != nil && c.tls != nil
}

// Listener wraps a listener with TLS if TLS is configured.
func (c *Channel) Listener(l net.Listener) net.Listener {
	if c == nil || c.tls == nil {
		return l
	}
	return tls.NewListener(l, c.tls)
}

// Handler returns a handler that refuses requests without the shared secret.
func (c *Channel) Handler(next http.Handler) http.Handler {
	if c == nil || c.secret == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		presented := r.Header.Get(secretHeader)
		if subtle.ConstantTimeCompare([]byte(presented), []byte(c.secret)) != 1 {
			wire.WriteError(w, wire.Error{Kind: wire.ErrorForbidden, Message: "shared secret is missing or wrong", Run: wire.RunNotRun})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Transport returns a transport for requests to entries and agents. Requests have
// http URLs, which it changes to https if TLS is configured.
func (c *Channel) Transport(base *http.Transport) http.RoundTripper {
	if c == nil {
		return response.NewTransport(base)
	}
	base.TLSClientConfig = c.tls
	return &transport{channel: c, base: response.NewTransport(base)}
}

type transport struct {
	channel *Channel
	base    http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context())
	if t.channel.tls != nil {
		req.URL.Scheme = "https"
	}
	if t.channel.secret != "" {
		req.Header.Set(secretHeader, t.channel.secret)
	}
	return t.base.RoundTrip(req)
}
