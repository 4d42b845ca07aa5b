package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/port/httpport"
	"github.com/cairnworks/cairnworks/stand"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeInstance imitates an instance without a fleet behind it: it answers from stand.Answer and a
// stand-in for a plain service.
type fakeInstance struct {
	plain port.PlainService
	// faultyEvery n makes every nth streamed answer lose its sixth token; 0 means none.
	faultyEvery int64
	served      atomic.Int64
}

func (f *fakeInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := fmt.Sprintf("req-%d", f.served.Add(1))
	w.Header().Set("X-Request-Id", id)
	body, _ := io.ReadAll(r.Body)
	if r.URL.Path == "/v1/chat/completions" {
		f.chat(w, body)
		return
	}
	resp, err := f.plain.Call(r.Context(), port.ServiceRequest{
		RequestID: id, Organisation: "zoo-a", IdempotencyKey: r.Header.Get("Idempotency-Key"), Method: r.Method,
		Path: strings.TrimPrefix(r.URL.Path, "/services/dezurstva"), RawQuery: r.URL.RawQuery, Body: body,
	})
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(w, resp.Body)
}

func (f *fakeInstance) chat(w http.ResponseWriter, data []byte) {
	var body completionRequest
	_ = json.Unmarshal(data, &body)
	prompt := "user: " + body.Messages[0].Content + "\n"
	w.Header().Set("Content-Type", "text/event-stream")
	loseToken := f.faultyEvery > 0 && f.served.Load()%f.faultyEvery == 0
	for i, token := range stand.Answer(prompt, body.MaxTokens) {
		if !loseToken || i != 5 {
			fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", token)
		}
	}
	fmt.Fprintf(w, "data: {\"choices\":[{\"finish_reason\":%q}]}\n\n", stand.FinishReason(prompt, body.MaxTokens))
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// runFake runs a scenario against a fake instance for half a second.
func runFake(t *testing.T, faulty int64) *Report {
	t.Helper()
	plain := stand.NewPlain(stand.PlainConfig{ServiceTime: time.Microsecond})
	plainServer := httptest.NewServer(plain.Handler())
	defer plainServer.Close()
	plainAddress := strings.TrimPrefix(plainServer.URL, "http://")
	client := httpport.NewClient()
	defer client.CloseIdleConnections()
	fake := &fakeInstance{plain: httpport.NewPlainService(plainAddress, client), faultyEvery: faulty}
	server := httptest.NewServer(fake)
	defer server.Close()
	defer http.DefaultClient.CloseIdleConnections()
	s := &Scenario{
		Name: "fake", Seed: 1, Duration: Duration{500 * time.Millisecond},
		Instances:     []Instance{{"entry-1", strings.TrimPrefix(server.URL, "http://")}},
		PlainServices: []string{plainAddress},
		Organisations: []Organisation{{Name: "zoo-a", Key: "cw-a"}},
		Kinds: []Kind{
			{Name: "handover", Form: FormChat, RequestsPerSecond: 60, Model: "m", Stream: true, PromptTokens: [2]int{5, 500}, MaxTokens: [2]int{8, 64}},
			{Name: "swap", Form: FormCall, RequestsPerSecond: 60, Service: "dezurstva", Method: "POST", Path: "/swaps"},
			{Name: "lookup", Form: FormCall, RequestsPerSecond: 60, Service: "dezurstva", Path: "/roster/today", Idempotent: true},
		},
	}
	s.setDefaults()
	assert.NilError(t, s.validate())
	report, err := Run(context.Background(), s, "test")
	assert.NilError(t, err)
	return report
}

func TestRunAgainstCorrectInstance(t *testing.T) {
	report := runFake(t, 0)
	assert.Equal(t, len(report.Violations), 0, "%v", report.Violations)
	assert.Equal(t, len(report.Kinds), 3)
	for _, k := range report.Kinds {
		assert.Equal(t, k.Complete, k.Offered, k.Name)
		assert.Assert(t, k.Offered > 0, k.Name)
	}
	checkReportFiles(t, report)
}

// checkReportFiles writes the report in each format and reads the JSON back.
func checkReportFiles(t *testing.T, report *Report) {
	t.Helper()
	out := filepath.Join(t.TempDir(), "report")
	assert.NilError(t, report.WriteJSON(out+".json"))
	assert.NilError(t, report.WriteHTML(out+".html"))
	again, err := ReadReport(out + ".json")
	assert.NilError(t, err)
	assert.NilError(t, again.WriteJSON(out+"-again.json"))
	assert.Equal(t, readFile(t, out+"-again.json"), readFile(t, out+".json"))
	assert.NilError(t, report.WriteTasks(out+".ndjson"))
	assert.Equal(t, strings.Count(readFile(t, out+".ndjson"), "\n"), report.Tasks)
	page := readFile(t, out+".html")
	assert.Equal(t, strings.Count(page, "<svg"), 6)
	assert.Assert(t, !strings.Contains(page, "src="), "the page refers to other files")
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	return string(data)
}

// Guards against undetected gaps: one answer in three lacks a token in the middle but is marked as
// complete.
func TestRunFindsLostTokens(t *testing.T) {
	report := runFake(t, 3)
	assert.Assert(t, len(report.Violations) > 0)
	for _, v := range report.Violations {
		assert.Equal(t, v.Guarantee, GuaranteeCompleteAnswer, v.String())
	}
}

// A stream may end in different ways before the terminator. Only an error event or a lost
// connection tells the caller that the answer is incomplete; a clean end does not.
func TestStreamOutcomes(t *testing.T) {
	token := `data: {"choices":[{"delta":{"content":"x "}}]}` + "\n\n"
	failure := `data: {"error":{"code":"upstream_crashed","ran":"ran"}}` + "\n\n"
	tests := map[string]struct {
		body io.Reader
		want Outcome
	}{
		"complete":     {strings.NewReader(token + "data: [DONE]\n\n"), OutcomeComplete},
		"failed":       {strings.NewReader(token + failure), OutcomeFailed},
		"truncated":    {strings.NewReader(token), OutcomeTruncated},
		"disconnected": {io.MultiReader(strings.NewReader(token), failingReader{}), ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := &Attempt{}
			err := (&sender{startedAt: time.Now()}).readEvents(test.body, a)
			assert.Equal(t, err != nil, test.want == "")
			assert.Equal(t, a.Outcome, test.want)
			assert.Equal(t, a.Text, "x ")
		})
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
