package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/upstream"
	"github.com/cairnworks/cairnworks/verdict"
)

// unreachableCheckTimeout limits the check of an upstream that could not be reached.
const unreachableCheckTimeout = 500 * time.Millisecond

// refuseIfUnreachable returns a refusal if no upstream of the service with the role can be reached. They are
// checked in the background, so that no caller waits for it.
func (g *Gateway) refuseIfUnreachable(a *admittedCall, role upstream.Role) *verdict.Verdict {
	all, check := g.outliers.unreachable(a.service.Name, g.state.Directory.Service(a.service.Name), role)
	if !all {
		return nil
	}
	for _, entry := range check {
		go g.checkUnreachable(entry)
	}
	return verdict.Refuse(verdict.ReasonUpstreamUnreachable, plainRetryAfter(a.call.ID), "no instance that was asked reaches an upstream of %s", a.service.Name)
}

// checkUnreachable ends the ejection of an upstream if it can be reached again.
func (g *Gateway) checkUnreachable(entry upstream.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), unreachableCheckTimeout)
	defer cancel()
	reached, _ := g.Upstreams.CheckReachable(ctx, entry)
	if reached == upstream.ReachedDirectly || reached == upstream.ReachedByPeer {
		g.outliers.recordSuccess(entry)
		g.log.Info("upstream reached again", zap.String("upstream", entry.ID), zap.Stringer("reached", reached))
	}
}
