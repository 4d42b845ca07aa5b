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

// Parse decodes a set from the JSON text of one file. It reports all faults of the text
// at once; the set is usable only if there are none. Field names are matched exactly and
// may occur once: encoding/json accepts "Hash" for "hash", ignores unknown fields and
// keeps the last of duplicate fields, each of which would silently publish something
// other than what the operator wrote.
func Parse(file string, data []byte) (Set, []Fault) {
	var set Set
	p := parser{file: file}
	if err := validJSON(data); err != nil {
		p.addFault(FaultSyntax, "", describeSyntaxError(data, err), "one JSON object")
		return Set{}, p.faults
	}
	p.checkValue(data, reflect.TypeFor[Set](), "")
	if len(p.faults) > 0 {
		sortFaults(p.faults)
		return Set{}, p.faults
	}
	if err := json.Unmarshal(data, &set); err != nil {
		p.addFault(FaultSyntax, "", err.Error(), "one JSON object")
		return Set{}, p.faults
	}
	return set, nil
}

// parser checks JSON text against the Go type into which it is decoded.
type parser struct {
	file   string
	faults []Fault
}

func (p *parser) addFault(kind FaultKind, field, given, allowed string) {
	p.faults = append(p.faults, Fault{
		Kind:    kind,
		Object:  Ref{Type: TypeFile, Name: p.file},
		Field:   field,
		Given:   given,
		Allowed: allowed,
	})
}

func (p *parser) checkValue(raw json.RawMessage, t reflect.Type, path string) {
	switch t.Kind() {
	case reflect.Struct:
		p.checkObject(raw, t, path)
	case reflect.Slice:
		p.checkArray(raw, t, path)
	case reflect.Pointer:
		p.checkValue(raw, t.Elem(), path)
	default:
		p.checkScalar(raw, t, path)
	}
}

func (p *parser) checkObject(raw json.RawMessage, t reflect.Type, path string) {
	if !p.checkStart(raw, '{', path, "an object") {
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
			p.addFault(FaultUnknownField, joinPath(path, name), name, strings.Join(fieldNames(t), ", "))
		case seen[name]:
			p.addFault(FaultDuplicate, joinPath(path, name), name, "each field once")
		default:
			seen[name] = true
			p.checkValue(member, fieldType, joinPath(path, name))
		}
	}
}

func (p *parser) checkArray(raw json.RawMessage, t reflect.Type, path string) {
	if !p.checkStart(raw, '[', path, "an array") {
		return
	}
	var elements []json.RawMessage
	if json.Unmarshal(raw, &elements) != nil {
		return
	}
	for i, element := range elements {
		p.checkValue(element, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (p *parser) checkScalar(raw json.RawMessage, t reflect.Type, path string) {
	target := reflect.New(t)
	isNull := bytes.Equal(bytes.TrimSpace(raw), []byte("null"))
	if !isNull && json.Unmarshal(raw, target.Interface()) == nil {
		return
	}
	p.addFault(FaultWrongType, path, jsonType(raw), expectedType(t))
}

func (p *parser) checkStart(raw json.RawMessage, first byte, path, allowed string) bool {
	text := bytes.TrimSpace(raw)
	if len(text) > 0 && text[0] == first {
		return true
	}
	p.addFault(FaultWrongType, path, jsonType(raw), allowed)
	return false
}

// fieldTypes returns the types of a struct's fields by JSON name.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	out := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		out[jsonName(t.Field(i))] = t.Field(i).Type
	}
	return out
}

// fieldNames returns the JSON names of a struct's fields in order.
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

// jsonType describes a value by its JSON type and does not repeat strings: a key entered
// in the wrong field must not appear in a report.
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

func expectedType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Uint64:
		return "a non-negative integer"
	default:
		return "an integer"
	}
}

func joinPath(path, name string) string {
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
		return errors.New("unexpected text after the object")
	}
	return nil
}

// describeSyntaxError returns the message of an error, preceded by the line number if
// it is a syntax error.
func describeSyntaxError(data []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err.Error()
	}
	end := min(int(syntax.Offset), len(data))
	line := 1 + bytes.Count(data[:end], []byte("\n"))
	return fmt.Sprintf("line %d: %s", line, err)
}
