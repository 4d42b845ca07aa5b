package object

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// ChangeKind is the way in which an object differs between two sets.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change describes one object that differs between two sets.
type Change struct {
	Kind   ChangeKind    `json:"kind"`
	Object Ref           `json:"object"`
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange describes one field that differs. Old and New are JSON values, empty if the
// field is absent.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Diff returns the changes from old to new, sorted by object. It ignores the order of
// objects within a set.
func Diff(old, new Set) []Change {
	before, after := fieldsByRef(old), fieldsByRef(new)
	var out []Change
	for ref, fields := range before {
		newFields, kept := after[ref]
		if !kept {
			out = append(out, Change{Kind: Removed, Object: ref})
			continue
		}
		if changes := diffFields(fields, newFields); len(changes) > 0 {
			out = append(out, Change{Kind: Changed, Object: ref, Fields: changes})
		}
	}
	for ref := range after {
		if _, had := before[ref]; !had {
			out = append(out, Change{Kind: Added, Object: ref})
		}
	}
	slices.SortFunc(out, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Object.Type, b.Object.Type), cmp.Compare(a.Object.Name, b.Object.Name))
	})
	return out
}

type fields map[string]json.RawMessage

func fieldsByRef(set Set) map[Ref]fields {
	out := make(map[Ref]fields)
	addFields(out, TypeOrganisation, set.Organisations, Organisation.name)
	addFields(out, TypeKey, set.Keys, Key.name)
	addFields(out, TypeService, set.Services, Service.name)
	addFields(out, TypeUpstream, set.Upstreams, Upstream.name)
	addFields(out, TypeLimit, set.Limits, Limit.name)
	addFields(out, TypeRoute, set.Routes, Route.name)
	return out
}

func addFields[T any](out map[Ref]fields, t Type, objects []T, nameOf func(T) string) {
	for _, o := range objects {
		var f fields
		text, err := json.Marshal(o)
		if err == nil {
			err = json.Unmarshal(text, &f)
		}
		if err != nil {
			// Objects consist of types that JSON can represent.
			panic(fmt.Sprintf("object: encoding a %s: %v", t, err))
		}
		out[Ref{t, nameOf(o)}] = f
	}
}

func diffFields(old, new fields) []FieldChange {
	names := maps.Clone(old)
	maps.Copy(names, new)
	var out []FieldChange
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if string(old[name]) != string(new[name]) {
			out = append(out, FieldChange{Field: name, Old: string(old[name]), New: string(new[name])})
		}
	}
	return out
}
