package route

import (
	"errors"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/verdict"
)

// Guards against forwarding wrong tokens to the caller: tokens that are repeated after a resume,
// late frames of an abandoned attempt, and frames of another request from a faulty upstream. A gap
// must end the stream, since the missing token cannot arrive later.
func TestFrameFilterAcceptsOnlyNextTokenOfOwnStream(t *testing.T) {
	dropped := map[string]int{}
	f := frameFilter{stream: port.StreamID{RequestID: "r", Attempt: 2}, nextSeq: 3, onDrop: func(cause string) { dropped[cause]++ }}
	accepted := func(frame port.Frame) bool {
		ok, err := f.accept(frame)
		assert.NilError(t, err)
		return ok
	}
	assert.Assert(t, !accepted(port.Frame{RequestID: "other", Attempt: 2, Seq: 3}))
	assert.Assert(t, !accepted(port.Frame{RequestID: "r", Attempt: 1, Seq: 3}))
	assert.Assert(t, !accepted(port.Frame{RequestID: "r", Attempt: 2, Seq: 2}))
	assert.Assert(t, accepted(port.Frame{RequestID: "r", Attempt: 2, Seq: 3}))
	assert.Assert(t, !accepted(port.Frame{RequestID: "r", Attempt: 2, Seq: 3}))
	assert.Assert(t, accepted(port.Frame{RequestID: "r", Attempt: 2, Seq: 4, Done: true}))
	assert.DeepEqual(t, dropped, map[string]int{dropOtherRequest: 1, dropOldAttempt: 1, dropRepeated: 2})

	_, err := f.accept(port.Frame{RequestID: "r", Attempt: 2, Seq: 6})
	assert.Equal(t, verdict.From(err).Reason, verdict.ReasonTruncated)
}

// Guards against taking a truncated answer for a complete one if the connection is closed cleanly
// before the terminator.
func TestStreamEndWithoutTerminatorIsTruncated(t *testing.T) {
	err := streamEndError(io.EOF)
	assert.Equal(t, verdict.From(err).Reason, verdict.ReasonTruncated)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
}

// Guards against losing a prefill because the transfer is planned after the expiry of the KV cache,
// which happens if the scheduler overestimates the duration of the prefill. In a load test, nine
// out of ten prefills were wasted this way.
func TestTransferStartsBeforeCacheExpires(t *testing.T) {
	now := time.Unix(0, 0)
	assert.Equal(t, transferStart(now, now.Add(140*time.Second), 800*time.Millisecond), now.Add(400*time.Millisecond))
	assert.Equal(t, transferStart(now, now.Add(100*time.Millisecond), 800*time.Millisecond), now.Add(100*time.Millisecond))
}
