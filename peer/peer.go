// Package peer carries the calls between instances: one HTTP/2 connection to
// each peer, every call authenticated by the secret that instances share.
package peer

import (
	"crypto/tls"
	"net/http"
	"time"

	"connectrpc.com/connect"
)

const (
	// pingAfter and pingTimeout end connections to peers that vanished without
	// closing them, such as paused ones; calls would hang on them otherwise.
	pingAfter   = time.Second
	pingTimeout = time.Second
	// responseHeaderTimeout is not set: a reservation answers when a place is
	// free, which its own deadline bounds.
)

// Transport reaches other instances.
type Transport struct {
	client *http.Client
	scheme string
	pass   pass
}

// NewTransport returns a transport; a nil tls.Config means plain HTTP/2.
func NewTransport(config *tls.Config, secret string, options ...Option) *Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	scheme := "https"
	if config == nil {
		protocols.SetUnencryptedHTTP2(true)
		scheme = "http"
	}
	return &Transport{
		scheme: scheme, pass: newPass(secret, options),
		client: &http.Client{Transport: &http.Transport{
			TLSClientConfig: config, Protocols: protocols, IdleConnTimeout: time.Minute,
			HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		}},
	}
}

// URL returns the base URL of a peer.
func (t *Transport) URL(address string) string { return t.scheme + "://" + address }

// Do implements connect.HTTPClient.
func (t *Transport) Do(req *http.Request) (*http.Response, error) {
	t.pass.show(req.Header)
	return t.client.Do(req)
}

// Close drops idle connections.
func (t *Transport) Close() { t.client.CloseIdleConnections() }

var _ connect.HTTPClient = (*Transport)(nil)

// NewServer returns the HTTP server of the peers' address.
func NewServer(handler http.Handler, config *tls.Config, secret string, options ...Option) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(config == nil)
	return &http.Server{
		Handler: newPass(secret, options).check(handler), TLSConfig: config, Protocols: protocols,
		ReadHeaderTimeout: 5 * time.Second,
		// A hundred waiting reservations from one peer are usual at the peak.
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: 4096},
	}
}
