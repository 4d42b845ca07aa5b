package soak

import (
	"encoding/json"
	"net/http/httptest"
	"time"

	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/platform/standin"
)

// strangersKey holds in the other deployment only. An instance that serves it has taken over
// the other's configuration.
const strangersKey = "theirs"

const (
	// strangerAhead is by how much the other deployment's versions are higher, so that they
	// would win.
	strangerAhead = 1_000_000
	// strangerBeat is how often both stores' lists name the other's instances anew, as an entry
	// lapses otherwise.
	strangerBeat = 2 * time.Second
)

// stranger is another deployment on the same network: a store and an instance of its own. The
// lists of both name the other's instances, as if their addresses had been given away.
type stranger struct {
	store    *standin.Store
	server   *httptest.Server
	instance *instance
}

func newStranger() (*stranger, error) {
	s := &stranger{store: standin.NewStore()}
	s.server = httptest.NewServer(s.store)
	var err error
	s.instance, err = newInstance("stranger", s.server.Listener.Addr().String(), true)
	if err != nil {
		s.server.Close()
		return nil, err
	}
	return s, nil
}

func (s *stranger) close() {
	s.instance.store.close()
	s.server.Close()
}

// publish follows each configuration of the fleet with one of the other deployment, so that
// both topics have the same offsets and nothing but the senders tells them apart.
func (s *stranger) publish(version uint64) {
	s.store.Publish(version+strangerAhead, []standin.Organisation{{Name: open, Keys: []string{strangersKey}}})
}

// meet keeps both lists naming the other's instances until stop is closed.
func (s *stranger) meet(own *standin.Store, instances []*instance, stop <-chan struct{}) error {
	for beat := uint64(1); ; beat++ {
		if err := list(own, s.instance, beat); err != nil {
			return err
		}
		for _, i := range instances {
			if err := list(s.store, i, beat); err != nil {
				return err
			}
		}
		select {
		case <-stop:
			return nil
		case <-time.After(strangerBeat):
		}
	}
}

// list writes an instance's entry as if it had written it itself.
func list(store *standin.Store, i *instance, beat uint64) error {
	value, err := json.Marshal(fleet.Member{Incarnation: 1, Address: i.settings.Reports, Renewals: beat})
	if err != nil {
		return err
	}
	store.PutInstance(i.name, value)
	return nil
}
