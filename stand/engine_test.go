package stand_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/port/httpport"
	"github.com/cairnworks/cairnworks/stand"
	"github.com/cairnworks/cairnworks/verdict"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// enginePair holds a prefill and a decode engine and their adapters.
type enginePair struct {
	prefillStand, decodeStand     *stand.Engine
	prefill, decode               port.Engine
	prefillAddress, decodeAddress string
}

func startEnginePair(t *testing.T, prefill, decode stand.EngineConfig) enginePair {
	t.Helper()
	prefill.Role, decode.Role = stand.RolePrefill, stand.RoleDecode
	prefill.PrefillTokensPerSecond, decode.TokenTime = 10_000_000, 100*time.Microsecond
	prefill.KVTTL = time.Minute
	p := enginePair{prefillStand: stand.NewEngine(prefill), decodeStand: stand.NewEngine(decode)}
	client := httpport.NewClient()
	t.Cleanup(client.CloseIdleConnections)
	p.prefillAddress = serve(t, p.prefillStand)
	p.decodeAddress = serve(t, p.decodeStand)
	p.prefill = httpport.NewEngine(p.prefillAddress, client)
	p.decode = httpport.NewEngine(p.decodeAddress, client)
	return p
}

func serve(t *testing.T, e *stand.Engine) string {
	t.Helper()
	server := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		e.Close()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

func streamID(name string) port.StreamID { return port.StreamID{RequestID: name, Attempt: 1} }

// prefillAndImport prefills a prompt and imports the KV cache.
func (p enginePair) prefillAndImport(name, prompt string) error {
	ctx := context.Background()
	result, err := p.prefill.Prefill(ctx, port.PrefillRequest{Stream: streamID(name), Prompt: prompt})
	if err != nil {
		return err
	}
	return p.decode.Import(ctx, port.ImportRequest{Stream: streamID(name), Source: p.prefillAddress, Handle: result.Handle})
}

func (p enginePair) startDecode(t *testing.T, name string) port.FrameReader {
	t.Helper()
	frames, err := p.decode.Decode(context.Background(), port.DecodeRequest{Stream: streamID(name), MaxTokens: 100})
	assert.NilError(t, err)
	t.Cleanup(func() { frames.Close() })
	return frames
}

// readAll reads a stream to the end. It returns the tokens, whether the terminator was
// received, and the error that ended the stream.
func readAll(frames port.FrameReader) (tokens []string, done bool, err error) {
	for {
		frame, err := frames.Next()
		if err != nil {
			return tokens, done, err
		}
		if frame.Done {
			done = true
			continue
		}
		tokens = append(tokens, frame.Token)
	}
}

func setFaults(t *testing.T, address string, faults stand.Faults) {
	t.Helper()
	data, err := json.Marshal(faults)
	assert.NilError(t, err)
	resp, err := http.Post("http://"+address+"/faults", "application/json", bytes.NewReader(data))
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	http.DefaultClient.CloseIdleConnections()
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

func TestAnswerTokensAreUnique(t *testing.T) {
	a, b := stand.Answer("one prompt", 1000), stand.Answer("another prompt", 1000)
	seen := map[string]bool{}
	for _, token := range append(a, b...) {
		assert.Assert(t, !seen[token], token)
		seen[token] = true
	}
	assert.Equal(t, len(stand.Answer("one prompt", 3)), 3)
	assert.Equal(t, stand.FinishReason("one prompt", 3), stand.FinishLength)
	assert.Equal(t, stand.FinishReason("one prompt", 1000), stand.FinishStop)
}

// If all slots of a decode engine are in use, an import must be refused as not run, and
// succeed once a slot is free.
func TestImportIsRefusedIfSlotsAreFull(t *testing.T) {
	p := startEnginePair(t, stand.EngineConfig{}, stand.EngineConfig{Slots: 1})
	assert.NilError(t, p.prefillAndImport("a", "first prompt"))
	err := p.prefillAndImport("b", "second prompt")
	v := verdict.From(err)
	assert.Equal(t, v.Ran, verdict.NotRun)
	assert.Equal(t, v.Reason, verdict.ReasonUpstreamRefused)
	assert.NilError(t, p.decode.Cancel(context.Background(), streamID("a")))
	assert.NilError(t, p.prefillAndImport("c", "third prompt"))
}

// A stream stalls if it needs more memory than the engine has left, and the import of
// another one is refused. Cancelling the stream must release its memory.
func TestMemoryShortageStallsStream(t *testing.T) {
	p := startEnginePair(t, stand.EngineConfig{}, stand.EngineConfig{Pieces: 9, PieceTokens: 4})
	prompts := []string{"the first of two", "the second of two"}
	assert.NilError(t, p.prefillAndImport("a", prompts[0]))
	a := p.startDecode(t, "a")
	waitFor(t, func() bool { return p.decodeStand.Stats().Stalls > 0 })
	err := p.prefillAndImport("b", prompts[1])
	assert.Equal(t, verdict.From(err).Reason, verdict.ReasonUpstreamRefused)
	assert.Equal(t, p.decodeStand.Stats().MemoryRefusals, 1)
	assert.NilError(t, p.decode.Cancel(context.Background(), streamID("a")))
	_, done, _ := readAll(a)
	assert.Assert(t, !done)
	assert.Equal(t, p.decodeStand.Stats().PiecesUsed, 0)
}

// If an engine crashes, all its streams must break and all their memory be freed.
// Resuming one must fail with a verdict of NotRun.
func TestCrashFreesEverything(t *testing.T) {
	p := startEnginePair(t, stand.EngineConfig{}, stand.EngineConfig{})
	assert.NilError(t, p.prefillAndImport("a", "a prompt of some words"))
	setFaults(t, p.decodeAddress, stand.Faults{SlowFactor: 1000})
	frames := p.startDecode(t, "a")
	setFaults(t, p.decodeAddress, stand.Faults{Crash: true})
	_, done, err := readAll(frames)
	assert.Assert(t, !done)
	assert.Equal(t, verdict.From(err).Reason, verdict.ReasonUpstreamCrashed)
	stats := p.decodeStand.Stats()
	assert.Equal(t, stats.Held, 0)
	assert.Equal(t, stats.PiecesUsed, 0)
	assert.Equal(t, stats.Starts, 2)
	_, err = p.decode.Decode(context.Background(), port.DecodeRequest{Stream: streamID("a"), MaxTokens: 9, ResumeFrom: 1})
	assert.Equal(t, verdict.From(err).Ran, verdict.NotRun)
}

// A prompt with the text of CrashOnText crashes the engine that runs it; other prompts
// must be served before and after.
func TestCrashOnText(t *testing.T) {
	p := startEnginePair(t, stand.EngineConfig{}, stand.EngineConfig{})
	setFaults(t, p.prefillAddress, stand.Faults{CrashOnText: "poison"})
	assert.NilError(t, p.prefillAndImport("a", "harmless"))
	err := p.prefillAndImport("b", strings.Repeat("filler ", 1000)+"poison")
	assert.Equal(t, verdict.From(err).Ran, verdict.MayHaveRun)
	assert.Equal(t, p.prefillStand.Stats().CrashesOnText, 1)
	assert.NilError(t, p.prefillAndImport("c", "harmless too"))
}

// If a stream ends regularly but without a terminator, only the missing terminator shows
// that the answer is truncated. Resuming it must yield the remaining tokens.
func TestTruncatedStreamResumes(t *testing.T) {
	p := startEnginePair(t, stand.EngineConfig{}, stand.EngineConfig{})
	prompt := "notes for the morning"
	assert.NilError(t, p.prefillAndImport("a", prompt))
	setFaults(t, p.decodeAddress, stand.Faults{TruncateAfter: 4})
	first, done, err := readAll(p.startDecode(t, "a"))
	assert.Assert(t, !done)
	assert.ErrorContains(t, err, "EOF")
	assert.Equal(t, len(first), 4)
	setFaults(t, p.decodeAddress, stand.Faults{})
	frames, err := p.decode.Decode(context.Background(), port.DecodeRequest{Stream: streamID("a"), MaxTokens: 100, ResumeFrom: 4})
	assert.NilError(t, err)
	rest, done, _ := readAll(frames)
	assert.Assert(t, done)
	assert.DeepEqual(t, append(first, rest...), stand.Answer(prompt, 100))
}

// If a stream's instance crashes and the stream is neither resumed nor cancelled, its
// memory must be freed after ResumeTTL. TestStreamsListOwners covers the listing by
// which other instances can find and cancel it before.
func TestOrphanIsFreed(t *testing.T) {
	p := startEnginePair(t, stand.EngineConfig{}, stand.EngineConfig{ResumeTTL: 50 * time.Millisecond})
	assert.NilError(t, p.prefillAndImport("a", "a prompt"))
	waitFor(t, func() bool { return p.decodeStand.Stats().OrphansFreed == 1 })
	assert.Equal(t, p.decodeStand.Stats().PiecesUsed, 0)
	states, err := p.decode.Streams(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(states), 0)
}

func TestStreamsListOwners(t *testing.T) {
	p := startEnginePair(t, stand.EngineConfig{}, stand.EngineConfig{})
	stream := streamID("a")
	stream.Owner.Instance, stream.Owner.Incarnation = "entry-1", 1<<60
	_, err := p.prefill.Prefill(context.Background(), port.PrefillRequest{Stream: stream, Prompt: "x"})
	assert.NilError(t, err)
	states, err := p.prefill.Streams(context.Background())
	assert.NilError(t, err)
	assert.DeepEqual(t, states, []port.StreamState{{Stream: stream, Phase: "prefilled", Pieces: 1}})
}

// A delayed order arrives after a newer one. An engine that checks fencing tokens must
// refuse it; one that does not executes it and reverts to the older state.
func TestFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%v", checks), func(t *testing.T) {
			p := startEnginePair(t, stand.EngineConfig{}, stand.EngineConfig{ChecksFencing: checks})
			ctx := context.Background()
			assert.NilError(t, p.decode.Order(ctx, port.Order{Kind: "set_role", Name: "prefill", Fence: 9}))
			err := p.decode.Order(ctx, port.Order{Kind: "set_role", Name: "decode", Fence: 8})
			assert.Equal(t, err != nil, checks)
			want := map[bool]string{true: "prefill", false: "decode"}
			assert.Equal(t, p.decodeStand.Stats().Role, want[checks])
		})
	}
}

func TestPrefixCacheEvents(t *testing.T) {
	p := startEnginePair(t, stand.EngineConfig{EventLag: time.Millisecond, EventLossEvery: 3}, stand.EngineConfig{})
	ctx := context.Background()
	prompt := strings.Repeat("shared ", 300)
	_, err := p.prefill.Prefill(ctx, port.PrefillRequest{Stream: streamID("a"), Prompt: prompt})
	assert.NilError(t, err)
	result, err := p.prefill.Prefill(ctx, port.PrefillRequest{Stream: streamID("b"), Prompt: prompt + "own"})
	assert.NilError(t, err)
	assert.Equal(t, result.CachedTokens, 256)
	waitFor(t, func() bool {
		events, err := p.prefill.CacheEvents(ctx, 1)
		return err == nil && len(events) == 2 && events[0].Seq == 2 && events[1].Seq == 4
	})
}

func TestLoadReportIsDelayed(t *testing.T) {
	p := startEnginePair(t, stand.EngineConfig{}, stand.EngineConfig{LoadLag: time.Millisecond})
	assert.NilError(t, p.prefillAndImport("a", "a prompt"))
	setFaults(t, p.decodeAddress, stand.Faults{Leaving: true})
	waitFor(t, func() bool {
		load, err := p.decode.Load(context.Background())
		return err == nil && load.Leaving && load.Running == 1 && load.PiecesUsed == 1
	})
	assert.NilError(t, p.prefillAndImport("b", "a late prompt"))
	assert.Equal(t, p.decodeStand.Stats().WorkWhileLeaving, 1)
}
