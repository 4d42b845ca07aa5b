package gateway

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/upstream"
)

// BenchmarkHome measures a home's work for one request: its claim at a decode engine, which is
// assigned immediately, and the report of its end. Network transfer is not included.
func BenchmarkHome(b *testing.B) {
	for _, engines := range []int{66, 400} {
		b.Run(fmt.Sprint(engines, " engines"), func(b *testing.B) {
			state := NewState(boottime.Now, time.Minute)
			state.UpstreamsRead()
			state.InstancesRead()
			assert.Assert(b, state.Apply(object.NewIndex(testObjects(), 1)))
			state.ConfirmCurrent(boottime.Now())
			for e := range engines {
				state.Directory.Put(upstream.Entry{ID: fmt.Sprint("d", e), Service: "model", Role: upstream.Decode, Slots: 4})
			}
			g := New(Options{Upstreams: &fakeUpstreams{}, State: state, Log: zap.NewNop(), Metrics: observe.NewMetrics(), FleetSize: func() fleet.Size { return fleet.SizeOf(295) }, FleetView: fleetViewOf(295)})
			defer g.Close()
			places := make(chan fleet.Place, 1)
			c := fleet.Claim{Service: fleet.HashOf("model"), Tokens: 250, Objective: time.Second, Left: time.Minute}
			for b.Loop() {
				c.ID++
				instance := fmt.Sprint("i", c.ID%295)
				g.HandleClaim(boottime.Now(), instance, c, func(p fleet.Place) { places <- p })
				given := <-places
				g.ApplyLoads(boottime.Now(), instance, map[fleet.Hash]fleet.Load{given.Upstream: {}})
				if c.ID%1000 == 0 {
					g.Sweep()
				}
			}
		})
	}
}
