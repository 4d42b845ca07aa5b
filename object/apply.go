package object

// Edit is the difference between two sets. It is small when few objects differ.
type Edit struct {
	// Put holds the objects to add or replace, each with all of its fields.
	Put Set `json:"put"`
	// Remove identifies the objects to remove.
	Remove []Ref `json:"remove"`
}

// EditBetween returns the edit that turns old into new. It does not preserve the order
// of the objects, which has no meaning.
func EditBetween(old, new Set) Edit {
	edit := Edit{Remove: []Ref{}}
	put := make(map[Ref]bool)
	for _, c := range Diff(old, new) {
		if c.Kind == Removed {
			edit.Remove = append(edit.Remove, c.Object)
			continue
		}
		put[c.Object] = true
	}
	edit.Put = new.filter(func(r Ref) bool { return put[r] })
	return edit
}

// Apply returns base with the edit applied. Replaced objects keep their position; added
// ones are appended.
func (e Edit) Apply(base Set) Set {
	removed := make(map[Ref]bool)
	for _, ref := range e.Remove {
		removed[ref] = true
	}
	kept := base.filter(func(r Ref) bool { return !removed[r] })
	return Set{
		Organisations: merge(kept.Organisations, e.Put.Organisations, Organisation.name),
		Keys:          merge(kept.Keys, e.Put.Keys, Key.name),
		Services:      merge(kept.Services, e.Put.Services, Service.name),
		Upstreams:     merge(kept.Upstreams, e.Put.Upstreams, Upstream.name),
		Limits:        merge(kept.Limits, e.Put.Limits, Limit.name),
		Routes:        merge(kept.Routes, e.Put.Routes, Route.name),
	}
}

func (o Organisation) name() string { return o.Name }
func (k Key) name() string          { return k.Name }
func (s Service) name() string      { return s.Name }
func (u Upstream) name() string     { return u.Name }
func (l Limit) name() string        { return l.Name }
func (r Route) name() string        { return r.Name }

// filter returns a set of the objects for which keep returns true, in new lists.
func (s Set) filter(keep func(Ref) bool) Set {
	return Set{
		Organisations: filterList(s.Organisations, TypeOrganisation, Organisation.name, keep),
		Keys:          filterList(s.Keys, TypeKey, Key.name, keep),
		Services:      filterList(s.Services, TypeService, Service.name, keep),
		Upstreams:     filterList(s.Upstreams, TypeUpstream, Upstream.name, keep),
		Limits:        filterList(s.Limits, TypeLimit, Limit.name, keep),
		Routes:        filterList(s.Routes, TypeRoute, Route.name, keep),
	}
}

func filterList[T any](list []T, t Type, nameOf func(T) string, keep func(Ref) bool) []T {
	out := make([]T, 0, len(list))
	for _, item := range list {
		if keep(Ref{t, nameOf(item)}) {
			out = append(out, item)
		}
	}
	return out
}

// merge replaces the objects of list by those of the same name in put and appends the
// rest of put. It modifies list.
func merge[T any](list, put []T, nameOf func(T) string) []T {
	indexOf := make(map[string]int, len(put))
	for i, item := range put {
		indexOf[nameOf(item)] = i
	}
	for i, item := range list {
		if j, ok := indexOf[nameOf(item)]; ok {
			list[i] = put[j]
			delete(indexOf, nameOf(item))
		}
	}
	for i, item := range put {
		if j, ok := indexOf[nameOf(item)]; ok && j == i {
			list = append(list, item)
		}
	}
	return list
}
