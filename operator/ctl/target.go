package ctl

import (
	"context"

	"github.com/cairnworks/cairnworks/config"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/operator/client"
	"github.com/cairnworks/cairnworks/port"
)

// publishTarget is a log or an instance from which sets are read and to which they are published.
type publishTarget interface {
	// latest returns the set in force and its version, which is 0 if no set has been published.
	latest(ctx context.Context) (uint64, object.Set, error)
	publish(ctx context.Context, set object.Set, base uint64, note string) (uint64, error)
}

// target returns the log if --log is set or --instance is not, and otherwise the instance.
func (s *session) target() (publishTarget, error) {
	if s.cmd.String(flagLog) == "" && s.cmd.String(flagInstance) != "" {
		c, err := s.instance()
		return viaInstance{c}, err
	}
	log, err := s.log()
	return viaLog{log}, err
}

type viaLog struct{ log port.Log }

func (v viaLog) latest(ctx context.Context) (uint64, object.Set, error) {
	latest, err := config.Latest(ctx, v.log)
	if err != nil {
		return 0, object.Set{}, err
	}
	if !latest.Known {
		return 0, object.Set{}, &config.PublishError{Cause: config.ErrUnanchored}
	}
	return latest.Version, latest.Set, nil
}

func (v viaLog) publish(ctx context.Context, set object.Set, base uint64, note string) (uint64, error) {
	return config.NewPublisher(v.log).Publish(ctx, set, base, note)
}

type viaInstance struct{ client *client.Client }

func (v viaInstance) latest(ctx context.Context) (uint64, object.Set, error) {
	objects, err := v.client.Objects(ctx)
	return objects.Version, objects.Set, err
}

func (v viaInstance) publish(ctx context.Context, set object.Set, base uint64, note string) (uint64, error) {
	return v.client.Publish(ctx, set, base, note)
}
