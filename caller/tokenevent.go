package caller

import (
	"bytes"
	"encoding/json"
)

// tokenEventEncoder encodes the JSON of token events. The events of a response differ only in
// the token text, so the rest is encoded once. At hundreds of thousands of tokens per second,
// the reflection of a full encoding was the largest part of the per-token cost in this package.
type tokenEventEncoder struct {
	// prefix and suffix are the encoded event before and after the token text.
	prefix, suffix []byte
	buffer         bytes.Buffer
	textEncoder    *json.Encoder
}

// newTokenEventEncoder encodes an event with placeholder as its text and keeps the parts before
// and after it.
func newTokenEventEncoder(placeholder string, event func(text string) completion) *tokenEventEncoder {
	e := &tokenEventEncoder{}
	e.textEncoder = json.NewEncoder(&e.buffer)
	e.textEncoder.SetEscapeHTML(false)
	data, err := json.Marshal(event(placeholder))
	if err != nil {
		return e
	}
	// The text is the last occurrence; the model name before it can contain the same string.
	quoted := []byte(`"` + placeholder + `"`)
	at := bytes.LastIndex(data, quoted)
	e.prefix, e.suffix = data[:at], data[at+len(quoted):]
	return e
}

// encode returns the event of one token. The returned slice is valid until the next call.
func (e *tokenEventEncoder) encode(text string) ([]byte, error) {
	e.buffer.Reset()
	e.buffer.Write(e.prefix)
	if err := e.textEncoder.Encode(text); err != nil {
		return nil, err
	}
	e.buffer.Truncate(e.buffer.Len() - 1) // remove the newline added by Encode
	e.buffer.Write(e.suffix)
	return e.buffer.Bytes(), nil
}
