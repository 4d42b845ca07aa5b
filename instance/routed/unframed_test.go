package routed_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/platform/standin"
)

// received is an answer as its caller got it.
type received struct {
	status int
	body   string
	// complete is set if the answer ended without an error. framed is set if it had a length or chunks.
	complete, framed bool
}

// get sends a request to an instance and reads the answer.
func (i *linkedInstance) get(t *testing.T, id string, kind standin.Kind) received {
	t.Helper()
	req, err := standin.Request(i.settings.Callers, id, "k", kind)
	assert.NilError(t, err)
	resp, err := i.client.Do(req)
	if err != nil {
		return received{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return received{status: resp.StatusCode, body: string(body), complete: err == nil, framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0}
}

// reachEngines runs a test on a fleet whose first instance reaches the engines over its own links, and on
// one where it reaches them over another instance only.
func reachEngines(t *testing.T, test func(t *testing.T, f *partitionFleet)) {
	t.Helper()
	for _, hop := range []bool{false, true} {
		t.Run(fmt.Sprintf("hop %v", hop), func(t *testing.T) {
			t.Parallel()
			f := newPartitionFleet(t, 2)
			waitFor(t, func() bool { return len(f.instances[0].sendAll("before", 1)) == 0 })
			if hop {
				assert.NilError(t, f.instances[0].links.Partition((*standin.Link).Sever))
				time.Sleep(partitionGrace)
				waitFor(t, func() bool { return len(f.instances[0].sendAll("over", 1)) == 0 })
			}
			test(t, f)
		})
	}
}

// Guards against a stream that an engine broke off inside an event, without a length or chunks, and that
// reaches its caller as a complete answer.
func TestStreamBrokenOffInsideAnEventIsNotComplete(t *testing.T) {
	t.Parallel()
	reachEngines(t, func(t *testing.T, f *partitionFleet) {
		for _, e := range f.running {
			e.SetEnding(standin.BrokenOff)
		}
		for n := range 4 {
			for _, kind := range []standin.Kind{standin.Draft, standin.Resume} {
				a := f.instances[0].get(t, fmt.Sprint("cut-", kind, n), kind)
				assert.Check(t, a.status != http.StatusOK || !a.complete, "%v: %q looks complete", kind, a.body)
			}
		}
	})
}

// Guards against a resumable stream that is not resumed because the end of its connection counts as the end
// of the answer.
func TestStreamBrokenOffInsideAnEventIsResumed(t *testing.T) {
	t.Parallel()
	reachEngines(t, func(t *testing.T, f *partitionFleet) {
		broken := false
		for _, e := range f.running {
			if e.Stage() == standin.StageDecode && !broken {
				e.SetEnding(standin.BrokenOff)
				broken = true
			}
		}
		const withinRetryBudget = 6
		for n := range withinRetryBudget {
			id := fmt.Sprint("resumed-", n)
			a := f.instances[0].get(t, id, standin.Resume)
			assert.Check(t, a.complete && a.body == standin.Answer(id, true), "%d %q", a.status, a.body)
		}
	})
}

// Guards against whole answers without a length or chunks that do not arrive whole, and against a length
// that the caller is told and the engine did not state.
func TestAnswerWithoutAStatedEndArrivesWhole(t *testing.T) {
	t.Parallel()
	reachEngines(t, func(t *testing.T, f *partitionFleet) {
		for _, e := range f.running {
			e.SetEnding(standin.Unframed)
		}
		for n := range 2 {
			for _, kind := range []standin.Kind{standin.Read, standin.Book, standin.Draft, standin.Resume} {
				id := fmt.Sprint("whole-", kind, n)
				a := f.instances[0].get(t, id, kind)
				assert.Check(t, a.complete && a.body == standin.Answer(id, kind.Streamed()), "%v: %d %q", kind, a.status, a.body)
				assert.Check(t, a.framed == kind.Streamed(), "%v: framed %v", kind, a.framed)
			}
		}
	})
}
