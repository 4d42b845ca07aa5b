package httpport_test

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/port/httpport"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/stand"
	"github.com/cairnworks/cairnworks/verdict"
)

const prompt = "summarise the treatment of frame 117 before the size cures"

// engines holds a stand-in prefill and decode engine and their adapters.
type engines struct {
	prefill, decode               port.Engine
	prefillAddress, decodeAddress string
	prefillStand, decodeStand     *stand.Engine
}

// fastConfig returns settings of a stand-in engine that keep tests short.
func fastConfig(role string) stand.EngineConfig {
	return stand.EngineConfig{Role: role, TokenTime: 200_000, PrefillTokensPerSecond: 1_000_000}
}

func startEngines(t *testing.T, prefill, decode stand.EngineConfig) engines {
	t.Helper()
	p, d := stand.NewEngine(prefill), stand.NewEngine(decode)
	e := engines{prefillStand: p, decodeStand: d}
	e.prefillAddress = serve(t, p)
	e.decodeAddress = serve(t, d)
	e.prefill = httpport.NewEngine(e.prefillAddress, nil)
	e.decode = httpport.NewEngine(e.decodeAddress, nil)
	return e
}

func serve(t *testing.T, s interface {
	Handler() httpHandler
	Close()
}) string {
	t.Helper()
	server := httptest.NewUnstartedServer(s.Handler())
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		s.Close()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

func streamID(id string) port.StreamID {
	return port.StreamID{RequestID: id, Attempt: 1, Owner: request.Holder{Instance: "i1", Incarnation: 7}}
}

// importPrompt prefills the prompt and imports its KV cache into the decode engine.
func (e engines) importPrompt(t *testing.T, id string) {
	t.Helper()
	ctx := context.Background()
	result, err := e.prefill.Prefill(ctx, port.PrefillRequest{Stream: streamID(id), Prompt: prompt})
	assert.NilError(t, err)
	assert.Equal(t, result.Tokens, stand.CountTokens(prompt))
	assert.NilError(t, e.decode.Import(ctx, port.ImportRequest{
		Stream: streamID(id), Source: e.prefillAddress, Handle: result.Handle, MaxTokens: 64,
	}))
}

// readTokens returns the tokens up to max or the end of the stream, and whether the
// terminator was received.
func readTokens(t *testing.T, frames port.FrameReader, max int) (tokens []string, done bool) {
	t.Helper()
	for len(tokens) < max {
		frame, err := frames.Next()
		if errors.Is(err, io.EOF) {
			return tokens, false
		}
		assert.NilError(t, err)
		if frame.Done {
			return tokens, true
		}
		tokens = append(tokens, frame.Token)
	}
	return tokens, false
}

func TestPrefillImportDecode(t *testing.T) {
	e := startEngines(t, fastConfig(stand.RolePrefill), fastConfig(stand.RoleDecode))
	e.importPrompt(t, "a")
	frames, err := e.decode.Decode(context.Background(), port.DecodeRequest{Stream: streamID("a"), MaxTokens: 64})
	assert.NilError(t, err)
	defer frames.Close()
	tokens, done := readTokens(t, frames, 1000)
	assert.Assert(t, done)
	assert.DeepEqual(t, tokens, stand.Answer(prompt, 64))
	assert.Equal(t, e.decodeStand.Stats().PiecesUsed, 0)
	assert.Equal(t, e.prefillStand.Stats().PiecesUsed, 0)
}

// Guards against repeated or missing tokens in the caller's text when an instance
// crashes or loses its connection in the middle of a stream and another one resumes
// it after the last token delivered.
func TestDecodeResumesAtTheNextToken(t *testing.T) {
	e := startEngines(t, fastConfig(stand.RolePrefill), fastConfig(stand.RoleDecode))
	e.importPrompt(t, "a")
	ctx := context.Background()
	frames, err := e.decode.Decode(ctx, port.DecodeRequest{Stream: streamID("a"), MaxTokens: 64})
	assert.NilError(t, err)
	first, _ := readTokens(t, frames, 5)
	assert.NilError(t, frames.Close())
	frames, err = e.decode.Decode(ctx, port.DecodeRequest{Stream: streamID("a"), MaxTokens: 64, ResumeFrom: 5})
	assert.NilError(t, err)
	defer frames.Close()
	rest, done := readTokens(t, frames, 1000)
	assert.Assert(t, done)
	assert.DeepEqual(t, append(first, rest...), stand.Answer(prompt, 64))
}

// If the decode pool is busy for longer than the TTL of a KV cache, the import finds
// the cache expired. The verdict must be NotRun, so that the request is tried again
// and does not fail as one that may have run.
func TestExpiredKVIsNotRun(t *testing.T) {
	cfg := fastConfig(stand.RolePrefill)
	cfg.KVTTL = 1
	e := startEngines(t, cfg, fastConfig(stand.RoleDecode))
	ctx := context.Background()
	result, err := e.prefill.Prefill(ctx, port.PrefillRequest{Stream: streamID("a"), Prompt: prompt})
	assert.NilError(t, err)
	waitFor(t, func() bool { return e.prefillStand.Stats().WastedPrefills == 1 })
	err = e.decode.Import(ctx, port.ImportRequest{Stream: streamID("a"), Source: e.prefillAddress, Handle: result.Handle})
	checkVerdict(t, err, verdict.NotRun, verdict.ReasonTransferExpired)
	assert.Equal(t, e.decodeStand.Stats().PiecesUsed, 0)
}

func checkVerdict(t *testing.T, err error, ran verdict.Ran, reason verdict.Reason) {
	t.Helper()
	var v *verdict.Verdict
	assert.Assert(t, errors.As(err, &v), "%v", err)
	assert.Equal(t, v.Ran, ran, v.Error())
	assert.Equal(t, v.Reason, reason, v.Error())
}
