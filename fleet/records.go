package fleet

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/fleetid"
	"github.com/cairnworks/cairnworks/follow"
	fleetv1 "github.com/cairnworks/cairnworks/gen/cairnworks/fleet/v1"
	"github.com/cairnworks/cairnworks/gen/cairnworks/fleet/v1/fleetv1connect"
	transport "github.com/cairnworks/cairnworks/peer"
	"github.com/cairnworks/cairnworks/port"
)

// Limits of the service that serves records.
const (
	// maxFetches is the number of fetches that are served concurrently. Further instances ask others.
	maxFetches = 64
	// maxFetchRequestBytes and maxFetchBytes limit the size of a request and of a response.
	maxFetchRequestBytes = 4 << 10
	maxFetchBytes        = 9 << 20
	// fetchServeTimeout limits the time to receive a request and to send the response.
	fetchServeTimeout = 5 * time.Second
	// maxEncodedRecords is the number of large records whose encoded form is kept. Many instances
	// fetch the same ones at the same time.
	maxEncodedRecords = 4
	// minCachedBytes is the size from which a record's encoded form is kept.
	minCachedBytes = 8 << 10
)

var (
	errOtherFleet     = errors.New("the instance belongs to another fleet")
	errTooManyFetches = errors.New("too many fetches")
)

// recordService serves records to other instances.
type recordService struct {
	exchange *Exchange
	running  chan struct{}
	encoded  encodedRecords
}

func newRecordService(x *Exchange) *recordService {
	return &recordService{exchange: x, running: make(chan struct{}, maxFetches)}
}

// serve serves until ctx ends.
func (s *recordService) serve(ctx context.Context, listener net.Listener) {
	mux := http.NewServeMux()
	for path, handler := range s.exchange.handlers {
		mux.Handle(path, handler)
	}
	mux.Handle(fleetv1connect.NewRecordServiceHandler(s, connect.WithReadMaxBytes(maxFetchRequestBytes), transport.HandlerOptions()))
	server := &http.Server{Handler: mux, ReadTimeout: fetchServeTimeout, WriteTimeout: fetchServeTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		s.exchange.logger.Error("cannot serve records", zap.Error(err))
	}
}

// Fetch implements fleetv1connect.RecordServiceHandler.
func (s *recordService) Fetch(_ context.Context, request *connect.Request[fleetv1.FetchRequest]) (*connect.Response[fleetv1.FetchResponse], error) {
	select {
	case s.running <- struct{}{}:
		defer func() { <-s.running }()
	default:
		return nil, connect.NewError(connect.CodeResourceExhausted, errTooManyFetches)
	}
	m, x := request.Msg, s.exchange
	if !x.IsSameFleet(fleetid.Identity{ID: fleetid.ID(m.FleetId), Name: m.FleetName}, m.Instance, request.Peer().Addr) {
		return nil, connect.NewError(connect.CodePermissionDenied, errOtherFleet)
	}
	from, err := unmarshalPosition(m.Era, m.From)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	note, err := x.handler.ServeRecords(boottime.Now(), port.Topic(m.Topic), from)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	own := x.Identity()
	return connect.NewResponse(&fleetv1.FetchResponse{
		FleetId: uint64(own.ID), FleetName: own.Name, Instance: x.self.Name, Note: marshalNote(note, s.encoded.marshal),
	}), nil
}

// IsSameFleet reports whether a call, or the response to one, is of an instance of this fleet.
func (x *Exchange) IsSameFleet(other fleetid.Identity, instance, address string) bool {
	return x.verifier == nil || x.verifier.Check(other, instance, address) == fleetid.SameFleet
}

// encodedRecords keeps the encoded form of large records. It is safe for concurrent use.
type encodedRecords struct {
	mu      sync.Mutex
	records []encodedRecord
}

type encodedRecord struct {
	record  port.KeyedRecord
	encoded *fleetv1.Record
}

// marshal encodes a record, or returns its kept form.
func (e *encodedRecords) marshal(record port.KeyedRecord) *fleetv1.Record {
	if record.Size() < minCachedBytes {
		return marshalRecord(record)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, kept := range e.records {
		// The contents of a value never change, so equal slices have equal contents.
		if kept.record.Offset == record.Offset && kept.record.Key == record.Key && &kept.record.Value[0] == &record.Value[0] {
			return kept.encoded
		}
	}
	if len(e.records) == maxEncodedRecords {
		e.records = slices.Delete(e.records, 0, 1)
	}
	encoded := marshalRecord(record)
	e.records = append(e.records, encodedRecord{record, encoded})
	return encoded
}

// recordClient is the HTTP client for fetches. They are rare, and a connection that was kept could be
// dead.
var recordClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: transport.MaxHeadBytes}}

// Fetch implements follow.Fetcher. The address is that of the instance's reports.
func (x *Exchange) Fetch(ctx context.Context, address string, topic port.Topic, from uint64) (follow.Note, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return follow.Note{}, err
	}
	client := fleetv1connect.NewRecordServiceClient(recordClient, "http://"+address, connect.WithReadMaxBytes(maxFetchBytes), transport.ClientOptions())
	own := x.Identity()
	response, err := client.Fetch(ctx, connect.NewRequest(&fleetv1.FetchRequest{
		FleetId: uint64(own.ID), FleetName: own.Name, Instance: x.self.Name, Topic: uint32(topic), From: port.OffsetOf(from), Era: uint32(port.EraOf(from)),
	}))
	if err != nil {
		return follow.Note{}, err
	}
	m := response.Msg
	if !x.IsSameFleet(fleetid.Identity{ID: fleetid.ID(m.FleetId), Name: m.FleetName}, m.Instance, address) {
		return follow.Note{}, errOtherFleet
	}
	return unmarshalNote(m.GetNote())
}
