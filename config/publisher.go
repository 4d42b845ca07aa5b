package config

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/verdict"
)

// Causes of a failed publish; errors.Is finds them in a *PublishError.
var (
	// ErrInvalidSet means that the set has faults. Nothing was written.
	ErrInvalidSet = errors.New("the set has faults")
	// ErrStaleBase means that the base is no longer in force. Nothing was written.
	ErrStaleBase = errors.New("the base is not the version in force")
	// ErrLostRace means that another publish on the same base came first. The
	// record, if it was written, is void everywhere.
	ErrLostRace = errors.New("another publish on the same base came first")
	// ErrNotPublished means that the log could not be used. Nothing was written.
	ErrNotPublished = errors.New("the log is unavailable, nothing was published")
	// ErrOutcomeUnknown means that the append was not answered and the record was
	// not found. It may still appear. Publishing again on the same base is safe:
	// at most one of the two records can be accepted.
	ErrOutcomeUnknown = errors.New("the outcome is unknown, the record may still appear")
	// ErrUnanchored means that no retained record tells what is in force. Nothing
	// was written.
	ErrUnanchored = errors.New("no retained record tells which version is in force")
)

// PublishError is the typed error of Publisher.
type PublishError struct {
	// Cause is one of the errors above.
	Cause error
	// Base is the version the publish was made from; Current is the version in
	// force as far as it is known.
	Base, Current uint64
	// RecordID identifies the record in the log, if one may have been written.
	RecordID string
	// Faults are set with ErrInvalidSet.
	Faults []object.Fault
	// Err is the underlying error, if any.
	Err error
}

// Error implements error.
func (e *PublishError) Error() string {
	msg := fmt.Sprintf("%s (base %d, in force %d)", e.Cause, e.Base, e.Current)
	if e.RecordID != "" {
		msg += ", record " + e.RecordID
	}
	if len(e.Faults) > 0 {
		msg += fmt.Sprintf(", %d faults, first: %s", len(e.Faults), e.Faults[0])
	}
	if e.Err != nil {
		msg += ": " + e.Err.Error()
	}
	return msg
}

// Unwrap returns the cause and the underlying error.
func (e *PublishError) Unwrap() []error { return []error{e.Cause, e.Err} }

// Publisher appends object sets to the log. It is safe for concurrent use.
type Publisher struct {
	log port.Log
	// newID returns a record id that is never used twice.
	newID func() string
}

// NewPublisher returns a publisher on a log.
func NewPublisher(log port.Log) *Publisher {
	return &Publisher{log: log, newID: func() string { return "config-" + rand.Text() }}
}

// Publish makes the set the successor of version base and returns its version.
// It fails with a *PublishError.
func (p *Publisher) Publish(ctx context.Context, set object.Set, base uint64, note string) (uint64, error) {
	return p.publish(ctx, set, Header{Format: format, Kind: KindPublish, Base: base, Note: note})
}

// Restart publishes a set when nothing retained tells what is in force, and fails
// with ErrStaleBase otherwise. It is for the case that every record expired while
// no instance was alive to republish.
func (p *Publisher) Restart(ctx context.Context, set object.Set, note string) (uint64, error) {
	return p.publish(ctx, set, Header{Format: format, Kind: KindRestart, Note: note})
}

func (p *Publisher) publish(ctx context.Context, set object.Set, h Header) (uint64, error) {
	fail := &PublishError{Base: h.Base}
	if fail.Faults = object.Check(set); len(fail.Faults) > 0 {
		return 0, fail.because(ErrInvalidSet, nil)
	}
	replay, err := readTail(ctx, p.log)
	if err != nil {
		return 0, fail.because(ErrNotPublished, err)
	}
	fail.Current = replay.version
	if err := admissible(h, replay); err != nil {
		return 0, fail.because(err, nil)
	}
	h.Through = replay.next - 1
	data, err := encodePublish(h, set, replay)
	if err != nil {
		return 0, fail.because(ErrNotPublished, err)
	}
	return p.appendAndSettle(ctx, replay, port.Entry{ID: p.newID(), Data: data}, fail)
}

func (e *PublishError) because(cause, err error) error {
	e.Cause = cause
	e.Err = err
	return e
}

// admissible refuses what would be void before it costs a record.
func admissible(h Header, replay *Replay) error {
	switch {
	case h.Kind == KindRestart && replay.anchored:
		return ErrStaleBase
	case h.Kind == KindRestart:
		return nil
	case !replay.anchored:
		return ErrUnanchored
	case h.Base != replay.version:
		return ErrStaleBase
	default:
		return nil
	}
}

// encodePublish returns the record of a publish: a change, if that is much smaller
// and the last whole set is neither too many changes nor too long ago.
func encodePublish(h Header, set object.Set, replay *Replay) ([]byte, error) {
	whole, err := compress(set)
	if err != nil || h.Kind != KindPublish || needsWhole(replay) {
		return encodeIf(err, h, whole)
	}
	edit := object.EditBetween(*replay.set, set)
	payload, err := compress(change{Edit: edit, Sum: setSum(edit.Apply(*replay.set))})
	if err != nil || len(payload) > len(whole)/2 {
		return encodeIf(err, h, whole)
	}
	h.Kind = KindChange
	return encodeRecord(h, payload)
}

// needsWhole uses the log's clock, which may be off: whole sets are then written
// more often than needed, or less, and republishing makes up for that.
func needsWhole(replay *Replay) bool {
	return replay.set == nil || replay.changes >= maxChanges || time.Since(replay.whole.Appended) > maxWholeAge
}

func encodeIf(err error, h Header, payload []byte) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	return encodeRecord(h, payload)
}

// appendAndSettle appends the record once and reads the stream to learn what
// became of it, whether or not the append was answered.
func (p *Publisher) appendAndSettle(ctx context.Context, replay *Replay, entry port.Entry, fail *PublishError) (uint64, error) {
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	_, appendErr := p.log.Append(appendCtx, Stream, entry)
	cancel()
	if appendErr != nil && verdict.From(appendErr).Ran == verdict.NotRun {
		return 0, fail.because(ErrNotPublished, appendErr)
	}
	fail.RecordID = entry.ID
	version, err := p.settle(ctx, replay, entry.ID, fail)
	if err != nil && appendErr != nil && fail.Err == nil {
		fail.Err = appendErr
	}
	return version, err
}

// settle looks for the record by its id. An append whose answer was lost must not
// be made anew on a guess: the operator would be told of a lost race against the
// own first record, or of success while that record came into force later.
func (p *Publisher) settle(ctx context.Context, replay *Replay, id string, fail *PublishError) (uint64, error) {
	var lastErr error
	for end := time.Now().Add(settleTime); time.Now().Before(end) && ctx.Err() == nil; {
		page, err := readPage(ctx, p.log, replay.next, pageSize, settlePoll)
		var judged []JudgedRecord
		if err == nil {
			judged, err = applyPage(replay, page)
		}
		if lastErr = err; err != nil {
			pause(ctx, settlePoll)
		}
		fail.Current = replay.version
		if done, version, err := settled(judged, id, fail); done {
			return version, err
		}
	}
	return 0, fail.because(ErrOutcomeUnknown, errors.Join(lastErr, ctx.Err()))
}

// settled looks through judged records for the own one. A foreign record that was
// accepted on the base settles the matter too: the own one can only be void, even
// if it arrives later.
func settled(judged []JudgedRecord, id string, fail *PublishError) (done bool, version uint64, err error) {
	for _, j := range judged {
		own := j.Record.ID == id
		switch {
		case own && j.Judgement == Accepted:
			return true, j.Record.Offset, nil
		case own, j.Judgement == Accepted:
			return true, 0, fail.because(ErrLostRace, nil)
		}
	}
	return false, 0, nil
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
