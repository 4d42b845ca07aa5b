package client

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cairnworks/cairnworks/operator"
)

// Status returns the status of the instance.
func (c *Client) Status(ctx context.Context) (operator.Status, error) {
	return get[operator.Status](ctx, c, "/status")
}

// Instances lists the members of the fleet as the instance sees them.
func (c *Client) Instances(ctx context.Context) ([]operator.Instance, error) {
	return get[[]operator.Instance](ctx, c, "/instances")
}

// Upstreams lists the upstreams of a service, or of all services if service is empty.
func (c *Client) Upstreams(ctx context.Context, service string) ([]operator.Upstream, error) {
	return get[[]operator.Upstream](ctx, c, "/upstreams?service="+url.QueryEscape(service))
}

// Queues lists the queues of all services.
func (c *Client) Queues(ctx context.Context) ([]operator.Queue, error) {
	return get[[]operator.Queue](ctx, c, "/queues")
}

// Objects returns the object set in force on the instance, in its published form.
func (c *Client) Objects(ctx context.Context) (operator.ObjectSet, error) {
	return get[operator.ObjectSet](ctx, c, "/config")
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var out T
	err := c.call(ctx, http.MethodGet, path, nil, &out)
	return out, err
}
