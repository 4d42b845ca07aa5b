package load

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"strings"
)

// terminator is the data of the last event of a streamed answer.
const terminator = "[DONE]"

var errNoTerminator = errors.New("the stream ended without its terminator")

type errorEnvelope struct {
	Error *errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string `json:"message"`
	Code         string `json:"code"`
	Ran          string `json:"ran"`
	Retryable    bool   `json:"retryable"`
	RetryAfterMS int64  `json:"retry_after_ms"`
	RequestID    string `json:"request_id"`
}

type completionResponse struct {
	Choices []struct {
		Text    string `json:"text"`
		Delta   delta  `json:"delta"`
		Message delta  `json:"message"`
		// FinishReason is null until the last event of a stream.
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

type delta struct {
	Content string `json:"content"`
}

// readEvents reads server-sent events until the end of the response.
func (s *sender) readEvents(body io.Reader, a *Attempt) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	var text strings.Builder
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if a.Terminators > 0 {
			a.AfterTerminator = true
		}
		before := text.Len()
		a.readEvent(data, &text)
		if text.Len() > before {
			a.Tokens++
			a.LastByteAt = s.elapsed()
			if a.FirstByteAt == 0 {
				a.FirstByteAt = a.LastByteAt
			}
		}
	}
	a.Text = text.String()
	return a.finishStream(lines.Err())
}

func (a *Attempt) readEvent(data string, text *strings.Builder) {
	if data == terminator {
		a.Terminators++
		return
	}
	var failure errorEnvelope
	if json.Unmarshal([]byte(data), &failure) == nil && failure.Error != nil {
		a.Outcome = OutcomeFailed
		a.setError(failure.Error)
		return
	}
	var event completionResponse
	if json.Unmarshal([]byte(data), &event) != nil {
		return
	}
	for _, choice := range event.Choices {
		text.WriteString(choice.Text + choice.Delta.Content)
		if choice.FinishReason != "" {
			a.FinishReason = choice.FinishReason
		}
	}
}

// finishStream sets the outcome of a streamed answer. An answer with an error event remains failed,
// unless it also has a terminator.
func (a *Attempt) finishStream(err error) error {
	switch {
	case a.Terminators > 0:
		a.Outcome = OutcomeComplete
	case a.Outcome == OutcomeFailed:
	case err != nil:
		return err
	default:
		a.Outcome = OutcomeTruncated
		a.Detail = errNoTerminator.Error()
	}
	return nil
}

// setCompletion sets the answer from a completion that is not streamed.
func (a *Attempt) setCompletion(event *completionResponse) {
	choice := event.Choices[0]
	a.Text = choice.Text + choice.Message.Content
	a.FinishReason = choice.FinishReason
	a.Tokens = 1
}
