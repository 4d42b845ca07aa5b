package peer

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/fleetid"
	"github.com/cairnworks/cairnworks/fleetid/fleetidtest"
)

// The address of a removed instance was reassigned to one of another fleet with the same
// secret, and an instance still calls it. The answer would be based on another log, and a call
// that may run only once would run once for each log. Calls that decide on such calls must be
// answered only if both instances are known to use the same log. Other calls are also answered
// if an id is not known yet and both use the same fleet name.
func TestCallsOfAnotherFleetAreRefused(t *testing.T) {
	mux := http.NewServeMux()
	done := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Handle("/any", done)
	mux.Handle("/once", RequireSameLog(done))
	server := NewServer(mux, nil, "secret", WithFleet(fleetidtest.Verifier(t, 7, "rota na obali")))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }() // ends with Close
	defer server.Close()
	address := listener.Addr().String()
	for _, test := range []struct {
		name      string
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
		assert.Equal(t, status(t, test.transport, address, "/any"), test.any, test.name)
		assert.Equal(t, status(t, test.transport, address, "/once"), test.once, test.name)
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
