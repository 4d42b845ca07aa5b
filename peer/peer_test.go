package peer

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// A client without the secret that reaches the peer address must be rejected: it could
// reserve every decode slot and empty every organisation's token bucket.
func TestCallsWithoutTheSecretAreRefused(t *testing.T) {
	served := 0
	server := NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served++ }), nil, "secret")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }() // ends with Close
	defer server.Close()
	for _, test := range []struct {
		secret string
		status int
	}{{"secret", http.StatusOK}, {"", http.StatusUnauthorized}, {"guess", http.StatusUnauthorized}} {
		transport := NewTransport(nil, test.secret)
		req, err := http.NewRequest(http.MethodPost, transport.URL(listener.Addr().String()), nil)
		assert.NilError(t, err)
		resp, err := transport.Do(req)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, test.status)
		assert.Equal(t, resp.ProtoMajor, 2)
		transport.Close()
	}
	assert.Equal(t, served, 1)
}
