package fleet

import (
	"bytes"
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/fleetid"
	"github.com/cairnworks/cairnworks/fleetid/fleetidtest"
	"github.com/cairnworks/cairnworks/follow"
	"github.com/cairnworks/cairnworks/loopback"
	"github.com/cairnworks/cairnworks/port"
)

// recordHandler serves one record.
type recordHandler struct {
	fakeHandler
	record port.KeyedRecord
}

func (h *recordHandler) ServeRecords(_ time.Duration, topic port.Topic, from uint64) (follow.Note, error) {
	if from > h.record.Offset {
		return follow.Note{}, follow.ErrUnknownRecords
	}
	return follow.Note{Topic: topic, From: from, Mark: h.record.Offset + 1, Next: h.record.Offset + 1, Records: []port.KeyedRecord{h.record}}, nil
}

// startServing starts an instance that serves a record, and returns its address.
func startServing(t *testing.T, id fleetid.ID, record port.KeyedRecord) (*Exchange, string) {
	t.Helper()
	address, err := loopback.FreeAddress()
	assert.NilError(t, err)
	x, err := Listen(Member{Name: address, Incarnation: 1, Address: address}, &recordHandler{record: record}, zap.NewNop())
	assert.NilError(t, err)
	x.SetFleet(fleetidtest.Verifier(t, id, "name"))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = x.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return x, address
}

// Guards against large records that arrive incomplete or not at all.
func TestLargeRecordIsFetchedWhole(t *testing.T) {
	record := port.KeyedRecord{Key: "config", Value: bytes.Repeat([]byte("route and service, "), 100<<10), Offset: 7}
	_, address := startServing(t, 3, record)
	client, _ := startServing(t, 3, port.KeyedRecord{})
	for range 3 {
		note, err := client.Fetch(t.Context(), address, port.TopicConfiguration, 5)
		assert.NilError(t, err)
		assert.Equal(t, note.Mark, uint64(8))
		assert.Equal(t, len(note.Records), 1)
		assert.Equal(t, note.Records[0].Key, record.Key)
		assert.Equal(t, note.Records[0].Offset, record.Offset)
		assert.Assert(t, bytes.Equal(note.Records[0].Value, record.Value))
	}
	_, err := client.Fetch(t.Context(), address, port.TopicConfiguration, 8)
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
}

// Guards against the configuration of another deployment at an address that is in use again.
func TestRecordsOfAnotherFleetAreNotFetched(t *testing.T) {
	record := port.KeyedRecord{Key: "config", Value: []byte("other"), Offset: 7}
	_, address := startServing(t, 4, record)
	client, own := startServing(t, 3, record)
	_, err := client.Fetch(t.Context(), address, port.TopicConfiguration, 5)
	assert.Equal(t, connect.CodeOf(err), connect.CodePermissionDenied)
	stranger, _ := startServing(t, 4, record)
	_, err = stranger.Fetch(t.Context(), own, port.TopicConfiguration, 5)
	assert.Equal(t, connect.CodeOf(err), connect.CodePermissionDenied)
}

// Guards against the memory of a thousand fetches at once.
func TestConcurrentFetchesAreLimited(t *testing.T) {
	x, _ := startServing(t, 3, port.KeyedRecord{})
	s := newRecordService(x)
	for range maxFetches {
		s.running <- struct{}{}
	}
	_, err := s.Fetch(t.Context(), nil)
	assert.Equal(t, connect.CodeOf(err), connect.CodeResourceExhausted)
}
