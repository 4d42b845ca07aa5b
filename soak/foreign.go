package soak

import (
	"encoding/json"
	"net/http/httptest"
	"time"

	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/platform/standin"
)

// foreignKey is valid in the foreign fleet only. An instance of this fleet that accepts it has
// applied the foreign configuration.
const foreignKey = "theirs"

const (
	// foreignVersionOffset makes the configuration versions of the foreign fleet higher, so that an
	// instance that received them would apply them.
	foreignVersionOffset = 1_000_000
	// relistInterval is how often the entries of foreign instances in both stores are renewed, as
	// they would otherwise expire.
	relistInterval = 2 * time.Second
)

// foreignFleet is another fleet on the same network, with its own store and one instance. The
// instance lists of both stores also contain the other fleet's instances, as happens when an
// address is reassigned.
type foreignFleet struct {
	store    *standin.Store
	server   *httptest.Server
	instance *instance
}

func newForeignFleet() (*foreignFleet, error) {
	f := &foreignFleet{store: standin.NewStore()}
	f.server = httptest.NewServer(f.store)
	var err error
	f.instance, err = newInstance("stranger", f.server.Listener.Addr().String(), true)
	if err != nil {
		f.server.Close()
		return nil, err
	}
	return f, nil
}

func (f *foreignFleet) close() {
	f.instance.storeProxy.Close()
	f.server.Close()
}

// publish writes a configuration of the foreign fleet for each one of this fleet, so that both
// topics have the same offsets and only the senders distinguish them.
func (f *foreignFleet) publish(version uint64) {
	f.store.Publish(version+foreignVersionOffset, []standin.Organisation{{Name: unlimitedOrganisation, Keys: []string{foreignKey}}})
}

// relistInstances renews the entries of each fleet's instances in the other fleet's store until
// stop is closed.
func (f *foreignFleet) relistInstances(own *standin.Store, instances []*instance, stop <-chan struct{}) error {
	for renewals := uint64(1); ; renewals++ {
		if err := listInstance(own, f.instance, renewals); err != nil {
			return err
		}
		for _, i := range instances {
			if err := listInstance(f.store, i, renewals); err != nil {
				return err
			}
		}
		select {
		case <-stop:
			return nil
		case <-time.After(relistInterval):
		}
	}
}

// listInstance writes an instance's entry to a store as the instance itself would.
func listInstance(store *standin.Store, i *instance, renewals uint64) error {
	value, err := json.Marshal(fleet.Member{Incarnation: 1, Address: i.settings.Reports, Renewals: renewals})
	if err != nil {
		return err
	}
	store.PutInstance(i.name, value)
	return nil
}
