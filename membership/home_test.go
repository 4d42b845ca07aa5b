package membership

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/request"
)

func testMembers(count int) []Member {
	members := make([]Member, count)
	for i := range members {
		members[i] = Member{Holder: request.Holder{Instance: fmt.Sprintf("entry-%03d", i)}, State: Alive}
	}
	return members
}

// When a member dies or drains, only the keys of which it was the home may move; otherwise each
// loss would rebuild all schedulers at once.
func TestOnlyKeysOfLostHomesMove(t *testing.T) {
	before := testMembers(9)
	after := slices.Clone(before)
	after[3].State = Dead
	after[5].Draining = true
	after[6].State = Suspect
	keysByHome := make(map[string]int)
	for i := range 9000 {
		key := fmt.Sprint("service-", i)
		old, ok := Home(key, before)
		assert.Assert(t, ok)
		keysByHome[old.Instance]++
		moved, ok := Home(key, after)
		assert.Assert(t, ok)
		order := Homes(key, before, 3)
		next := slices.IndexFunc(order, func(m Member) bool {
			return m.Instance != "entry-003" && m.Instance != "entry-005"
		})
		assert.Equal(t, moved.Instance, order[next].Instance)
		assert.Equal(t, old.Instance, order[0].Instance)
	}
	for instance, keys := range keysByHome {
		assert.Assert(t, keys > 850 && keys < 1150, "%s has %d of 9000 keys", instance, keys)
	}
	_, ok := Home("any", nil)
	assert.Assert(t, !ok)
	assert.Equal(t, len(Homes("any", before, 20)), 9)
}
