package object

import (
	"fmt"
	"strings"
)

const (
	// maxTokens bounds rates, bursts and costs. The rate limiter counts thousandths of
	// a token in 64 bits; this bound leaves a margin of a factor of 1000.
	maxTokens = 1_000_000_000_000
	// maxNameLength bounds names, which become metric tags and path segments.
	maxNameLength = 63
)

const allowedName = "1 to 63 letters, digits, '.', '_' or '-', the first a letter or digit"

// Check validates the whole set and returns all faults in a fixed order. A set without
// faults can be published and indexed.
//
// Keys refer to organisations, organisations to limits and services, and upstreams and
// routes to services. No type can reach itself through references, so that references
// cannot form a cycle; a test enforces this for the types.
func Check(set Set) []Fault {
	c := newChecker(set)
	c.checkNames()
	c.checkReferences()
	c.checkLimits()
	c.checkServices()
	c.checkUpstreams()
	c.checkKeys()
	c.checkRoutes()
	sortFaults(c.faults)
	return c.faults
}

type checker struct {
	// set has defaults filled in; raw is the set as written.
	set     Set
	raw     Set
	defined map[Ref]bool
	faults  []Fault
}

func newChecker(set Set) *checker {
	return &checker{set: set.WithDefaults(), raw: set, defined: make(map[Ref]bool, set.Len())}
}

func (c *checker) add(f Fault) { c.faults = append(c.faults, f) }

// checkNames checks the form and uniqueness of every object's name.
func (c *checker) checkNames() {
	for _, ref := range listRefs(c.set) {
		c.checkName(ref)
	}
}

func (c *checker) checkName(ref Ref) {
	if ref.Name == "" {
		c.add(Fault{Kind: FaultMissing, Object: ref, Field: "name", Allowed: allowedName})
		return
	}
	if !validName(ref.Name) {
		c.add(Fault{Kind: FaultBadName, Object: ref, Field: "name", Given: ref.Name, Allowed: allowedName})
	}
	if c.defined[ref] {
		c.add(Fault{Kind: FaultDuplicate, Object: ref, Other: ref, Field: "name", Given: ref.Name, Allowed: "each name once"})
	}
	c.defined[ref] = true
}

// Len returns the number of objects in the set.
func (s Set) Len() int {
	return len(s.Organisations) + len(s.Keys) + len(s.Services) + len(s.Upstreams) + len(s.Limits) + len(s.Routes)
}

// listRefs returns references to all objects of a set.
func listRefs(set Set) []Ref {
	out := make([]Ref, 0, set.Len())
	for _, o := range set.Organisations {
		out = append(out, Ref{TypeOrganisation, o.Name})
	}
	for _, k := range set.Keys {
		out = append(out, Ref{TypeKey, k.Name})
	}
	for _, s := range set.Services {
		out = append(out, Ref{TypeService, s.Name})
	}
	for _, u := range set.Upstreams {
		out = append(out, Ref{TypeUpstream, u.Name})
	}
	for _, l := range set.Limits {
		out = append(out, Ref{TypeLimit, l.Name})
	}
	for _, r := range set.Routes {
		out = append(out, Ref{TypeRoute, r.Name})
	}
	return out
}

// reference is a field of one object that refers to another by name.
type reference struct {
	from  Ref
	field string
	to    Ref
}

// listReferences returns all references between objects of a set.
func listReferences(set Set) []reference {
	out := make([]reference, 0, set.Len())
	for _, o := range set.Organisations {
		from := Ref{TypeOrganisation, o.Name}
		out = append(out, reference{from, "limit", Ref{TypeLimit, o.Limit}})
		for _, s := range o.Services {
			out = append(out, reference{from, "services", Ref{TypeService, s}})
		}
	}
	for _, k := range set.Keys {
		out = append(out, reference{Ref{TypeKey, k.Name}, "organisation", Ref{TypeOrganisation, k.Organisation}})
	}
	for _, u := range set.Upstreams {
		out = append(out, reference{Ref{TypeUpstream, u.Name}, "service", Ref{TypeService, u.Service}})
	}
	for _, r := range set.Routes {
		for _, t := range r.Targets {
			out = append(out, reference{Ref{TypeRoute, r.Name}, "targets", Ref{TypeService, t.Service}})
		}
	}
	return out
}

// checkReferences checks that every reference is set and resolves, and that lists of
// references have no duplicates.
func (c *checker) checkReferences() {
	seen := make(map[reference]bool)
	for _, r := range listReferences(c.set) {
		switch {
		case r.to.Name == "":
			c.add(Fault{Kind: FaultMissing, Object: r.from, Field: r.field, Allowed: fmt.Sprintf("the name of an existing %s", r.to.Type)})
		case !c.defined[r.to]:
			c.add(Fault{Kind: FaultDangling, Object: r.from, Other: r.to, Field: r.field, Given: r.to.Name,
				Allowed: fmt.Sprintf("the name of an existing %s", r.to.Type)})
		case r.field != "services" && r.field != "targets":
		case seen[r]:
			c.add(Fault{Kind: FaultDuplicate, Object: r.from, Other: r.to, Field: r.field, Given: r.to.Name, Allowed: "each service once"})
		default:
			seen[r] = true
		}
	}
}

// validName reports whether a name is safe in paths, logs and metric tags.
func validName(name string) bool {
	if len(name) > maxNameLength {
		return false
	}
	for i, r := range name {
		if !isLetterOrDigit(r) && (i == 0 || !strings.ContainsRune("._-", r)) {
			return false
		}
	}
	return name != ""
}

func isLetterOrDigit(r rune) bool {
	return r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
}
