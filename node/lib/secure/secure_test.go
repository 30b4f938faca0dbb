package secure

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCheck guards against unprotected traffic on non-loopback addresses and
// against incomplete TLS options.
func TestCheck(t *testing.T) {
	c := qt.New(t)
	c.Check(Options{}.Check("127.0.0.1:80"), qt.IsNil)
	c.Check(Options{}.Check("10.0.0.1:80"), qt.ErrorMatches, `setting --secret .*not a loopback address`)
	c.Check(Options{Insecure: true}.Check("10.0.0.1:80"), qt.IsNil)
	c.Check(Options{Secret: "0123456789abcdef"}.Check("10.0.0.1:80"), qt.IsNil)
	c.Check(Options{Secret: "short"}.Check("127.0.0.1:80"), qt.ErrorMatches, `.*at least 16 bytes`)
	c.Check(Options{TLSCert: "a"}.Check("127.0.0.1:80"), qt.ErrorMatches, `setting --tls-cert .*together.*`)
}

// TestChannel guards against a server that accepts requests without the secret or
// without a client certificate.
func TestChannel(t *testing.T) {
	c := qt.New(t)
	options := writeTLSFiles(c, t.TempDir())
	options.Secret = "0123456789abcdef"
	channel, err := Open(options)
	c.Assert(err, qt.IsNil)
	server := httptest.NewUnstartedServer(channel.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})))
	server.Listener = channel.Listener(server.Listener)
	server.Start()
	defer server.Close()
	get := func(rt http.RoundTripper) (int, error) {
		resp, err := (&http.Client{Transport: rt}).Get(server.URL)
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, resp.Body.Close()
	}
	status, err := get(channel.Transport(&http.Transport{}))
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, http.StatusNoContent)
	noSecret := &Channel{tls: channel.tls}
	status, err = get(noSecret.Transport(&http.Transport{}))
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, http.StatusForbidden)
	noCert := channel.tls.Clone()
	noCert.Certificates = nil
	_, err = get((&Channel{tls: noCert, secret: channel.secret}).Transport(&http.Transport{}))
	c.Check(err, qt.IsNotNil)
}

func writeTLSFiles(c *qt.C, dir string) Options {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "laburnum"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	c.Assert(err, qt.IsNil)
	certFile, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	c.Assert(os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), 0o600), qt.IsNil)
	c.Assert(os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encodedKey}), 0o600), qt.IsNil)
	return Options{TLSCert: certFile, TLSKey: keyFile, TLSCA: certFile}
}
