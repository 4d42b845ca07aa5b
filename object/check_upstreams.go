package object

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// checkUpstreams checks every upstream, and that addresses are unique. With two names for
// one engine its slots and memory would be counted twice.
func (c *checker) checkUpstreams() {
	kinds := make(map[string]Kind)
	for _, s := range c.set.Services {
		kinds[s.Name] = s.Kind
	}
	addresses := make(map[netip.AddrPort]Ref)
	for i, u := range c.set.Upstreams {
		ref := Ref{TypeUpstream, u.Name}
		c.checkRole(ref, u, kinds)
		c.checkAddress(ref, u, addresses)
		c.checkUpstreamNumbers(ref, c.raw.Upstreams[i])
		if u.DataCentre == "" {
			c.add(Fault{Kind: FaultMissing, Object: ref, Field: "data_centre", Allowed: "the name of a data centre"})
		}
	}
}

func (c *checker) checkRole(ref Ref, u Upstream, kinds map[string]Kind) {
	kind, known := kinds[u.Service]
	if !known {
		kind = ""
	}
	allowed := requiredRoles(kind)
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

func (c *checker) checkAddress(ref Ref, u Upstream, seen map[netip.AddrPort]Ref) {
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

func (c *checker) checkUpstreamNumbers(ref Ref, u Upstream) {
	if u.Slots < 1 {
		c.add(outOfRange(ref, "slots", int64(u.Slots), "1 or more"))
	}
	c.checkNotNegative(ref, "pieces", int64(u.Pieces))
	c.checkNotNegative(ref, "piece_tokens", int64(u.PieceTokens))
	c.checkNotNegative(ref, "link_bytes_per_second", u.LinkBytesPerSecond)
}
