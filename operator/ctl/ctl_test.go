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

// bench runs command lines against a log.
type bench struct {
	t   *testing.T
	log port.Log
	// beforeAppend runs once before the next append.
	beforeAppend func()
	out, err     bytes.Buffer
}

func newBench(t *testing.T) *bench {
	log := stand.NewLog(stand.LogConfig{})
	server := httptest.NewServer(log.Handler())
	t.Cleanup(server.Close)
	return &bench{t: t, log: httpport.NewLog(strings.TrimPrefix(server.URL, "http://"), server.Client())}
}

// hookedLog runs the bench's hook before an append.
type hookedLog struct {
	port.Log
	bench *bench
}

func (l hookedLog) Append(ctx context.Context, stream string, entries ...port.Entry) (uint64, error) {
	if hook := l.bench.beforeAppend; hook != nil {
		l.bench.beforeAppend = nil
		hook()
	}
	return l.Log.Append(ctx, stream, entries...)
}

// run returns the exit code and what was printed.
func (b *bench) run(args ...string) (int, string) {
	b.t.Helper()
	b.out.Reset()
	b.err.Reset()
	env := Env{Out: &b.out, Err: &b.err, OpenLog: func(string) port.Log { return hookedLog{b.log, b} }}
	code := Run(context.Background(), env, append([]string{"cairnctl", "--log", "127.0.0.1:1"}, args...))
	return code, b.out.String()
}

func (b *bench) must(args ...string) string {
	b.t.Helper()
	code, out := b.run(args...)
	assert.Equal(b.t, code, exitDone, "%v: %s", args, b.err.String())
	return out
}

// An operator checks a set before publishing it, by hand or in a pipeline that
// looks at the exit code alone.
func TestCheckNamesEveryFault(t *testing.T) {
	b := newBench(t)
	b.must("check", goodFile)
	b.must("check", "../../examples/objects.json")
	code, out := b.run("check", badFile)
	assert.Equal(t, code, exitFaults)
	for _, kind := range []string{"dangling", "duplicate: field name", "duplicate: field models", "duplicate: field hash", "out_of_range", "bad_value"} {
		assert.Equal(t, strings.Count(out, kind), 1, kind)
	}
	code, out = b.run("--json", "check", badFile)
	assert.Equal(t, code, exitFaults)
	var result checkResult
	assert.NilError(t, json.Unmarshal([]byte(out), &result))
	assert.Equal(t, len(result.Faults), 6)
	code, _ = b.run("check", "missing.json")
	assert.Equal(t, code, exitUsage)
	code, out = b.run("publish", badFile)
	assert.Equal(t, code, exitFaults)
	assert.Assert(t, strings.HasSuffix(out, "6 faults\n"), out)
	assert.Equal(t, b.must("--json", "history"), "[]\n")
}

func TestPublishDiffShowHistory(t *testing.T) {
	b := newBench(t)
	assert.Equal(t, b.must("publish", "--note", "first", goodFile), "published version 1, made from 0\n")
	code, _ := b.run("publish", "--base", "0", goodFile)
	assert.Equal(t, code, exitConflict)
	b.must("diff", goodFile)

	shown := b.must("show")
	var set object.Set
	assert.NilError(t, json.Unmarshal([]byte(shown), &set))
	set.Limits[0].Burst++
	set.Keys = set.Keys[1:]
	edited := filepath.Join(t.TempDir(), "edited.json")
	data, err := json.Marshal(set)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(edited, data, 0o600))
	code, out := b.run("diff", edited)
	assert.Equal(t, code, exitDiffers)
	assert.Equal(t, out, "removed key \"zagreb-zoo-1\"\nchanged limit \"member\"\n  burst: 60000 -> 60001\n")

	b.must("publish", edited)
	assert.Equal(t, b.must("show", "--of", "1"), shown)
	out = b.must("history")
	assert.Equal(t, strings.Count(out, "accepted"), 2, out)
	assert.Assert(t, strings.Contains(out, "first"))
	code, _ = b.run("publish", "--restart", edited)
	assert.Equal(t, code, exitConflict)
}

// A key must be seen once by the one who issued it and by nobody else; published
// in clear it would be readable by whoever reads the log.
func TestKeyIsPrintedOnceAndPublishedAsHash(t *testing.T) {
	b := newBench(t)
	b.must("publish", goodFile)
	key := strings.TrimSpace(b.must("key", "issue", "--organisation", "savez", "savez-2"))
	shown := b.must("show")
	assert.Assert(t, strings.Contains(shown, object.HashKey(key)))
	assert.Assert(t, !strings.Contains(shown, key))
	code, _ := b.run("key", "issue", "--organisation", "savez", "savez-2")
	assert.Equal(t, code, exitFaults, "a name is given once")
	code, _ = b.run("key", "withdraw", "savez-9")
	assert.Equal(t, code, exitUsage)

	// Another operator publishes between the reading and the publishing.
	b.beforeAppend = func() {
		latest, err := config.Latest(context.Background(), b.log)
		assert.NilError(t, err)
		latest.Set.Limits[0].Burst = 70000
		_, err = config.NewPublisher(b.log).Publish(context.Background(), latest.Set, latest.Version, "")
		assert.NilError(t, err)
	}
	b.must("key", "withdraw", "savez-2")
	latest, err := config.Latest(context.Background(), b.log)
	assert.NilError(t, err)
	assert.Equal(t, latest.Set.Limits[0].Burst, int64(70000))
	x := object.NewIndex(latest.Set, latest.Version)
	assert.Assert(t, !x.KeyUsable("savez-2") && x.KeyUsable("savez-1"))
	b.must("key", "withdraw", "savez-2")
	again, err := config.Latest(context.Background(), b.log)
	assert.NilError(t, err)
	assert.Equal(t, again.Version, latest.Version, "nothing changed, nothing published")
}

// member is a fake instance.
type member struct {
	name    string
	version uint64
	fleet   *[]operator.Instance
	drained bool
}

func (m *member) Status(context.Context) operator.Status {
	return operator.Status{Instance: m.name, Ready: true, ConfigVersion: m.version}
}
func (m *member) Instances(context.Context) []operator.Instance { return *m.fleet }
func (m *member) Drain()                                        { m.drained = true }

func startMember(t *testing.T, name string, fleet *[]operator.Instance) (*member, string) {
	m := &member{name: name, version: 5, fleet: fleet}
	server := httptest.NewServer(operator.NewHandler(operator.Config{
		Token: "secret", Status: m, Instances: m, Drainer: m, Level: zap.NewAtomicLevel(),
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	*fleet = append(*fleet, operator.Instance{Name: name, OperatorAddress: address, ConfigVersion: 9})
	return m, address
}

// An operator who withdrew a key waits until it is dead everywhere. What one
// instance has heard of another is not proof, and a member that died and was
// replaced under its name never answers.
func TestWaitAsksEachInstance(t *testing.T) {
	b := newBench(t)
	var fleet []operator.Instance
	_, first := startMember(t, "one", &fleet)
	fleet = append(fleet, operator.Instance{Name: "two", State: operator.StateDead, OperatorAddress: "127.0.0.1:1"})
	two, _ := startMember(t, "two", &fleet)
	t.Setenv("CAIRNCTL_INSTANCE", first)
	code, _ := b.run("status")
	assert.Equal(t, code, exitRefused)
	code, _ = b.run("wait", "5")
	assert.Equal(t, code, exitRefused)

	t.Setenv("CAIRNCTL_TOKEN", "secret")
	b.must("status")
	b.must("wait", "5")
	two.version = 4
	code, _ = b.run("--timeout", "20ms", "wait", "5")
	assert.Equal(t, code, exitTimeout)
	b.must("drain", "two")
	assert.Assert(t, two.drained)
	b.must("log-level", first, "warn")
	code, _ = b.run("drain", "three")
	assert.Equal(t, code, exitUsage)
}

// The log is down: a script must be able to tell this from a fault of the set.
func TestUnreachableLogHasItsOwnCode(t *testing.T) {
	b := newBench(t)
	b.log = httpport.NewLog("127.0.0.1:1", nil)
	code, _ := b.run("publish", "--base", "0", goodFile)
	assert.Equal(t, code, exitUnreachable)
	code, _ = b.run("show")
	assert.Equal(t, code, exitUnreachable)
	code, _ = b.run("publish", "--bsae", "0", goodFile)
	assert.Equal(t, code, exitUsage)
}

// An on-call engineer has a request's id and the logs, and no source at hand.
func TestExplainNamesTheDecidingLine(t *testing.T) {
	b := newBench(t)
	file := filepath.Join(t.TempDir(), "a.log")
	lines := "ts=2026-01-02T03:04:05.100Z level=info msg=placed request=7 upstream=i-1\n" +
		"ts=2026-01-02T03:04:05.300Z level=info msg=refused request=7 reason=queue_timeout detail=\"no room\"\nbroken\n"
	assert.NilError(t, os.WriteFile(file, []byte(lines), 0o600))
	code, out := b.run("explain", "7", file)
	assert.Equal(t, code, 0)
	assert.Assert(t, strings.Contains(out, `=>    +0.200s  `+file+`:2  refused reason=queue_timeout detail="no room"`), out)
	assert.Assert(t, strings.Contains(out, "1 lines could not be read"), out)
	code, out = b.run("--json", "explain", "7", file)
	assert.Equal(t, code, 0)
	assert.Assert(t, strings.Contains(out, `"deciding": 1`), out)
	code, _ = b.run("explain", "8", file)
	assert.Equal(t, code, 1)
	code, _ = b.run("explain", "7", file+".none")
	assert.Equal(t, code, exitUsage)
	code, _ = b.run("explain")
	assert.Equal(t, code, exitUsage)
	code, out = b.run("explain", "--failures", file)
	assert.Equal(t, code, 0)
	assert.Assert(t, strings.Contains(out, "1 of 1 requests were not served; 1 lines"), out)
	assert.Assert(t, strings.Contains(out, "queue_timeout"), out)
	code, out = b.run("--json", "explain", "--failures", file)
	assert.Equal(t, code, 0)
	assert.Assert(t, strings.Contains(out, `"reason": "queue_timeout"`), out)
	code, _ = b.run("explain", "--failures", file+".none")
	assert.Equal(t, code, exitUsage)
}

// An operator checks a set with routes; the counts tell whether all files were read.
func TestCheckCountsRoutes(t *testing.T) {
	code, out := newBench(t).run("check", "../../examples/routes.json")
	assert.Equal(t, code, 0)
	assert.Assert(t, strings.Contains(out, "2 services, 0 upstreams, 1 limits, 3 routes"), out)
}
