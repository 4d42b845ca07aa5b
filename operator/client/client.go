// Package client is a client of the HTTP API for operators.
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

// maxResponseBytes limits the size of a response. The largest response is an object set.
const maxResponseBytes = 64 << 20

var (
	// ErrUnreachable means that a request did not reach the instance, or that a query received no
	// response. Nothing was changed.
	ErrUnreachable = errors.New("cannot reach the instance")
	// ErrUnanswered means that a command was sent but received no response. It may have taken
	// effect.
	ErrUnanswered = errors.New("no response to the command; it may have taken effect")
)

// Client is the client of one instance.
type Client struct {
	address string
	token   string
	http    *http.Client
}

// New returns a client for the operators' address (IP:port) of an instance. The token may be empty.
// Deadlines are set by the contexts of the calls.
func New(address, token string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	return &Client{address: address, token: token, http: httpClient}
}

// call sends a request and decodes the response into out, unless out is nil. It returns an
// operator.Error if the instance refuses the request.
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
		return fmt.Errorf("%w: %w", missingResponseError(method, err), err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", missingResponseError(method, err), err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return refusalError(resp, data)
	}
	if out == nil {
		return nil
	}
	return oops.With("path", path).Wrap(json.Unmarshal(data, out))
}

// missingResponseError returns the error for a request without a response. Only a failed dial
// proves that a command did not reach the instance.
func missingResponseError(method string, err error) error {
	var op *net.OpError
	dialFailed := errors.As(err, &op) && op.Op == "dial"
	if method == http.MethodGet || dialFailed {
		return ErrUnreachable
	}
	return ErrUnanswered
}

// refusalError returns the error of an error response. A response without an operator.Error in its
// body, for example for an unknown path, is described by its status.
func refusalError(resp *http.Response, data []byte) error {
	var e operator.Error
	if json.Unmarshal(data, &e) == nil && e.Code != "" {
		return e
	}
	return operator.Error{Code: operator.CodeInternal, Message: resp.Request.URL.Path + ": " + resp.Status}
}
