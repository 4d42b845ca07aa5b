package client_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/config"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/operator"
	"github.com/cairnworks/cairnworks/operator/client"
)

const token = "operators-token"

// fakeInstance implements the sources and targets of the endpoints.
type fakeInstance struct {
	ready      bool
	drained    int
	publishErr error
}

func (i *fakeInstance) Status(context.Context) operator.Status {
	return operator.Status{Instance: "i1", Ready: i.ready}
}
func (i *fakeInstance) Instances(context.Context) []operator.Instance {
	return []operator.Instance{{Name: "i1"}}
}
func (i *fakeInstance) Queues(context.Context) ([]operator.Queue, error) { return nil, nil }
func (i *fakeInstance) Drain()                                           { i.drained++ }
func (i *fakeInstance) Current() *object.Index {
	return object.NewIndex(object.Set{Services: []object.Service{{Name: "pisar"}}}, 3)
}
func (i *fakeInstance) Publish(context.Context, object.Set, uint64, string) (uint64, error) {
	return 4, i.publishErr
}

func serve(t *testing.T, i *fakeInstance, level zap.AtomicLevel) string {
	t.Helper()
	server := httptest.NewServer(operator.NewHandler(operator.Config{
		Token: token, Metrics: http.NotFoundHandler(), Status: i, Instances: i, Queues: i, Objects: i, Drainer: i, Level: level, Publisher: i,
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestCommandsAndQueries(t *testing.T) {
	ctx := context.Background()
	i := &fakeInstance{ready: true}
	level := zap.NewAtomicLevelAt(zapcore.InfoLevel)
	c := client.New(serve(t, i, level), token, nil)

	status, err := c.Status(ctx)
	assert.NilError(t, err)
	assert.Equal(t, status.Instance, "i1")
	instances, err := c.Instances(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(instances), 1)
	queues, err := c.Queues(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(queues), 0)
	objects, err := c.Objects(ctx)
	assert.NilError(t, err)
	assert.Equal(t, objects.Version, uint64(3))
	assert.Equal(t, objects.Set.Services[0].FirstByteMS, 0, "the set must be returned in its published form")

	assert.NilError(t, c.Drain(ctx))
	assert.NilError(t, c.Drain(ctx))
	assert.Equal(t, i.drained, 2)
	assert.NilError(t, c.SetLogLevel(ctx, "debug"))
	assert.Equal(t, level.Level(), zapcore.DebugLevel)
	assert.ErrorContains(t, c.SetLogLevel(ctx, "loud"), "bad_request")
	_, err = c.Upstreams(ctx, "")
	assert.ErrorContains(t, err, "404", "no UpstreamSource is configured")

	version, err := c.Publish(ctx, object.Set{}, 3, "a & b")
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(4))
	i.publishErr = &config.PublishError{Cause: config.ErrLostRace, Current: 9}
	_, err = c.Publish(ctx, object.Set{}, 3, "")
	var refused operator.Error
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.Code, operator.CodeLostRace)
	assert.Equal(t, refused.Current, uint64(9))
}

// Guards against clients without the token that drain instances or read objects. The load
// balancer's probes must work without the token.
func TestTokenIsRequiredExceptForProbes(t *testing.T) {
	i := &fakeInstance{ready: true}
	address := serve(t, i, zap.NewAtomicLevel())
	for _, wrong := range []string{"", "operators-toke", "operators-token-2"} {
		assert.ErrorContains(t, client.New(address, wrong, nil).Drain(context.Background()), "unauthorized")
	}
	assert.Equal(t, i.drained, 0)
	for path, want := range map[string]int{
		"/healthz": 200, "/readyz": 200, "/metrics": 404, "/status": 401, "/config": 401, "/instances": 401, "/queues": 401, "/else": 401,
	} {
		assert.Equal(t, get(t, address+path), want, path)
	}
	i.ready = false
	assert.Equal(t, get(t, address+"/readyz"), 503)
	assert.Equal(t, get(t, address+"/healthz"), 200)
}

// Guards against cross-site requests: a web page in an operator's browser sends a form to an
// instance without a token on the same machine.
func TestCrossSiteCommandsAreRejected(t *testing.T) {
	i := &fakeInstance{}
	r := httptest.NewRequest(http.MethodPost, "/drain", nil)
	r.Header.Set("Sec-Fetch-Site", "cross-site")
	w := httptest.NewRecorder()
	operator.NewHandler(operator.Config{Drainer: i}).ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusForbidden)
	assert.Equal(t, i.drained, 0)
}

func get(t *testing.T, url string) int {
	t.Helper()
	resp, err := http.Get("http://" + url)
	assert.NilError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against commands with a lost response that are reported as not executed. Only a connection
// that could not be established proves that a command had no effect.
func TestLostResponseIsNotReportedAsUnreachable(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	address := strings.TrimPrefix(server.URL, "http://")
	c := client.New(address, "", nil)
	assert.ErrorIs(t, c.Drain(context.Background()), client.ErrUnanswered)
	_, err := c.Status(context.Background())
	assert.ErrorIs(t, err, client.ErrUnreachable)
	server.Close()
	assert.ErrorIs(t, c.Drain(context.Background()), client.ErrUnreachable)
}
