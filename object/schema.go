package object

import _ "embed"

// Schema is the JSON schema (draft 2020-12) of a set, for editors and for operators' own
// validation. It covers the format of each object; Check also covers the relations
// between objects.
//
//go:embed schema.json
var Schema []byte
