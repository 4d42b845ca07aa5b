package once

import "github.com/uber-go/tally/v4"

// metrics holds the metrics of a partition.
type metrics struct {
	appends, entries            tally.Counter
	appendsRefused, appendsLost tally.Counter
	readErrors, undecodable     tally.Counter
	gaps, retentionShort        tally.Counter
	// queueFull counts outcomes and voids refused because the queue was full.
	queueFull tally.Counter
	keys      tally.Gauge
}

func newMetrics(scope tally.Scope, stream string) metrics {
	return metrics{
		appends:        scope.Counter("appends"),
		entries:        scope.Counter("entries"),
		appendsRefused: scope.Counter("appends_refused"),
		appendsLost:    scope.Counter("append_answers_lost"),
		readErrors:     scope.Counter("read_errors"),
		undecodable:    scope.Counter("undecodable_records"),
		gaps:           scope.Counter("gaps"),
		retentionShort: scope.Counter("records_dropped_within_window"),
		queueFull:      scope.Counter("records_refused_queue_full"),
		keys:           scope.Tagged(map[string]string{"stream": stream}).Gauge("keys"),
	}
}
