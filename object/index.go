package object

// Index is a read view of one published version for the path of a request. It
// never changes, so that any number of goroutines may read it without locks. The
// objects that its methods return are shared and must not be changed.
type Index struct {
	version uint64
	// published is the set as operators wrote it; set has its defaults filled in.
	published     Set
	set           Set
	organisations map[string]*Organisation
	keysByHash    map[string]*Key
	keysByName    map[string]*Key
	services      map[string]*Service
	models        map[string]*Service
	upstreams     map[string]*Upstream
	byService     map[string][]*Upstream
	limits        map[string]*Limit
	// routes by host and prefix; see Route.
	routes map[routeKey]*Route
}

// NewIndex indexes a set that Check found no fault in, with defaults filled in.
// The version is the log offset of the set's record. The set is copied.
func NewIndex(set Set, version uint64) *Index {
	x := &Index{version: version, published: set.clone(), set: set.WithDefaults()}
	x.indexTenants()
	x.indexServices()
	x.indexRoutes()
	return x
}

func (x *Index) indexTenants() {
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
	x.byService = make(map[string][]*Upstream, len(x.set.Services))
	for i := range x.set.Upstreams {
		u := &x.set.Upstreams[i]
		x.upstreams[u.Name] = u
		x.byService[u.Service] = append(x.byService[u.Service], u)
	}
}

// Version is the log offset of the record that published the set.
func (x *Index) Version() uint64 { return x.version }

// KeyByHash finds a key, withdrawn ones included, and its organisation by the
// result of HashKey.
func (x *Index) KeyByHash(hash string) (*Key, *Organisation, bool) {
	k, ok := x.keysByHash[hash]
	if !ok {
		return nil, nil, false
	}
	return k, x.organisations[k.Organisation], true
}

// KeyUsable tells whether the key of a name still works. A request that runs
// under a key asks it again at each new version.
func (x *Index) KeyUsable(name string) bool {
	k, ok := x.keysByName[name]
	return ok && !k.Withdrawn
}

// Organisation finds an organisation by name.
func (x *Index) Organisation(name string) (*Organisation, bool) {
	o, ok := x.organisations[name]
	return o, ok
}

// Service finds a service by name.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// ServiceByModel finds the service that answers to a model name.
func (x *Index) ServiceByModel(model string) (*Service, bool) {
	s, ok := x.models[model]
	return s, ok
}

// Upstream finds an upstream by name.
func (x *Index) Upstream(name string) (*Upstream, bool) {
	u, ok := x.upstreams[name]
	return u, ok
}

// Upstreams lists the upstreams of a service in published order.
func (x *Index) Upstreams(service string) []*Upstream { return x.byService[service] }

// Limit finds the limit of an organisation.
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

// Published returns the set as operators wrote it, for editing and comparing. A
// set edited from Set would fix today's defaults as if operators had chosen them.
func (x *Index) Published() Set { return x.published }
