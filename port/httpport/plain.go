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

// NewPlainService returns the plain service at address (IP:port). If client is nil,
// a shared client with the settings of NewClient is used.
func NewPlainService(address string, client *http.Client) port.PlainService {
	return plainService{newRemote(address, client)}
}

// Call implements port.PlainService. Every status is returned as a response, except
// a 503 whose body says that nothing ran, which is an error.
func (p plainService) Call(ctx context.Context, req port.ServiceRequest) (*port.ServiceResponse, error) {
	httpReq, err := p.buildRequest(ctx, req)
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
		body = prefixedBody{io.MultiReader(bytes.NewReader(head), resp.Body), resp.Body}
	}
	return &port.ServiceResponse{Status: resp.StatusCode, Header: resp.Header, Body: checkedBody{body}, EndStated: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0}, nil
}

// buildRequest creates the HTTP request from the fields of req only, so that nothing else
// of the caller's request, in particular its API key, reaches the upstream.
//
// If a kept-alive connection breaks before the response, net/http silently resends
// requests that it considers idempotent: a GET, or any method with an
// Idempotency-Key header. A booking would then run twice unnoticed by this program.
// Two measures prevent it: the header's map key is written in lower case, which
// net/http does not recognise (header names are case-insensitive on the wire), and
// no body can be rewound.
func (p plainService) buildRequest(ctx context.Context, req port.ServiceRequest) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: p.address, Path: "/" + strings.TrimPrefix(req.Path, "/"), RawQuery: req.RawQuery}
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, target.String(), nil)
	if err != nil {
		return nil, verdict.Fail(verdict.NotRun, verdict.ReasonBadRequest, err, "building request")
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

// isSafe reports whether net/http resends requests of this method when they have no
// body. They get an empty body that cannot be rewound. Other methods do not, because
// they would send it in chunked encoding, which some servers refuse.
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

// prefixedBody returns the bytes already read from a body, followed by the rest.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// checkedBody reports any truncation, including a connection reset, as
// io.ErrUnexpectedEOF, so that readers only need to handle one error.
type checkedBody struct{ io.ReadCloser }

func (b checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
