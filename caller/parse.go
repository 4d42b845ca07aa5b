package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/cairnworks/cairnworks/verdict"
)

const (
	// maxCompletionBodyBytes is the maximum size of a completion request body in bytes. The longest
	// accepted prompt, some tens of thousands of tokens, takes a few hundred kilobytes.
	maxCompletionBodyBytes = 1 << 20
	// defaultMaxTokens is the maximum number of output tokens if the caller sets none.
	defaultMaxTokens = 256
	// maxPrefixHashes limits the hashes sent with a reservation to those of the first 4,096
	// words. Only very long prompts share longer prefixes; what the further hashes would save
	// is small compared with their prefill, and each hash adds ten bytes of control traffic.
	maxPrefixHashes = 64
)

// completionBody holds the fields of an OpenAI-compatible request body that are used. Unknown
// fields are ignored because common clients send many that have no meaning here.
type completionBody struct {
	Model     string          `json:"model"`
	Messages  []chatMessage   `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	Stream    bool            `json:"stream"`
	MaxTokens *int            `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of max_tokens and takes precedence over it.
	MaxCompletionTokens *int           `json:"max_completion_tokens"`
	N                   *int           `json:"n"`
	StreamOptions       *streamOptions `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

func badRequest(format string, args ...any) error {
	return verdict.Refuse(verdict.ReasonBadRequest, 0, format, args...)
}

// readBody reads a body of at most limit bytes.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, verdict.Refuse(verdict.ReasonBodyTooLarge, 0, "the body exceeds %d bytes", limit)
	}
	if err != nil {
		return nil, badRequest("cannot read the body: %v", err)
	}
	return body, nil
}

// parseCompletion parses and validates the body of a chat or text completion. It also returns
// the prompt text.
func parseCompletion(data []byte, chat bool) (completionBody, string, error) {
	var body completionBody
	if err := json.Unmarshal(data, &body); err != nil {
		return body, "", badRequest("the body is not valid JSON: %v", err)
	}
	if body.Model == "" {
		return body, "", badRequest("'model' is missing")
	}
	if body.N != nil && *body.N != 1 {
		return body, "", badRequest("'n' is %d; only 1 is supported", *body.N)
	}
	if max := body.maxTokens(); max != nil && *max < 1 {
		return body, "", badRequest("'max_tokens' is %d; it must be at least 1", *max)
	}
	prompt, err := body.prompt(chat)
	if err == nil && strings.TrimSpace(prompt) == "" {
		err = badRequest("the prompt is empty")
	}
	return body, prompt, err
}

func (b *completionBody) maxTokens() *int {
	if b.MaxCompletionTokens != nil {
		return b.MaxCompletionTokens
	}
	return b.MaxTokens
}

func (b *completionBody) prompt(chat bool) (string, error) {
	if !chat {
		var text string
		if err := json.Unmarshal(b.Prompt, &text); err != nil {
			return "", badRequest("'prompt' must be a string")
		}
		return text, nil
	}
	if len(b.Messages) == 0 {
		return "", badRequest("'messages' is missing or empty")
	}
	var prompt strings.Builder
	for i, message := range b.Messages {
		content, err := message.text()
		if err != nil {
			return "", badRequest("messages[%d].content must be a string or a list of text parts", i)
		}
		prompt.WriteString(message.Role)
		prompt.WriteString(": ")
		prompt.WriteString(content)
		prompt.WriteString("\n")
	}
	return prompt.String(), nil
}

func (m chatMessage) text() (string, error) {
	content := bytes.TrimSpace(m.Content)
	if len(content) > 0 && content[0] == '[' {
		var parts []contentPart
		if err := json.Unmarshal(content, &parts); err != nil {
			return "", err
		}
		var text strings.Builder
		for _, part := range parts {
			if part.Type != "text" {
				return "", errors.New("only text parts are supported")
			}
			text.WriteString(part.Text)
		}
		return text.String(), nil
	}
	var text string
	err := json.Unmarshal(content, &text)
	return text, err
}
