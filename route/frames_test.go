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

// After a resume an upstream repeats tokens, a late frame of an attempt that was
// given up arrives, and a broken upstream crosses two requests' frames. Only the
// next token of this request's own stream may reach its caller; a gap must end
// the stream, since the missing token cannot come any more.
func TestOnlyTheNextTokenOfTheOwnStreamPasses(t *testing.T) {
	dropped := map[string]int{}
	f := frameFilter{stream: port.StreamID{RequestID: "r", Attempt: 2}, next: 3, dropped: func(cause string) { dropped[cause]++ }}
	pass := func(frame port.Frame) bool {
		ok, err := f.accept(frame)
		assert.NilError(t, err)
		return ok
	}
	assert.Assert(t, !pass(port.Frame{RequestID: "other", Attempt: 2, Seq: 3}))
	assert.Assert(t, !pass(port.Frame{RequestID: "r", Attempt: 1, Seq: 3}))
	assert.Assert(t, !pass(port.Frame{RequestID: "r", Attempt: 2, Seq: 2}))
	assert.Assert(t, pass(port.Frame{RequestID: "r", Attempt: 2, Seq: 3}))
	assert.Assert(t, !pass(port.Frame{RequestID: "r", Attempt: 2, Seq: 3}))
	assert.Assert(t, pass(port.Frame{RequestID: "r", Attempt: 2, Seq: 4, Done: true}))
	assert.DeepEqual(t, dropped, map[string]int{dropOtherRequest: 1, dropOldAttempt: 1, dropRepeated: 2})

	_, err := f.accept(port.Frame{RequestID: "r", Attempt: 2, Seq: 6})
	assert.Equal(t, verdict.From(err).Reason, verdict.ReasonTruncated)
}

// A connection closes in good order before the answer's terminator. A plain end
// of the stream would look like a whole answer.
func TestAnEndWithoutTerminatorIsNoAnswer(t *testing.T) {
	err := streamEnded(io.EOF)
	assert.Equal(t, verdict.From(err).Reason, verdict.ReasonTruncated)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
}

// The scheduler overestimates a prefill and plans its transfer for later than the
// KV cache lives. An instance that waits for the plan loses the prefill, and its
// caller waits for nothing; the load tool saw nine prefills in ten wasted so.
func TestATransferNeverWaitsOutItsCache(t *testing.T) {
	now := time.Unix(0, 0)
	assert.Equal(t, transferStart(now, now.Add(140*time.Second), 800*time.Millisecond), now.Add(400*time.Millisecond))
	assert.Equal(t, transferStart(now, now.Add(100*time.Millisecond), 800*time.Millisecond), now.Add(100*time.Millisecond))
}
