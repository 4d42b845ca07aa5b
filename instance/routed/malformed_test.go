package routed_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/platform/standin"
)

// Guards against answers with a malformed head that reach callers, or end their connections without an answer.
func TestAnswerWithMalformedHeadIsReplaced(t *testing.T) {
	t.Parallel()
	reachEngines(t, func(t *testing.T, f *partitionFleet) {
		for _, e := range f.running {
			e.SetEnding(standin.Malformed)
		}
		for n := range standin.MalformedHeads {
			for _, kind := range allKinds {
				id := fmt.Sprint("malformed-", kind, n)
				a := f.instances[0].get(t, id, kind)
				f.mu.Lock()
				runs := f.runs[id]
				f.mu.Unlock()
				assert.Check(t, a.complete && (a.status == http.StatusBadGateway || a.status == http.StatusServiceUnavailable && runs == 0),
					"%s ran %d times: %+v", id, runs, a)
			}
		}
	})
}
