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

// fakeInstance answers as an instance does, from stand.Answer and a stand-in of a
// plain service, without a fleet behind it.
type fakeInstance struct {
	plain port.PlainService
	// faulty makes every so many-th streamed answer lose its sixth token; 0 none.
	faulty int64
	served atomic.Int64
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
	var body chatBody
	_ = json.Unmarshal(data, &body)
	prompt := "user: " + body.Messages[0].Content + "\n"
	w.Header().Set("Content-Type", "text/event-stream")
	lose := f.faulty > 0 && f.served.Load()%f.faulty == 0
	for i, token := range stand.Answer(prompt, body.MaxTokens) {
		if !lose || i != 5 {
			fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", token)
		}
	}
	fmt.Fprintf(w, "data: {\"choices\":[{\"finish_reason\":%q}]}\n\n", stand.FinishReason(prompt, body.MaxTokens))
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// runFake drives a fake instance for half a second.
func runFake(t *testing.T, faulty int64) *Report {
	t.Helper()
	plain := stand.NewPlain(stand.PlainConfig{ServiceTime: time.Microsecond})
	plainServer := httptest.NewServer(plain.Handler())
	defer plainServer.Close()
	plainAddress := strings.TrimPrefix(plainServer.URL, "http://")
	client := httpport.NewClient()
	defer client.CloseIdleConnections()
	fake := &fakeInstance{plain: httpport.NewPlainService(plainAddress, client), faulty: faulty}
	server := httptest.NewServer(fake)
	defer server.Close()
	defer http.DefaultClient.CloseIdleConnections()
	s := &Scenario{
		Name: "fake", Seed: 1, Duration: Duration{500 * time.Millisecond},
		Instances:     []Instance{{"entry-1", strings.TrimPrefix(server.URL, "http://")}},
		PlainServices: []string{plainAddress},
		Organisations: []Organisation{{Name: "zoo-a", Key: "cw-a"}},
		Kinds: []Kind{
			{Name: "handover", Form: FormChat, PerSecond: 60, Model: "m", Stream: true, PromptTokens: [2]int{5, 500}, MaxTokens: [2]int{8, 64}},
			{Name: "swap", Form: FormCall, PerSecond: 60, Service: "dezurstva", Method: "POST", Path: "/swaps"},
			{Name: "lookup", Form: FormCall, PerSecond: 60, Service: "dezurstva", Path: "/roster/today", Idempotent: true},
		},
	}
	s.fillDefaults()
	assert.NilError(t, s.check())
	report, err := Run(context.Background(), s, "test")
	assert.NilError(t, err)
	return report
}

func TestRunOfARightInstance(t *testing.T) {
	report := runFake(t, 0)
	assert.Equal(t, len(report.Violations), 0, "%v", report.Violations)
	assert.Equal(t, len(report.Kinds), 3)
	for _, k := range report.Kinds {
		assert.Equal(t, k.Whole, k.Offered, k.Name)
		assert.Assert(t, k.Offered > 0, k.Name)
	}
	checkFiles(t, report)
}

// checkFiles writes the report and reads it back.
func checkFiles(t *testing.T, report *Report) {
	t.Helper()
	out := filepath.Join(t.TempDir(), "report")
	assert.NilError(t, report.WriteJSON(out+".json"))
	assert.NilError(t, report.WriteHTML(out+".html"))
	again, err := ReadReport(out + ".json")
	assert.NilError(t, err)
	assert.NilError(t, again.WriteJSON(out+"-again.json"))
	assert.Equal(t, contents(t, out+"-again.json"), contents(t, out+".json"))
	assert.NilError(t, report.WriteTasks(out+".ndjson"))
	assert.Equal(t, strings.Count(contents(t, out+".ndjson"), "\n"), report.Tasks)
	page := contents(t, out+".html")
	assert.Equal(t, strings.Count(page, "<svg"), 6)
	assert.Assert(t, !strings.Contains(page, "src="), "the page needs other files")
}

func contents(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	return string(data)
}

// One answer in three lacks a token in the middle and ends as if it were whole.
// The caller reads a text with a hole.
func TestRunFindsLostTokens(t *testing.T) {
	report := runFake(t, 3)
	assert.Assert(t, len(report.Violations) > 0)
	for _, v := range report.Violations {
		assert.Equal(t, v.Promise, PromiseWhole, v.String())
	}
}

// A caller's connection ends in different ways before the terminator. Only an
// error event or a broken connection tells it that the answer is not whole.
func TestEndsOfStreams(t *testing.T) {
	token := `data: {"choices":[{"delta":{"content":"x "}}]}` + "\n\n"
	failure := `data: {"error":{"code":"upstream_crashed","ran":"ran"}}` + "\n\n"
	tests := map[string]struct {
		body io.Reader
		want Outcome
	}{
		"whole":  {strings.NewReader(token + "data: [DONE]\n\n"), OutcomeWhole},
		"failed": {strings.NewReader(token + failure), OutcomeFailed},
		"cut":    {strings.NewReader(token), OutcomeCut},
		"broken": {io.MultiReader(strings.NewReader(token), brokenReader{}), ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := &Attempt{}
			err := (&sender{start: time.Now()}).readEvents(test.body, a)
			assert.Equal(t, err != nil, test.want == "")
			assert.Equal(t, a.Outcome, test.want)
			assert.Equal(t, a.Text, "x ")
		})
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
