package rate

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/verdict"
)

// tryAdmit returns whether the request was admitted, and the verdict if not.
func tryAdmit(m *member, organisation string, cost uint64) *verdict.Verdict {
	_, err := m.service.Admit(context.Background(), organisation, cost)
	var v *verdict.Verdict
	errors.As(err, &v)
	return v
}

func TestBurstOverAllInstances(t *testing.T) {
	inFleet(t, 9, func(f *fleet) {
		f.setLimit("jadran", 300, 3000)
		for i := range 30 {
			v := tryAdmit(f.living()[i%9], "jadran", 100)
			assert.Assert(t, v == nil, "%v", v)
		}
		v := tryAdmit(f.living()[0], "jadran", 150)
		assert.Equal(t, v.Reason, verdict.ReasonRateLimited)
		time.Sleep(v.RetryAfter)
		v = tryAdmit(f.living()[1], "jadran", 150)
		assert.Assert(t, v == nil, "%v", v)
	})
}
