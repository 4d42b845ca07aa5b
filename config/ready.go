package config

import "time"

// activateIfComplete makes the instance ready once the log has been read to its end. The end
// of the log is no older than the version of any peer, since peers got theirs from the log; if
// a peer advertises a higher version nevertheless, that is fetched first.
func (f *Follower) activateIfComplete() {
	if f.Ready() {
		return
	}
	f.mu.Lock()
	complete := f.caughtUp
	for _, n := range f.advertised {
		if n.version > f.held.version() && !n.failed() {
			complete = false
		}
	}
	f.mu.Unlock()
	if complete {
		f.activateHeld()
	}
}

// logCaughtUp reports whether the log has been read to its end and contained a current set.
func (f *Follower) logCaughtUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.caughtUp
}

// shouldStartFromPeers reports whether a starting instance asks its peers: the log is
// unavailable, or has not yielded the current version within logStartTimeout.
func (f *Follower) shouldStartFromPeers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logDown || time.Since(f.started) >= logStartTimeout
}
