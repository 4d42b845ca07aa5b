package object

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// ChangeKind tells what happened to an object between two sets.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one object that differs between two sets.
type Change struct {
	Kind   ChangeKind    `json:"kind"`
	Object Ref           `json:"object"`
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is one field that differs; an absent side is empty.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Diff lists what differs from an old set to a new one, sorted by object. The
// order of objects within a set does not count.
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
	collect(out, TypeOrganisation, set.Organisations, Organisation.name)
	collect(out, TypeKey, set.Keys, Key.name)
	collect(out, TypeService, set.Services, Service.name)
	collect(out, TypeUpstream, set.Upstreams, Upstream.name)
	collect(out, TypeLimit, set.Limits, Limit.name)
	collect(out, TypeRoute, set.Routes, Route.name)
	return out
}

func collect[T any](out map[Ref]fields, t Type, objects []T, nameOf func(T) string) {
	for _, o := range objects {
		var f fields
		text, err := json.Marshal(o)
		if err == nil {
			err = json.Unmarshal(text, &f)
		}
		if err != nil {
			// Objects hold strings, numbers and lists of them only.
			panic(fmt.Sprintf("%s cannot be encoded: %v", t, err))
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
