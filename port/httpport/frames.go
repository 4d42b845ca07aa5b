package httpport

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"

	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/port/httpport/wire"
	"github.com/cairnworks/cairnworks/verdict"
)

// maxFrameBytes limits a line of a decode stream. A token has a few bytes; without a
// limit, an endless line would exhaust the instance's memory.
const maxFrameBytes = 64 << 10

var errNegativeSeq = errors.New("frame with a negative sequence number")

// frameReader reads frames from a body with one JSON object per line.
type frameReader struct {
	lines  *bufio.Scanner
	body   io.Closer
	cancel context.CancelFunc
	// toVerdict converts a read error to a verdict.
	toVerdict func(error) error
}

func newFrameReader(body io.ReadCloser, cancel context.CancelFunc, toVerdict func(error) error) *frameReader {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 512), maxFrameBytes)
	return &frameReader{lines: lines, body: body, cancel: cancel, toVerdict: toVerdict}
}

// Next implements port.FrameReader. A broken connection returns a verdict; a stream
// that the engine ended returns io.EOF, whether or not a terminator preceded it.
func (f *frameReader) Next() (port.Frame, error) {
	for f.lines.Scan() {
		line := bytes.TrimSpace(f.lines.Bytes())
		if len(line) == 0 {
			continue
		}
		return decodeFrame(line)
	}
	if err := f.lines.Err(); err != nil {
		return port.Frame{}, f.toVerdict(err)
	}
	return port.Frame{}, io.EOF
}

// Close implements port.FrameReader.
func (f *frameReader) Close() error {
	f.cancel()
	return f.body.Close()
}

func decodeFrame(line []byte) (port.Frame, error) {
	var frame wire.Frame
	err := json.Unmarshal(line, &frame)
	if err == nil && frame.Seq < 0 {
		err = errNegativeSeq
	}
	if err != nil {
		return port.Frame{}, verdict.Fail(verdict.HasRun, verdict.ReasonTruncated, err, "invalid frame")
	}
	return port.Frame(frame), nil
}
