package relay

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/httpconn"
	"github.com/cairnworks/cairnworks/upstream"
)

const (
	// recheckInterval is the minimum time between two checks of a link.
	recheckInterval = 300 * time.Millisecond
	// linkCheckTimeout limits the check of a link.
	linkCheckTimeout = dialPatience + peerCheckTimeout + dialPatience
	// peerCheckTimeout limits the checks of an upstream by other instances.
	peerCheckTimeout = 310 * time.Millisecond
	// maxSpread is the number of other links that are checked when one is found to be cut or restored.
	maxSpread = 32
)

// exchange is a request that waits for its response over a link of this instance.
type exchange struct {
	cancel     context.CancelCauseFunc
	repeatable bool
}

// linkCheck is the last check of a link.
type linkCheck struct {
	at      time.Duration
	running bool
}

// sendDirectly sends a request over this instance's own link. hasPeers is set if another instance could
// send it, so that a slow connection is not waited for.
func (t *Transport) sendDirectly(ctx context.Context, to upstream.Entry, r *httpconn.Request, hasPeers bool) (*httpconn.Response, error) {
	if !hasPeers {
		resp, err := t.pool.Do(ctx, to.Address, r)
		if err == nil {
			t.recordContact(to)
		}
		t.report(to, r, resp)
		return resp, err
	}
	impatient := *r
	impatient.DialTimeout = dialPatience
	// The body is read under this context, so it ends with the request's.
	exchangeCtx, cancel := context.WithCancelCause(ctx)
	x := &exchange{cancel: cancel, repeatable: r.Repeatable}
	t.addWaiting(to.Address, x)
	if r.ExpectWithin > 0 {
		timer := time.AfterFunc(r.ExpectWithin, func() { t.suspect(to, r.ExpectWithin) })
		defer timer.Stop()
	}
	resp, err := t.pool.Do(exchangeCtx, to.Address, &impatient)
	t.removeWaiting(to.Address, x)
	if err == nil {
		t.recordContact(to)
		t.report(to, r, resp)
		return resp, nil
	}
	if ctx.Err() == nil && httpconn.Sent(err) {
		t.checkLater(to)
	}
	cancel(nil)
	return nil, err
}

func (t *Transport) addWaiting(address string, x *exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting[address] == nil {
		t.waiting[address] = make(map[*exchange]bool)
	}
	t.waiting[address][x] = true
}

func (t *Transport) removeWaiting(address string, x *exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting[address], x)
	if len(t.waiting[address]) == 0 {
		delete(t.waiting, address)
	}
}

// recordContact records that an upstream responded over this instance's link.
func (t *Transport) recordContact(to upstream.Entry) {
	t.mu.Lock()
	restored := t.links.RecordContact(t.now(), to.Address)
	var others []upstream.Entry
	if restored {
		others = t.entriesLocked(t.links.Cut())
	}
	t.mu.Unlock()
	if !restored {
		return
	}
	t.Log.Info("link to upstream restored", zap.String("upstream", to.ID), zap.String("address", to.Address))
	for _, other := range others {
		go t.probe(other)
	}
}

// entriesLocked returns the upstreams at up to maxSpread addresses. The caller must hold the lock.
func (t *Transport) entriesLocked(addresses []string) []upstream.Entry {
	var out []upstream.Entry
	for _, address := range addresses[:min(len(addresses), maxSpread)] {
		if entry, known := t.upstreams[address]; known {
			out = append(out, entry)
		}
	}
	return out
}

// probe tries a cut link.
func (t *Transport) probe(to upstream.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), httpconn.DialTimeout)
	defer cancel()
	if err := t.pool.Connect(ctx, to.Address); err == nil {
		t.recordContact(to)
	}
}

// suspect checks a link over which a response is missing for some time, unless the upstream has responded
// to another request meanwhile.
func (t *Transport) suspect(to upstream.Entry, silence time.Duration) {
	t.mu.Lock()
	responds := t.links.HasContact(t.now(), to.Address, silence)
	t.mu.Unlock()
	if !responds {
		t.checkLater(to)
	}
}

// checkLater checks a link in the background, unless that was done recently.
func (t *Transport) checkLater(to upstream.Entry) {
	if t.Network == nil || !t.startCheck(to.Address) {
		return
	}
	go func() {
		defer t.endCheck(to.Address)
		ctx, cancel := context.WithTimeout(context.Background(), linkCheckTimeout)
		defer cancel()
		reached, err := t.checkLink(ctx, to)
		t.Log.Debug("link checked", zap.String("upstream", to.ID), zap.Stringer("reached", reached), zap.Error(err))
	}()
}

func (t *Transport) startCheck(address string) bool {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.checks[address]
	if c != nil && (c.running || now-c.at < recheckInterval) {
		return false
	}
	for other, c := range t.checks {
		if !c.running && now-c.at >= recheckInterval {
			delete(t.checks, other)
		}
	}
	t.checks[address] = &linkCheck{at: now, running: true}
	return true
}

func (t *Transport) endCheck(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checks[address].running, t.checks[address].at = false, t.now()
}

// checkLink opens a connection over this instance's link and, if that fails, lets other instances do the
// same. The error is that of this instance's connection.
func (t *Transport) checkLink(ctx context.Context, to upstream.Entry) (upstream.Reach, error) {
	started := t.now()
	dial, cancel := context.WithTimeout(ctx, dialPatience)
	err := t.pool.Connect(dial, to.Address)
	cancel()
	if err == nil {
		t.recordContact(to)
		return upstream.ReachedDirectly, nil
	}
	reached, conclusive := t.checkByPeers(ctx, to)
	switch {
	case reached:
		t.recordCut(started, to, err)
		return upstream.ReachedByPeer, err
	case conclusive || t.reachesOthers(ctx, to, started):
		return upstream.Unreachable, err
	default:
		return upstream.ReachUnknown, err
	}
}

// Check reports whether an upstream can be reached. The error is that of this instance's connection.
func (t *Transport) Check(ctx context.Context, to upstream.Entry) (upstream.Reach, error) {
	t.mu.Lock()
	t.upstreams[to.Address] = to
	t.mu.Unlock()
	return t.checkLink(ctx, to)
}

// recordCut records that the link to an upstream is cut.
func (t *Transport) recordCut(started time.Duration, to upstream.Entry, cause error) {
	t.mu.Lock()
	isNew := t.links.RecordCut(t.now(), started, to.Address)
	var others []upstream.Entry
	var stuck []*exchange
	if isNew {
		others = t.entriesLocked(t.links.Usable())
		for x := range t.waiting[to.Address] {
			if x.repeatable {
				stuck = append(stuck, x)
			}
		}
	}
	t.mu.Unlock()
	if !isNew {
		return
	}
	t.Log.Warn("link to upstream cut; another instance reaches it", zap.String("upstream", to.ID), zap.String("address", to.Address), zap.Error(cause))
	t.pool.CloseIdle(to.Address)
	for _, x := range stuck {
		x.cancel(ErrLink)
	}
	if t.onCut != nil {
		t.onCut(to)
	}
	for _, other := range others {
		t.checkLater(other)
	}
}

// checkByPeers lets other instances check an upstream. conclusive is set if one of them does not reach it
// and reaches others.
func (t *Transport) checkByPeers(ctx context.Context, to upstream.Entry) (reached, conclusive bool) {
	results := t.checking.DoChan(to.Address, func() (any, error) {
		shared, cancel := context.WithTimeout(context.Background(), peerCheckTimeout)
		defer cancel()
		return t.askPeers(shared, to), nil
	})
	select {
	case result := <-results:
		found := result.Val.(checkResult)
		return found.reached, found.conclusive
	case <-ctx.Done():
		return false, false
	}
}

// askPeers asks instances, some at a time, until one of them reaches the upstream or can tell that it
// cannot be reached.
func (t *Transport) askPeers(ctx context.Context, to upstream.Entry) checkResult {
	asked := make(map[string]bool)
	for count := firstCheckers; ctx.Err() == nil; count = moreCheckers {
		good, unknown := t.candidates(to)
		peers := slices.DeleteFunc(slices.Concat(good, unknown), func(p Peer) bool { return asked[p.Name] })
		peers = peers[:min(len(peers), count)]
		if len(peers) == 0 {
			break
		}
		results := make(chan checkResult, len(peers))
		for _, p := range peers {
			asked[p.Name] = true
			go func() { results <- t.client.check(ctx, p, to) }()
		}
		conclusive := false
		for range peers {
			result := <-results
			if result.reached {
				return result
			}
			conclusive = conclusive || result.conclusive
		}
		if conclusive {
			return checkResult{conclusive: true}
		}
	}
	return checkResult{}
}

// reachesOthers reports whether this instance's links work for another upstream, by a response since a
// time or by a new connection, or whether there is no other.
func (t *Transport) reachesOthers(ctx context.Context, to upstream.Entry, since time.Duration) bool {
	if t.reachedOthers(to, since) || t.Directory == nil {
		return true
	}
	others := t.otherUpstreams(to)
	if len(others) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, dialPatience)
	defer cancel()
	results := make(chan bool, len(others))
	for _, other := range others {
		go func() {
			err := t.pool.Connect(ctx, other.Address)
			if err == nil {
				t.recordContact(other)
			}
			results <- err == nil
		}()
	}
	for range others {
		if <-results {
			return true
		}
	}
	return false
}

// reachedOthers reports whether another upstream has responded over this instance's links since a time.
func (t *Transport) reachedOthers(to upstream.Entry, since time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.links.HasContactExcept(since, to.Address)
}

// otherUpstreams returns some other upstreams, those of the same service first.
func (t *Transport) otherUpstreams(to upstream.Entry) []upstream.Entry {
	var same, different []upstream.Entry
	for _, e := range t.Directory.All() {
		switch {
		case e.Address == to.Address || e.Leaving:
		case e.Service == to.Service:
			same = append(same, e)
		default:
			different = append(different, e)
		}
	}
	out := append(same, different...)
	return out[:min(len(out), maxControlChecks)]
}
