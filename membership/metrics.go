package membership

import (
	"github.com/uber-go/tally/v4"

	"github.com/cairnworks/cairnworks/membership/gossip"
)

// datagramOverhead is the size of the IPv4 and UDP headers of a datagram. It is included in
// the metrics so that they can be compared with the control traffic budget.
const datagramOverhead = 28

type metrics struct {
	members         tally.Gauge
	renewals        tally.Counter
	unauthenticated tally.Counter
	malformed       tally.Counter
	listErrors      tally.Counter
	readErrors      tally.Counter
	sendErrors      tally.Counter
	sentBytes       tally.Counter
	receivedBytes   tally.Counter
	// sentByKind counts the bytes sent by packet kind, to show the cause of an increase.
	sentByKind map[gossip.Kind]tally.Counter
	scope      tally.Scope
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("membership")
	kinds := make(map[gossip.Kind]tally.Counter)
	for kind := gossip.Ping; kind <= gossip.SyncPage; kind++ {
		kinds[kind] = scope.Tagged(map[string]string{"kind": kind.String()}).Counter("sent_kind_bytes")
	}
	return metrics{
		sentByKind:      kinds,
		scope:           scope,
		members:         scope.Gauge("members"),
		renewals:        scope.Counter("renewals"),
		unauthenticated: scope.Counter("unauthenticated_datagrams"),
		malformed:       scope.Counter("malformed_datagrams"),
		listErrors:      scope.Counter("list_errors"),
		readErrors:      scope.Counter("read_errors"),
		sendErrors:      scope.Counter("send_errors"),
		sentBytes:       scope.Counter("sent_bytes"),
		receivedBytes:   scope.Counter("received_bytes"),
	}
}

func (m metrics) countReceived(bytes int) { m.receivedBytes.Inc(int64(bytes + datagramOverhead)) }

func (m metrics) countSent(kind gossip.Kind, bytes int) {
	m.sentBytes.Inc(int64(bytes + datagramOverhead))
	m.sentByKind[kind].Inc(int64(bytes + datagramOverhead))
}

func (m metrics) changes(kind memberChange) tally.Counter {
	return m.scope.Tagged(map[string]string{"change": string(kind)}).Counter("changes")
}
