package membership_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/uber-go/tally/v4"

	"github.com/cairnworks/cairnworks/membership"
	"github.com/cairnworks/cairnworks/request"
)

var (
	oldSecret = []byte("0123456789abcdef")
	newSecret = []byte("fedcba9876543210")
	foreign   = []byte("another secret!!")
)

type running struct {
	*membership.Service
	scope tally.TestScope
	stop  func()
}

func start(t *testing.T, name string, secret, also []byte, seeds ...string) running {
	t.Helper()
	scope := tally.NewTestScope("", nil)
	s, err := membership.New(membership.Config{
		Holder:       request.Holder{Instance: name, Address: "127.0.0.1:0"},
		DataCentre:   "split-a",
		Seeds:        seeds,
		Secret:       secret,
		AlsoAccepted: [][]byte{also},
		Metrics:      scope,
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

// eventually waits for a condition that the protocol brings about.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("not yet: %s", what)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
}

// Three instances start on one machine knowing only the first one's address, amid
// a change of their secret. All find one another, a version and a drain set at one become known at the others,
// and one that leaves is gone from their lists. A stranger's datagrams, and those
// of an instance with another secret, change nothing and are counted.
func TestInstancesFindOneAnotherOverUDP(t *testing.T) {
	defer goleak.VerifyNone(t)
	first := start(t, "a", oldSecret, newSecret)
	defer first.stop()
	seed := first.Self().Address
	second := start(t, "b", newSecret, oldSecret, seed)
	defer second.stop()
	third := start(t, "c", oldSecret, newSecret, seed)
	stranger := start(t, "d", foreign, foreign, seed)
	defer stranger.stop()

	everyoneSees := func(count int, all ...running) func() bool {
		return func() bool {
			return !slices.ContainsFunc(all, func(s running) bool { return len(s.Members()) != count })
		}
	}
	eventually(t, "all three at all", everyoneSees(3, first, second, third))
	second.SetDraining(true)
	second.SetConfigVersion(7)
	eventually(t, "drain and version", func() bool {
		return slices.ContainsFunc(first.Members(), func(m membership.Member) bool {
			return m.Instance == "b" && m.Draining && m.ConfigVersion == 7
		})
	})
	assert.NilError(t, third.Leave(context.Background()))
	third.stop()
	eventually(t, "the leave", everyoneSees(2, first, second))

	conn, err := net.Dial("udp", seed)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprint(conn, "not a datagram of ours at all, but long enough")
	assert.NilError(t, err)
	eventually(t, "two datagrams refused", func() bool {
		count := first.scope.Snapshot().Counters()["membership.unauthenticated_datagrams+"]
		return count != nil && count.Value() >= 2
	})
	assert.Equal(t, len(stranger.Members()), 1)
}
