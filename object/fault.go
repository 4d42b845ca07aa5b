package object

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Type names a kind of object, or a file that objects were read from.
type Type string

// Types of objects.
const (
	TypeOrganisation Type = "organisation"
	TypeKey          Type = "key"
	TypeService      Type = "service"
	TypeUpstream     Type = "upstream"
	TypeLimit        Type = "limit"
	TypeRoute        Type = "route"
	// TypeFile is used by faults found while a file is parsed.
	TypeFile Type = "file"
)

// Ref names one object. The zero value names none.
type Ref struct {
	Type Type   `json:"type"`
	Name string `json:"name"`
}

// String returns the form used in messages, such as `limit "small"`.
func (r Ref) String() string {
	if r == (Ref{}) {
		return ""
	}
	return fmt.Sprintf("%s %q", r.Type, r.Name)
}

// FaultKind is the enumerated cause of a fault. Its text is part of the output
// for scripts and does not change once released.
type FaultKind string

// Kinds of faults.
const (
	// FaultSyntax is text that is not JSON.
	FaultSyntax FaultKind = "syntax"
	// FaultUnknownField is a field that no object has.
	FaultUnknownField FaultKind = "unknown_field"
	// FaultWrongType is a value of the wrong JSON type.
	FaultWrongType FaultKind = "wrong_type"
	// FaultMissing is an empty field that must be set.
	FaultMissing FaultKind = "missing"
	// FaultBadName is a name with characters that paths or logs cannot carry.
	FaultBadName FaultKind = "bad_name"
	// FaultDuplicate is a name, field or value given twice where it must be unique.
	FaultDuplicate FaultKind = "duplicate"
	// FaultDangling is a reference to an object that the set does not have.
	FaultDangling FaultKind = "dangling"
	// FaultOutOfRange is a number outside its bounds.
	FaultOutOfRange FaultKind = "out_of_range"
	// FaultBurstTooSmall is a limit under which a request that its service
	// accepts can never be admitted.
	FaultBurstTooSmall FaultKind = "burst_too_small"
	// FaultBadValue is a value outside an enumeration or of the wrong form.
	FaultBadValue FaultKind = "bad_value"
	// FaultNotApplicable is a field that the kind of the object does not use.
	FaultNotApplicable FaultKind = "not_applicable"
	// FaultShadowed is a rule that can never apply, since an earlier one always does.
	FaultShadowed FaultKind = "shadowed"
	// FaultNoUpstream is a service that lacks upstreams of a role it needs.
	FaultNoUpstream FaultKind = "no_upstream"
)

// Fault is one thing wrong with a set.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Object has the fault; Other is the second object involved, if any.
	Object Ref    `json:"object"`
	Other  Ref    `json:"other,omitzero"`
	Field  string `json:"field,omitempty"`
	// Given is the value found. It is never a key or a part of one.
	Given string `json:"given,omitempty"`
	// Allowed says what would have been right.
	Allowed string `json:"allowed,omitempty"`
}

// String returns one line for people.
func (f Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", f.Object, f.Kind)
	if f.Field != "" {
		fmt.Fprintf(&b, ": field %s", f.Field)
	}
	if f.Given != "" {
		fmt.Fprintf(&b, ", given %s", f.Given)
	}
	if f.Other != (Ref{}) {
		fmt.Fprintf(&b, ", with %s", f.Other)
	}
	if f.Allowed != "" {
		fmt.Fprintf(&b, ", allowed: %s", f.Allowed)
	}
	return b.String()
}

// sortFaults orders faults by object, so that the same set always yields the
// same report.
func sortFaults(faults []Fault) {
	slices.SortFunc(faults, func(a, b Fault) int {
		return cmp.Or(
			cmp.Compare(a.Object.Type, b.Object.Type),
			cmp.Compare(a.Object.Name, b.Object.Name),
			cmp.Compare(a.Field, b.Field),
			cmp.Compare(a.Kind, b.Kind),
			cmp.Compare(a.Other.Type, b.Other.Type),
			cmp.Compare(a.Other.Name, b.Other.Name),
			cmp.Compare(a.Given, b.Given),
		)
	})
}
