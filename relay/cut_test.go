package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/httpconn"
	"github.com/cairnworks/cairnworks/loopback/cutproxy"
)

// Guards against a relayed answer that stops anywhere, in the head of the answer, of a message or of the HTTP response
// around them, and is taken for a whole one.
func TestRelayedAnswerCutShortIsError(t *testing.T) {
	n := newNodes(t, 2, http.HandlerFunc(echo))
	proxy := cutproxy.Start(t, n[1].server.Listener.Addr().String())
	peer := Peer{Name: "i1", Address: proxy.Address}
	proxy.Each(t, func() (string, error) {
		n[0].recordClock(peer, n[0].now().Microseconds())
		resp, err := n[0].client.send(t.Context(), peer, n[1].entries[0], newRequest("1"))
		if err != nil {
			var failure *httpconn.Error
			assert.Assert(t, errors.As(err, &failure) && failure.Sent, "%v", err)
			return "", err
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		return fmt.Sprint(resp.Status, resp.EndStated, len(resp.Header), string(body)), err
	})
}
