package liveness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const second = time.Second

func runs(ids ...string) (out []Run) {
	for _, id := range ids {
		out = append(out, Run{ID: id})
	}
	return out
}

// Guards against a role that counts as silent while one of its engines answers, runs requests, or was not asked.
func TestRoleIsSilentOnlyIfNoEngineAnswers(t *testing.T) {
	role := runs("a", "b")
	tr := NewTracker()
	tr.Failed(1*second, 2*second, role[0])
	_, silent := tr.SilentSince(2*second, role)
	assert.Assert(t, !silent, "an engine was not asked")
	tr.Failed(3*second, 4*second, role[1])
	since, silent := tr.SilentSince(4*second, role)
	assert.Assert(t, silent)
	assert.Equal(t, since, 3*second)
	tr.Failed(5*second, 6*second, role[1])
	since, _ = tr.SilentSince(6*second, role)
	assert.Equal(t, since, 3*second, "asked again")
	tr.Answered(5*second, role[0])
	_, silent = tr.SilentSince(6*second, role)
	assert.Assert(t, !silent, "an engine runs requests")
	_, silent = tr.SilentSince(6*second, nil)
	assert.Assert(t, !silent, "a role without engines")
}

// Guards against an answer to an earlier question, or a new run under the same ID, that counts for nothing.
func TestOldFailuresDoNotCount(t *testing.T) {
	tr := NewTracker()
	old := Run{ID: "a", Started: 1}
	tr.Answered(5*second, old)
	tr.Failed(4*second, 6*second, old)
	assert.Assert(t, tr.Answers(6*second, old))
	tr.Failed(6*second, 7*second, old)
	assert.Assert(t, tr.Silent(7*second, old))
	assert.Assert(t, !tr.Silent(7*second+failureTTL+1, old), "asked long ago")
	assert.Assert(t, !tr.Silent(7*second, Run{ID: "a", Started: 2}))
	tr.Retain(runs("b"))
	assert.Assert(t, !tr.Silent(7*second, old))
}

// Guards against questions to engines that run requests, and against a large role that is asked at once or in part only.
func TestEnginesAreAskedOnlyInDoubt(t *testing.T) {
	var role []Run
	for n := range 20 {
		role = append(role, Run{ID: "e", Started: int64(n)})
	}
	tr := NewTracker()
	tr.Answered(1*second, role[7])
	assert.Equal(t, len(tr.Due(2*second, role)), 0)
	now := 4 * second
	due := tr.Due(now, role)
	assert.Equal(t, len(due), 1, "no engine has failed to answer")
	asked := 0
	for silent := false; !silent; _, silent = tr.SilentSince(now, role) {
		for _, run := range tr.Due(now, role) {
			asked++
			tr.Failed(now, now, run)
		}
		now += 100 * time.Millisecond
		assert.Assert(t, asked <= len(role)+maxAsked)
	}
	assert.Equal(t, len(tr.Due(now, role)), maxAsked)
}

// Guards against an engine that counts as working because it answers when asked, while it fails all requests.
func TestEngineThatFailsAllRequestsIsSilent(t *testing.T) {
	role := runs("a")
	tr := NewTracker()
	tr.FailedRequests(2*second, 5*second, role[0])
	tr.Answered(6*second, role[0])
	assert.Assert(t, !tr.Answers(6*second, role[0]))
	since, silent := tr.SilentSince(6*second, role)
	assert.Assert(t, silent)
	assert.Equal(t, since, 2*second)
	assert.Equal(t, len(tr.Due(6*second, role)), 0, "its answer would show nothing")
	tr.Worked(4*second, role[0])
	assert.Assert(t, tr.Silent(6*second, role[0]), "it worked before")
	tr.Worked(7*second, role[0])
	assert.Assert(t, tr.Answers(7*second, role[0]))
	tr.FailedRequests(8*second, 9*second, role[0])
	assert.Assert(t, !tr.Silent(9*second+failureTTL+1, role[0]), "its requests failed long ago")
}
