package observe

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/verdict"
)

func TestRefusalsAreCountedByReason(t *testing.T) {
	m := NewMetrics()
	defer m.Close()
	limited := verdict.Refuse(verdict.ReasonRateLimited, time.Second, "later")
	m.CountRefusal("caller", verdict.Refuse(verdict.ReasonBadRequest, 0, "no"))
	m.CountRefusal("caller", limited)
	m.CountRefusal("caller", limited)
	assert.DeepEqual(t, m.Refusals(), []RefusalCount{
		{Refusal{"caller", verdict.ReasonRateLimited, "not_run"}, 2},
		{Refusal{"caller", verdict.ReasonBadRequest, "not_run"}, 1},
	})
}
