// Package tlsfile provides TLS configurations with certificates from files and
// reloads them when the files change, so that renewing a certificate does not require
// restarting an instance with open streams.
package tlsfile

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/cairnworks/cairnworks/settings"
)

// checkInterval is the minimum time between two checks of the files, which are made
// during handshakes. A handshake after this time uses a renewed certificate.
const checkInterval = 10 * time.Second

// certSource loads a certificate and caches it.
type certSource struct {
	cfg settings.TLS

	mu       sync.Mutex
	checked  time.Time
	modified [2]time.Time
	cert     *tls.Certificate
}

// newCertSource loads the certificate. It returns nil if the settings name none.
func newCertSource(cfg settings.TLS) (*certSource, error) {
	if cfg.CertFile == "" {
		return nil, nil
	}
	s := &certSource{cfg: cfg}
	if _, err := s.current(time.Now()); err != nil {
		return nil, err
	}
	return s, nil
}

// Server returns the TLS configuration of a listener, or nil if the settings name no
// certificate. If they name a CA file, clients must present a certificate.
func Server(cfg settings.TLS) (*tls.Config, error) {
	s, err := newCertSource(cfg)
	if s == nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.current(time.Now())
		},
	}
	if cfg.CAFile == "" {
		return config, nil
	}
	pool, err := loadCAPool(cfg.CAFile)
	if err != nil {
		return nil, err
	}
	config.ClientCAs = pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

// Client returns the TLS configuration for connections to other instances, or nil if
// the settings name no certificate.
func Client(cfg settings.TLS) (*tls.Config, error) {
	s, err := newCertSource(cfg)
	if s == nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.current(time.Now())
		},
	}
	if cfg.CAFile != "" {
		pool, err := loadCAPool(cfg.CAFile)
		if err != nil {
			return nil, err
		}
		config.RootCAs = pool
	}
	return config, nil
}

// current returns the certificate and reloads it if its files changed. If the files
// are unreadable or the key does not match, as in the middle of a renewal, the last
// valid certificate remains in use.
func (s *certSource) current(now time.Time) (*tls.Certificate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cert != nil && now.Sub(s.checked) < checkInterval {
		return s.cert, nil
	}
	s.checked = now
	modified, err := s.modTimes()
	if err == nil && s.cert != nil && modified == s.modified {
		return s.cert, nil
	}
	if err == nil {
		var cert tls.Certificate
		if cert, err = tls.LoadX509KeyPair(s.cfg.CertFile, s.cfg.KeyFile); err == nil {
			s.cert, s.modified = &cert, modified
		}
	}
	if s.cert == nil {
		return nil, oops.In("tls").With("file", s.cfg.CertFile).Wrap(err)
	}
	return s.cert, nil
}

func (s *certSource) modTimes() ([2]time.Time, error) {
	var times [2]time.Time
	for i, file := range []string{s.cfg.CertFile, s.cfg.KeyFile} {
		info, err := os.Stat(file)
		if err != nil {
			return times, err
		}
		times[i] = info.ModTime()
	}
	return times, nil
}

func loadCAPool(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, oops.In("tls").Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, oops.In("tls").With("file", file).Errorf("file contains no PEM certificate")
	}
	return pool, nil
}
