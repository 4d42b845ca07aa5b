// Package config publishes the operators' object set through the platform's log
// and keeps every instance on the newest published version.
//
// One record of the stream stands for one whole checked set and names the version
// it was made from, its base. It carries the set, or the edit of its base when that
// is much smaller: at 12000 organisations a set is a megabyte, and hundreds of
// those a day would pass the few kilobytes a second that control may use. The record's offset is its version. Readers apply
// one rule (see Replay): a record is accepted if its base is the last accepted
// version, and void otherwise. Of two operators who publish at once on the same
// base, the first by offset wins on every instance, and the other is told.
//
// Records expire, so that a reader cannot always begin at the first. Every record
// therefore also says which version was in force after which offset, as its
// writer had read it; a reader may start from such a statement (see Replay). The
// set in force is republished before its record expires. A republished set keeps
// its version, so that it can neither beat an operator's publish nor revert one,
// and any number of instances may republish at once.
//
// An instance serves nothing before it holds a set no older than that of any peer
// it can reach, and never replaces a version by a lower one.
package config

import "time"

// Stream is the log stream of object sets.
const Stream = "config"

// Figures of reading and writing the log and of asking peers.
const (
	// longPoll is how long one read waits for a new record. A change is seen as
	// soon as it is appended; the figure only bounds the number of idle reads, at
	// 400 instances to 40 a second.
	longPoll = 10 * time.Second
	// readSlack is what a read may take beyond its wait before the log counts as down.
	readSlack = 3 * time.Second
	// pageSize bounds the records of one read. A set of 12000 organisations is
	// about a megabyte compressed, so that a page stays below ten.
	pageSize = 8
	// startSuspect is how long a fresh instance leaves the log alone to answer
	// before it asks its peers instead.
	startSuspect = 2 * time.Second
	// peerInterval is how often versions of peers are compared with the own one.
	peerInterval = 500 * time.Millisecond
	// noticeGrace is how long a version known from a peer is left to arrive through
	// the log. Without it each publish would be fetched twice by every instance.
	noticeGrace = time.Second
	// peersSettle is how long a fresh instance without the log keeps asking the same
	// peers before it serves what they had: several heartbeats of membership.
	peersSettle = 2 * time.Second
	// noticeRetry is how long a peer that did not pass on its version is left alone.
	noticeRetry = 2 * time.Second
	// fetchTimeout bounds one fetch from a peer.
	fetchTimeout = 3 * time.Second
	// refusedAgain is how long peers are not asked again for a version that could
	// not be used.
	refusedAgain = 30 * time.Second
	// fetchParallel bounds concurrent fetches of a fresh instance. Peers that do not
	// answer cost fetchTimeout each; 32 at once keep 400 of them below 40 s.
	fetchParallel = 32
	// maxChanges is the most changes between two whole sets. A fresh instance applies
	// them one by one, at 12000 organisations about 55 ms each; writing whole sets
	// more often costs every instance a megabyte each time.
	maxChanges = 16
	// maxWholeAge is the age of the last whole set from which the next publish writes
	// one. While instances are cut off from the log and cannot republish, publishes
	// alone keep it usable this way, at a megabyte an hour at most.
	maxWholeAge = time.Hour
	// appendTimeout bounds one append.
	appendTimeout = 5 * time.Second
	// settleTime is how long a publisher looks for a record whose append was not
	// answered before it reports the outcome as unknown.
	settleTime = 5 * time.Second
	// settlePoll is the wait of one read while looking.
	settlePoll = 500 * time.Millisecond
	// republishRetry is the least time between two attempts of one instance to
	// republish.
	republishRetry = 10 * time.Second
)
