package gateway

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/upstream"
)

// Guards against requests that are sent to an engine which is back at its address as another run,
// in another role, and is not listed as that yet.
func TestEndedEngineWaitsForItsNewEntry(t *testing.T) {
	var now time.Duration
	s := newSuspects(func() time.Duration { return now })
	refused := fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	engine := upstream.Entry{ID: "engine", Started: 1, Role: upstream.Decode}
	plain := upstream.Entry{ID: "plain", Started: 1, Role: upstream.Plain}
	slow := upstream.Entry{ID: "slow", Started: 1, Role: upstream.Decode}
	s.unreached(engine, refused)
	s.unreached(plain, refused)
	s.unreached(slow, fmt.Errorf("no answer"))
	all := []upstream.Entry{engine, plain, slow}
	assert.DeepEqual(t, s.among(all), map[string]bool{"engine": true, "plain": true, "slow": true})
	now = 1900 * time.Millisecond
	assert.DeepEqual(t, s.among(all), map[string]bool{"engine": true})
	next := engine
	next.Started = 2
	assert.DeepEqual(t, s.among([]upstream.Entry{next}), map[string]bool{})
	now = endedSuspicion + time.Millisecond
	assert.DeepEqual(t, s.among(all), map[string]bool{})
}
