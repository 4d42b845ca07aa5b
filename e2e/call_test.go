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

// answer is what a caller received.
type answer struct {
	status int
	tokens []string
	// whole tells that the terminator came.
	whole bool
	// code and ran are those of the error body or error event, if any.
	code, ran string
	header    http.Header
	err       error
}

// errorEvent is the form of error bodies and error events.
type errorEvent struct {
	Error *struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

// chat streams one completion through an instance.
func chat(ctx context.Context, address, key, prompt string, maxTokens int, onToken func(n int)) answer {
	body, _ := json.Marshal(map[string]any{
		"model": "pisar-small", "stream": true, "max_tokens": maxTokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	a := answer{status: resp.StatusCode, header: resp.Header}
	if resp.StatusCode != http.StatusOK {
		a.readError(json.NewDecoder(resp.Body))
		return a
	}
	a.readEvents(bufio.NewScanner(resp.Body), onToken)
	return a
}

func (a *answer) readError(decoder *json.Decoder) {
	var event errorEvent
	if err := decoder.Decode(&event); err == nil && event.Error != nil {
		a.code, a.ran = event.Error.Code, event.Error.Ran
	}
}

func (a *answer) readEvents(scanner *bufio.Scanner, onToken func(n int)) {
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.whole = true
			return
		}
		a.readEvent(data)
		if onToken != nil {
			onToken(len(a.tokens))
		}
	}
	a.err = scanner.Err()
}

func (a *answer) readEvent(data string) {
	var event struct {
		errorEvent
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		a.err = err
		return
	}
	if event.Error != nil {
		a.code, a.ran = event.Error.Code, event.Error.Ran
		return
	}
	for _, choice := range event.Choices {
		if choice.Delta.Content != "" {
			a.tokens = append(a.tokens, choice.Delta.Content)
		}
	}
}

// wrong says what is wrong with a streamed answer, or nothing when it is whole
// and its own.
func (a *answer) wrong(prompt string, maxTokens int) string {
	want := strings.Join(stand.Answer("user: "+prompt+"\n", maxTokens), "")
	switch got := strings.Join(a.tokens, ""); {
	case a.err != nil:
		return a.err.Error()
	case a.status != http.StatusOK || a.code != "":
		return fmt.Sprintf("status %d code %s ran %s", a.status, a.code, a.ran)
	case !a.whole:
		return "no terminator"
	case got != want:
		return fmt.Sprintf("got %q, want %q", got, want)
	}
	return ""
}

// call makes one call of the plain service.
func call(ctx context.Context, address, key, method, path, idempotencyKey, body string) (answer, string) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/services/dezurstva"+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}, ""
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}, ""
	}
	defer resp.Body.Close()
	var text bytes.Buffer
	_, err = text.ReadFrom(resp.Body)
	a := answer{status: resp.StatusCode, header: resp.Header, err: err}
	if resp.StatusCode >= 400 {
		a.readError(json.NewDecoder(bytes.NewReader(text.Bytes())))
	}
	return a, text.String()
}
