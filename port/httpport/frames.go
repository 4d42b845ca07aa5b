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

// maxFrameBytes bounds one line of a decode stream. A token is some bytes long;
// a line without end would otherwise fill the instance's memory.
const maxFrameBytes = 64 << 10

var errNegativeSeq = errors.New("frame with a negative sequence number")

// frameReader reads one JSON frame a line.
type frameReader struct {
	lines  *bufio.Scanner
	body   io.Closer
	cancel context.CancelFunc
	// broken makes a verdict of a read error.
	broken func(error) error
}

func newFrameReader(body io.ReadCloser, cancel context.CancelFunc, broken func(error) error) *frameReader {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 512), maxFrameBytes)
	return &frameReader{lines: lines, body: body, cancel: cancel, broken: broken}
}

// Next implements port.FrameReader. A broken connection is a verdict; a stream
// that the engine ended yields io.EOF, with or without a terminator before it.
func (f *frameReader) Next() (port.Frame, error) {
	for f.lines.Scan() {
		line := bytes.TrimSpace(f.lines.Bytes())
		if len(line) == 0 {
			continue
		}
		return decodeFrame(line)
	}
	if err := f.lines.Err(); err != nil {
		return port.Frame{}, f.broken(err)
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
		return port.Frame{}, verdict.Fail(verdict.HasRun, verdict.ReasonTruncated, err, "unreadable frame")
	}
	return port.Frame(frame), nil
}
