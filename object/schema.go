package object

import _ "embed"

// Schema is the JSON schema (draft 2020-12) of a set, for editors and for
// operators' own checks. It covers the form of each object; Check covers what
// objects say about one another.
//
//go:embed schema.json
var Schema []byte
