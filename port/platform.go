package port

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Record is one entry of a log stream.
type Record struct {
	Offset uint64
	// ID is the unique id chosen by the writer.
	ID   string
	Data []byte
	// Appended is the append time by the log service's clock, for display only.
	Appended time.Time
}

// Entry is a record to append.
type Entry struct {
	// ID is unique per logical append. A writer that did not receive the response
	// looks for the ID in the stream instead of appending again.
	ID   string
	Data []byte
}

// Page is the result of a read.
type Page struct {
	Records []Record
	// First is the lowest retained offset.
	First uint64
	// Next is the offset after the last appended record, that is, the end of the
	// stream at the time of the read.
	Next uint64
}

// Log is the platform's append-only log. In each stream, offsets start at 1,
// increase by one per record and are never reused.
type Log interface {
	// Append adds entries in order and returns the offset of the first. It counts as
	// one call against the log's append rate limit. A verdict of MayHaveRun means
	// that the entries may have been appended.
	Append(ctx context.Context, stream string, entries ...Entry) (first uint64, err error)
	// Read returns records starting at offset from, waiting up to wait for at least
	// one. If from is below Page.First, the records start at First; the caller must
	// detect the gap.
	Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (Page, error)
}

// ListedInstance is an entry of the platform's eventually consistent list.
type ListedInstance struct {
	Name       string
	Address    string
	DataCentre string
	Leaving    bool
}

// InstanceList is the platform's list of live and leaving instances and upstreams.
// It is eventually consistent and only a hint.
type InstanceList interface {
	Instances(ctx context.Context) ([]ListedInstance, error)
	Upstreams(ctx context.Context) ([]ListedInstance, error)
}

// ServiceResponse is the response of a plain service.
type ServiceResponse struct {
	Status int
	Header http.Header
	// Body must be closed by the caller. Reading a truncated body returns
	// io.ErrUnexpectedEOF.
	Body io.ReadCloser
	// EndStated is set if the service states where the body ends, by a length or by chunks.
	EndStated bool
}

// ServiceRequest is a call to a plain service. It holds only the fields of the
// caller's request that are allowed to reach the upstream.
type ServiceRequest struct {
	RequestID    string
	Organisation string
	// IdempotencyKey is forwarded if the caller set one.
	IdempotencyKey string
	Method         string
	// Path and RawQuery are the part of the caller's URL after /services/{service}.
	Path        string
	RawQuery    string
	ContentType string
	Accept      string
	Body        []byte
}

// PlainService is one upstream of a plain service. Errors of Call are of type
// *verdict.Verdict, which says whether the call may have run.
type PlainService interface {
	Call(ctx context.Context, req ServiceRequest) (*ServiceResponse, error)
}

// ServiceDialer returns the plain service at an address (IP:port).
type ServiceDialer func(address string) PlainService

// WeightStore is the store of model weights, whose total read bandwidth is limited.
type WeightStore interface {
	// Stat returns the size in bytes of a model's weights.
	Stat(ctx context.Context, model string) (int64, error)
}
