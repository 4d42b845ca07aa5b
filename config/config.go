// Package config publishes the operators' object set through the platform's log and keeps
// every instance on the newest published version.
//
// Each record of the stream represents one complete, validated set and names its base, the
// version it was made from. It carries either the full set or, when that is much smaller, the
// edit of its base: at 12000 organisations a set is a megabyte, and hundreds of those a day
// would exceed the few kilobytes a second that control traffic may use. The record's offset is
// its version. Readers apply one rule (see Replay): a record is accepted if its base is the
// last accepted version, and void otherwise. If two operators publish concurrently on the same
// base, the record with the lower offset is accepted on every instance, and the other operator
// gets an error.
//
// Records expire, so a reader cannot always start from the first one. Every record therefore
// also states which version was current after which offset, as its writer had read it, and a
// reader may start from such a statement (see Replay). The current set is republished before
// its record expires. A republished set keeps its version, so it can neither win against nor
// revert an operator's publish, and any number of instances may republish concurrently.
//
// An instance does not serve until it holds a set no older than that of any peer it can reach,
// and it never replaces a version with a lower one.
package config

import "time"

// Stream is the log stream of object sets.
const Stream = "config"

// Limits and intervals for reading and writing the log and for polling peers.
const (
	// longPoll is how long one read waits for a new record. A change is delivered as soon as
	// it is appended; the value only limits the rate of idle reads, to 40 a second at 400
	// instances.
	longPoll = 10 * time.Second
	// readTimeoutMargin is the time a read may take beyond its wait before the log counts as
	// unavailable.
	readTimeoutMargin = 3 * time.Second
	// pageSize is the maximum number of records of one read. A set of 12000 organisations is
	// about a megabyte compressed, so a page stays below ten megabytes.
	pageSize = 8
	// logStartTimeout is how long a starting instance waits for the log before it also asks
	// its peers.
	logStartTimeout = 2 * time.Second
	// peerCheckInterval is the interval at which the versions of peers are compared with the
	// held one.
	peerCheckInterval = 500 * time.Millisecond
	// logDeliveryGrace is how long a version that a peer advertises may take to arrive through
	// the log before it is fetched. Without it, every instance would load each publish twice.
	logDeliveryGrace = time.Second
	// peersStableTime is how long a starting instance without the log must have seen the same
	// list of peers before it serves the set it got from them: several membership heartbeats.
	peersStableTime = 2 * time.Second
	// peerRetryDelay is the delay before a peer that did not deliver its advertised version is
	// asked again.
	peerRetryDelay = 2 * time.Second
	// fetchTimeout is the timeout of one fetch from a peer.
	fetchTimeout = 3 * time.Second
	// rejectedRetryDelay is how long peers are not asked again for a version that was
	// rejected.
	rejectedRetryDelay = 30 * time.Second
	// maxParallelFetches limits the concurrent fetches of a starting instance. Each peer that
	// does not answer takes fetchTimeout; with 32 at once, 400 of them take less than 40 s.
	maxParallelFetches = 32
	// maxChangesPerFullSet is the maximum number of changes between two full sets. A starting
	// instance applies them one by one, at about 55 ms each with 12000 organisations; more
	// frequent full sets cost every instance a megabyte each.
	maxChangesPerFullSet = 16
	// maxFullSetAge is the age of the last full set from which the next publish writes a new
	// one. If instances are cut off from the log and cannot republish, publishes alone keep
	// the log usable this way, at no more than a megabyte an hour.
	maxFullSetAge = time.Hour
	// appendTimeout is the timeout of one append.
	appendTimeout = 5 * time.Second
	// confirmTimeout is how long a publisher looks for a record whose append was not
	// acknowledged before it reports the outcome as unknown.
	confirmTimeout = 5 * time.Second
	// confirmPoll is how long each read waits during that search.
	confirmPoll = 500 * time.Millisecond
	// republishRetryDelay is the minimum time between two republish attempts of one instance.
	republishRetryDelay = 10 * time.Second
)
