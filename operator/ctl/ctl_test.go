package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/config"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/operator"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/port/httpport"
	"github.com/cairnworks/cairnworks/stand"
)

const (
	goodFile = "../../object/testdata/good.json"
	badFile  = "../../object/testdata/six_faults.json"
)

// testClient runs command lines of the client against a log.
type testClient struct {
	t   *testing.T
	log port.Log
	// beforeAppend runs once before the next append.
	beforeAppend func()
	out, err     bytes.Buffer
}

func newTestClient(t *testing.T) *testClient {
	log := stand.NewLog(stand.LogConfig{})
	server := httptest.NewServer(log.Handler())
	t.Cleanup(server.Close)
	return &testClient{t: t, log: httpport.NewLog(strings.TrimPrefix(server.URL, "http://"), server.Client())}
}

// hookedLog calls beforeAppend of its testClient before an append.
type hookedLog struct {
	port.Log
	client *testClient
}

func (l hookedLog) Append(ctx context.Context, stream string, entries ...port.Entry) (uint64, error) {
	if hook := l.client.beforeAppend; hook != nil {
		l.client.beforeAppend = nil
		hook()
	}
	return l.Log.Append(ctx, stream, entries...)
}

// run runs a command line and returns the exit code and the output.
func (c *testClient) run(args ...string) (int, string) {
	c.t.Helper()
	c.out.Reset()
	c.err.Reset()
	env := Env{Out: &c.out, Err: &c.err, OpenLog: func(string) port.Log { return hookedLog{c.log, c} }}
	code := Run(context.Background(), env, append([]string{"cairnctl", "--log", "127.0.0.1:1"}, args...))
	return code, c.out.String()
}

func (c *testClient) mustRun(args ...string) string {
	c.t.Helper()
	code, out := c.run(args...)
	assert.Equal(c.t, code, exitDone, "%v: %s", args, c.err.String())
	return out
}

// Guards against faults that check does not list or that do not change the exit code. Pipelines
// only evaluate the exit code.
func TestCheckListsAllFaults(t *testing.T) {
	c := newTestClient(t)
	c.mustRun("check", goodFile)
	c.mustRun("check", "../../examples/objects.json")
	code, out := c.run("check", badFile)
	assert.Equal(t, code, exitFaults)
	for _, kind := range []string{"dangling", "duplicate: field name", "duplicate: field models", "duplicate: field hash", "out_of_range", "bad_value"} {
		assert.Equal(t, strings.Count(out, kind), 1, kind)
	}
	code, out = c.run("--json", "check", badFile)
	assert.Equal(t, code, exitFaults)
	var result checkResult
	assert.NilError(t, json.Unmarshal([]byte(out), &result))
	assert.Equal(t, len(result.Faults), 6)
	code, _ = c.run("check", "missing.json")
	assert.Equal(t, code, exitUsage)
	code, out = c.run("publish", badFile)
	assert.Equal(t, code, exitFaults)
	assert.Assert(t, strings.HasSuffix(out, "6 faults\n"), out)
	assert.Equal(t, c.mustRun("--json", "history"), "[]\n")
}

func TestPublishDiffShowHistory(t *testing.T) {
	c := newTestClient(t)
	assert.Equal(t, c.mustRun("publish", "--note", "first", goodFile), "published version 1, made from 0\n")
	code, _ := c.run("publish", "--base", "0", goodFile)
	assert.Equal(t, code, exitConflict)
	c.mustRun("diff", goodFile)

	shown := c.mustRun("show")
	var set object.Set
	assert.NilError(t, json.Unmarshal([]byte(shown), &set))
	set.Limits[0].Burst++
	set.Keys = set.Keys[1:]
	edited := filepath.Join(t.TempDir(), "edited.json")
	data, err := json.Marshal(set)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(edited, data, 0o600))
	code, out := c.run("diff", edited)
	assert.Equal(t, code, exitDiffers)
	assert.Equal(t, out, "removed key \"zagreb-zoo-1\"\nchanged limit \"member\"\n  burst: 60000 -> 60001\n")

	c.mustRun("publish", edited)
	assert.Equal(t, c.mustRun("show", "--of", "1"), shown)
	out = c.mustRun("history")
	assert.Equal(t, strings.Count(out, "accepted"), 2, out)
	assert.Assert(t, strings.Contains(out, "first"))
	code, _ = c.run("publish", "--restart", edited)
	assert.Equal(t, code, exitConflict)
}

// Guards against publishing a key in plain text, which all readers of the log could see. The key
// must only be printed once, when it is issued.
func TestKeyIsPrintedOnceAndPublishedAsHash(t *testing.T) {
	c := newTestClient(t)
	c.mustRun("publish", goodFile)
	key := strings.TrimSpace(c.mustRun("key", "issue", "--organisation", "savez", "savez-2"))
	shown := c.mustRun("show")
	assert.Assert(t, strings.Contains(shown, object.HashKey(key)))
	assert.Assert(t, !strings.Contains(shown, key))
	code, _ := c.run("key", "issue", "--organisation", "savez", "savez-2")
	assert.Equal(t, code, exitFaults, "names must be unique")
	code, _ = c.run("key", "withdraw", "savez-9")
	assert.Equal(t, code, exitUsage)

	// Another operator publishes a version after the set was read and before it is published.
	c.beforeAppend = func() {
		latest, err := config.Latest(context.Background(), c.log)
		assert.NilError(t, err)
		latest.Set.Limits[0].Burst = 70000
		_, err = config.NewPublisher(c.log).Publish(context.Background(), latest.Set, latest.Version, "")
		assert.NilError(t, err)
	}
	c.mustRun("key", "withdraw", "savez-2")
	latest, err := config.Latest(context.Background(), c.log)
	assert.NilError(t, err)
	assert.Equal(t, latest.Set.Limits[0].Burst, int64(70000))
	x := object.NewIndex(latest.Set, latest.Version)
	assert.Assert(t, !x.KeyUsable("savez-2") && x.KeyUsable("savez-1"))
	c.mustRun("key", "withdraw", "savez-2")
	again, err := config.Latest(context.Background(), c.log)
	assert.NilError(t, err)
	assert.Equal(t, again.Version, latest.Version, "an edit without changes must not be published")
}

// fakeInstance implements the sources and targets of an instance's operators' address.
type fakeInstance struct {
	name    string
	version uint64
	fleet   *[]operator.Instance
	drained bool
}

func (m *fakeInstance) Status(context.Context) operator.Status {
	return operator.Status{Instance: m.name, Ready: true, ConfigVersion: m.version}
}
func (m *fakeInstance) Instances(context.Context) []operator.Instance { return *m.fleet }
func (m *fakeInstance) Drain()                                        { m.drained = true }

func startInstance(t *testing.T, name string, fleet *[]operator.Instance) (*fakeInstance, string) {
	m := &fakeInstance{name: name, version: 5, fleet: fleet}
	server := httptest.NewServer(operator.NewHandler(operator.Config{
		Token: "secret", Status: m, Instances: m, Drainer: m, Level: zap.NewAtomicLevel(),
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	*fleet = append(*fleet, operator.Instance{Name: name, OperatorAddress: address, ConfigVersion: 9})
	return m, address
}

// Guards against a wait that ends before a withdrawn key is unusable on all instances, or never
// ends. The information that an instance has about another one is not sufficient, and a dead member
// that was replaced under the same name never responds.
func TestWaitQueriesEachInstance(t *testing.T) {
	c := newTestClient(t)
	var fleet []operator.Instance
	_, first := startInstance(t, "one", &fleet)
	fleet = append(fleet, operator.Instance{Name: "two", State: operator.StateDead, OperatorAddress: "127.0.0.1:1"})
	two, _ := startInstance(t, "two", &fleet)
	t.Setenv("CAIRNCTL_INSTANCE", first)
	code, _ := c.run("status")
	assert.Equal(t, code, exitRefused)
	code, _ = c.run("wait", "5")
	assert.Equal(t, code, exitRefused)

	t.Setenv("CAIRNCTL_TOKEN", "secret")
	c.mustRun("status")
	c.mustRun("wait", "5")
	two.version = 4
	code, _ = c.run("--timeout", "20ms", "wait", "5")
	assert.Equal(t, code, exitTimeout)
	c.mustRun("drain", "two")
	assert.Assert(t, two.drained)
	c.mustRun("log-level", first, "warn")
	code, _ = c.run("drain", "three")
	assert.Equal(t, code, exitUsage)
}

// Guards against scripts that cannot distinguish an unreachable log from a faulty set.
func TestUnreachableLogHasSeparateExitCode(t *testing.T) {
	c := newTestClient(t)
	c.log = httpport.NewLog("127.0.0.1:1", nil)
	code, _ := c.run("publish", "--base", "0", goodFile)
	assert.Equal(t, code, exitUnreachable)
	code, _ = c.run("show")
	assert.Equal(t, code, exitUnreachable)
	code, _ = c.run("publish", "--bsae", "0", goodFile)
	assert.Equal(t, code, exitUsage)
}

// Guards against output of explain from which an on-call engineer, who has only the id of a request
// and the logs, cannot determine the line that states its outcome.
func TestExplainMarksDecidingLine(t *testing.T) {
	c := newTestClient(t)
	file := filepath.Join(t.TempDir(), "a.log")
	lines := "ts=2026-01-02T03:04:05.100Z level=info msg=placed request=7 upstream=i-1\n" +
		"ts=2026-01-02T03:04:05.300Z level=info msg=refused request=7 reason=queue_timeout detail=\"no room\"\nbroken\n"
	assert.NilError(t, os.WriteFile(file, []byte(lines), 0o600))
	code, out := c.run("explain", "7", file)
	assert.Equal(t, code, 0)
	assert.Assert(t, strings.Contains(out, `=>    +0.200s  `+file+`:2  refused reason=queue_timeout detail="no room"`), out)
	assert.Assert(t, strings.Contains(out, "1 lines could not be read"), out)
	code, out = c.run("--json", "explain", "7", file)
	assert.Equal(t, code, 0)
	assert.Assert(t, strings.Contains(out, `"deciding": 1`), out)
	code, _ = c.run("explain", "8", file)
	assert.Equal(t, code, 1)
	code, _ = c.run("explain", "7", file+".none")
	assert.Equal(t, code, exitUsage)
	code, _ = c.run("explain")
	assert.Equal(t, code, exitUsage)
	code, out = c.run("explain", "--failures", file)
	assert.Equal(t, code, 0)
	assert.Assert(t, strings.Contains(out, "1 of 1 requests were not served; 1 lines"), out)
	assert.Assert(t, strings.Contains(out, "queue_timeout"), out)
	code, out = c.run("--json", "explain", "--failures", file)
	assert.Equal(t, code, 0)
	assert.Assert(t, strings.Contains(out, `"reason": "queue_timeout"`), out)
	code, _ = c.run("explain", "--failures", file+".none")
	assert.Equal(t, code, exitUsage)
}

// Guards against routes that are missing in the counts, from which operators see whether all files
// were read.
func TestCheckCountsRoutes(t *testing.T) {
	code, out := newTestClient(t).run("check", "../../examples/routes.json")
	assert.Equal(t, code, 0)
	assert.Assert(t, strings.Contains(out, "2 services, 0 upstreams, 1 limits, 3 routes"), out)
}
