// Package queue orders the requests that wait for a place of one service.
//
// Load pattern: more requests than places, from organisations and keys that send
// very different numbers and sizes, some of them several times their rate.
// Without it, first come, first served gives each organisation a share in
// proportion to what it sends, so that the loudest one takes the service.
//
// Order: interactive before deferrable requests, which keep DeferrableShare of
// the engine time; then equal shares of engine time for organisations; then equal
// shares for the keys of one organisation; then first come, first served. Each
// level is start-time fair queueing. Deficit round robin was weighed: it is
// constant-time only with a quantum of at least the largest request, and then an
// organisation of small requests sends a whole quantum in a row (a prompt of
// 32,000 tokens with its answer costs some twenty summaries), so that the others
// wait several times the first-token target for their turn; a smaller quantum
// scans all organisations for one decision. Start tags cost the logarithm of the number of
// organisations and are fair to within one request.
//
// Cost is in seconds of one engine. An item is charged its estimate when it is
// taken and AdjustCharge corrects it by what it really used, so that an organisation
// gains nothing by requests that are larger than they look.
//
// The queue is bounded by time: each item has a latest start, and WorkAhead gives the
// work before a new item, from which the caller judges whether it can be met.
package queue
