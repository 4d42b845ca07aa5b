package object

// Edit turns one set into another. It is small when few objects differ.
type Edit struct {
	// Put holds objects that are added or replaced, whole.
	Put Set `json:"put"`
	// Remove names objects that are gone.
	Remove []Ref `json:"remove"`
}

// EditBetween returns the edit that turns old into new, up to the order of the
// objects, which means nothing.
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

// Apply returns the edited set: replaced objects keep their place, added ones
// follow at the end.
func (e Edit) Apply(base Set) Set {
	gone := make(map[Ref]bool)
	for _, ref := range e.Remove {
		gone[ref] = true
	}
	kept := base.filter(func(r Ref) bool { return !gone[r] })
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

// filter returns the objects that keep wants, in new lists.
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

// merge replaces objects of a list by those of the same name and appends the rest.
func merge[T any](list, put []T, nameOf func(T) string) []T {
	at := make(map[string]int, len(put))
	for i, item := range put {
		at[nameOf(item)] = i
	}
	for i, item := range list {
		if j, ok := at[nameOf(item)]; ok {
			list[i] = put[j]
			delete(at, nameOf(item))
		}
	}
	for i, item := range put {
		if j, ok := at[nameOf(item)]; ok && j == i {
			list = append(list, item)
		}
	}
	return list
}
