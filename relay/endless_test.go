package relay

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/upstream"
)

// Guards against an instance whose memory is exhausted by bytes without an end at the address of another instance.
func TestEndlessResponseOfAPeerIsBounded(t *testing.T) {
	const most = 16 << 20
	for name, begin := range map[string]string{
		"head":    "HTTP/1.1 200 OK\r\nX: ",
		"message": "HTTP/1.1 200 OK\r\nContent-Type: application/connect+proto\r\n\r\n\x00\xff\xff\xff\xff",
	} {
		t.Run(name, func(t *testing.T) {
			n := newNodes(t, 1, http.HandlerFunc(echo))[0]
			var read atomic.Int64
			n.client.http.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) {
				ours, theirs := net.Pipe()
				go func() { _, _ = theirs.Read(make([]byte, 64<<10)) }()
				go func() {
					defer theirs.Close()
					rest := []byte(strings.Repeat("y", 4<<10))
					for piece := []byte(begin); read.Load() < most; piece = rest {
						k, err := theirs.Write(piece)
						read.Add(int64(k))
						if err != nil {
							return
						}
					}
				}()
				return ours, nil
			}
			p := Peer{Name: "i9", Address: "127.0.0.1:1"}
			n.recordClock(p, n.now().Microseconds())
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := n.client.send(t.Context(), p, upstream.Entry{ID: "u"}, newRequest("1"))
			runtime.ReadMemStats(&after)
			assert.Assert(t, err != nil)
			allocated := after.TotalAlloc - before.TotalAlloc
			assert.Assert(t, allocated <= 4<<20, "%d bytes were allocated for %d that were read", allocated, read.Load())
		})
	}
}
