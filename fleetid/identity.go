// Package fleetid distinguishes the instances of one fleet from those of another.
//
// The instances of a fleet decide together, and each relies on what the others have read and
// written: which instance ran an at-most-once call, how much of its quota an organisation has
// used, and which configuration is the newest. All of this state is in one shared log, so the
// log defines the fleet, and instances compare the ID that is stored in it. Without that check,
// an instance that reads a different log would be accepted as a member as soon as it is reached,
// for example because it was assigned an address that a former member used, or because of a
// wrong seed address. An at-most-once call would then run once per log, and each fleet would
// consume the other's quotas.
//
// The fleet name in the settings is shown to operators, and is compared in place of the ID only
// until the log has been read. A log may be reachable at several addresses, and a fleet may be
// renamed while it serves requests; the ID is the same in both cases.
package fleetid

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"strconv"
)

// ID identifies a fleet. It is generated at random when a log is first used; 0 means no ID.
type ID uint64

// NewID generates a random ID.
func NewID() ID { return ID(rand.Uint64N(1<<64-1) + 1) }

// String returns the ID in hexadecimal, or "unknown" if there is none.
func (id ID) String() string {
	if id == 0 {
		return "unknown"
	}
	return strconv.FormatUint(uint64(id), idBase)
}

const idBase = 16

var errInvalidID = errors.New("fleetid: invalid fleet ID")

// ParseID parses the output of String.
func ParseID(s string) (ID, error) {
	if s == ID(0).String() {
		return 0, nil
	}
	id, err := strconv.ParseUint(s, idBase, 64)
	if err != nil || id == 0 {
		return 0, errInvalidID
	}
	return ID(id), nil
}

// Identity is the fleet that an instance claims to belong to.
type Identity struct {
	// ID is 0 until the instance has loaded it.
	ID ID
	// Name is the fleet's name in the instance's settings.
	Name string
}

// Relation is the result of comparing two identities.
type Relation uint8

const (
	// Stranger means that the IDs differ.
	Stranger Relation = iota
	// Undecided means that the names differ and at least one ID is not known yet.
	Undecided
	// SameName means that at least one ID is not known yet and the names are equal. That is
	// enough to exchange data where a mistake only reduces fairness, such as liveness and
	// quota usage. It is not enough to decide for the other instance whether an
	// at-most-once call may run.
	SameName
	// SameFleet means that the IDs are equal.
	SameFleet
)

// String returns the name used in logs and metrics.
func (r Relation) String() string {
	return [...]string{"stranger", "undecided", "same_name", "same_fleet"}[r]
}

// Member reports whether the other instance is treated as a member of the fleet.
func (r Relation) Member() bool { return r >= SameName }

// Relation compares an instance's own identity with the one that another instance sent.
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

// SigningKey returns the key with which an instance signs its messages: the shared secret, bound
// to the fleet name from the instance's settings. The receiver derives the key from the name in
// the message, so that instances whose settings spell the fleet name differently accept each
// other's messages. If the message has no name, the receiver uses its own.
func SigningKey(secret, name string) string {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte(name))
	return hex.EncodeToString(mac.Sum(nil))
}
