package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cairnworks/cairnworks/route"
)

// usage holds the token counts in the form that OpenAI clients expect.
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

// completionWriter writes tokens as an OpenAI-compatible response, either streamed or as one
// body.
type completionWriter struct {
	x    *exchange
	req  *Request
	chat bool
	// includeUsage adds an event with the token counts at the end of a stream.
	includeUsage bool
	// events is nil if the response is not streamed.
	events *eventWriter
	// buffered collects the text of a response that is not streamed.
	buffered strings.Builder
	// tokenEvents encodes the events of a stream that contain a single token.
	tokenEvents *tokenEventEncoder
}

func newCompletionWriter(x *exchange, req *Request, chat bool, body *completionBody) *completionWriter {
	w := &completionWriter{x: x, req: req, chat: chat}
	w.includeUsage = body.StreamOptions != nil && body.StreamOptions.IncludeUsage
	if req.Stream {
		w.events = newEventWriter(x.w)
		x.w = w.events
		w.tokenEvents = newTokenEventEncoder(x.id, func(text string) completion { return w.chunk(text, nil) })
	}
	return w
}

// Token implements route.Sink.
func (w *completionWriter) Token(text string) error {
	if w.events == nil {
		w.buffered.WriteString(text)
		return nil
	}
	data, err := w.tokenEvents.encode(text)
	if err != nil {
		return err
	}
	return w.events.writeEvent(data)
}

func (w *completionWriter) chunk(text string, finish *string) completion {
	c := choice{FinishReason: finish}
	if w.chat {
		c.Delta = &message{Role: "assistant", Content: text}
		return w.newCompletion("chat.completion.chunk", c)
	}
	c.Text = &text
	return w.newCompletion("text_completion", c)
}

func (w *completionWriter) newCompletion(object string, choices ...choice) completion {
	return completion{
		ID: "cmpl-" + w.x.id, Object: object, Created: w.x.arrived.Unix(), Model: w.req.Model, Choices: choices,
	}
}

// finish completes the response. It writes the final events and the terminator of a stream, or
// the complete body.
func (w *completionWriter) finish(answer route.Answer) error {
	counts := &usage{answer.PromptTokens, answer.OutputTokens, answer.PromptTokens + answer.OutputTokens}
	if w.events == nil {
		return w.finishBuffered(answer, counts)
	}
	if err := w.events.writeJSON(w.chunk("", &answer.FinishReason)); err != nil {
		return wrapWriteError(err)
	}
	if w.includeUsage {
		last := w.newCompletion("chat.completion.chunk")
		last.Choices, last.Usage = []choice{}, counts
		if err := w.events.writeJSON(last); err != nil {
			return wrapWriteError(err)
		}
	}
	return wrapWriteError(w.events.writeDone())
}

func (w *completionWriter) finishBuffered(answer route.Answer, counts *usage) error {
	text := w.buffered.String()
	c, object := choice{FinishReason: &answer.FinishReason}, "text_completion"
	if w.chat {
		c.Message, object = &message{Role: "assistant", Content: text}, "chat.completion"
	} else {
		c.Text = &text
	}
	body := w.newCompletion(object, c)
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
	return wrapWriteError(err)
}
