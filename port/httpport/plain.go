package httpport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/port/httpport/wire"
	"github.com/cairnworks/cairnworks/verdict"
)

type plainService struct{ remote }

// NewPlainService returns the plain service at address (IP:port). A nil client
// means a shared one with the settings of NewClient.
func NewPlainService(address string, client *http.Client) port.PlainService {
	return plainService{newRemote(address, client)}
}

// Call implements port.PlainService. Any status is an answer, but for a 503
// whose body says that nothing ran.
func (p plainService) Call(ctx context.Context, req port.ServiceRequest) (*port.ServiceResponse, error) {
	httpReq, err := p.build(ctx, req)
	if err != nil {
		return nil, err
	}
	resp, err := p.do(httpReq)
	if err != nil {
		return nil, err
	}
	body := resp.Body
	if resp.StatusCode == http.StatusServiceUnavailable {
		head, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		if v := parseRefusal(p.address, head); v != nil {
			body.Close()
			return nil, v
		}
		body = rejoined{io.MultiReader(bytes.NewReader(head), resp.Body), resp.Body}
	}
	return &port.ServiceResponse{Status: resp.StatusCode, Header: resp.Header, Body: wholeBody{body}}, nil
}

// build makes the call afresh from its named fields, so that nothing else of the
// caller's request, its key least of all, reaches the upstream.
//
// net/http sends a request a second time by itself when a kept-alive connection
// breaks before the answer, if it takes the request for idempotent: a GET, or any
// method with an Idempotency-Key header. A booking would then run twice without a
// trace in this program. Two things prevent it: the header's map key is written
// in lower case, which net/http does not recognise (header names are
// case-insensitive on the wire), and every body is one that cannot be rewound.
func (p plainService) build(ctx context.Context, req port.ServiceRequest) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: p.address, Path: "/" + strings.TrimPrefix(req.Path, "/"), RawQuery: req.RawQuery}
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, target.String(), nil)
	if err != nil {
		return nil, verdict.Fail(verdict.NotRun, verdict.ReasonBadRequest, err, "building a call")
	}
	if len(req.Body) > 0 || isSafe(req.Method) {
		httpReq.Body = io.NopCloser(bytes.NewReader(req.Body))
		httpReq.ContentLength = int64(len(req.Body))
	}
	setIfNotEmpty(httpReq.Header, "Content-Type", req.ContentType)
	setIfNotEmpty(httpReq.Header, "Accept", req.Accept)
	setIfNotEmpty(httpReq.Header, wire.HeaderRequestID, req.RequestID)
	setIfNotEmpty(httpReq.Header, wire.HeaderOrganisation, req.Organisation)
	if req.IdempotencyKey != "" {
		httpReq.Header[wire.HeaderIdempotencyKey] = []string{req.IdempotencyKey}
	}
	return httpReq, nil
}

// isSafe reports the methods that net/http repeats even without a body. Methods
// outside it would send an empty body in chunked form, which some servers refuse.
func isSafe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

func setIfNotEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// rejoined reads what was already taken from a body, then the rest of it.
type rejoined struct {
	io.Reader
	io.Closer
}

// wholeBody reports every early end as io.ErrUnexpectedEOF, a reset connection
// included, so that the reader needs to know one error only.
type wholeBody struct{ io.ReadCloser }

func (b wholeBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
