package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cairnworks/cairnworks/route"
)

// usage is the token count that usual clients read.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// completionWriter turns tokens into the OpenAI-style response, streamed or whole.
type completionWriter struct {
	x     *exchange
	req   *Request
	chat  bool
	usage bool
	// events is nil for a response sent whole.
	events *eventWriter
	whole  strings.Builder
	// token renders the events of a stream that carry one token each.
	token *tokenEvent
}

func newCompletionWriter(x *exchange, req *Request, chat bool, body *completionBody) *completionWriter {
	w := &completionWriter{x: x, req: req, chat: chat}
	w.usage = body.StreamOptions != nil && body.StreamOptions.IncludeUsage
	if req.Stream {
		w.events = newEventWriter(x.w)
		x.w = w.events
		w.token = newTokenEvent(x.id, func(text string) completion { return w.chunk(text, nil) })
	}
	return w
}

// Token implements route.Sink.
func (w *completionWriter) Token(text string) error {
	if w.events == nil {
		w.whole.WriteString(text)
		return nil
	}
	data, err := w.token.render(text)
	if err != nil {
		return err
	}
	return w.events.event(data)
}

func (w *completionWriter) chunk(text string, finish *string) completion {
	c := choice{FinishReason: finish}
	if w.chat {
		c.Delta = &message{Role: "assistant", Content: text}
		return w.envelope("chat.completion.chunk", c)
	}
	c.Text = &text
	return w.envelope("text_completion", c)
}

func (w *completionWriter) envelope(object string, choices ...choice) completion {
	return completion{
		ID: "cmpl-" + w.x.id, Object: object, Created: w.x.arrived.Unix(), Model: w.req.Model, Choices: choices,
	}
}

// finish ends the answer: the last event and the terminator, or the whole body.
func (w *completionWriter) finish(answer route.Answer) error {
	counts := &usage{answer.PromptTokens, answer.OutputTokens, answer.PromptTokens + answer.OutputTokens}
	if w.events == nil {
		return w.finishWhole(answer, counts)
	}
	if err := w.events.json(w.chunk("", &answer.FinishReason)); err != nil {
		return callerGone(err)
	}
	if w.usage {
		last := w.envelope("chat.completion.chunk")
		last.Choices, last.Usage = []choice{}, counts
		if err := w.events.json(last); err != nil {
			return callerGone(err)
		}
	}
	return callerGone(w.events.done())
}

func (w *completionWriter) finishWhole(answer route.Answer, counts *usage) error {
	text := w.whole.String()
	c, object := choice{FinishReason: &answer.FinishReason}, "text_completion"
	if w.chat {
		c.Message, object = &message{Role: "assistant", Content: text}, "chat.completion"
	} else {
		c.Text = &text
	}
	body := w.envelope(object, c)
	body.Usage = counts
	return writeJSON(w.x.w, body)
}

func writeJSON(w http.ResponseWriter, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	_, err = w.Write(data)
	return callerGone(err)
}
