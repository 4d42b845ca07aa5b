package e2e

import (
	"testing"
	"time"

	"github.com/cairnworks/cairnworks/stand"
)

// One of three decode engines becomes so slow that its tokens miss the latency target, and recovers
// soon after. Its concurrency limit has been reduced to one request by then. While the other engines
// have capacity it never receives that request, so its recovery is not detected: a third of the
// pool stays idle, and callers wait once the rest is full.
func TestDecodeEngineWithACutLimitComesBack(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 1, prefill: 1, decode: 3, plain: 1, tokenTime: 5 * time.Millisecond})
	f.setFaults("decode-1", stand.Faults{SlowFactor: 60})
	before := f.decodedRequests("decode-1")
	eventually(t, "the engine receives requests while it is slow", func() bool {
		f.sendBatch(t, 3)
		return f.decodedRequests("decode-1") >= before+1
	})
	f.setFaults("decode-1", stand.Faults{})
	decodesAtRecovery := f.decodedRequests("decode-1")
	eventually(t, "the recovered engine receives requests again", func() bool {
		f.sendBatch(t, 3)
		return f.decodedRequests("decode-1") >= decodesAtRecovery+2
	})
}
