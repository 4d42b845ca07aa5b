package operator

import (
	"context"
	"time"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/observe"
)

// Status describes one instance.
type Status struct {
	Instance    string    `json:"instance"`
	Incarnation uint64    `json:"incarnation"`
	DataCentre  string    `json:"data_centre"`
	Started     time.Time `json:"started"`
	// Ready instances may serve; see Reason when not.
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
	// Draining instances take no new work and leave when the open requests ended.
	Draining bool `json:"draining"`
	// ConfigVersion is the version in force on the instance; 0 is none.
	ConfigVersion uint64 `json:"config_version"`
	OpenRequests  int    `json:"open_requests"`
	LogLevel      string `json:"log_level"`
	// Refusals counts refusals and failures by reason since the start.
	Refusals []observe.RefusalCount `json:"refusals"`
}

// Instance is one member of the fleet as the asked instance sees it. It may lag
// by seconds.
type Instance struct {
	Name            string `json:"name"`
	Incarnation     uint64 `json:"incarnation"`
	DataCentre      string `json:"data_centre"`
	PeerAddress     string `json:"peer_address"`
	OperatorAddress string `json:"operator_address"`
	// State is the membership's word for the member, such as StateDead.
	State         string `json:"state"`
	Draining      bool   `json:"draining"`
	ConfigVersion uint64 `json:"config_version"`
}

// States of members that are gone. Membership remembers them for a while.
const (
	StateDead = "dead"
	StateLeft = "left"
)

// Live tells whether the member is not known to be gone.
func (i Instance) Live() bool { return i.State != StateDead && i.State != StateLeft }

// Upstream is one upstream as its scheduler sees it.
type Upstream struct {
	Name       string      `json:"name"`
	Service    string      `json:"service"`
	Role       object.Role `json:"role"`
	Address    string      `json:"address"`
	DataCentre string      `json:"data_centre"`
	Health     string      `json:"health"`
	Running    int         `json:"running"`
	Slots      int         `json:"slots"`
	PiecesUsed int         `json:"pieces_used"`
	Pieces     int         `json:"pieces"`
}

// Queue is the queue of one service.
type Queue struct {
	Service string `json:"service"`
	// Scheduler is the instance that runs the queue.
	Scheduler   string `json:"scheduler"`
	Interactive int    `json:"interactive"`
	Deferrable  int    `json:"deferrable"`
	// Advice says what would shorten the queue, if anything.
	Advice string `json:"advice,omitempty"`
	// Error is set when the scheduler did not answer; the figures are then absent.
	Error string `json:"error,omitempty"`
}

// ObjectSet is the object set in force on an instance, as it was published.
type ObjectSet struct {
	Version uint64     `json:"version"`
	Set     object.Set `json:"set"`
}

// StatusSource describes the instance. Its Ready also answers /readyz.
type StatusSource interface {
	Status(ctx context.Context) Status
}

// InstanceSource lists the fleet, the asked instance and members that are gone
// included.
type InstanceSource interface {
	Instances(ctx context.Context) []Instance
}

// UpstreamSource lists the upstreams of one service, or of all when it is empty.
type UpstreamSource interface {
	Upstreams(ctx context.Context, service string) ([]Upstream, error)
}

// QueueSource lists the queues of all services.
type QueueSource interface {
	Queues(ctx context.Context) ([]Queue, error)
}

// ObjectSource returns the set in force, or nil while there is none;
// config.Follower is one.
type ObjectSource interface {
	Current() *object.Index
}

// Drainer begins a graceful shutdown and returns at once. Calling it again has no
// effect.
type Drainer interface {
	Drain()
}

// Publisher publishes an object set; config.Publisher is one.
type Publisher interface {
	Publish(ctx context.Context, set object.Set, base uint64, note string) (uint64, error)
}
