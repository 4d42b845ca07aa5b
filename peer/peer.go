// Package peer implements the transport for calls between instances: one HTTP/2 connection to
// each peer, with every call authenticated by the secret that the instances share.
package peer

import (
	"crypto/tls"
	"net/http"
	"time"

	"connectrpc.com/connect"
)

const (
	// pingAfterIdle and pingTimeout detect and close connections to peers that are
	// unreachable without having closed them, such as paused ones; otherwise calls on
	// them would hang.
	pingAfterIdle = time.Second
	pingTimeout   = time.Second
	// ResponseHeaderTimeout is not set: a reservation is answered once a slot is free,
	// and its own deadline limits the wait.
)

// Transport sends calls to other instances.
type Transport struct {
	client      *http.Client
	scheme      string
	credentials credentials
}

// NewTransport returns a transport. If config is nil, it uses unencrypted HTTP/2.
func NewTransport(config *tls.Config, secret string, options ...Option) *Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	scheme := "https"
	if config == nil {
		protocols.SetUnencryptedHTTP2(true)
		scheme = "http"
	}
	return &Transport{
		scheme: scheme, credentials: newCredentials(secret, options),
		client: &http.Client{Transport: &http.Transport{
			TLSClientConfig: config, Protocols: protocols, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: MaxHeadBytes,
			HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfterIdle, PingTimeout: pingTimeout},
		}},
	}
}

// URL returns the base URL of a peer.
func (t *Transport) URL(address string) string { return t.scheme + "://" + address }

// Do implements connect.HTTPClient.
func (t *Transport) Do(req *http.Request) (*http.Response, error) {
	t.credentials.setHeaders(req.Header)
	return t.client.Do(req)
}

// Close drops idle connections.
func (t *Transport) Close() { t.client.CloseIdleConnections() }

var _ connect.HTTPClient = (*Transport)(nil)

// NewServer returns the HTTP server for the peer address.
func NewServer(handler http.Handler, config *tls.Config, secret string, options ...Option) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(config == nil)
	return &http.Server{
		Handler: newCredentials(secret, options).authenticate(handler), TLSConfig: config, Protocols: protocols,
		ReadHeaderTimeout: 5 * time.Second,
		// At peak load, a hundred waiting reservations from one peer are common.
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: 4096},
	}
}
