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

// macBytes is the length of the truncated HMAC-SHA256 at the end of each datagram. 128
// bits are the minimum that RFC 2104 recommends (half the hash).
const macBytes = 16

var errUnauthenticated = errors.New("datagram has no valid MAC")

// codec encodes packets as authenticated datagrams and decodes them.
//
// Without authentication, anyone who can reach the UDP port could declare live instances
// dead. Replayed datagrams are harmless: a record is only ever replaced by a later one,
// and an answer is accepted only with the number of the pending ping.
type codec struct {
	// secrets are the accepted secrets; the first one signs.
	secrets [][]byte
	// fleet returns the identity of the sender's fleet. If it is nil, datagrams name no
	// fleet and are signed with the secret itself.
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
	return append(body, mac(c.macKey(c.secrets[0], message.FleetName), body)...), nil
}

func (c codec) decode(datagram []byte) (gossip.Packet, error) {
	message, err := c.authenticate(datagram)
	if err != nil {
		return gossip.Packet{}, err
	}
	return packetFromProto(message)
}

// authenticate verifies the MAC of a datagram and returns its message. The message is
// decoded before the MAC is verified because the MAC's key depends on the fleet name in
// the message.
func (c codec) authenticate(datagram []byte) (*membershipv1.Packet, error) {
	if len(datagram) < macBytes {
		return nil, errUnauthenticated
	}
	body := datagram[:len(datagram)-macBytes]
	var message membershipv1.Packet
	malformed := proto.Unmarshal(body, &message)
	if c.fleet != nil && message.FleetName == "" {
		// Versions that do not send the fleet name still sign with a key derived from it.
		message.FleetName = c.fleet().Name
	}
	if !c.hasValidMAC(body, datagram[len(body):], message.FleetName) {
		return nil, errUnauthenticated
	}
	return &message, malformed
}

func (c codec) hasValidMAC(body, tag []byte, fleetName string) bool {
	return slices.ContainsFunc(c.secrets, func(secret []byte) bool {
		return hmac.Equal(tag, mac(c.macKey(secret, fleetName), body))
	})
}

// macKey derives the MAC key of a fleet's datagrams from a secret.
func (c codec) macKey(secret []byte, fleetName string) []byte {
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
	target, err := marshalAddress(p.TargetAddress)
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
	address, err := marshalAddress(r.Address)
	if err != nil {
		return nil, err
	}
	operator, err := marshalAddress(r.OperatorAddress)
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
	target, err := unmarshalAddress(message.TargetAddress)
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
	address, err := unmarshalAddress(record.Address)
	if err != nil {
		return gossip.Record{}, err
	}
	operator, err := unmarshalAddress(record.OperatorAddress)
	if err != nil {
		return gossip.Record{}, err
	}
	state := gossip.State(record.State)
	if record.Name == "" || state < gossip.Alive || state > gossip.Left {
		return gossip.Record{}, fmt.Errorf("record %q has no name or invalid state %d", record.Name, record.State)
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

// marshalAddress encodes IP:port in 6 or 18 bytes. An empty address stays empty.
func marshalAddress(address string) ([]byte, error) {
	if address == "" {
		return nil, nil
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return parsed.MarshalBinary()
}

func unmarshalAddress(packed []byte) (string, error) {
	if len(packed) == 0 {
		return "", nil
	}
	var address netip.AddrPort
	if err := address.UnmarshalBinary(packed); err != nil {
		return "", err
	}
	return address.String(), nil
}
