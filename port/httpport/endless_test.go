package httpport_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/port/httpport"
)

// endlessClient returns a client whose connections get a beginning and then bytes without an end, up to most. read
// counts the bytes.
func endlessClient(begin string, most int64) (client *http.Client, read *atomic.Int64) {
	read = new(atomic.Int64)
	client = httpport.NewClient()
	client.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		go func() {
			defer theirs.Close()
			if _, err := http.ReadRequest(bufio.NewReader(theirs)); err != nil {
				return
			}
			piece := []byte(begin)
			for read.Load() < most {
				n, err := theirs.Write(piece)
				read.Add(int64(n))
				if err != nil {
					return
				}
				piece = []byte(strings.Repeat("y", 4<<10))
			}
		}()
		return ours, nil
	}
	return client, read
}

// Guards against an instance whose memory is exhausted by an engine that sends a head or a result without an end.
func TestEndlessResponseIsBounded(t *testing.T) {
	const most = 48 << 20
	for name, c := range map[string]struct {
		begin   string
		allowed int64
	}{
		"head":           {"HTTP/1.1 200 OK\r\nX: ", 64 << 10},
		"interim":        {"HTTP/1.1 103 Early Hints\r\nX: ", 64 << 10},
		"result":         {"HTTP/1.1 200 OK\r\n\r\n{\"slots\": \"", 17 << 20},
		"error response": {"HTTP/1.1 500 Internal Server Error\r\n\r\n", 64 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			client, read := endlessClient(c.begin, most)
			_, err := httpport.NewEngine("127.0.0.1:1", client).Load(t.Context())
			assert.Assert(t, err != nil)
			assert.Assert(t, read.Load() <= c.allowed, "%d bytes were read", read.Load())
		})
	}
	t.Run("no result", func(t *testing.T) {
		client, read := endlessClient("HTTP/1.1 200 OK\r\n\r\n", most)
		err := httpport.NewEngine("127.0.0.1:1", client).Cancel(t.Context(), streamID("s"))
		assert.Assert(t, err != nil && err != io.EOF)
		assert.Assert(t, read.Load() <= 17<<20, "%d bytes were read", read.Load())
	})
}
