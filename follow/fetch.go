package follow

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/port"
)

const (
	// maxSources is the number of instances remembered that have missing records.
	maxSources = 3
	// maxFailedFetches is the number of failed fetches after which missing records are read from the
	// store.
	maxFailedFetches = 2
	// fetchTimeoutFraction is the timeout of a fetch, as a fraction of TakeoverAge. It leaves time to
	// read the store after maxFailedFetches.
	fetchTimeoutFraction = 0.3
)

// Fetcher fetches the records of a topic from another instance. The note that it returns has those
// from the given offset up to the newest one that the instance knows.
type Fetcher interface {
	Fetch(ctx context.Context, sender string, topic port.Topic, from uint64) (Note, error)
}

// ErrUnknownRecords is returned by Serve if the instance does not know all records that are requested.
var ErrUnknownRecords = errors.New("not all requested records are known")

// Serve returns a note with the records from an offset on, whatever their size.
func (f *Follower) Serve(now time.Duration, from uint64) (Note, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	from = max(from, port.EraStart(f.next))
	records, ok := f.history.since(from)
	if !f.hasNote() || !ok {
		return Note{}, ErrUnknownRecords
	}
	n := f.newNote(now)
	n.From, n.Records, n.Carried = from, records, f.carried.list()
	return n, nil
}

// addSource remembers an instance that has missing records. f.mu must be held.
func (f *Follower) addSource(sender string) {
	if sender == "" || f.Fetcher == nil || len(f.sources) >= maxSources || slices.Contains(f.sources, sender) {
		return
	}
	f.sources = append(f.sources, sender)
}

// takeSource returns an instance to fetch missing records from and the offset of the first one.
func (f *Follower) takeSource() (sender string, from uint64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.behind || len(f.sources) == 0 || f.failedFetches >= maxFailedFetches {
		return "", 0, false
	}
	sender, f.sources = f.sources[0], f.sources[1:]
	return sender, f.next, true
}

// fetchMissing fetches missing records from an instance that has them. It returns false if they have to
// be read from the store.
func (f *Follower) fetchMissing(ctx context.Context, started time.Duration) bool {
	sender, from, ok := f.takeSource()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(fetchTimeoutFraction*float64(f.Timing.TakeoverAge)))
	defer cancel()
	n, err := f.Fetcher.Fetch(ctx, sender, f.Topic, from)
	if err != nil {
		f.Logger.Info("fetch from instance failed", zap.Stringer("topic", f.Topic), zap.String("address", sender), zap.Error(err))
		f.mu.Lock()
		f.failedFetches++
		f.mu.Unlock()
		return true
	}
	// The note was made after the fetch started.
	f.Receive(n, started)
	return true
}
