package route

import (
	"errors"
	"io"

	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/verdict"
)

// frameFilter accepts only the next token of its stream. Frames can be duplicated after a resume,
// arrive late from an abandoned attempt, or belong to another request if an upstream is faulty.
// Forwarding any of them would give the caller a wrong answer.
type frameFilter struct {
	stream port.StreamID
	// nextSeq is the sequence number of the next token to forward.
	nextSeq int
	// onDrop is called with the cause for each frame that is dropped.
	onDrop func(cause string)
}

// Causes for which frames are dropped. They are also used as metric tags.
const (
	dropOtherRequest = "other_request"
	dropOldAttempt   = "old_attempt"
	dropRepeated     = "repeated"
)

// accept reports whether the frame is the next one of the answer. A gap is an error, since the
// missing tokens cannot arrive later on an ordered stream.
func (f *frameFilter) accept(frame port.Frame) (bool, error) {
	if frame.RequestID != f.stream.RequestID {
		f.onDrop(dropOtherRequest)
		return false, nil
	}
	if frame.Attempt != f.stream.Attempt {
		f.onDrop(dropOldAttempt)
		return false, nil
	}
	if frame.Seq < f.nextSeq {
		f.onDrop(dropRepeated)
		return false, nil
	}
	if frame.Seq > f.nextSeq {
		return false, verdict.Fail(verdict.MayHaveRun, verdict.ReasonTruncated, nil,
			"received token %d instead of token %d", frame.Seq, f.nextSeq)
	}
	if !frame.Done {
		f.nextSeq++
	}
	return true, nil
}

// streamEndError converts the end of a stream without a terminator to a verdict. Otherwise the
// caller would take a truncated answer for a complete one and act on it.
func streamEndError(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	var v *verdict.Verdict
	if errors.As(err, &v) {
		return err
	}
	return verdict.Fail(verdict.MayHaveRun, verdict.ReasonTruncated, err, "the stream ended without a terminator")
}
