package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/cairnworks/cairnworks/stand"
)

// response is a response as received by a caller.
type response struct {
	status int
	tokens []string
	// complete reports whether the stream ended with its terminator.
	complete bool
	// code and ran are the fields of the error body or error event, if any.
	code, ran string
	header    http.Header
	err       error
}

// errorEvent is the format of error bodies and error events.
type errorEvent struct {
	Error *struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

// chat streams one completion through an instance. It calls onToken, unless it is nil, after each
// event with the number of tokens received.
func chat(ctx context.Context, address, key, prompt string, maxTokens int, onToken func(n int)) response {
	body, _ := json.Marshal(map[string]any{
		"model": "pisar-small", "stream": true, "max_tokens": maxTokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	httpResp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer httpResp.Body.Close()
	resp := response{status: httpResp.StatusCode, header: httpResp.Header}
	if httpResp.StatusCode != http.StatusOK {
		resp.readError(json.NewDecoder(httpResp.Body))
		return resp
	}
	resp.readEvents(bufio.NewScanner(httpResp.Body), onToken)
	return resp
}

func (r *response) readError(decoder *json.Decoder) {
	var event errorEvent
	if err := decoder.Decode(&event); err == nil && event.Error != nil {
		r.code, r.ran = event.Error.Code, event.Error.Ran
	}
}

func (r *response) readEvents(scanner *bufio.Scanner, onToken func(n int)) {
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.complete = true
			return
		}
		r.readEvent(data)
		if onToken != nil {
			onToken(len(r.tokens))
		}
	}
	r.err = scanner.Err()
}

func (r *response) readEvent(data string) {
	var event struct {
		errorEvent
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		r.err = err
		return
	}
	if event.Error != nil {
		r.code, r.ran = event.Error.Code, event.Error.Ran
		return
	}
	for _, choice := range event.Choices {
		if choice.Delta.Content != "" {
			r.tokens = append(r.tokens, choice.Delta.Content)
		}
	}
}

// problem describes what is wrong with a streamed response. It returns an empty string if the
// response is complete and has the tokens of this prompt.
func (r *response) problem(prompt string, maxTokens int) string {
	want := strings.Join(stand.Answer("user: "+prompt+"\n", maxTokens), "")
	switch got := strings.Join(r.tokens, ""); {
	case r.err != nil:
		return r.err.Error()
	case r.status != http.StatusOK || r.code != "":
		return fmt.Sprintf("status %d code %s ran %s", r.status, r.code, r.ran)
	case !r.complete:
		return "no terminator"
	case got != want:
		return fmt.Sprintf("got %q, want %q", got, want)
	}
	return ""
}

// callPlain sends one request to the plain service and returns the response and its body.
func callPlain(ctx context.Context, address, key, method, path, idempotencyKey, body string) (response, string) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/services/dezurstva"+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}, ""
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	httpResp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}, ""
	}
	defer httpResp.Body.Close()
	var text bytes.Buffer
	_, err = text.ReadFrom(httpResp.Body)
	resp := response{status: httpResp.StatusCode, header: httpResp.Header, err: err}
	if httpResp.StatusCode >= 400 {
		resp.readError(json.NewDecoder(bytes.NewReader(text.Bytes())))
	}
	return resp, text.String()
}
