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

// sender sends attempts and reads what comes back.
type sender struct {
	scenario *Scenario
	client   *http.Client
	start    time.Time
	run      string
}

// connectionsPerInstance kept open; more are made when needed.
const connectionsPerInstance = 512

func newSender(s *Scenario, run string, start time.Time) *sender {
	return &sender{scenario: s, run: run, start: start, client: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: connectionsPerInstance,
		DisableCompression:  true,
	}}}
}

func (s *sender) now() time.Duration { return time.Since(s.start) }

// payload is what every attempt of a task sends.
type payload struct {
	method, path, query string
	body                []byte
	header              http.Header
}

type chatBody struct {
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

// prepare builds a task's payload and the answer it must get.
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
	content := task.Content(s.run)
	prompt := task.enginePrompt(content)
	result.PromptHash = stand.PromptHash(prompt)
	result.PromptTokens = stand.CountTokens(prompt)
	result.WantText = strings.Join(stand.Answer(prompt, task.MaxTokens), "")
	result.WantFinish = stand.FinishReason(prompt, task.MaxTokens)
	body := chatBody{Model: task.Kind.Model, Stream: task.Kind.Stream, MaxTokens: task.MaxTokens}
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
	p.body, _ = json.Marshal(body) // strings and numbers only: never fails
}

func (s *sender) prepareCall(task *Task, p *payload, result *Result) {
	key := task.idempotencyKey(s.run)
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

// send makes one attempt at the instance with the given index.
func (s *sender) send(ctx context.Context, p payload, instance int, cancelAfter time.Duration) *Attempt {
	target := s.scenario.Instances[instance]
	a := &Attempt{Instance: target.Name, Sent: s.now()}
	ctx, stop := context.WithTimeout(ctx, s.scenario.Patience.Duration)
	defer stop()
	if cancelAfter > 0 {
		timer := time.AfterFunc(cancelAfter, stop)
		defer timer.Stop()
	}
	req, err := http.NewRequestWithContext(ctx, p.method, "http://"+target.Address+p.path+"?"+p.query, bytes.NewReader(p.body))
	if err == nil {
		req.Header = p.header.Clone()
		// The client must not resend by itself: each sending is an attempt.
		req.GetBody = nil
		err = s.exchange(req, a)
	}
	a.Last = max(a.Last, a.First)
	if a.Outcome == "" {
		a.Last = s.now()
		a.Outcome = outcomeOf(ctx, err)
		a.Detail = err.Error()
	}
	return a
}

// outcomeOf names the end of an attempt without a response that tells it.
func outcomeOf(ctx context.Context, err error) Outcome {
	var op *net.OpError
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return OutcomeCancelled
	case ctx.Err() != nil:
		return OutcomeUnanswered
	case errors.As(err, &op) && op.Op == "dial":
		return OutcomeUnreachable
	default:
		return OutcomeBroken
	}
}

// exchange sets a.Outcome when the response tells it, and fails otherwise.
func (s *sender) exchange(req *http.Request, a *Attempt) error {
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
	a.First = s.now()
	a.Last = a.First
	a.readBody(body)
	return nil
}

// readBody takes a whole response: an error, a completion or a call's echo.
func (a *Attempt) readBody(body []byte) {
	var failure errorEvent
	if a.Status >= http.StatusBadRequest && json.Unmarshal(body, &failure) == nil && failure.Error != nil {
		a.Outcome = OutcomeRefused
		a.First = 0
		a.fail(failure.Error)
		return
	}
	a.Outcome = OutcomeWhole
	a.Body = string(body)
	var done completionEvent
	if json.Unmarshal(body, &done) == nil && len(done.Choices) > 0 {
		a.Terminators = 1
		a.take(&done)
		return
	}
	var echo stand.PlainAnswer
	if json.Unmarshal(body, &echo) == nil && echo.Path != "" {
		a.Call = &echo
	}
}

func (a *Attempt) fail(e *errorDetail) {
	a.Reason, a.Ran, a.Retryable, a.Detail = e.Code, e.Ran, e.Retryable, e.Message
	a.RetryAfter = time.Duration(e.RetryAfterMS) * time.Millisecond
	if e.RequestID != "" {
		a.RequestID = e.RequestID
	}
}
