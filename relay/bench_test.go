package relay

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkSend measures requests over this instance's own link, by the pool alone and by the transport, and
// over another instance's.
func BenchmarkSend(b *testing.B) {
	for _, way := range []string{"pool", "direct", "relayed"} {
		b.Run(way, func(b *testing.B) {
			nodes := newNodes(b, 2, http.HandlerFunc(echo))
			n := nodes[0]
			if way == "relayed" {
				n.partition(b, false)
			}
			for range b.N {
				send := n.Do
				if way == "pool" {
					send = n.DoDirectly
				}
				resp, err := send(b.Context(), n.entries[0], newRequest("1"))
				assert.NilError(b, err)
				_, err = io.Copy(io.Discard, resp.Body)
				assert.NilError(b, err)
				assert.NilError(b, resp.Body.Close())
			}
		})
	}
}
