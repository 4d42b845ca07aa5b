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

// pair is a prefill and a decode engine and their adapters.
type pair struct {
	prefillStand, decodeStand     *stand.Engine
	prefill, decode               port.Engine
	prefillAddress, decodeAddress string
}

func startPair(t *testing.T, prefill, decode stand.EngineConfig) pair {
	t.Helper()
	prefill.Role, decode.Role = stand.RolePrefill, stand.RoleDecode
	prefill.PrefillTokensPerSecond, decode.TokenTime = 10_000_000, 100*time.Microsecond
	prefill.KVTTL = time.Minute
	p := pair{prefillStand: stand.NewEngine(prefill), decodeStand: stand.NewEngine(decode)}
	client := httpport.NewClient()
	t.Cleanup(client.CloseIdleConnections)
	p.prefillAddress = listen(t, p.prefillStand)
	p.decodeAddress = listen(t, p.decodeStand)
	p.prefill = httpport.NewEngine(p.prefillAddress, client)
	p.decode = httpport.NewEngine(p.decodeAddress, client)
	return p
}

func listen(t *testing.T, e *stand.Engine) string {
	t.Helper()
	server := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		e.Close()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

func id(name string) port.StreamID { return port.StreamID{RequestID: name, Attempt: 1} }

// place prefills a prompt and imports it.
func (p pair) place(name, prompt string) error {
	ctx := context.Background()
	result, err := p.prefill.Prefill(ctx, port.PrefillRequest{Stream: id(name), Prompt: prompt})
	if err != nil {
		return err
	}
	return p.decode.Import(ctx, port.ImportRequest{Stream: id(name), Source: p.prefillAddress, Handle: result.Handle})
}

func (p pair) decoding(t *testing.T, name string) port.FrameReader {
	t.Helper()
	frames, err := p.decode.Decode(context.Background(), port.DecodeRequest{Stream: id(name), MaxTokens: 100})
	assert.NilError(t, err)
	t.Cleanup(func() { frames.Close() })
	return frames
}

// drain reads to the end and returns the tokens, whether the terminator came, and
// the error that ended the stream.
func drain(frames port.FrameReader) (tokens []string, done bool, err error) {
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

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

func TestAnswerNamesPromptAndPlace(t *testing.T) {
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

// More requests are sent than the decode engine holds. The one too many is
// refused and has cost nothing but its prefill.
func TestFullSlotsRefuse(t *testing.T) {
	p := startPair(t, stand.EngineConfig{}, stand.EngineConfig{Slots: 1})
	assert.NilError(t, p.place("a", "first prompt"))
	err := p.place("b", "second prompt")
	v := verdict.From(err)
	assert.Equal(t, v.Ran, verdict.NotRun)
	assert.Equal(t, v.Reason, verdict.ReasonUpstreamRefused)
	assert.NilError(t, p.decode.Cancel(context.Background(), id("a")))
	assert.NilError(t, p.place("c", "third prompt"))
}

// Two long answers share memory for one. The second waits for the first to end;
// its caller sees a slow answer, but a whole one.
func TestShortMemoryStallsAStream(t *testing.T) {
	p := startPair(t, stand.EngineConfig{}, stand.EngineConfig{Pieces: 9, PieceTokens: 4})
	prompts := []string{"the first of two", "the second of two"}
	assert.NilError(t, p.place("a", prompts[0]))
	a := p.decoding(t, "a")
	eventually(t, func() bool { return p.decodeStand.Stats().Stalls > 0 })
	err := p.place("b", prompts[1])
	assert.Equal(t, verdict.From(err).Reason, verdict.ReasonUpstreamRefused)
	assert.Equal(t, p.decodeStand.Stats().MemoryRefusals, 1)
	assert.NilError(t, p.decode.Cancel(context.Background(), id("a")))
	_, done, _ := drain(a)
	assert.Assert(t, !done)
	assert.Equal(t, p.decodeStand.Stats().PiecesUsed, 0)
}

// An engine dies with streams on it. Every stream breaks, and nothing of them is
// held afterwards; a decode that comes back is told that it is not there.
func TestCrashLosesEverythingHeld(t *testing.T) {
	p := startPair(t, stand.EngineConfig{}, stand.EngineConfig{})
	assert.NilError(t, p.place("a", "a prompt of some words"))
	setFaults(t, p.decodeAddress, stand.Faults{SlowFactor: 1000})
	frames := p.decoding(t, "a")
	setFaults(t, p.decodeAddress, stand.Faults{Crash: true})
	_, done, err := drain(frames)
	assert.Assert(t, !done)
	assert.Equal(t, verdict.From(err).Reason, verdict.ReasonUpstreamCrashed)
	stats := p.decodeStand.Stats()
	assert.Equal(t, stats.Held, 0)
	assert.Equal(t, stats.PiecesUsed, 0)
	assert.Equal(t, stats.Starts, 2)
	_, err = p.decode.Decode(context.Background(), port.DecodeRequest{Stream: id("a"), MaxTokens: 9, ResumeFrom: 1})
	assert.Equal(t, verdict.From(err).Ran, verdict.NotRun)
}

// One prompt crashes each engine that runs it. Other prompts are served before
// and after.
func TestCrashOnText(t *testing.T) {
	p := startPair(t, stand.EngineConfig{}, stand.EngineConfig{})
	setFaults(t, p.prefillAddress, stand.Faults{CrashOnText: "poison"})
	assert.NilError(t, p.place("a", "harmless"))
	err := p.place("b", strings.Repeat("filler ", 1000)+"poison")
	assert.Equal(t, verdict.From(err).Ran, verdict.MayHaveRun)
	assert.Equal(t, p.prefillStand.Stats().CrashesOnText, 1)
	assert.NilError(t, p.place("c", "harmless too"))
}

// A stream ends in good order but without its terminator. Only the missing
// terminator tells that the answer is not whole.
func TestTruncatedStreamResumes(t *testing.T) {
	p := startPair(t, stand.EngineConfig{}, stand.EngineConfig{})
	prompt := "notes for the morning"
	assert.NilError(t, p.place("a", prompt))
	setFaults(t, p.decodeAddress, stand.Faults{TruncateAfter: 4})
	first, done, err := drain(p.decoding(t, "a"))
	assert.Assert(t, !done)
	assert.ErrorContains(t, err, "EOF")
	assert.Equal(t, len(first), 4)
	setFaults(t, p.decodeAddress, stand.Faults{})
	frames, err := p.decode.Decode(context.Background(), port.DecodeRequest{Stream: id("a"), MaxTokens: 100, ResumeFrom: 4})
	assert.NilError(t, err)
	rest, done, _ := drain(frames)
	assert.Assert(t, done)
	assert.DeepEqual(t, append(first, rest...), stand.Answer(prompt, 100))
}

// The instance that read a stream dies and nobody resumes or cancels it. Its
// memory is given back after the engine's own time, and until then it is listed
// with its owner, so that others can find and cancel it.
func TestOrphanIsListedThenFreed(t *testing.T) {
	p := startPair(t, stand.EngineConfig{}, stand.EngineConfig{ResumeTTL: 50 * time.Millisecond})
	assert.NilError(t, p.place("a", "a prompt"))
	eventually(t, func() bool { return p.decodeStand.Stats().OrphansFreed == 1 })
	assert.Equal(t, p.decodeStand.Stats().PiecesUsed, 0)
	states, err := p.decode.Streams(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(states), 0)
}

func TestStreamsNameOwners(t *testing.T) {
	p := startPair(t, stand.EngineConfig{}, stand.EngineConfig{})
	stream := id("a")
	stream.Owner.Instance, stream.Owner.Incarnation = "entry-1", 1<<60
	_, err := p.prefill.Prefill(context.Background(), port.PrefillRequest{Stream: stream, Prompt: "x"})
	assert.NilError(t, err)
	states, err := p.prefill.Streams(context.Background())
	assert.NilError(t, err)
	assert.DeepEqual(t, states, []port.StreamState{{Stream: stream, Phase: "prefilled", Pieces: 1}})
}

// An operator's late order arrives after a newer one. An engine that checks the
// fencing token refuses it; one that does not obeys, and the older state wins.
func TestFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%v", checks), func(t *testing.T) {
			p := startPair(t, stand.EngineConfig{}, stand.EngineConfig{ChecksFencing: checks})
			ctx := context.Background()
			assert.NilError(t, p.decode.Order(ctx, port.Order{Kind: "set_role", Name: "prefill", Fence: 9}))
			err := p.decode.Order(ctx, port.Order{Kind: "set_role", Name: "decode", Fence: 8})
			assert.Equal(t, err != nil, checks)
			want := map[bool]string{true: "prefill", false: "decode"}
			assert.Equal(t, p.decodeStand.Stats().Role, want[checks])
		})
	}
}

func TestPrefixCacheAndItsEvents(t *testing.T) {
	p := startPair(t, stand.EngineConfig{EventLag: time.Millisecond, EventLossEvery: 3}, stand.EngineConfig{})
	ctx := context.Background()
	prompt := strings.Repeat("shared ", 300)
	_, err := p.prefill.Prefill(ctx, port.PrefillRequest{Stream: id("a"), Prompt: prompt})
	assert.NilError(t, err)
	result, err := p.prefill.Prefill(ctx, port.PrefillRequest{Stream: id("b"), Prompt: prompt + "own"})
	assert.NilError(t, err)
	assert.Equal(t, result.CachedTokens, 256)
	eventually(t, func() bool {
		events, err := p.prefill.CacheEvents(ctx, 1)
		return err == nil && len(events) == 2 && events[0].Seq == 2 && events[1].Seq == 4
	})
}

func TestLoadReportFollowsLate(t *testing.T) {
	p := startPair(t, stand.EngineConfig{}, stand.EngineConfig{LoadLag: time.Millisecond})
	assert.NilError(t, p.place("a", "a prompt"))
	setFaults(t, p.decodeAddress, stand.Faults{Leaving: true})
	eventually(t, func() bool {
		load, err := p.decode.Load(context.Background())
		return err == nil && load.Leaving && load.Running == 1 && load.PiecesUsed == 1
	})
	assert.NilError(t, p.place("b", "a late prompt"))
	assert.Equal(t, p.decodeStand.Stats().WorkWhileLeaving, 1)
}
