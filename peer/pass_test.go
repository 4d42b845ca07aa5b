package peer

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/fleetid"
	"github.com/cairnworks/cairnworks/fleetid/fleetidtest"
)

// The address of an instance that is gone was given to one of another fleet with the same
// secret, and an instance goes on calling it. An answer would be the other log's: a call that
// may run once would run once a log. Calls that decide about such are answered only where both
// are known to use one log; the others also by those that give the same name while an id is
// not known.
func TestCallsOfAnotherFleetAreRefused(t *testing.T) {
	mux := http.NewServeMux()
	done := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Handle("/any", done)
	mux.Handle("/once", OneLog(done))
	server := NewServer(mux, nil, "secret", WithFleet(fleetidtest.Verifier(t, 7, "rota na obali")))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }() // ends with Close
	defer server.Close()
	address := listener.Addr().String()
	for _, test := range []struct {
		what      string
		transport *Transport
		any, once int
	}{
		{"same log", NewTransport(nil, "secret", WithFleet(fleetidtest.Verifier(t, 7, "rota na obali"))), 200, 200},
		{"same log by another name", NewTransport(nil, "secret", WithFleet(fleetidtest.Verifier(t, 7, "obala"))), 200, 200},
		{"another log by the same name", NewTransport(nil, "secret", WithFleet(fleetidtest.Verifier(t, 8, "rota na obali"))), 403, 403},
		{"log not read yet", NewTransport(nil, "secret", WithFleet(fleetidtest.Verifier(t, 0, "rota na obali"))), 200, 403},
		{"log not read yet, another name", NewTransport(nil, "secret", WithFleet(fleetidtest.Verifier(t, 0, "obala"))), 403, 403},
		{"another secret", NewTransport(nil, "guess", WithFleet(fleetidtest.Verifier(t, 7, "rota na obali"))), 401, 401},
		{"a version before ids", NewTransport(nil, fleetid.SigningKey("secret", "rota na obali")), 200, 403},
		{"a version before ids, another name", NewTransport(nil, fleetid.SigningKey("secret", "obala")), 401, 401},
	} {
		assert.Equal(t, status(t, test.transport, address, "/any"), test.any, test.what)
		assert.Equal(t, status(t, test.transport, address, "/once"), test.once, test.what)
		test.transport.Close()
	}
}

func status(t *testing.T, transport *Transport, address, path string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, transport.URL(address)+path, nil)
	assert.NilError(t, err)
	resp, err := transport.Do(req)
	assert.NilError(t, err)
	resp.Body.Close()
	return resp.StatusCode
}
