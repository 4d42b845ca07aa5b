package membership_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/uber-go/tally/v4"

	"github.com/cairnworks/cairnworks/membership"
	"github.com/cairnworks/cairnworks/request"
)

var secret = []byte("0123456789abcdef")

type running struct {
	*membership.Service
	scope tally.TestScope
	stop  func()
}

func start(t *testing.T, name string, key []byte, seeds ...string) running {
	t.Helper()
	scope := tally.NewTestScope("", nil)
	s, err := membership.New(membership.Config{
		Holder:     request.Holder{Instance: name, Address: "127.0.0.1:0"},
		DataCentre: "split-a",
		Seeds:      seeds,
		Secret:     key,
		Metrics:    scope,
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	stop := func() {
		cancel()
		assert.NilError(t, <-done)
	}
	return running{Service: s, scope: scope, stop: stop}
}

func waitMembers(t *testing.T, s running, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := len(s.Members()); got != want {
			return poll.Continue("%s sees %d members, want %d", s.Self().Instance, got, want)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
}

// Three instances start on one machine knowing only the first one's address. All
// find one another, a version and a drain set at one become known at the others,
// and one that leaves is gone from their lists. A stranger's datagrams, and those
// of an instance with another secret, change nothing and are counted.
func TestInstancesFindOneAnotherOverUDP(t *testing.T) {
	defer goleak.VerifyNone(t)
	first := start(t, "a", secret)
	defer first.stop()
	seed := first.Self().Address
	second := start(t, "b", secret, seed)
	defer second.stop()
	third := start(t, "c", secret, seed)
	stranger := start(t, "d", []byte("another secret!!"), seed)
	defer stranger.stop()

	for _, s := range []running{first, second, third} {
		waitMembers(t, s, 3)
	}
	second.SetDraining(true)
	second.SetConfigVersion(7)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, m := range first.Members() {
			if m.Instance == "b" && m.Draining && m.ConfigVersion == 7 {
				return poll.Success()
			}
		}
		return poll.Continue("drain and version not seen yet")
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))

	assert.NilError(t, third.Leave(context.Background()))
	third.stop()
	waitMembers(t, first, 2)
	waitMembers(t, second, 2)

	conn, err := net.Dial("udp", seed)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprint(conn, "not a datagram of ours at all, but long enough")
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		count := first.scope.Snapshot().Counters()["membership.unauthenticated_datagrams+"]
		if count != nil && count.Value() >= 2 {
			return poll.Success()
		}
		return poll.Continue("datagrams not counted yet")
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
	assert.Equal(t, len(stranger.Members()), 1)
}
