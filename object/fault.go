package object

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Type is the type of an object, or TypeFile for a file that objects are read from.
type Type string

// Types of objects.
const (
	TypeOrganisation Type = "organisation"
	TypeKey          Type = "key"
	TypeService      Type = "service"
	TypeUpstream     Type = "upstream"
	TypeLimit        Type = "limit"
	TypeRoute        Type = "route"
	// TypeFile is the type of references to a file, in faults found while parsing it.
	TypeFile Type = "file"
)

// Ref identifies one object. The zero value refers to none.
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

// FaultKind is the cause of a fault. Its values are part of the machine-readable output
// and do not change once released.
type FaultKind string

// Kinds of faults.
const (
	// FaultSyntax is invalid JSON.
	FaultSyntax FaultKind = "syntax"
	// FaultUnknownField is a field that is not defined where it occurs.
	FaultUnknownField FaultKind = "unknown_field"
	// FaultWrongType is a value of the wrong JSON type.
	FaultWrongType FaultKind = "wrong_type"
	// FaultMissing is a required field that is empty.
	FaultMissing FaultKind = "missing"
	// FaultBadName is a name that is not safe in paths, logs or metric tags.
	FaultBadName FaultKind = "bad_name"
	// FaultDuplicate is a name, field or value that must be unique and is not.
	FaultDuplicate FaultKind = "duplicate"
	// FaultDangling is a reference to an object that is not in the set.
	FaultDangling FaultKind = "dangling"
	// FaultOutOfRange is a number outside its bounds.
	FaultOutOfRange FaultKind = "out_of_range"
	// FaultBurstTooSmall is a limit that can never admit some request that a service
	// accepts.
	FaultBurstTooSmall FaultKind = "burst_too_small"
	// FaultBadValue is a value that is not in its enumeration or has the wrong format.
	FaultBadValue FaultKind = "bad_value"
	// FaultNotApplicable is a field that does not apply to the kind of the object.
	FaultNotApplicable FaultKind = "not_applicable"
	// FaultShadowed is a rule that can never apply because an earlier one always does.
	FaultShadowed FaultKind = "shadowed"
	// FaultNoUpstream is a service without an upstream of a required role.
	FaultNoUpstream FaultKind = "no_upstream"
)

// Fault is a validation error of a set.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Object is the object with the fault; Other is a second object involved, if any.
	Object Ref    `json:"object"`
	Other  Ref    `json:"other,omitzero"`
	Field  string `json:"field,omitempty"`
	// Given is the value found. It never contains a key or a part of one.
	Given string `json:"given,omitempty"`
	// Allowed describes the valid values.
	Allowed string `json:"allowed,omitempty"`
}

// String returns a one-line description for operators.
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

// sortFaults sorts faults by object and then by their other fields, so that the same set
// always yields the same report.
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
