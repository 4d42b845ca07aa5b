// Package client calls an instance's operators' endpoints.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/samber/oops"

	"github.com/cairnworks/cairnworks/operator"
)

// maxAnswerBytes bounds an answer; the largest is a whole object set.
const maxAnswerBytes = 64 << 20

var (
	// ErrUnreachable means that nothing reached the instance, or that a query was
	// not answered. Nothing was changed.
	ErrUnreachable = errors.New("the instance cannot be reached")
	// ErrUnanswered means that a command was sent and its answer is missing. It may
	// have taken effect.
	ErrUnanswered = errors.New("the command was not answered and may have taken effect")
)

// Client is the client of one instance.
type Client struct {
	address string
	token   string
	http    *http.Client
}

// New returns a client of the operators' address (IP:port) of an instance. The
// token may be empty. Deadlines come with each call's context.
func New(address, token string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	return &Client{address: address, token: token, http: httpClient}
}

// call sends one request and decodes the answer into out, unless that is nil. It
// fails with an operator.Error when the instance refused.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return oops.Wrap(err)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", noAnswer(method, err), err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", noAnswer(method, err), err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return refusal(resp, data)
	}
	if out == nil {
		return nil
	}
	return oops.With("path", path).Wrap(json.Unmarshal(data, out))
}

// noAnswer tells a command that may have arrived from one that cannot have: only
// a connection that was never made proves that.
func noAnswer(method string, err error) error {
	var op *net.OpError
	dialFailed := errors.As(err, &op) && op.Op == "dial"
	if method == http.MethodGet || dialFailed {
		return ErrUnreachable
	}
	return ErrUnanswered
}

// refusal is the error of an answer that is not a success. An answer without the
// usual body, such as that of an unknown path, is described by its status.
func refusal(resp *http.Response, data []byte) error {
	var e operator.Error
	if json.Unmarshal(data, &e) == nil && e.Code != "" {
		return e
	}
	return operator.Error{Code: operator.CodeInternal, Message: resp.Request.URL.Path + ": " + resp.Status}
}
