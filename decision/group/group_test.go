package group

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/request"
)

func TestGrantAndRelease(t *testing.T) {
	g := New(Config{FirstGrantID: 7})
	now := time.Unix(0, 0)
	g.SetUpstreams(now, []Upstream{
		{Name: "p", Role: object.RolePrefill, Slots: 1},
		{Name: "d", Role: object.RoleDecode, Slots: 1, Pieces: 4},
	})
	ask := func(id string) []Decision {
		return g.Submit(now, Request{
			ID: id, Organisation: "o", Class: request.Deferrable,
			PromptTokens: 100, MaxTokens: 100, Arrived: now, Deadline: now.Add(time.Minute),
		})
	}
	first := ask("a")
	assert.Equal(t, len(first), 1)
	assert.Equal(t, first[0].Grant.ID, uint64(7))
	assert.Equal(t, len(ask("b")), 0)
	next := g.Release(now, 7, Outcome{Kind: OutcomeDone})
	assert.Equal(t, next[0].Grant.RequestID, "b")
}
