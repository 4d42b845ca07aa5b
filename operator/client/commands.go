package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/operator"
)

// Drain starts the graceful shutdown of the instance. It is idempotent.
func (c *Client) Drain(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, "/drain", nil, nil)
}

// SetLogLevel changes the log level of the instance.
func (c *Client) SetLogLevel(ctx context.Context, level string) error {
	body, err := json.Marshal(operator.LevelBody{Level: level})
	if err != nil {
		return err
	}
	return c.call(ctx, http.MethodPost, "/log-level", body, nil)
}

// Publish publishes an object set through the instance and returns its version.
func (c *Client) Publish(ctx context.Context, set object.Set, base uint64, note string) (uint64, error) {
	body, err := json.Marshal(set)
	if err != nil {
		return 0, err
	}
	var out operator.PublishResult
	path := fmt.Sprintf("/config?base=%d&note=%s", base, url.QueryEscape(note))
	err = c.call(ctx, http.MethodPost, path, body, &out)
	return out.Version, err
}
