package membership

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cairnworks/cairnworks/fleetid"
	membershipv1 "github.com/cairnworks/cairnworks/gen/cairnworks/membership/v1"
	"github.com/cairnworks/cairnworks/membership/gossip"
)

// macBytes is the length of the truncated HMAC-SHA256 behind each datagram. 128
// bits are what RFC 2104 asks for at least (half the hash).
const macBytes = 16

var errUnauthenticated = errors.New("datagram without a valid MAC")

// codec turns packets into authenticated datagrams and back.
//
// A stranger that reaches the UDP port could otherwise declare live instances
// dead. A repeated old datagram does no harm: records only ever move forward, and
// an answer counts only with the number of the ping under way.
type codec struct {
	// secrets accepted; the first one signs.
	secrets [][]byte
	// fleet returns what the sender says of its fleet; without it datagrams name none, and
	// are signed with the secret itself.
	fleet func() fleetid.Identity
}

func newCodec(cfg Config) codec {
	c := codec{secrets: cfg.secrets()}
	if cfg.Fleet != nil {
		c.fleet = cfg.Fleet.Identity
	}
	return c
}

func (c codec) encode(p gossip.Packet) ([]byte, error) {
	message, err := packetToProto(p)
	if err != nil {
		return nil, err
	}
	if c.fleet != nil {
		own := c.fleet()
		message.FleetId, message.FleetName = uint64(own.ID), own.Name
	}
	body, err := proto.Marshal(message)
	if err != nil {
		return nil, err
	}
	return append(body, mac(c.key(c.secrets[0], message.FleetName), body)...), nil
}

func (c codec) decode(datagram []byte) (gossip.Packet, error) {
	message, err := c.open(datagram)
	if err != nil {
		return gossip.Packet{}, err
	}
	return packetFromProto(message)
}

// open returns the message of an authentic datagram. It is read before its MAC is checked,
// because the MAC's key depends on the name that it tells.
func (c codec) open(datagram []byte) (*membershipv1.Packet, error) {
	if len(datagram) < macBytes {
		return nil, errUnauthenticated
	}
	body := datagram[:len(datagram)-macBytes]
	var message membershipv1.Packet
	malformed := proto.Unmarshal(body, &message)
	if c.fleet != nil && message.FleetName == "" {
		// A version that does not tell the name signs under it all the same.
		message.FleetName = c.fleet().Name
	}
	if !c.authentic(body, datagram[len(body):], message.FleetName) {
		return nil, errUnauthenticated
	}
	return &message, malformed
}

func (c codec) authentic(body, tag []byte, fleetName string) bool {
	return slices.ContainsFunc(c.secrets, func(secret []byte) bool {
		return hmac.Equal(tag, mac(c.key(secret, fleetName), body))
	})
}

// key returns the key that a secret gives for datagrams of a fleet.
func (c codec) key(secret []byte, fleetName string) []byte {
	if c.fleet == nil {
		return secret
	}
	return []byte(fleetid.SigningKey(string(secret), fleetName))
}

func mac(secret, body []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}

func packetToProto(p gossip.Packet) (*membershipv1.Packet, error) {
	target, err := packAddress(p.TargetAddress)
	if err != nil {
		return nil, err
	}
	message := &membershipv1.Packet{
		Kind:           membershipv1.Kind(p.Kind),
		Probe:          p.Probe,
		From:           p.From,
		Incarnation:    p.Incarnation,
		ConfigVersion:  p.ConfigVersion,
		HighestVersion: p.HighestVersion,
		HighestHolder:  p.HighestHolder,
		Digest:         p.Digest,
		Count:          p.Count,
		Target:         p.Target,
		TargetAddress:  target,
		Filter:         p.Filter,
	}
	for _, r := range p.Records {
		record, err := recordToProto(r)
		if err != nil {
			return nil, err
		}
		message.Records = append(message.Records, record)
	}
	return message, nil
}

func recordToProto(r gossip.Record) (*membershipv1.Record, error) {
	address, err := packAddress(r.Address)
	if err != nil {
		return nil, err
	}
	operator, err := packAddress(r.OperatorAddress)
	if err != nil {
		return nil, err
	}
	return &membershipv1.Record{
		Name:            r.Name,
		Incarnation:     r.Incarnation,
		Seq:             r.Seq,
		State:           membershipv1.State(r.State),
		Address:         address,
		OperatorAddress: operator,
		DataCentre:      r.DataCentre,
		Draining:        r.Draining,
		ConfigVersion:   r.ConfigVersion,
		AgeSeconds:      uint32(r.Age / time.Second),
	}, nil
}

func packetFromProto(message *membershipv1.Packet) (gossip.Packet, error) {
	target, err := unpackAddress(message.TargetAddress)
	if err != nil {
		return gossip.Packet{}, err
	}
	p := gossip.Packet{
		Kind:           gossip.Kind(message.Kind),
		Probe:          message.Probe,
		From:           message.From,
		Incarnation:    message.Incarnation,
		ConfigVersion:  message.ConfigVersion,
		HighestVersion: message.HighestVersion,
		HighestHolder:  message.HighestHolder,
		Digest:         message.Digest,
		Count:          message.Count,
		Target:         message.Target,
		TargetAddress:  target,
		Filter:         message.Filter,
	}
	for _, record := range message.Records {
		r, err := recordFromProto(record)
		if err != nil {
			return gossip.Packet{}, err
		}
		p.Records = append(p.Records, r)
	}
	return p, nil
}

func recordFromProto(record *membershipv1.Record) (gossip.Record, error) {
	address, err := unpackAddress(record.Address)
	if err != nil {
		return gossip.Record{}, err
	}
	operator, err := unpackAddress(record.OperatorAddress)
	if err != nil {
		return gossip.Record{}, err
	}
	state := gossip.State(record.State)
	if record.Name == "" || state < gossip.Alive || state > gossip.Left {
		return gossip.Record{}, fmt.Errorf("record %q in state %d", record.Name, record.State)
	}
	return gossip.Record{
		Name:            record.Name,
		Incarnation:     record.Incarnation,
		Seq:             record.Seq,
		State:           state,
		Address:         address,
		OperatorAddress: operator,
		DataCentre:      record.DataCentre,
		Draining:        record.Draining,
		ConfigVersion:   record.ConfigVersion,
		Age:             time.Duration(record.AgeSeconds) * time.Second,
	}, nil
}

// packAddress turns IP:port into 6 or 18 bytes; an empty address stays empty.
func packAddress(address string) ([]byte, error) {
	if address == "" {
		return nil, nil
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return parsed.MarshalBinary()
}

func unpackAddress(packed []byte) (string, error) {
	if len(packed) == 0 {
		return "", nil
	}
	var address netip.AddrPort
	if err := address.UnmarshalBinary(packed); err != nil {
		return "", err
	}
	return address.String(), nil
}
