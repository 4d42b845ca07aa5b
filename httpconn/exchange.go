package httpconn

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one message to an upstream. Its headers are sent as they are, without
// any of our own but the length of the body.
type Request struct {
	Method string
	// Target is the request target as it stands on the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle is the longest that a kept connection may have been idle to carry the
	// request; 0 means any that is kept. The longer one was idle, the likelier it is
	// that the upstream drops it as the request arrives.
	MaxIdle time.Duration
	// MatchResponse tells whether an answer belongs to the request; nil accepts all. Others
	// are skipped: an upstream that answers an earlier request twice leaves its
	// second answer where the next one is expected.
	MatchResponse func(http.Header) bool
}

// Response is an upstream's answer. Body must be closed; a body that ends early
// yields an error other than io.EOF.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's length, or -1 when it is not known beforehand.
	Length int64
}

// Error is a failed exchange.
type Error struct {
	// Sent tells whether a byte of the request may have reached the upstream.
	Sent bool
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("after sending: %v", e.Err)
	}
	return fmt.Sprintf("before sending: %v", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Sent tells whether the request of a failed exchange may have reached the
// upstream. Errors of other kinds count as sent.
func Sent(err error) bool {
	var e *Error
	if errors.As(err, &e) {
		return e.Sent
	}
	return true
}

// maxForeign is how many answers to other requests are skipped before a
// connection is given up.
const maxForeign = 2

// largeBody is the size in bytes above which a body is written beside reading the
// answer: an upstream may answer before it has read everything, and both sides
// would wait for one another once their buffers are full.
const largeBody = 32 << 10

var errForeign = errors.New("answers to other requests on the connection")

// Do sends a request and returns the answer once its headers are read. It is sent
// at most once. Ending ctx closes the connection, also while the body is read.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	maxIdle := r.MaxIdle
	if maxIdle == 0 {
		maxIdle = time.Hour
	}
	c, err := p.get(ctx, address, maxIdle)
	if err != nil {
		return nil, &Error{Err: err}
	}
	x := &exchange{pool: p, conn: c, written: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	head, err := encode(r)
	if err != nil {
		x.abort()
		return nil, &Error{Err: err}
	}
	x.write(head, r.Body)
	resp, err := x.read(r)
	if err != nil {
		x.abort()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Sent: true, Err: err}
	}
	return resp, nil
}

// encode returns the message, the body included when it is small.
func encode(r *Request) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(1024 + min(len(r.Body), largeBody))
	if strings.ContainsAny(r.Target, " \r\n") || strings.ContainsAny(r.Host, " \r\n") {
		return nil, errors.New("request target or host with white space")
	}
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(&b); err != nil {
		return nil, err
	}
	b.WriteString("\r\n")
	if len(r.Body) <= largeBody {
		b.Write(r.Body)
	}
	return b.Bytes(), nil
}

// exchange is one request and its answer on one connection.
type exchange struct {
	pool *Pool
	conn *conn
	stop func() bool
	// written receives the outcome of writing the request.
	written chan error
}

// write sends the message. An error here is not the exchange's end: the upstream
// may have answered and closed before it had read the body.
func (x *exchange) write(head, body []byte) {
	if len(body) <= largeBody {
		_, err := x.conn.Write(head)
		x.written <- err
		return
	}
	go func() {
		_, err := x.conn.Write(head)
		if err == nil {
			_, err = x.conn.Write(body)
		}
		x.written <- err
	}()
}

// read returns the first answer that belongs to the request.
func (x *exchange) read(r *Request) (*Response, error) {
	for foreign := 0; ; {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if r.MatchResponse == nil || r.MatchResponse(resp.Header) {
			return x.response(resp), nil
		}
		if foreign++; foreign > maxForeign || resp.ContentLength < 0 {
			return nil, errForeign
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
}

func (x *exchange) response(resp *http.Response) *Response {
	idle := idleTime(resp)
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Body: &body{exchange: x, from: resp.Body, idle: idle},
	}
}

// idleTime is how long the connection may be kept after the answer; 0 means not.
func idleTime(resp *http.Response) time.Duration {
	if resp.Close {
		return 0
	}
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if seconds, err := strconv.Atoi(text); err == nil {
				return min(max(time.Duration(seconds)*time.Second-idleMargin, 0), DefaultIdle)
			}
		}
	}
	return DefaultIdle
}

// abort closes the connection.
func (x *exchange) abort() {
	x.stop()
	_ = x.conn.Close()
}

// finish keeps the connection if the whole request was read by the upstream.
func (x *exchange) finish(idle time.Duration) {
	if !x.stop() || idle <= 0 {
		_ = x.conn.Close()
		return
	}
	select {
	case err := <-x.written:
		if err == nil {
			x.pool.put(x.conn, idle)
			return
		}
	default:
		// The upstream answered before it read the whole body. What it would read
		// next on this connection is the rest of it.
	}
	_ = x.conn.Close()
}

// body is an answer's body that gives its connection back at its end.
type body struct {
	exchange *exchange
	from     io.ReadCloser
	idle     time.Duration
	done     bool
}

// Read implements io.Reader.
func (b *body) Read(to []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	n, err := b.from.Read(to)
	if err == io.EOF {
		b.done = true
		b.exchange.finish(b.idle)
	}
	return n, err
}

// Close ends the exchange; before the end of the body it closes the connection,
// which tells the upstream to stop.
func (b *body) Close() error {
	if !b.done {
		b.done = true
		b.exchange.abort()
	}
	return nil
}
