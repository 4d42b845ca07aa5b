package route

import (
	"errors"
	"io"

	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/verdict"
)

// frameFilter keeps a caller's answer whole and its own. Frames can arrive
// doubled after a resume, late from an attempt that was given up, or crossed
// with another request's by a broken upstream; any of them forwarded would give
// the caller a wrong answer. Only the next token of the named stream passes.
type frameFilter struct {
	stream port.StreamID
	// next is the sequence number of the next token the caller needs.
	next int
	// dropped is told the cause of each frame that is not forwarded.
	dropped func(cause string)
}

// Causes for which frames are dropped, also metric tags.
const (
	dropOtherRequest = "other_request"
	dropOldAttempt   = "old_attempt"
	dropRepeated     = "repeated"
)

// accept reports whether the frame is the next one of the answer. A gap is an
// error: the missing tokens cannot come later on an ordered stream.
func (f *frameFilter) accept(frame port.Frame) (bool, error) {
	if frame.RequestID != f.stream.RequestID {
		f.dropped(dropOtherRequest)
		return false, nil
	}
	if frame.Attempt != f.stream.Attempt {
		f.dropped(dropOldAttempt)
		return false, nil
	}
	if frame.Seq < f.next {
		f.dropped(dropRepeated)
		return false, nil
	}
	if frame.Seq > f.next {
		return false, verdict.Fail(verdict.MayHaveRun, verdict.ReasonTruncated, nil,
			"token %d arrived in place of token %d", frame.Seq, f.next)
	}
	if !frame.Done {
		f.next++
	}
	return true, nil
}

// streamEnded turns the end of a stream without a terminator into a verdict. An
// answer that merely stops looks whole to a caller, who would act on half of it.
func streamEnded(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	var v *verdict.Verdict
	if errors.As(err, &v) {
		return err
	}
	return verdict.Fail(verdict.MayHaveRun, verdict.ReasonTruncated, err, "the stream ended without its terminator")
}
