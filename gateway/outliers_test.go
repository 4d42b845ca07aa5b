package gateway

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/upstream"
)

// Guards against sending requests to an engine that was restarted at the same address in another
// role and whose new entry has not been read yet.
func TestRestartedEngineWaitsForItsNewEntry(t *testing.T) {
	var now time.Duration
	s := newOutlierDetector(func() time.Duration { return now })
	refused := fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	engine := upstream.Entry{ID: "engine", Started: 1, Role: upstream.Decode}
	plain := upstream.Entry{ID: "plain", Started: 1, Role: upstream.Plain}
	slow := upstream.Entry{ID: "slow", Started: 1, Role: upstream.Decode}
	s.recordUnreachable(engine, refused)
	s.recordUnreachable(plain, refused)
	s.recordUnreachable(slow, fmt.Errorf("no answer"))
	all := []upstream.Entry{engine, plain, slow}
	assert.DeepEqual(t, s.ejected(all), map[string]bool{"engine": true, "plain": true, "slow": true})
	now = 1900 * time.Millisecond
	assert.DeepEqual(t, s.ejected(all), map[string]bool{"engine": true})
	next := engine
	next.Started = 2
	assert.DeepEqual(t, s.ejected([]upstream.Entry{next}), map[string]bool{})
	now = restartedEjection + time.Millisecond
	assert.DeepEqual(t, s.ejected(all), map[string]bool{})
}
