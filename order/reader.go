package order

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/order/protocol"
	"github.com/cairnworks/cairnworks/port"
)

const (
	// readMax is the most records of one read.
	readMax = 500
	// logTimeout bounds one call of the log.
	logTimeout = 2 * time.Second
)

// decision is what was read about one of this instance's claims.
type decision struct {
	offset    uint64
	judgement protocol.Status
}

// reader keeps the ledger and reads the stream to its end when asked. Orders are
// rare, so that nothing follows the stream in between.
type reader struct {
	log    port.Log
	clock  func() time.Time
	logger *zap.Logger
	// turn holds one token; who has it may use what follows. A mutex would not
	// heed a caller's deadline while another reads.
	turn   chan struct{}
	ledger *protocol.ClaimTable
	// own are this instance's claims under way, nil until read.
	own map[protocol.ClaimID]*decision
}

func newReader(log port.Log, clock func() time.Time, logger *zap.Logger) *reader {
	r := &reader{
		log:    log,
		clock:  clock,
		logger: logger,
		turn:   make(chan struct{}, 1),
		ledger: protocol.NewClaimTable(),
		own:    make(map[protocol.ClaimID]*decision),
	}
	r.turn <- struct{}{}
	return r
}

// atEnd reads the stream to its end and calls use with the ledger.
func (r *reader) atEnd(ctx context.Context, use func(*protocol.ClaimTable)) error {
	select {
	case <-r.turn:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { r.turn <- struct{}{} }()
	if err := r.readToEnd(ctx); err != nil {
		return err
	}
	use(r.ledger)
	return nil
}

func (r *reader) readToEnd(ctx context.Context) error {
	for {
		callCtx, cancel := context.WithTimeout(ctx, logTimeout)
		page, err := r.log.Read(callCtx, stream, r.ledger.Next(), readMax, 0)
		cancel()
		if err != nil {
			return err
		}
		r.ledger.SkipTo(page.First)
		for _, record := range page.Records {
			r.apply(record)
		}
		if r.ledger.Next() >= page.Next {
			return nil
		}
	}
}

func (r *reader) apply(record port.Record) {
	if record.Offset < r.ledger.Next() {
		return
	}
	claim, result, err := decode(record.Data)
	switch {
	case err != nil:
		r.logger.Error("undecodable record", zap.String("event", "order_undecodable"),
			zap.Uint64("offset", record.Offset), zap.Error(err))
		r.ledger.SkipRecord(record.Offset)
	case claim != nil:
		judgement := r.ledger.ApplyClaim(record.Offset, *claim, r.clock())
		if _, own := r.own[claim.ID]; own {
			r.own[claim.ID] = &decision{offset: record.Offset, judgement: judgement}
		}
	default:
		r.ledger.ApplyResult(record.Offset, *result)
	}
}

// expect notes that a claim of this instance may come.
func (r *reader) expect(ctx context.Context, id protocol.ClaimID) error {
	return r.atEnd(ctx, func(*protocol.ClaimTable) { r.own[id] = nil })
}

// forget ends expect.
func (r *reader) forget(id protocol.ClaimID) {
	<-r.turn
	delete(r.own, id)
	r.turn <- struct{}{}
}

// decided reads to the end and returns what was decided about a claim, nil if the
// claim does not stand in the stream.
func (r *reader) decided(ctx context.Context, id protocol.ClaimID) (*decision, error) {
	var d *decision
	err := r.atEnd(ctx, func(*protocol.ClaimTable) { d = r.own[id] })
	return d, err
}
