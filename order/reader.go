package order

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/order/protocol"
	"github.com/cairnworks/cairnworks/port"
)

const (
	// maxReadRecords is the most records that one read returns.
	maxReadRecords = 500
	// logCallTimeout bounds one call to the log.
	logCallTimeout = 2 * time.Second
)

// decision is the status of one of this instance's claims, as read from the log.
type decision struct {
	offset uint64
	status protocol.Status
}

// reader maintains the claim table and reads the stream to its end on demand. Orders are
// rare, so that nothing follows the stream in between.
type reader struct {
	log    port.Log
	clock  func() time.Time
	logger *zap.Logger
	// sem is a semaphore of one that guards the fields below. A mutex would not observe
	// a caller's deadline while another caller reads.
	sem   chan struct{}
	table *protocol.ClaimTable
	// pending holds this instance's claims in progress. The decision is nil until the
	// claim has been read.
	pending map[protocol.ClaimID]*decision
}

func newReader(log port.Log, clock func() time.Time, logger *zap.Logger) *reader {
	r := &reader{
		log:     log,
		clock:   clock,
		logger:  logger,
		sem:     make(chan struct{}, 1),
		table:   protocol.NewClaimTable(),
		pending: make(map[protocol.ClaimID]*decision),
	}
	r.sem <- struct{}{}
	return r
}

// withLatest reads the stream to its end and calls use with the claim table, while no
// other caller uses it.
func (r *reader) withLatest(ctx context.Context, use func(*protocol.ClaimTable)) error {
	select {
	case <-r.sem:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { r.sem <- struct{}{} }()
	if err := r.readToEnd(ctx); err != nil {
		return err
	}
	use(r.table)
	return nil
}

func (r *reader) readToEnd(ctx context.Context) error {
	for {
		callCtx, cancel := context.WithTimeout(ctx, logCallTimeout)
		page, err := r.log.Read(callCtx, streamName, r.table.Next(), maxReadRecords, 0)
		cancel()
		if err != nil {
			return err
		}
		r.table.SkipTo(page.First)
		for _, record := range page.Records {
			r.apply(record)
		}
		if r.table.Next() >= page.Next {
			return nil
		}
	}
}

func (r *reader) apply(record port.Record) {
	if record.Offset < r.table.Next() {
		return
	}
	claim, result, err := decodeRecord(record.Data)
	switch {
	case err != nil:
		r.logger.Error("undecodable order record skipped", zap.String("event", "order_undecodable"),
			zap.Uint64("offset", record.Offset), zap.Error(err))
		r.table.SkipRecord(record.Offset)
	case claim != nil:
		status := r.table.ApplyClaim(record.Offset, *claim, r.clock())
		if _, pending := r.pending[claim.ID]; pending {
			r.pending[claim.ID] = &decision{offset: record.Offset, status: status}
		}
	default:
		r.table.ApplyResult(record.Offset, *result)
	}
}

// register adds to pending a claim that this instance is about to append.
func (r *reader) register(ctx context.Context, id protocol.ClaimID) error {
	return r.withLatest(ctx, func(*protocol.ClaimTable) { r.pending[id] = nil })
}

// unregister removes a claim from pending.
func (r *reader) unregister(id protocol.ClaimID) {
	<-r.sem
	delete(r.pending, id)
	r.sem <- struct{}{}
}

// decision reads the stream to its end and returns the decision about a registered
// claim, or nil if the claim is not in the stream.
func (r *reader) decision(ctx context.Context, id protocol.ClaimID) (*decision, error) {
	var d *decision
	err := r.withLatest(ctx, func(*protocol.ClaimTable) { d = r.pending[id] })
	return d, err
}
