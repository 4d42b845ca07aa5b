// Package queue is a weighted fair queue for the requests that wait for a slot of one
// service.
//
// Load pattern: more requests than slots, from organisations and keys that send very
// different numbers and sizes of requests, some at several times their rate.
//
// Without it: first come, first served gives each organisation a share in proportion
// to what it sends, so that the one sending most takes over the service.
//
// Order: interactive requests come before deferrable ones, which are guaranteed
// DeferrableShare of the engine time. Within a class, organisations get equal shares
// of engine time, then the keys of one organisation get equal shares, and the requests
// of one key are served first come, first served.
//
// Each level uses start-time fair queueing, which costs the logarithm of the number
// of organisations per decision and is fair to within one request. Deficit round robin
// takes constant time only with a quantum of at least the largest request. An
// organisation of small requests then sends a whole quantum in a row (a prompt of
// 32,000 tokens with its answer costs about as much as twenty summaries), and the
// others wait several times the first-token target for their turn. With a smaller
// quantum, one decision scans all organisations.
//
// Cost is measured in seconds of one engine. An item is charged its estimated cost
// when it is taken from the queue, and AdjustCharge corrects the charge to the actual
// cost, so that an organisation gains nothing from requests that cost more than
// estimated.
//
// The queue is bounded by time: each item has a latest start, and WorkAhead estimates
// the work before a new item, from which the caller decides whether its latest start
// can be met.
package queue
