package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/route"
	"github.com/cairnworks/cairnworks/verdict"
)

const testKey = "k-1"

// fakeBackend implements the rate limiter and the model runner.
type fakeBackend struct {
	charged, settled uint64
	// fail is returned by the runners after the tokens have been sent.
	fail   error
	tokens []string
	plain  route.PlainCall
	// endNotStated is set if the service does not state the end of its answers.
	endNotStated bool
}

func (f *fakeBackend) Admit(_ context.Context, organisation string, cost uint64) (route.Charge, error) {
	f.charged = cost
	return route.Charge{Organisation: organisation, Tokens: cost}, nil
}

func (f *fakeBackend) Settle(_ route.Charge, used uint64) { f.settled = used }

func (f *fakeBackend) Run(_ context.Context, _ *Request, sink route.Sink) (route.Answer, error) {
	for _, token := range f.tokens {
		if err := sink.Token(token); err != nil {
			return route.Answer{}, err
		}
	}
	return route.Answer{FinishReason: "stop", PromptTokens: 2, OutputTokens: len(f.tokens)}, f.fail
}

type fakePlain struct{ *fakeBackend }

func (f fakePlain) Run(_ context.Context, call route.PlainCall) (route.PlainAnswer, error) {
	f.plain = call
	return route.PlainAnswer{Status: http.StatusTeapot, ContentType: "text/plain", Body: []byte("leaf"), EndStated: !f.endNotStated}, f.fail
}

func newTestServer(t *testing.T, backend *fakeBackend) *Server {
	t.Helper()
	set := object.Set{
		Organisations: []object.Organisation{{Name: "zoo", Limit: "l", Services: []string{"scribe", "desk"}}},
		Keys: []object.Key{
			{Name: "good", Organisation: "zoo", Hash: object.HashKey(testKey)},
			{Name: "old", Organisation: "zoo", Hash: object.HashKey("k-old"), Withdrawn: true},
		},
		Services: []object.Service{
			{Name: "scribe", Kind: object.KindModel, Models: []string{"m"}, MaxPromptTokens: 5, MaxOutputTokens: 50},
			{Name: "desk", Kind: object.KindPlain, MaxBodyBytes: 8, Calls: []object.CallRule{
				{Method: http.MethodGet, Path: "/ledger/", Idempotent: true}, {Method: http.MethodPost, Path: "/book", Cost: 7},
			}},
			{Name: "private", Kind: object.KindModel, Models: []string{"p"}},
		},
	}
	index := object.NewIndex(set, 1)
	metrics := observe.NewMetrics()
	t.Cleanup(func() { _ = metrics.Close() })
	return NewServer(Config{
		Index: func() *object.Index { return index }, Rate: backend, Models: backend, Plain: fakePlain{backend},
		Watch: func(string, context.CancelCauseFunc) func() { return func() {} }, Log: zap.NewNop(), Metrics: metrics,
	})
}

func send(s *Server, method, path, key, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

// Each invalid request must get an error in the format of the OpenAI API that gives the reason,
// states that nothing ran, and contains the request ID.
func TestInvalidRequestsAreRefused(t *testing.T) {
	const chat = "/v1/chat/completions"
	message := func(content string) string {
		return `{"model":"m","messages":[{"role":"user","content":` + content + `}]}`
	}
	for _, test := range []struct {
		name, method, path, key, body string
		status                        int
		reason                        verdict.Reason
	}{
		{"no key", "POST", chat, "", message(`"a"`), 401, verdict.ReasonUnauthenticated},
		{"wrong key", "POST", chat, "nope", message(`"a"`), 401, verdict.ReasonUnauthenticated},
		{"withdrawn key", "POST", chat, "k-old", message(`"a"`), 401, verdict.ReasonKeyWithdrawn},
		{"bad JSON", "POST", chat, testKey, `{"model":`, 400, verdict.ReasonBadRequest},
		{"no model", "POST", chat, testKey, `{}`, 400, verdict.ReasonBadRequest},
		{"no messages", "POST", chat, testKey, `{"model":"m"}`, 400, verdict.ReasonBadRequest},
		{"image part", "POST", chat, testKey, message(`[{"type":"image_url"}]`), 400, verdict.ReasonBadRequest},
		{"two choices", "POST", chat, testKey, `{"model":"m","n":2,"messages":[{"role":"user","content":"a"}]}`, 400, verdict.ReasonBadRequest},
		{"zero max_tokens", "POST", chat, testKey, `{"model":"m","max_tokens":0,"messages":[{"role":"user","content":"a"}]}`, 400, verdict.ReasonBadRequest},
		{"prompt list", "POST", "/v1/completions", testKey, `{"model":"m","prompt":["a"]}`, 400, verdict.ReasonBadRequest},
		{"unknown model", "POST", chat, testKey, `{"model":"x","messages":[{"role":"user","content":"a"}]}`, 404, verdict.ReasonUnknownModel},
		{"model not permitted", "POST", chat, testKey, `{"model":"p","messages":[{"role":"user","content":"a"}]}`, 404, verdict.ReasonUnknownModel},
		{"long prompt", "POST", chat, testKey, message(`"a b c d e f"`), 400, verdict.ReasonPromptTooLong},
		{"huge body", "POST", chat, testKey, message(`"` + strings.Repeat("a", maxCompletionBodyBytes) + `"`), 413, verdict.ReasonBodyTooLarge},
		{"unknown service", "GET", "/services/none/x", testKey, "", 404, verdict.ReasonUnknownService},
		{"unknown call", "GET", "/services/desk/none", testKey, "", 404, verdict.ReasonUnknownService},
		{"wrong method", "DELETE", "/services/desk/book", testKey, "", 405, verdict.ReasonMethodNotAllowed},
		{"body over the service's limit", "POST", "/services/desk/book", testKey, "123456789", 413, verdict.ReasonBodyTooLarge},
		{"unknown path", "GET", "/v2", testKey, "", 404, verdict.ReasonUnknownService},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := send(newTestServer(t, &fakeBackend{}), test.method, test.path, test.key, test.body)
			assert.Equal(t, w.Code, test.status)
			var body errorBody
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &body))
			assert.Equal(t, body.Error.Code, string(test.reason))
			assert.Equal(t, body.Error.Ran, "not_run")
			assert.Equal(t, body.Error.RequestID, w.Header().Get("X-Request-Id"))
			assert.Assert(t, body.Error.Message != "")
		})
	}
}

// The model runner fails after some tokens have been sent. The stream must end with an error
// event and without the terminator, so that no client takes the partial response for a complete
// one.
func TestMidStreamFailureSendsErrorEvent(t *testing.T) {
	backend := &fakeBackend{tokens: []string{"size ", "cures"}, fail: verdict.Fail(verdict.HasRun, verdict.ReasonTruncated, io.ErrUnexpectedEOF, "response ended early")}
	w := send(newTestServer(t, backend), "POST", "/v1/completions", testKey, `{"model":"m","prompt":"a b","stream":true,"max_tokens":9}`)
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Assert(t, strings.Contains(w.Body.String(), `"code":"truncated"`), w.Body.String())
	assert.Assert(t, !strings.Contains(w.Body.String(), "[DONE]"))
	assert.Equal(t, backend.charged, uint64(2+9))
	assert.Equal(t, backend.settled, uint64(2+2))
}

// A refusal must set Retry-After, rounded up to whole seconds, and the organisation must not be
// charged for it.
func TestRefusalSetsRetryAfterAndIsRefunded(t *testing.T) {
	backend := &fakeBackend{fail: verdict.Refuse(verdict.ReasonDeadlineUnmeetable, 1200*time.Millisecond, "full")}
	w := send(newTestServer(t, backend), "POST", "/v1/completions", testKey, `{"model":"m","prompt":"a","stream":true}`)
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get("Retry-After"), "2")
	assert.Equal(t, backend.settled, uint64(0))
}

// A chat completion must return the complete text and the usage, both as a single body and as
// a stream.
func TestCompletionResponses(t *testing.T) {
	backend := &fakeBackend{tokens: []string{"a ", "b"}}
	w := send(newTestServer(t, backend), "POST", "/v1/chat/completions", testKey,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]}`)
	var body completion
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &body))
	assert.Equal(t, body.Choices[0].Message.Content, "a b")
	assert.Equal(t, body.Usage.TotalTokens, 4)

	w = send(newTestServer(t, backend), "POST", "/v1/chat/completions", testKey,
		`{"model":"m","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"hi"}]}`)
	assert.Assert(t, strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n"))
	assert.Assert(t, strings.Contains(w.Body.String(), `"total_tokens":4`))
}

// A plain call must reach the runner with path and query, be charged the rule's cost, and
// return the upstream's response. The model list must contain only models that the
// organisation may use.
func TestPlainCallIsForwarded(t *testing.T) {
	backend := &fakeBackend{}
	s := newTestServer(t, backend)
	w := send(s, "POST", "/services/desk/book?leaf=2", testKey, "12345678")
	assert.Equal(t, w.Code, http.StatusTeapot)
	assert.Equal(t, w.Body.String(), "leaf")
	assert.Equal(t, backend.plain.Call.Path+"?"+backend.plain.Call.RawQuery, "/book?leaf=2")
	assert.Assert(t, !backend.plain.Idempotent)
	assert.Equal(t, backend.charged, uint64(7))
	w = send(s, "GET", "/v1/models", testKey, "")
	assert.Assert(t, strings.Contains(w.Body.String(), `"id":"m"`) && !strings.Contains(w.Body.String(), `"id":"p"`))
}

// Guards against a length or chunks that tell the caller where an answer ends when the service did not.
func TestPlainAnswerWithoutAStatedEndGetsNone(t *testing.T) {
	for _, stated := range []bool{false, true} {
		server := httptest.NewServer(newTestServer(t, &fakeBackend{endNotStated: !stated}))
		defer server.Close()
		r, err := http.NewRequest(http.MethodPost, server.URL+"/services/desk/book", strings.NewReader("12345678"))
		assert.NilError(t, err)
		r.Header.Set("Authorization", "Bearer "+testKey)
		resp, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "leaf")
		assert.Equal(t, resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0, stated)
	}
}

func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"a"}]}`), true)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"max_tokens":3}`), true)
	f.Add([]byte(`{"model":"m","prompt":"a b c","n":1}`), false)
	f.Add([]byte(`{"model":"m","prompt":null,"max_completion_tokens":-1}`), false)
	f.Fuzz(func(t *testing.T, data []byte, chat bool) {
		body, prompt, err := parseCompletion(data, chat)
		if err != nil {
			if v := verdict.From(err); v.Ran != verdict.NotRun || v.Reason != verdict.ReasonBadRequest {
				t.Fatalf("body rejected with an unexpected verdict: %v", v)
			}
			return
		}
		if measure := port.MeasurePrompt(prompt); measure.Tokens == 0 || body.Model == "" {
			t.Fatalf("accepted a body with %d prompt tokens and model %q", measure.Tokens, body.Model)
		}
	})
}

// The token text can contain characters that JSON must escape, and the model name can contain
// the placeholder. Each event must equal the one from a full encoding.
func TestTokenEventMatchesFullEncoding(t *testing.T) {
	chunk := func(text string) completion {
		return completion{ID: "cmpl-id7", Model: `m "id7`, Choices: []choice{{Delta: &message{Role: "assistant", Content: text}}}}
	}
	e := newTokenEventEncoder("id7", chunk)
	for _, text := range []string{"plain ", "\"quoted\"\n", "<b>&\u2028", "\x00\x1f", "ž", "id7"} {
		data, err := e.encode(text)
		assert.NilError(t, err)
		var got, want completion
		assert.NilError(t, json.Unmarshal(data, &got))
		full, err := json.Marshal(chunk(text))
		assert.NilError(t, err)
		assert.NilError(t, json.Unmarshal(full, &want))
		assert.DeepEqual(t, got, want)
	}
}
