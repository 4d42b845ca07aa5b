package httpport

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/port/httpport/wire"
	"github.com/cairnworks/cairnworks/verdict"
)

func readerOf(data []byte) port.FrameReader {
	body := io.NopCloser(bytes.NewReader(data))
	return newFrameReader(body, func() {}, func(err error) error {
		return verdict.Fail(verdict.MayHaveRun, verdict.ReasonUpstreamCrashed, err, "broken")
	})
}

// A faulty upstream sends malformed frames or an endless line. The reader must end
// the stream with a verdict: a panic or an unbounded buffer would crash the instance
// and so affect all of its callers.
func FuzzFrames(f *testing.F) {
	f.Add([]byte(`{"request_id":"a","attempt":1,"seq":0,"token":"x"}` + "\n" + `{"request_id":"a","attempt":1,"seq":1,"done":true,"finish_reason":"stop"}` + "\n"))
	f.Add([]byte("\n\n{}\n"))
	f.Add([]byte(`{"seq":-1}`))
	f.Add([]byte(`{"seq":18446744073709551616}`))
	f.Add([]byte(`{"request_id":"a","attempt":1,"se`))
	f.Fuzz(func(t *testing.T, data []byte) {
		frames := readerOf(data)
		for range bytes.Count(data, []byte("\n")) + 2 {
			frame, err := frames.Next()
			if errors.Is(err, io.EOF) {
				return
			}
			if err != nil {
				var v *verdict.Verdict
				assert.Assert(t, errors.As(err, &v))
				return
			}
			checkRoundTrip(t, frame)
		}
		t.Fatal("more frames than lines")
	})
}

// A line longer than maxFrameBytes must end the stream with an error.
func TestOverlongLineIsError(t *testing.T) {
	_, err := readerOf(bytes.Repeat([]byte("x"), maxFrameBytes+1)).Next()
	assert.Equal(t, verdict.From(err).Reason, verdict.ReasonUpstreamCrashed)
}

// checkRoundTrip encodes a frame and checks that reading it back yields the same frame.
func checkRoundTrip(t *testing.T, frame port.Frame) {
	t.Helper()
	data, err := json.Marshal(wire.Frame(frame))
	assert.NilError(t, err)
	if len(data) > maxFrameBytes/2 {
		return // Escaping may make the line longer than the original.
	}
	again, err := readerOf(append(data, '\n')).Next()
	assert.NilError(t, err)
	assert.DeepEqual(t, again, frame)
}
