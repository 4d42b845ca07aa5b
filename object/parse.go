package object

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// Parse reads a set from the JSON text of one file. Every fault of the text is
// reported in one run; the set is usable only when there are none. Fields are
// matched exactly: the standard decoder takes "Hash" for "hash", ignores unknown
// fields and lets the second of two equal fields win, and each of these would
// silently publish something other than what the operator wrote.
func Parse(file string, data []byte) (Set, []Fault) {
	var set Set
	p := parser{file: file}
	if err := validJSON(data); err != nil {
		p.fault(FaultSyntax, "", position(data, err), "one JSON object")
		return Set{}, p.faults
	}
	p.value(data, reflect.TypeFor[Set](), "")
	if len(p.faults) > 0 {
		sortFaults(p.faults)
		return Set{}, p.faults
	}
	if err := json.Unmarshal(data, &set); err != nil {
		p.fault(FaultSyntax, "", err.Error(), "one JSON object")
		return Set{}, p.faults
	}
	return set, nil
}

// parser compares JSON text with the type it is meant for.
type parser struct {
	file   string
	faults []Fault
}

func (p *parser) fault(kind FaultKind, field, given, allowed string) {
	p.faults = append(p.faults, Fault{
		Kind:    kind,
		Object:  Ref{Type: TypeFile, Name: p.file},
		Field:   field,
		Given:   given,
		Allowed: allowed,
	})
}

func (p *parser) value(raw json.RawMessage, t reflect.Type, path string) {
	switch t.Kind() {
	case reflect.Struct:
		p.object(raw, t, path)
	case reflect.Slice:
		p.array(raw, t, path)
	case reflect.Pointer:
		p.value(raw, t.Elem(), path)
	default:
		p.scalar(raw, t, path)
	}
}

func (p *parser) object(raw json.RawMessage, t reflect.Type, path string) {
	if !p.startsWith(raw, '{', path, "an object") {
		return
	}
	fields := fieldTypes(t)
	seen := make(map[string]bool, len(fields))
	dec := json.NewDecoder(bytes.NewReader(raw))
	_, _ = dec.Token()
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return
		}
		name, _ := token.(string)
		var member json.RawMessage
		if dec.Decode(&member) != nil {
			return
		}
		fieldType, known := fields[name]
		switch {
		case !known:
			p.fault(FaultUnknownField, join(path, name), name, strings.Join(fieldNames(t), ", "))
		case seen[name]:
			p.fault(FaultDuplicate, join(path, name), name, "each field once")
		default:
			seen[name] = true
			p.value(member, fieldType, join(path, name))
		}
	}
}

func (p *parser) array(raw json.RawMessage, t reflect.Type, path string) {
	if !p.startsWith(raw, '[', path, "an array") {
		return
	}
	var elements []json.RawMessage
	if json.Unmarshal(raw, &elements) != nil {
		return
	}
	for i, element := range elements {
		p.value(element, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (p *parser) scalar(raw json.RawMessage, t reflect.Type, path string) {
	target := reflect.New(t)
	isNull := bytes.Equal(bytes.TrimSpace(raw), []byte("null"))
	if !isNull && json.Unmarshal(raw, target.Interface()) == nil {
		return
	}
	p.fault(FaultWrongType, path, jsonType(raw), scalarName(t))
}

func (p *parser) startsWith(raw json.RawMessage, first byte, path, allowed string) bool {
	text := bytes.TrimSpace(raw)
	if len(text) > 0 && text[0] == first {
		return true
	}
	p.fault(FaultWrongType, path, jsonType(raw), allowed)
	return false
}

// fieldTypes maps the JSON names of a struct's fields to their types.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	out := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		out[jsonName(t.Field(i))] = t.Field(i).Type
	}
	return out
}

// fieldNames lists the JSON names of a struct's fields in order.
func fieldNames(t reflect.Type) []string {
	out := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		out = append(out, jsonName(t.Field(i)))
	}
	return out
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// jsonType describes a value without repeating it: a key that stands in the
// wrong field must not end up in a report.
func jsonType(raw json.RawMessage) string {
	text := bytes.TrimSpace(raw)
	switch {
	case len(text) == 0:
		return "nothing"
	case text[0] == '{':
		return "an object"
	case text[0] == '[':
		return "an array"
	case text[0] == '"':
		return "a string"
	case text[0] == 't', text[0] == 'f':
		return "a boolean"
	case text[0] == 'n':
		return "null"
	default:
		return "the number " + string(text)
	}
}

func scalarName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Uint64:
		return "a whole number, not negative"
	default:
		return "a whole number"
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// validJSON checks that data is exactly one JSON value.
func validJSON(data []byte) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	var value json.RawMessage
	if err := dec.Decode(&value); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more text after the object")
	}
	return nil
}

// position adds the line of a syntax error to its message.
func position(data []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err.Error()
	}
	end := min(int(syntax.Offset), len(data))
	line := 1 + bytes.Count(data[:end], []byte("\n"))
	return fmt.Sprintf("line %d: %s", line, err)
}
