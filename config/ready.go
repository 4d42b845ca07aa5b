package config

import "time"

// becomeReady puts the held version in force once the log was read to its end.
// The end of the log is no older than what any peer has, since peers have it from
// the log; should a peer claim a higher version all the same, it is fetched first.
func (f *Follower) becomeReady() {
	if f.Ready() {
		return
	}
	f.mu.Lock()
	complete := f.caughtUp
	for _, n := range f.notices {
		if n.version > f.held.version() && !n.failed() {
			complete = false
		}
	}
	f.mu.Unlock()
	if complete {
		f.deliver()
	}
}

// readToEnd tells whether the log was read to its end with a set in force.
func (f *Follower) readToEnd() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.caughtUp
}

// askPeersToStart tells whether a fresh instance turns to its peers: the log is
// down, has not answered for a while, or does not tell what is in force.
func (f *Follower) askPeersToStart() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logDown || time.Since(f.started) >= startSuspect
}
