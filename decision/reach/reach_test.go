package reach

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func noShuffle(int, func(i, j int)) {}

// Guards against a link that counts as cut although the upstream has responded over it since the
// connection that failed was started.
func TestContactAfterAFailureKeepsALink(t *testing.T) {
	l := NewLinks(DefaultConfig())
	assert.Assert(t, !l.RecordContact(2*time.Second, "a"))
	assert.Assert(t, !l.RecordCut(3*time.Second, time.Second, "a"))
	cut, _ := l.Use(3*time.Second, "a")
	assert.Assert(t, !cut)
	assert.Assert(t, l.RecordCut(4*time.Second, 3*time.Second, "a"))
	assert.Assert(t, !l.RecordCut(4*time.Second, 3*time.Second, "a"), "it was cut before")
}

// Guards against a cut link that is never used again, or that is probed by each request.
func TestCutLinkIsProbed(t *testing.T) {
	cfg := DefaultConfig()
	l := NewLinks(cfg)
	now := time.Minute
	l.RecordCut(now, now, "a")
	probes := 0
	const requests = 100
	for range requests {
		now += cfg.ProbeInterval / 10
		cut, probe := l.Use(now, "a")
		assert.Assert(t, cut)
		if probe {
			probes++
		}
	}
	assert.Equal(t, probes, requests/10)
	assert.Assert(t, l.RecordContact(now, "a"), "the link is restored")
	cut, probe := l.Use(now, "a")
	assert.Assert(t, !cut && !probe)
}

// Guards against state of links that are no longer used.
func TestUnusedLinksAreForgotten(t *testing.T) {
	cfg := DefaultConfig()
	l := NewLinks(cfg)
	l.RecordCut(time.Minute, time.Minute, "a")
	l.Use(time.Minute+2*cfg.Retention, "b")
	assert.Assert(t, !l.Known("a"))
	assert.Equal(t, len(l.Cut()), 0)
}

// Guards against responses before a failure, or of the same upstream, that count as a sign that this
// instance's links work.
func TestOnlyLaterContactWithOthersShowsWorkingLinks(t *testing.T) {
	l := NewLinks(DefaultConfig())
	l.RecordContact(time.Second, "other")
	l.RecordContact(3*time.Second, "a")
	assert.Assert(t, !l.HasContactExcept(2*time.Second, "a"))
	l.RecordContact(2*time.Second, "other")
	assert.Assert(t, l.HasContactExcept(2*time.Second, "a"))
}

// Guards against an instance that asks nobody for a while because the only other one has failed once.
func TestFailedPeersAreBetterThanNone(t *testing.T) {
	p := NewPeers(DefaultConfig())
	p.RecordFailure(time.Minute, "i1", "service")
	p.RecordFailure(time.Minute, "i2", Everything)
	good, unknown := p.Select(time.Minute, []string{"i1", "i2"}, "service", "upstream", noShuffle)
	assert.Equal(t, len(good), 0)
	assert.DeepEqual(t, unknown, []string{"i1", "i2"})
}

// Guards against peers that are asked again at once although they cannot reach an upstream, and against
// peers that are given up for good or for other services.
func TestFailedPeersAreNotSelectedForAWhile(t *testing.T) {
	cfg := DefaultConfig()
	p := NewPeers(cfg)
	all := []string{"i1", "i2", "i3", "i4"}
	p.RecordFailure(time.Minute, "i1", "service")
	p.RecordFailure(time.Minute, "i2", "upstream")
	p.RecordFailure(time.Minute, "i3", Everything)
	good, unknown := p.Select(time.Minute, all, "service", "upstream", noShuffle)
	assert.Equal(t, len(good), 0)
	assert.DeepEqual(t, unknown, []string{"i4"})
	p.RecordSuccess(time.Minute, "i4", "service")
	good, unknown = p.Select(time.Minute, all, "service", "another", noShuffle)
	assert.DeepEqual(t, good, []string{"i4"})
	assert.DeepEqual(t, unknown, []string{"i2"})
	_, unknown = p.Select(time.Minute, all, "another", "another", noShuffle)
	assert.DeepEqual(t, unknown, []string{"i1", "i2", "i4"})
	_, unknown = p.Select(time.Minute+cfg.FailureRetention+1, all, "service", "upstream", noShuffle)
	assert.DeepEqual(t, unknown, []string{"i1", "i2", "i3"})
}
