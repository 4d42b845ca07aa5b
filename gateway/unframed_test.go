package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/upstream"
)

// unframedAnswer returns an answer whose upstream did not state where it ends.
func unframedAnswer(body string) *Answer {
	return &Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: io.NopCloser(strings.NewReader(body)), Length: -1}
}

// brokenOffEnds are streams without a stated end that were broken off after their first events.
var brokenOffEnds = map[string]string{
	"in a data line":            events(1, 2) + "id: 3\nda",
	"in an ID line":             events(1, 2) + "id: ",
	"after the ID line":         events(1, 2) + "id: 3\n",
	"before the blank line":     events(1, 2) + "id: 3\ndata: x\n",
	"in a comment":              events(1, 2) + ": comm",
	"with CRLF, in a data line": strings.ReplaceAll(events(1, 2), "\n", "\r\n") + "id: 3\r\nda",
	"with CRLF, before the end": strings.ReplaceAll(events(1, 2), "\n", "\r\n") + "id: 3\r\ndata: x\r\n",
	"in the first event":        "id: 1\nda",
	"before the first event":    "",
}

// Guards against a stream that ended inside an event, without a stated end, and that looks complete to its
// caller or counts as a success.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	for name, body := range brokenOffEnds {
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{"/draft/1", "/resumable/1"} {
				gw := newTestGateway(t)
				gw.setReach(upstream.Unreachable)
				gw.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
					return unframedAnswer(body), nil
				}
				rec, aborted := gw.request(path, map[string]string{"Tokens": tokenCounts})
				assert.Check(t, aborted || rec.Code == http.StatusBadGateway, "%s: %d %q looks complete", path, rec.Code, rec.Body)
				crashed := func() bool { return len(gw.gateway.crashes.known) > 0 }
				for range 100 {
					gw.gateway.crashes.mu.Lock()
					found := crashed()
					gw.gateway.crashes.mu.Unlock()
					if found {
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
				gw.gateway.crashes.mu.Lock()
				assert.Check(t, crashed(), "%s: the crash is not counted", path)
				gw.gateway.crashes.mu.Unlock()
				learnt := gw.gateway.dispatchers.all()[0].lengthEstimator.OwnSums().N
				assert.Check(t, learnt == 0, "%s: a length was learnt from an answer that was broken off", path)
			}
		})
	}
}

// Guards against a resumable stream that is handed on as complete up to the event inside which it ended.
func TestStreamThatEndsInsideAnEventIsResumed(t *testing.T) {
	for name, body := range brokenOffEnds {
		t.Run(name, func(t *testing.T) {
			gw := newTestGateway(t)
			whole := events(1, 5)
			if strings.Contains(name, "CRLF") {
				whole = strings.ReplaceAll(whole, "\n", "\r\n")
			}
			gw.run = func(_ context.Context, _ upstream.Entry, _ *Call, o RunOptions) (*Answer, error) {
				if len(gw.sends) == 1 {
					return unframedAnswer(body), nil
				}
				rest := whole
				if strings.Count(body, "data: x") >= 2 {
					assert.Equal(t, o.LastEventID, "2")
					rest = whole[len(whole)/5*2:]
				} else {
					assert.Equal(t, o.LastEventID, "")
				}
				return unframedAnswer(rest), nil
			}
			rec, aborted := gw.request("/resumable/1", map[string]string{"Tokens": tokenCounts})
			assert.Assert(t, !aborted)
			assert.Equal(t, rec.Body.String(), whole)
			assert.Equal(t, len(gw.sends), 2)
			assert.Assert(t, gw.sends[0] != gw.sends[1])
		})
	}
}

// Guards against whole streams without a stated end that count as broken off.
func TestStreamThatEndsAfterAnEventIsComplete(t *testing.T) {
	for _, whole := range []string{events(1, 3), strings.ReplaceAll(events(1, 3), "\n", "\r\n"), strings.ReplaceAll(events(1, 3), "\n", "\r"), events(1, 3) + ": end\n\n"} {
		for _, path := range []string{"/draft/1", "/resumable/1"} {
			gw := newTestGateway(t)
			gw.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
				return unframedAnswer(whole), nil
			}
			rec, aborted := gw.request(path, map[string]string{"Tokens": tokenCounts})
			assert.Assert(t, !aborted)
			assert.Equal(t, rec.Body.String(), whole)
			assert.Equal(t, len(gw.sends), 1)
		}
	}
}

// Guards against a stream that ends inside an event and looks complete because its engine stated that end, and
// against encoded streams, in which no event can be found, that count as broken off.
func TestStreamWithAStatedEnd(t *testing.T) {
	for _, path := range []string{"/draft/1", "/resumable/1"} {
		for _, length := range []int64{-1, 10} {
			for _, c := range []struct {
				body, encoding string
				brokenOff      bool
			}{{"data: x\n\nd", "", true}, {"data: xx\n\n", "", false}, {"compressed", "gzip", false}, {"", "", false}} {
				gw := newTestGateway(t)
				gw.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
					answer := unframedAnswer(c.body)
					answer.EndStated, answer.Length = true, length
					if c.encoding != "" {
						answer.Header.Set("Content-Encoding", c.encoding)
					}
					return answer, nil
				}
				rec, aborted := gw.request(path, map[string]string{"Tokens": tokenCounts})
				assert.Check(t, aborted == c.brokenOff, "%s %q", path, c.body)
				assert.Check(t, !c.brokenOff || rec.Header().Get("Content-Length") == "", "%s %q: the length is complete", path, c.body)
				assert.Check(t, c.brokenOff || rec.Body.String() == c.body, "%s %q", path, rec.Body)
			}
		}
	}
}
