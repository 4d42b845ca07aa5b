package membership

import (
	"github.com/uber-go/tally/v4"

	"github.com/cairnworks/cairnworks/membership/gossip"
)

// headerBytes are the IPv4 and UDP headers of a datagram, counted so that the
// metric can be held against the control budget.
const headerBytes = 28

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
	// sentKinds are bytes sent by kind of packet, to see what a rise is made of.
	sentKinds map[gossip.Kind]tally.Counter
	scope     tally.Scope
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("membership")
	kinds := make(map[gossip.Kind]tally.Counter)
	for kind := gossip.Ping; kind <= gossip.SyncPage; kind++ {
		kinds[kind] = scope.Tagged(map[string]string{"kind": kind.String()}).Counter("sent_kind_bytes")
	}
	return metrics{
		sentKinds:       kinds,
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

func (m metrics) received(bytes int) { m.receivedBytes.Inc(int64(bytes + headerBytes)) }

func (m metrics) sent(kind gossip.Kind, bytes int) {
	m.sentBytes.Inc(int64(bytes + headerBytes))
	m.sentKinds[kind].Inc(int64(bytes + headerBytes))
}

func (m metrics) change(what change) tally.Counter {
	return m.scope.Tagged(map[string]string{"change": string(what)}).Counter("changes")
}
