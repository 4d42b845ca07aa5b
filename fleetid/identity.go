// Package fleetid tells the instances of one fleet from those of another.
//
// Instances of one fleet decide together, and each relies on what the others have read and
// written: who ran a call that may run once, what an organisation has spent, which
// configuration is the newest. All of that stands in one log, so the log is what makes a
// fleet, and the id that it keeps is what instances compare. Without it an instance that
// reads another log is taken for a member as soon as it is reached, by an address that was
// given to it since or by a seed that was never right: a call then runs once a log, and each
// fleet spends the other's quotas.
//
// The name that the settings give is only shown to people, and stands in for the id until
// the log has been read. One log may be reached at several addresses and a fleet may be
// renamed while it serves; the id is the same then.
package fleetid

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"strconv"
)

// ID names a fleet. It is drawn at random when a log is first used; 0 is no id.
type ID uint64

// NewID draws an id.
func NewID() ID { return ID(rand.Uint64N(1<<64-1) + 1) }

// String returns the id in hexadecimal, or "unknown" for none.
func (id ID) String() string {
	if id == 0 {
		return "unknown"
	}
	return strconv.FormatUint(uint64(id), idBase)
}

const idBase = 16

var errNoID = errors.New("fleetid: not an id of a fleet")

// ParseID reads what String wrote.
func ParseID(s string) (ID, error) {
	if s == ID(0).String() {
		return 0, nil
	}
	id, err := strconv.ParseUint(s, idBase, 64)
	if err != nil || id == 0 {
		return 0, errNoID
	}
	return ID(id), nil
}

// Identity is what an instance says of its fleet.
type Identity struct {
	// ID is 0 while the instance has not read it.
	ID ID
	// Name is the fleet's name in the instance's settings.
	Name string
}

// Relation is what two identities have to do with one another.
type Relation uint8

const (
	// Stranger: the ids differ.
	Stranger Relation = iota
	// Undecided: the names differ, and an id is not known yet.
	Undecided
	// SameName: an id is not known yet, and the names are the same. That is enough to
	// exchange what a mistake would only make less fair, such as who is alive and has
	// spent what, and not enough to decide for one another what may run once.
	SameName
	// SameFleet: the ids are the same.
	SameFleet
)

// String returns the name used in logs and metrics.
func (r Relation) String() string {
	return [...]string{"stranger", "undecided", "same_name", "same_fleet"}[r]
}

// Member reports whether the other counts as an instance of the fleet.
func (r Relation) Member() bool { return r >= SameName }

// Relation compares an instance's own identity with what another says of itself.
func (i Identity) Relation(other Identity) Relation {
	switch {
	case i.ID != 0 && i.ID == other.ID:
		return SameFleet
	case i.ID != 0 && other.ID != 0:
		return Stranger
	case i.Name == other.Name:
		return SameName
	default:
		return Undecided
	}
}

// SigningKey returns the key under which an instance signs what it sends: the secret that instances
// share, bound to the fleet's name as its settings give it. The receiver derives it from the
// name that it is told, so that a fleet whose instances spell their name differently still
// holds together, and one that was told nothing from its own.
func SigningKey(secret, name string) string {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte(name))
	return hex.EncodeToString(mac.Sum(nil))
}
