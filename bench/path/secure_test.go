package path_test

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
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/bench/harness"
)

// TestSecuredPath guards against a hop between own processes that does not
// work with TLS and a secret, and against an agent that answers without them.
func TestSecuredPath(t *testing.T) {
	c := qt.New(t)
	cluster, err := harness.Start("../../bin", os.Stderr)
	c.Assert(err, qt.IsNil)
	defer cluster.Close()
	entry := startOne(c, cluster, append(writeCertificate(c, t.TempDir()), "--secret", "0123456789abcdef")...)
	c.Assert(ask(entry), qt.IsNil)
	resp, err := http.Get("http://" + cluster.Named("agent-1").Address + "/v1/health")
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusBadRequest)
}

// writeCertificate makes a certificate that is its own authority and returns
// the flags that name it.
func writeCertificate(c *qt.C, dir string) []string {
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
	return []string{"--tls-cert", certFile, "--tls-key", keyFile, "--tls-ca", certFile}
}
