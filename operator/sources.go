package operator

import (
	"context"
	"time"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/observe"
)

// Status is the status of an instance.
type Status struct {
	Instance    string    `json:"instance"`
	Incarnation uint64    `json:"incarnation"`
	DataCentre  string    `json:"data_centre"`
	Started     time.Time `json:"started"`
	// Ready reports whether the instance may serve requests. If not, Reason is the reason.
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
	// Draining instances accept no new requests and shut down when the open requests have ended.
	Draining bool `json:"draining"`
	// ConfigVersion is the configuration version in force on the instance, or 0 if there is none.
	ConfigVersion uint64 `json:"config_version"`
	OpenRequests  int    `json:"open_requests"`
	LogLevel      string `json:"log_level"`
	// Refusals are the counts of refusals and failures by reason since the instance started.
	Refusals []observe.RefusalCount `json:"refusals"`
}

// Instance is a member of the fleet as the queried instance sees it. The information may be
// outdated by seconds.
type Instance struct {
	Name            string `json:"name"`
	Incarnation     uint64 `json:"incarnation"`
	DataCentre      string `json:"data_centre"`
	PeerAddress     string `json:"peer_address"`
	OperatorAddress string `json:"operator_address"`
	// State is the member's state in the membership protocol, for example StateDead.
	State         string `json:"state"`
	Draining      bool   `json:"draining"`
	ConfigVersion uint64 `json:"config_version"`
}

// States of members that have failed or left. The membership retains them for some time.
const (
	StateDead = "dead"
	StateLeft = "left"
)

// Live reports whether the member is not known to have failed or left.
func (i Instance) Live() bool { return i.State != StateDead && i.State != StateLeft }

// Upstream is an upstream as its scheduler sees it.
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

// Queue is the request queue of a service.
type Queue struct {
	Service string `json:"service"`
	// Scheduler is the name of the instance that manages the queue.
	Scheduler   string `json:"scheduler"`
	Interactive int    `json:"interactive"`
	Deferrable  int    `json:"deferrable"`
	// Advice is a suggestion for shortening the queue, if there is one.
	Advice string `json:"advice,omitempty"`
	// Error is set if the scheduler did not respond. The counts are not valid then.
	Error string `json:"error,omitempty"`
}

// ObjectSet is the object set in force on an instance, in its published form.
type ObjectSet struct {
	Version uint64     `json:"version"`
	Set     object.Set `json:"set"`
}

// StatusSource returns the status of the instance. Status.Ready also determines the response of
// /readyz.
type StatusSource interface {
	Status(ctx context.Context) Status
}

// InstanceSource lists the members of the fleet, including the queried instance and members that
// have failed or left.
type InstanceSource interface {
	Instances(ctx context.Context) []Instance
}

// UpstreamSource lists the upstreams of a service, or of all services if service is empty.
type UpstreamSource interface {
	Upstreams(ctx context.Context, service string) ([]Upstream, error)
}

// QueueSource lists the queues of all services.
type QueueSource interface {
	Queues(ctx context.Context) ([]Queue, error)
}

// ObjectSource returns the object set in force, or nil if there is none. config.Follower implements
// it.
type ObjectSource interface {
	Current() *object.Index
}

// Drainer starts a graceful shutdown and returns immediately. Further calls have no effect.
type Drainer interface {
	Drain()
}

// Publisher publishes an object set. config.Publisher implements it.
type Publisher interface {
	Publish(ctx context.Context, set object.Set, base uint64, note string) (uint64, error)
}
