package object

import (
	"fmt"
	"strings"
)

// Bounds of rates and bursts.
const (
	// maxTokens bounds rates and bursts. The rate limiter counts in thousandths of
	// a token in 64 bits; this leaves it room for a thousand times more.
	maxTokens = 1_000_000_000_000
	// maxNameLength is the longest name; names become metric tags and path segments.
	maxNameLength = 63
)

const allowedName = "1 to 63 letters, digits, '.', '_' or '-', the first a letter or digit"

// Check checks the whole set as one and returns every fault in a fixed order. A
// set without faults can be published and indexed.
//
// References run from keys to organisations, from organisations to limits and
// services, and from upstreams and routes to services. Objects of no type can reach their
// own type this way, so that names cannot form a cycle; a test holds the types
// to it.
func Check(set Set) []Fault {
	c := newChecker(set)
	c.names()
	c.references()
	c.limits()
	c.services()
	c.upstreams()
	c.keys()
	c.routes()
	sortFaults(c.faults)
	return c.faults
}

type checker struct {
	// set has its defaults filled in; given is the set as it was written.
	set    Set
	given  Set
	named  map[Ref]bool
	faults []Fault
}

func newChecker(set Set) *checker {
	return &checker{set: set.WithDefaults(), given: set, named: make(map[Ref]bool, set.Len())}
}

func (c *checker) add(f Fault) { c.faults = append(c.faults, f) }

// names checks the form and uniqueness of every object's name.
func (c *checker) names() {
	for _, ref := range refs(c.set) {
		c.name(ref)
	}
}

func (c *checker) name(ref Ref) {
	if ref.Name == "" {
		c.add(Fault{Kind: FaultMissing, Object: ref, Field: "name", Allowed: allowedName})
		return
	}
	if !validName(ref.Name) {
		c.add(Fault{Kind: FaultBadName, Object: ref, Field: "name", Given: ref.Name, Allowed: allowedName})
	}
	if c.named[ref] {
		c.add(Fault{Kind: FaultDuplicate, Object: ref, Other: ref, Field: "name", Given: ref.Name, Allowed: "each name once"})
	}
	c.named[ref] = true
}

// Len is the number of objects of the set.
func (s Set) Len() int {
	return len(s.Organisations) + len(s.Keys) + len(s.Services) + len(s.Upstreams) + len(s.Limits) + len(s.Routes)
}

// refs lists the names of all objects of a set.
func refs(set Set) []Ref {
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

// reference is a field of one object that names another.
type reference struct {
	from  Ref
	field string
	to    Ref
}

// listReferences returns every reference of a set.
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

// references checks that every name that is referred to exists.
func (c *checker) references() {
	listed := make(map[reference]bool)
	for _, r := range listReferences(c.set) {
		switch {
		case r.to.Name == "":
			c.add(Fault{Kind: FaultMissing, Object: r.from, Field: r.field, Allowed: fmt.Sprintf("the name of a %s", r.to.Type)})
		case !c.named[r.to]:
			c.add(Fault{Kind: FaultDangling, Object: r.from, Other: r.to, Field: r.field, Given: r.to.Name,
				Allowed: fmt.Sprintf("the name of a %s of the set", r.to.Type)})
		case r.field != "services" && r.field != "targets":
		case listed[r]:
			c.add(Fault{Kind: FaultDuplicate, Object: r.from, Other: r.to, Field: r.field, Given: r.to.Name, Allowed: "each service once"})
		default:
			listed[r] = true
		}
	}
}

// validName tells whether a name can stand in paths, logs and metric tags.
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
