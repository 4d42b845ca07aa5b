package caller

import (
	"bytes"
	"encoding/json"
)

// tokenEvent renders the JSON of a token's event. All events of an answer are the
// same but for the token, so the rest is rendered once; at hundreds of thousands
// of tokens a second the reflection of a full encoding was the largest part of a
// token's cost here.
type tokenEvent struct {
	before, after []byte
	buffer        bytes.Buffer
	encoder       *json.Encoder
}

// newTokenEvent renders the event of a text that stands nowhere else in it and
// keeps what is around.
func newTokenEvent(unique string, event func(text string) completion) *tokenEvent {
	e := &tokenEvent{}
	e.encoder = json.NewEncoder(&e.buffer)
	e.encoder.SetEscapeHTML(false)
	data, err := json.Marshal(event(unique))
	if err != nil {
		return e
	}
	// The last place is the text's: the names before it may look the same.
	quoted := []byte(`"` + unique + `"`)
	at := bytes.LastIndex(data, quoted)
	e.before, e.after = data[:at], data[at+len(quoted):]
	return e
}

// render returns the event of one token. The bytes are valid until the next call.
func (e *tokenEvent) render(text string) ([]byte, error) {
	e.buffer.Reset()
	e.buffer.Write(e.before)
	if err := e.encoder.Encode(text); err != nil {
		return nil, err
	}
	e.buffer.Truncate(e.buffer.Len() - 1) // the encoder's line end
	e.buffer.Write(e.after)
	return e.buffer.Bytes(), nil
}
