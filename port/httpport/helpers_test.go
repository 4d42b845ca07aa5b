package httpport_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/poll"
)

type httpHandler = http.Handler

// waitFor polls until the condition holds and fails the test after 10 s.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}
