package e2e

import (
	"testing"
	"time"

	"github.com/cairnworks/cairnworks/stand"
)

// One of three decode engines turns so slow that its tokens miss the target, and
// is well again soon. Its limit of requests was cut to one; while the others have
// room it never gets that one, so nothing shows that it is well. A third of the
// pool stays idle, and callers wait when the rest fills up.
func TestDecodeEngineWithACutLimitComesBack(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetConfig{instances: 1, prefill: 1, decode: 3, plain: 1, tokenTime: 5 * time.Millisecond})
	f.setFaults("decode-1", stand.Faults{SlowFactor: 60})
	before := f.decodedRequests("decode-1")
	eventually(t, "the engine is given work while it is slow", func() bool {
		f.sendBatch(t, 3)
		return f.decodedRequests("decode-1") >= before+1
	})
	f.setFaults("decode-1", stand.Faults{})
	decodesAtRecovery := f.decodedRequests("decode-1")
	eventually(t, "the engine gets work again", func() bool {
		f.sendBatch(t, 3)
		return f.decodedRequests("decode-1") >= decodesAtRecovery+2
	})
}
