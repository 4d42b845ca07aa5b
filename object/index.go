package object

// Index is an immutable view of one published version, with lookups for request
// handling. It is safe for concurrent use without locks. The objects that its methods
// return are shared and must not be modified.
type Index struct {
	version uint64
	// published is the set as operators wrote it; set has defaults filled in.
	published          Set
	set                Set
	organisations      map[string]*Organisation
	keysByHash         map[string]*Key
	keysByName         map[string]*Key
	services           map[string]*Service
	models             map[string]*Service
	upstreams          map[string]*Upstream
	upstreamsByService map[string][]*Upstream
	limits             map[string]*Limit
	// routes maps host and path prefix to routes; see Index.Route.
	routes map[routeKey]*Route
}

// NewIndex returns an index of a set, with defaults filled in. Check must have found no
// faults in the set. The version is the log offset of the set's record. The set is
// copied.
func NewIndex(set Set, version uint64) *Index {
	x := &Index{version: version, published: set.clone(), set: set.WithDefaults()}
	x.indexOrganisations()
	x.indexServices()
	x.indexRoutes()
	return x
}

func (x *Index) indexOrganisations() {
	x.organisations = make(map[string]*Organisation, len(x.set.Organisations))
	for i := range x.set.Organisations {
		o := &x.set.Organisations[i]
		x.organisations[o.Name] = o
	}
	x.keysByHash = make(map[string]*Key, len(x.set.Keys))
	x.keysByName = make(map[string]*Key, len(x.set.Keys))
	for i := range x.set.Keys {
		k := &x.set.Keys[i]
		x.keysByHash[k.Hash] = k
		x.keysByName[k.Name] = k
	}
	x.limits = make(map[string]*Limit, len(x.set.Limits))
	for i := range x.set.Limits {
		l := &x.set.Limits[i]
		x.limits[l.Name] = l
	}
}

func (x *Index) indexServices() {
	x.services = make(map[string]*Service, len(x.set.Services))
	x.models = make(map[string]*Service)
	for i := range x.set.Services {
		s := &x.set.Services[i]
		x.services[s.Name] = s
		for _, model := range s.Models {
			x.models[model] = s
		}
	}
	x.upstreams = make(map[string]*Upstream, len(x.set.Upstreams))
	x.upstreamsByService = make(map[string][]*Upstream, len(x.set.Services))
	for i := range x.set.Upstreams {
		u := &x.set.Upstreams[i]
		x.upstreams[u.Name] = u
		x.upstreamsByService[u.Service] = append(x.upstreamsByService[u.Service], u)
	}
}

// Version returns the log offset of the record that published the set.
func (x *Index) Version() uint64 { return x.version }

// KeyByHash returns the key with the given result of HashKey, including withdrawn keys,
// and its organisation.
func (x *Index) KeyByHash(hash string) (*Key, *Organisation, bool) {
	k, ok := x.keysByHash[hash]
	if !ok {
		return nil, nil, false
	}
	return k, x.organisations[k.Organisation], true
}

// KeyUsable reports whether the key with a name exists and is not withdrawn. Requests in
// progress check their key again at each new version.
func (x *Index) KeyUsable(name string) bool {
	k, ok := x.keysByName[name]
	return ok && !k.Withdrawn
}

// Organisation returns the organisation with a name.
func (x *Index) Organisation(name string) (*Organisation, bool) {
	o, ok := x.organisations[name]
	return o, ok
}

// Service returns the service with a name.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// ServiceByModel returns the service that serves a model name.
func (x *Index) ServiceByModel(model string) (*Service, bool) {
	s, ok := x.models[model]
	return s, ok
}

// Upstream returns the upstream with a name.
func (x *Index) Upstream(name string) (*Upstream, bool) {
	u, ok := x.upstreams[name]
	return u, ok
}

// Upstreams returns the upstreams of a service in published order.
func (x *Index) Upstreams(service string) []*Upstream { return x.upstreamsByService[service] }

// Limit returns the limit of an organisation.
func (x *Index) Limit(organisation string) (*Limit, bool) {
	o, ok := x.organisations[organisation]
	if !ok {
		return nil, false
	}
	l, ok := x.limits[o.Limit]
	return l, ok
}

// Set returns the whole set with defaults filled in, for listings.
func (x *Index) Set() Set { return x.set }

// Published returns the set as operators wrote it, for editing and comparison. Editing
// the result of Set instead would publish the current defaults as explicit values.
func (x *Index) Published() Set { return x.published }
