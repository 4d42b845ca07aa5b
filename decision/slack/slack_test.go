package slack

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cairnworks/cairnworks/propertyseed"
)

func TestMain(m *testing.M) { os.Exit(propertyseed.Run(m)) }

var testConfig = Config{Window: 10 * time.Second, MaxAge: 6 * time.Second}

// entryTTL is how long an instance of the model that no longer renews its entry stays in the list.
const entryTTL = 12 * time.Second

type use struct {
	at     time.Duration
	amount float64
}

func sumSince(uses []use, from time.Duration) float64 {
	sum := 0.0
	for _, u := range uses {
		if u.at >= from {
			sum += u.amount
		}
	}
	return sum
}

// modelRun is one run of an instance of the model.
type modelRun struct {
	share *Share
	// listed is when its entry was last renewed, or 0 while it has none; cut means that it does not reach the store.
	listed time.Duration
	cut    bool
	// asOf and size are the list as it was read last.
	asOf time.Duration
	size int
	uses []use
}

// Instances start, end without notice, are cut off and suspended at any time, and each uses as much as it may. In no
// window may all runs together, ended ones included, use more than the amount.
func TestSharesNeverExceedTheAmountTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const amount = 90.0
		now := time.Minute
		var runs, ended []*modelRun
		used := 0.0
		for range rapid.IntRange(1, 6).Draw(t, "first") {
			runs = append(runs, &modelRun{share: New(testConfig, true), listed: now})
		}
		pick := func() int { return rapid.IntRange(0, len(runs)-1).Draw(t, "run") }
		for range 150 {
			now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
			switch step := rapid.IntRange(0, 11).Draw(t, "step"); {
			case step == 0 && len(runs) < 12:
				runs = append(runs, &modelRun{share: New(testConfig, false)})
			case step == 1 && len(runs) > 1:
				n := pick()
				ended = append(ended, runs[n])
				runs = append(runs[:n], runs[n+1:]...)
			case step == 2:
				runs[pick()].cut = rapid.Bool().Draw(t, "cut")
			}
			listed := 0
			for _, r := range append(runs[:len(runs):len(runs)], ended...) {
				if r.listed > 0 && now-r.listed <= entryTTL {
					listed++
				}
			}
			for _, r := range runs {
				if !r.cut && rapid.IntRange(0, 3).Draw(t, "read") > 0 {
					if r.listed == 0 || now-r.listed > entryTTL {
						listed++
					}
					r.listed, r.asOf, r.size = now, now, listed
				}
				if rapid.IntRange(0, 7).Draw(t, "suspended") == 0 {
					continue
				}
				if r.size > 0 {
					r.share.Observe(now, r.asOf, r.size)
				}
				if left := r.share.Of(now, amount) - sumSince(r.uses, now-testConfig.Window); left > 0 {
					r.uses = append(r.uses, use{now, left})
				}
			}
			sum := 0.0
			for _, r := range append(runs[:len(runs):len(runs)], ended...) {
				sum += sumSince(r.uses, now-testConfig.Window)
			}
			used = max(used, sum)
			assert.Assert(t, sum <= amount+1e-6, "%v used within the window before %v", sum, now)
		}
	})
}

// Guards against shares that nobody may use although nothing has changed.
func TestWholeAmountIsUsedInACalmFleet(t *testing.T) {
	const amount, instances = 90.0, 9
	first, later := New(testConfig, true), New(testConfig, false)
	for now := time.Minute; now < 2*time.Minute; now += time.Second {
		for _, s := range []*Share{first, later} {
			s.Observe(now, now-2*time.Second, instances)
		}
		assert.Equal(t, first.Of(now, amount), amount/instances)
		want := 0.0
		if now >= time.Minute+testConfig.Window+testConfig.MaxAge {
			want = amount / instances
		}
		assert.Equal(t, later.Of(now, amount), want)
	}
	assert.Equal(t, first.Of(2*time.Minute+testConfig.MaxAge, amount), 0.0, "the list is too old")
}

// Guards against a share that grows at once when most instances end, which have used theirs in the same window.
func TestShareGrowsAWindowAfterInstancesEnded(t *testing.T) {
	s := New(testConfig, true)
	now := time.Minute
	s.Observe(now, now, 9)
	ended := now + time.Second
	for now = ended; now < ended+testConfig.Window+testConfig.MaxAge; now += time.Second {
		s.Observe(now, now, 3)
		assert.Equal(t, s.Of(now, 90), 10.0)
	}
	s.Observe(now+time.Second, now, 3)
	assert.Equal(t, s.Of(now+time.Second, 90), 30.0)
}
