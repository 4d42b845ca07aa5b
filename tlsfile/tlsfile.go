// Package tlsfile serves certificates from files and takes up new ones when the
// files change, so that a renewal needs no restart of an instance with streams.
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

// checkInterval is how often a handshake looks whether the files changed. A
// renewed certificate is in use within it.
const checkInterval = 10 * time.Second

// source holds the certificate last read.
type source struct {
	cfg settings.TLS

	mu       sync.Mutex
	checked  time.Time
	modified [2]time.Time
	cert     *tls.Certificate
}

// open reads the certificate for the first time. Without one it returns nil.
func open(cfg settings.TLS) (*source, error) {
	if cfg.CertFile == "" {
		return nil, nil
	}
	s := &source{cfg: cfg}
	if _, err := s.current(time.Now()); err != nil {
		return nil, err
	}
	return s, nil
}

// Server returns the TLS configuration of a listener, or nil when the settings
// name no certificate. With a CA file, clients must present a certificate.
func Server(cfg settings.TLS) (*tls.Config, error) {
	s, err := open(cfg)
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
	pool, err := readPool(cfg.CAFile)
	if err != nil {
		return nil, err
	}
	config.ClientCAs = pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

// Client returns the TLS configuration for connections to other instances, or
// nil when the settings name no certificate.
func Client(cfg settings.TLS) (*tls.Config, error) {
	s, err := open(cfg)
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
		pool, err := readPool(cfg.CAFile)
		if err != nil {
			return nil, err
		}
		config.RootCAs = pool
	}
	return config, nil
}

// current returns the certificate, read again if its files changed. Files that
// are unreadable or do not match, as in the middle of a renewal, leave the last
// good certificate in use.
func (s *source) current(now time.Time) (*tls.Certificate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cert != nil && now.Sub(s.checked) < checkInterval {
		return s.cert, nil
	}
	s.checked = now
	modified, err := s.modifiedTimes()
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

func (s *source) modifiedTimes() ([2]time.Time, error) {
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

func readPool(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, oops.In("tls").Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, oops.In("tls").With("file", file).Errorf("no certificate in PEM form")
	}
	return pool, nil
}
