package httpport

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/port/httpport/wire"
	"github.com/cairnworks/cairnworks/verdict"
)

type logService struct{ remote }

// NewLog returns the log service at address (IP:port). Its errors have the reason
// verdict.ReasonLogUnavailable; Ran says whether entries may have been appended.
func NewLog(address string, client *http.Client) port.Log {
	return logService{newRemote(address, client)}
}

func (l logService) Append(ctx context.Context, stream string, entries ...port.Entry) (uint64, error) {
	in := wire.AppendRequest{Entries: make([]wire.Entry, 0, len(entries))}
	for _, entry := range entries {
		in.Entries = append(in.Entries, wire.Entry(entry))
	}
	var out wire.AppendResult
	err := l.call(ctx, http.MethodPost, recordsPath(stream), in, &out)
	return out.First, logVerdict(err)
}

func (l logService) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (port.Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("max", strconv.Itoa(max))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var out wire.Page
	err := l.call(ctx, http.MethodGet, recordsPath(stream)+"?"+query.Encode(), nil, &out)
	if err != nil {
		return port.Page{}, logVerdict(err)
	}
	page := port.Page{First: out.First, Next: out.Next, Records: make([]port.Record, 0, len(out.Records))}
	for _, record := range out.Records {
		page.Records = append(page.Records, port.Record(record))
	}
	return page, nil
}

func recordsPath(stream string) string {
	return "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// logVerdict sets the reason of an error to ReasonLogUnavailable, whatever the
// cause. A cancelled call keeps its reason.
func logVerdict(err error) error {
	v := verdict.From(err)
	if v == nil {
		return nil
	}
	if v.Reason == verdict.ReasonCancelled {
		return v
	}
	named := *v
	named.Reason = verdict.ReasonLogUnavailable
	return &named
}

type instanceList struct{ remote }

// NewInstanceList returns the platform's instance list at address (IP:port).
func NewInstanceList(address string, client *http.Client) port.InstanceList {
	return instanceList{newRemote(address, client)}
}

func (l instanceList) Instances(ctx context.Context) ([]port.ListedInstance, error) {
	return l.list(ctx, "/v1/instances")
}

func (l instanceList) Upstreams(ctx context.Context) ([]port.ListedInstance, error) {
	return l.list(ctx, "/v1/upstreams")
}

func (l instanceList) list(ctx context.Context, path string) ([]port.ListedInstance, error) {
	var out []wire.Listed
	if err := l.call(ctx, http.MethodGet, path, nil, &out); err != nil {
		return nil, err
	}
	listed := make([]port.ListedInstance, 0, len(out))
	for _, entry := range out {
		listed = append(listed, port.ListedInstance(entry))
	}
	return listed, nil
}

type weightStore struct{ remote }

// NewWeightStore returns the weight store at address (IP:port).
func NewWeightStore(address string, client *http.Client) port.WeightStore {
	return weightStore{newRemote(address, client)}
}

func (w weightStore) Stat(ctx context.Context, model string) (int64, error) {
	var out wire.Weights
	err := w.call(ctx, http.MethodGet, "/v1/weights/"+url.PathEscape(model), nil, &out)
	return out.Bytes, err
}
