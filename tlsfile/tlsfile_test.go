package tlsfile

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/settings"
)

// writePair writes a self-signed certificate and its key, and sets the modification
// time of both files.
func writePair(t *testing.T, cfg settings.TLS, serial int64, modified time.Time) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "instance"}, IsCA: true, BasicConstraintsValid: true,
		NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	raw, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	writePEM(t, cfg.CertFile, "CERTIFICATE", cert, modified)
	writePEM(t, cfg.KeyFile, "EC PRIVATE KEY", raw, modified)
}

func writePEM(t *testing.T, file, kind string, data []byte, modified time.Time) {
	t.Helper()
	assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
	assert.NilError(t, os.Chtimes(file, modified, modified))
}

func serialOf(t *testing.T, s *certSource, now time.Time) int64 {
	t.Helper()
	cert, err := s.current(now)
	assert.NilError(t, err)
	parsed, err := x509.ParseCertificate(cert.Certificate[0])
	assert.NilError(t, err)
	return parsed.SerialNumber.Int64()
}

// A certificate is renewed while the instance is running. If the files were read at
// startup only, handshakes would fail once the old certificate expires; if a partially
// written renewal were loaded, they would fail immediately.
func TestReloadsOnlyMatchingPair(t *testing.T) {
	dir := t.TempDir()
	cfg := settings.TLS{CertFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key")}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	writePair(t, cfg, 1, start)
	s := &certSource{cfg: cfg}
	assert.Equal(t, serialOf(t, s, start), int64(1))

	old, err := os.ReadFile(cfg.KeyFile)
	assert.NilError(t, err)
	writePair(t, cfg, 2, start.Add(time.Minute))
	renewed, err := os.ReadFile(cfg.KeyFile)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(cfg.KeyFile, old, 0o600))
	assert.Equal(t, serialOf(t, s, start.Add(checkInterval)), int64(1), "certificate and key do not match")

	assert.NilError(t, os.WriteFile(cfg.KeyFile, renewed, 0o600))
	assert.Equal(t, serialOf(t, s, start.Add(2*checkInterval)), int64(2))

	assert.NilError(t, os.Remove(cfg.CertFile))
	assert.Equal(t, serialOf(t, s, start.Add(3*checkInterval)), int64(2), "last valid certificate remains in use")
}

func TestServerAndClient(t *testing.T) {
	dir := t.TempDir()
	cfg := settings.TLS{CertFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key")}
	_, err := Server(cfg)
	assert.ErrorContains(t, err, "no such file")
	writePair(t, cfg, 1, time.Now())
	cfg.CAFile = cfg.CertFile
	server, err := Server(cfg)
	assert.NilError(t, err)
	client, err := Client(cfg)
	assert.NilError(t, err)
	assert.Assert(t, server.ClientCAs != nil && client.RootCAs != nil)
	none, err := Server(settings.TLS{})
	assert.NilError(t, err)
	assert.Assert(t, none == nil)
}
