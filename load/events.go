package load

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"strings"
)

// terminator is the last line of a streamed answer.
const terminator = "[DONE]"

var errNoTerminator = errors.New("the answer ended without its terminator")

type errorEvent struct {
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

type completionEvent struct {
	Choices []struct {
		Text    string `json:"text"`
		Delta   delta  `json:"delta"`
		Message delta  `json:"message"`
		// FinishReason is null until the end.
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

type delta struct {
	Content string `json:"content"`
}

// readEvents reads server-sent events to the end of the response.
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
			a.Last = s.now()
			if a.First == 0 {
				a.First = a.Last
			}
		}
	}
	a.Text = text.String()
	return a.streamEnded(lines.Err())
}

func (a *Attempt) readEvent(data string, text *strings.Builder) {
	if data == terminator {
		a.Terminators++
		return
	}
	var failure errorEvent
	if json.Unmarshal([]byte(data), &failure) == nil && failure.Error != nil {
		a.Outcome = OutcomeFailed
		a.fail(failure.Error)
		return
	}
	var event completionEvent
	if json.Unmarshal([]byte(data), &event) != nil {
		return
	}
	for _, choice := range event.Choices {
		text.WriteString(choice.Text + choice.Delta.Content)
		if choice.FinishReason != "" {
			a.Finish = choice.FinishReason
		}
	}
}

// streamEnded decides the outcome of a streamed answer. One that failed by an
// event keeps that outcome, unless it also claims to be whole.
func (a *Attempt) streamEnded(err error) error {
	switch {
	case a.Terminators > 0:
		a.Outcome = OutcomeWhole
	case a.Outcome == OutcomeFailed:
	case err != nil:
		return err
	default:
		a.Outcome = OutcomeCut
		a.Detail = errNoTerminator.Error()
	}
	return nil
}

// take reads a completion that came in one body.
func (a *Attempt) take(event *completionEvent) {
	choice := event.Choices[0]
	a.Text = choice.Text + choice.Message.Content
	a.Finish = choice.FinishReason
	a.Tokens = 1
}
