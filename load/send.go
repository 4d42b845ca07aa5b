package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cairnworks/cairnworks/stand"
)

// sender sends attempts and reads their responses.
type sender struct {
	scenario  *Scenario
	client    *http.Client
	startedAt time.Time
	runName   string
}

// maxIdleConnsPerInstance bounds the idle connections to an instance, not the open ones.
const maxIdleConnsPerInstance = 512

func newSender(s *Scenario, run string, start time.Time) *sender {
	return &sender{scenario: s, runName: run, startedAt: start, client: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerInstance,
		DisableCompression:  true,
	}}}
}

func (s *sender) elapsed() time.Duration { return time.Since(s.startedAt) }

// payload is the request that every attempt of a task sends.
type payload struct {
	method, path, query string
	body                []byte
	header              http.Header
}

type completionRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages,omitempty"`
	Prompt    string        `json:"prompt,omitempty"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// prepare builds a task's payload and a result with its expected answer.
func (s *sender) prepare(task *Task) (payload, *Result) {
	result := &Result{Task: task}
	p := payload{header: http.Header{}}
	p.header.Set("Authorization", "Bearer "+task.Organisation.Key)
	p.header.Set("Content-Type", "application/json")
	if task.Kind.Form == FormCall {
		s.prepareCall(task, &p, result)
	} else {
		s.prepareModel(task, &p, result)
	}
	return p, result
}

func (s *sender) prepareModel(task *Task, p *payload, result *Result) {
	content := task.PromptContent(s.runName)
	prompt := task.enginePrompt(content)
	result.PromptHash = stand.PromptHash(prompt)
	result.PromptTokens = stand.CountTokens(prompt)
	result.WantText = strings.Join(stand.Answer(prompt, task.MaxTokens), "")
	result.WantFinish = stand.FinishReason(prompt, task.MaxTokens)
	body := completionRequest{Model: task.Kind.Model, Stream: task.Kind.Stream, MaxTokens: task.MaxTokens}
	p.method, p.path = http.MethodPost, "/v1/completions"
	if task.Kind.Form == FormChat {
		p.path = "/v1/chat/completions"
		body.Messages = []chatMessage{{Role: "user", Content: content}}
	} else {
		body.Prompt = content
	}
	if task.Kind.Deferrable {
		p.header.Set("X-Request-Class", "deferrable")
	}
	p.body, _ = json.Marshal(body) // cannot fail: the body holds only strings, numbers and booleans
}

func (s *sender) prepareCall(task *Task, p *payload, result *Result) {
	key := task.idempotencyKey(s.runName)
	p.method = task.Kind.Method
	p.path = "/services/" + task.Kind.Service + task.Kind.Path
	p.query = "n=" + key
	if p.method != http.MethodGet {
		p.body = []byte(`{"call":"` + key + `"}`)
	}
	result.Query = p.query
	result.CallBodyHash = stand.PromptHash(string(p.body))
	result.CallKey = stand.CallKey(p.method, task.Kind.Path, p.query, p.body)
	if !task.Kind.Idempotent {
		result.IdempotencyKey = key
		p.header.Set("Idempotency-Key", key)
	}
}

// send makes one attempt at the instance with the given index. It cancels the attempt after
// cancelAfter, unless that is 0.
func (s *sender) send(ctx context.Context, p payload, instance int, cancelAfter time.Duration) *Attempt {
	target := s.scenario.Instances[instance]
	a := &Attempt{Instance: target.Name, SentAt: s.elapsed()}
	ctx, stop := context.WithTimeout(ctx, s.scenario.RequestTimeout.Duration)
	defer stop()
	if cancelAfter > 0 {
		timer := time.AfterFunc(cancelAfter, stop)
		defer timer.Stop()
	}
	req, err := http.NewRequestWithContext(ctx, p.method, "http://"+target.Address+p.path+"?"+p.query, bytes.NewReader(p.body))
	if err == nil {
		req.Header = p.header.Clone()
		// Without GetBody, the client cannot resend the request on its own, which would be an
		// unrecorded attempt.
		req.GetBody = nil
		err = s.roundTrip(req, a)
	}
	a.LastByteAt = max(a.LastByteAt, a.FirstByteAt)
	if a.Outcome == "" {
		a.LastByteAt = s.elapsed()
		a.Outcome = classifyError(ctx, err)
		a.Detail = err.Error()
	}
	return a
}

// classifyError returns the outcome of an attempt that ended without a response that determines it.
func classifyError(ctx context.Context, err error) Outcome {
	var op *net.OpError
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return OutcomeCancelled
	case ctx.Err() != nil:
		return OutcomeTimedOut
	case errors.As(err, &op) && op.Op == "dial":
		return OutcomeUnreachable
	default:
		return OutcomeDisconnected
	}
}

// roundTrip sends the request and sets a.Outcome from the response; without an outcome it returns
// an error.
func (s *sender) roundTrip(req *http.Request, a *Attempt) error {
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	a.Status = resp.StatusCode
	a.RequestID = resp.Header.Get("X-Request-Id")
	a.Replayed = resp.Header.Get("Idempotency-Replayed") == "true"
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return s.readEvents(resp.Body, a)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	a.FirstByteAt = s.elapsed()
	a.LastByteAt = a.FirstByteAt
	a.readBody(body)
	return nil
}

// readBody decodes a response that is not streamed: an error, a completion or a call's echo.
func (a *Attempt) readBody(body []byte) {
	var failure errorEnvelope
	if a.Status >= http.StatusBadRequest && json.Unmarshal(body, &failure) == nil && failure.Error != nil {
		a.Outcome = OutcomeRefused
		a.FirstByteAt = 0
		a.setError(failure.Error)
		return
	}
	a.Outcome = OutcomeComplete
	a.Body = string(body)
	var done completionResponse
	if json.Unmarshal(body, &done) == nil && len(done.Choices) > 0 {
		a.Terminators = 1
		a.setCompletion(&done)
		return
	}
	var echo stand.PlainAnswer
	if json.Unmarshal(body, &echo) == nil && echo.Path != "" {
		a.Echo = &echo
	}
}

func (a *Attempt) setError(e *errorDetail) {
	a.Reason, a.Ran, a.Retryable, a.Detail = e.Code, e.Ran, e.Retryable, e.Message
	a.RetryAfter = time.Duration(e.RetryAfterMS) * time.Millisecond
	if e.RequestID != "" {
		a.RequestID = e.RequestID
	}
}
