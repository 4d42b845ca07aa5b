package once

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/route"
)

var booking = route.GuardedCall{Organisation: "frames", Service: "leaf-desk", IdempotencyKey: "book-1", BodyHash: [32]byte{1}, RequestID: "r1"}

func startLocal(t *testing.T, log *fakeLog, name string) (*Service, func()) {
	t.Helper()
	s, err := New(Config{Self: request.Holder{Instance: name, Incarnation: 1}, Log: log})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Run(ctx)
	}()
	synctest.Wait()
	return s, func() {
		cancel()
		<-ended
	}
}

func TestAnswerIsReplayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		a, stopA := startLocal(t, log, "a")
		defer stopA()
		b, stopB := startLocal(t, log, "b")
		defer stopB()
		ticket, answer, err := a.Begin(t.Context(), booking)
		assert.NilError(t, err)
		assert.Assert(t, answer == nil)
		want := route.RecordedAnswer{Status: 201, ContentType: "application/json", Body: []byte(`{"leaf":3}`)}
		assert.NilError(t, a.Finish(t.Context(), ticket, want))
		again, answer, err := b.Begin(t.Context(), booking)
		assert.NilError(t, err)
		assert.Assert(t, again == nil)
		assert.DeepEqual(t, *answer, want)
	})
}
