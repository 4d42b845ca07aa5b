package object

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// upstreams checks every upstream and that no two have one address. Two names
// for one engine would count its slots and memory twice.
func (c *checker) upstreams() {
	kinds := make(map[string]Kind)
	for _, s := range c.set.Services {
		kinds[s.Name] = s.Kind
	}
	addresses := make(map[netip.AddrPort]Ref)
	for i, u := range c.set.Upstreams {
		ref := Ref{TypeUpstream, u.Name}
		c.role(ref, u, kinds)
		c.address(ref, u, addresses)
		c.upstreamNumbers(ref, c.given.Upstreams[i])
		if u.DataCentre == "" {
			c.add(Fault{Kind: FaultMissing, Object: ref, Field: "data_centre", Allowed: "the name of a data centre"})
		}
	}
}

func (c *checker) role(ref Ref, u Upstream, kinds map[string]Kind) {
	kind, known := kinds[u.Service]
	if !known {
		kind = ""
	}
	allowed := rolesOf(kind)
	if allowed == nil {
		allowed = []Role{RolePrefill, RoleDecode, RolePlain}
	}
	if slices.Contains(allowed, u.Role) {
		return
	}
	f := Fault{Kind: FaultBadValue, Object: ref, Field: "role", Given: string(u.Role), Allowed: joinRoles(allowed)}
	if known {
		f.Other = Ref{TypeService, u.Service}
	}
	c.add(f)
}

func joinRoles(roles []Role) string {
	names := make([]string, len(roles))
	for i, r := range roles {
		names[i] = string(r)
	}
	return strings.Join(names, ", ")
}

func (c *checker) address(ref Ref, u Upstream, seen map[netip.AddrPort]Ref) {
	address, err := netip.ParseAddrPort(u.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		c.add(Fault{Kind: FaultBadValue, Object: ref, Field: "address", Given: fmt.Sprintf("%q", u.Address),
			Allowed: "IP:port, such as 10.0.0.1:8000 or [fd00::1]:8000"})
		return
	}
	address = netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	if other, taken := seen[address]; taken {
		c.add(Fault{Kind: FaultDuplicate, Object: ref, Other: other, Field: "address", Given: u.Address, Allowed: "each address once"})
		return
	}
	seen[address] = ref
}

func (c *checker) upstreamNumbers(ref Ref, u Upstream) {
	if u.Slots < 1 {
		c.add(outOfRange(ref, "slots", int64(u.Slots), "1 or more"))
	}
	c.notNegative(ref, "pieces", int64(u.Pieces))
	c.notNegative(ref, "piece_tokens", int64(u.PieceTokens))
	c.notNegative(ref, "link_bytes_per_second", u.LinkBytesPerSecond)
}
