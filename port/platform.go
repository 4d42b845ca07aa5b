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
	// ID is the unique id that its writer chose.
	ID   string
	Data []byte
	// Appended is the log service's own clock, for display only.
	Appended time.Time
}

// Entry is a record to append.
type Entry struct {
	// ID is unique per logical append. A writer that lost an answer reads the
	// stream back for its ID instead of appending anew.
	ID   string
	Data []byte
}

// Page is the result of a read.
type Page struct {
	Records []Record
	// First is the lowest offset still retained.
	First uint64
	// Next is the offset after the last appended record: the end of the stream
	// at the time of the read.
	Next uint64
}

// Log is the platform's append-only log. Offsets start at 1 and grow by one for
// each record of a stream; they are never used twice.
type Log interface {
	// Append adds entries in order, as one call against the log's append rate,
	// and returns the offset of the first. A verdict of MayHaveRun means that the
	// entries may stand in the log.
	Append(ctx context.Context, stream string, entries ...Entry) (first uint64, err error)
	// Read returns records from an offset on, waiting up to wait for at least one.
	// An offset below Page.First yields records from First on; the caller must
	// notice the gap.
	Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (Page, error)
}

// ListedInstance is an entry of the platform's lagging list.
type ListedInstance struct {
	Name       string
	Address    string
	DataCentre string
	Leaving    bool
}

// InstanceList is the platform's list of live and leaving instances and
// upstreams. It lags and is only a hint.
type InstanceList interface {
	Instances(ctx context.Context) ([]ListedInstance, error)
	Upstreams(ctx context.Context) ([]ListedInstance, error)
}

// ServiceResponse is the answer of a plain service.
type ServiceResponse struct {
	Status int
	Header http.Header
	// Body must be closed. A body that ends early yields io.ErrUnexpectedEOF.
	Body io.ReadCloser
}

// ServiceRequest is a call of a plain service, built from an allow-list.
type ServiceRequest struct {
	RequestID    string
	Organisation string
	// IdempotencyKey is passed on when the caller gave one.
	IdempotencyKey string
	Method         string
	// Path and RawQuery are what follows /services/{service}.
	Path        string
	RawQuery    string
	ContentType string
	Accept      string
	Body        []byte
}

// PlainService is one upstream of a plain service. Call fails with a
// *verdict.Verdict that says whether the call may have run.
type PlainService interface {
	Call(ctx context.Context, req ServiceRequest) (*ServiceResponse, error)
}

// ServiceDialer returns the plain service at an address (IP:port).
type ServiceDialer func(address string) PlainService

// WeightStore is the rate-limited store of model weights.
type WeightStore interface {
	// Stat returns the size in bytes of a model's weights.
	Stat(ctx context.Context, model string) (int64, error)
}
