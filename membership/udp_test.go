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
	oldSecret     = []byte("0123456789abcdef")
	newSecret     = []byte("fedcba9876543210")
	foreignSecret = []byte("another secret!!")
)

type runningService struct {
	*membership.Service
	scope tally.TestScope
	stop  func()
}

func startService(t *testing.T, name string, secret, alsoAccepted []byte, seeds ...string) runningService {
	t.Helper()
	scope := tally.NewTestScope("", nil)
	s, err := membership.New(membership.Config{
		Holder:            request.Holder{Instance: name, Address: "127.0.0.1:0"},
		DataCentre:        "split-a",
		Seeds:             seeds,
		Secret:            secret,
		AdditionalSecrets: [][]byte{alsoAccepted},
		Metrics:           scope,
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	stop := func() {
		cancel()
		assert.NilError(t, <-done)
	}
	return runningService{Service: s, scope: scope, stop: stop}
}

// eventually waits until the condition holds.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("not yet: %s", description)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
}

// Three instances that know only the address of the first start on one machine during a secret
// rotation. All must discover each other, a configuration version and a draining state set at
// one must become known at the others, and one that leaves must disappear from their members.
// Invalid datagrams and those of an instance with another secret must be counted and have no
// effect.
func TestInstancesDiscoverEachOtherOverUDP(t *testing.T) {
	defer goleak.VerifyNone(t)
	first := startService(t, "a", oldSecret, newSecret)
	defer first.stop()
	seed := first.Self().Address
	second := startService(t, "b", newSecret, oldSecret, seed)
	defer second.stop()
	third := startService(t, "c", oldSecret, newSecret, seed)
	foreignInstance := startService(t, "d", foreignSecret, foreignSecret, seed)
	defer foreignInstance.stop()

	allSeeMembers := func(count int, all ...runningService) func() bool {
		return func() bool {
			return !slices.ContainsFunc(all, func(s runningService) bool { return len(s.Members()) != count })
		}
	}
	eventually(t, "three members at every instance", allSeeMembers(3, first, second, third))
	second.SetDraining(true)
	second.SetConfigVersion(7)
	eventually(t, "draining state and version", func() bool {
		return slices.ContainsFunc(first.Members(), func(m membership.Member) bool {
			return m.Instance == "b" && m.Draining && m.ConfigVersion == 7
		})
	})
	assert.NilError(t, third.Leave(context.Background()))
	third.stop()
	eventually(t, "two members after the leave", allSeeMembers(2, first, second))

	conn, err := net.Dial("udp", seed)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprint(conn, "not a datagram of ours at all, but long enough")
	assert.NilError(t, err)
	eventually(t, "two unauthenticated datagrams", func() bool {
		count := first.scope.Snapshot().Counters()["membership.unauthenticated_datagrams+"]
		return count != nil && count.Value() >= 2
	})
	assert.Equal(t, len(foreignInstance.Members()), 1)
}
