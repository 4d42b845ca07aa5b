package instance

import (
	"context"
	"net/http"
	"net/http/pprof"
	"time"

	"connectrpc.com/connect"

	"github.com/cairnworks/cairnworks/config"
	peerv1 "github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/operator"
	"github.com/cairnworks/cairnworks/request"
)

// statusTimeout limits a status request to a scheduler on behalf of an operator.
const statusTimeout = time.Second

// operatorHandler returns the handler of the operators' address.
func (i *Instance) operatorHandler() (http.Handler, error) {
	token, err := readSecret(i.settings.Operators.TokenFile)
	if err != nil {
		return nil, err
	}
	sources := operatorSources{i}
	return operator.NewHandler(operator.Config{
		Token: token, Logger: i.log, Metrics: i.metrics.Handler,
		Status: sources, Instances: sources, Upstreams: sources, Queues: sources, Objects: i.follower,
		Drainer: i, Level: i.level, Publisher: config.NewPublisher(i.platform.log),
		Mounts: []func(*http.ServeMux){i.guard.AddQueries, i.orders.AddQueries, i.addOrderCommands, addProfiling},
	}), nil
}

// addProfiling adds the handlers for runtime profiles and traces, which show an instance's memory
// and CPU usage.
func addProfiling(mux *http.ServeMux) {
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}

func (i *Instance) addOrderCommands(mux *http.ServeMux) {
	i.orders.AddCommands(mux, func(name string) (object.Upstream, bool) {
		index := i.index()
		if index == nil {
			return object.Upstream{}, false
		}
		upstream, ok := index.Upstream(name)
		if !ok {
			return object.Upstream{}, false
		}
		return *upstream, true
	})
}

// operatorSources provides the data for operators' queries about an instance and the fleet.
type operatorSources struct{ i *Instance }

// Status implements operator.StatusSource.
func (s operatorSources) Status(context.Context) operator.Status {
	self := s.i.self()
	status := operator.Status{
		Instance: self.Instance, Incarnation: self.Incarnation, DataCentre: s.i.settings.DataCentre,
		Started: s.i.createdAt, Ready: s.i.ready(), Reason: s.i.notReadyReason(), Draining: s.i.drain.draining(),
		OpenRequests: int(s.i.callerHandler.OpenRequests()), LogLevel: s.i.level.Level().String(),
		Refusals: s.i.metrics.Refusals(),
	}
	if index := s.i.index(); index != nil {
		status.ConfigVersion = index.Version()
	}
	return status
}

// Instances implements operator.InstanceSource.
func (s operatorSources) Instances(context.Context) []operator.Instance {
	var instances []operator.Instance
	for _, m := range s.i.members.All() {
		instances = append(instances, operator.Instance{
			Name: m.Instance, Incarnation: m.Incarnation, DataCentre: m.DataCentre, PeerAddress: m.Address,
			OperatorAddress: m.OperatorAddress, State: m.State.String(), Draining: m.Draining,
			ConfigVersion: m.ConfigVersion,
		})
	}
	return instances
}

// Queues implements operator.QueueSource.
func (s operatorSources) Queues(ctx context.Context) ([]operator.Queue, error) {
	var queues []operator.Queue
	for _, name := range s.services("") {
		status, home, err := s.schedulerStatus(ctx, name)
		queue := operator.Queue{Service: name, Scheduler: home.Instance}
		if err != nil {
			queue.Error = err.Error()
		} else {
			queue.Interactive, queue.Deferrable = int(status.QueuedInteractive), int(status.QueuedDeferrable)
			queue.Advice = status.Advice
		}
		queues = append(queues, queue)
	}
	return queues, nil
}

// Upstreams implements operator.UpstreamSource.
func (s operatorSources) Upstreams(ctx context.Context, service string) ([]operator.Upstream, error) {
	var upstreams []operator.Upstream
	for _, name := range s.services(service) {
		status, _, err := s.schedulerStatus(ctx, name)
		if err != nil {
			return nil, err
		}
		for _, u := range status.Upstreams {
			upstreams = append(upstreams, s.describeUpstream(name, u))
		}
	}
	return upstreams, nil
}

func (s operatorSources) describeUpstream(service string, u *peerv1.UpstreamStatus) operator.Upstream {
	described := operator.Upstream{
		Name: u.Name, Service: service, Health: u.Health, Running: int(u.Running), Slots: int(u.Slots),
		PiecesUsed: int(u.PiecesUsed), Pieces: int(u.Pieces),
	}
	if published, ok := s.i.index().Upstream(u.Name); ok {
		described.Role, described.Address, described.DataCentre = published.Role, published.Address, published.DataCentre
	}
	return described
}

// services returns the names of the services that match name. An empty name matches all services.
func (s operatorSources) services(name string) []string {
	index := s.i.index()
	if index == nil {
		return nil
	}
	var names []string
	for _, service := range index.Set().Services {
		if name == "" || name == service.Name {
			names = append(names, service.Name)
		}
	}
	return names
}

// schedulerStatus requests the status of a service from its scheduler.
func (s operatorSources) schedulerStatus(ctx context.Context, service string) (*peerv1.StatusResponse, request.Holder, error) {
	home, _ := s.i.schedulerHome(service)
	ctx, stop := context.WithTimeout(ctx, statusTimeout)
	defer stop()
	resp, err := s.i.dialScheduler(home.Address).Status(ctx, connect.NewRequest(&peerv1.StatusRequest{Service: service}))
	if err != nil {
		return nil, home, err
	}
	return resp.Msg, home, nil
}
