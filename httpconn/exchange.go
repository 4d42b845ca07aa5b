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

	"github.com/cairnworks/cairnworks/boottime"
)

// Request is a request to an upstream. Its headers are sent unchanged; only Host and
// Content-Length are added.
type Request struct {
	Method string
	// Target is the request target, as written on the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle is the maximum time that a reused connection may have been idle; 0 means
	// no limit beyond the pool's. The longer a connection was idle, the more likely the
	// upstream closes it just as the request arrives.
	MaxIdle time.Duration
	// EchoHeader is the name of the header whose value a response repeats; empty if none
	// does. Responses with another value are skipped: if an upstream responds twice to an
	// earlier request, the second response precedes the expected one.
	EchoHeader string
	// DialTimeout limits the time to open a connection; 0 means DialTimeout of the package.
	DialTimeout time.Duration
	// SendBefore is the time on the clock of package boottime by which the request must be
	// sent; 0 means no limit. What was checked before a send may no longer hold after the
	// process was suspended.
	SendBefore time.Duration
	// Admit, if set, is called immediately before the request is sent. An error keeps it from being sent.
	Admit func() error
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// ExpectWithin is the time after which a missing response makes the link suspect; 0 means
	// that a response may take any time.
	ExpectWithin time.Duration
}

// ErrNotAdmitted is the error of a request that Request.Admit kept from being sent.
var ErrNotAdmitted = errors.New("the request was not admitted")

// CheckAdmitted returns the error of Admit, of type *Error.
func (r *Request) CheckAdmitted() error {
	if r.Admit == nil {
		return nil
	}
	if err := r.Admit(); err != nil {
		return &Error{Err: fmt.Errorf("%w: %w", ErrNotAdmitted, err)}
	}
	return nil
}

// matches reports whether a response belongs to the request.
func (r *Request) matches(response http.Header) bool {
	if r.EchoHeader == "" {
		return true
	}
	echoed, given := response[r.EchoHeader]
	sent := r.Header[r.EchoHeader]
	return !given || len(sent) > 0 && echoed[0] == sent[0]
}

// Response is an upstream's response. Body must be closed by the caller; reading a
// truncated body returns an error other than io.EOF.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body, or -1 if it is not known in advance.
	Length int64
	// EndStated is set if the upstream states where the body ends, by a length or by chunks. Otherwise the
	// body ends with the connection, also if the upstream ends early.
	EndStated bool
}

// Error is a failed exchange.
type Error struct {
	// Sent is set if any byte of the request may have reached the upstream.
	Sent bool
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("request may have been sent: %v", e.Err)
	}
	return fmt.Sprintf("request not sent: %v", e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Sent reports whether the request of a failed exchange may have reached the
// upstream. It returns true for errors of other types.
func Sent(err error) bool {
	var e *Error
	if errors.As(err, &e) {
		return e.Sent
	}
	return true
}

// Limits of what is read before the body of a response.
const (
	// maxHeadBytes limits the heads that are read in one exchange, including those of interim responses
	// and of responses to other requests.
	maxHeadBytes = 32 << 10
	// maxMismatched is how many responses to other requests are skipped before the connection is closed.
	maxMismatched = 2
	// maxSkippedBytes limits the body of a response that is skipped.
	maxSkippedBytes = 1 << 20
)

// largeBody is the size in bytes above which a body is written concurrently with
// reading the response. An upstream may respond before it has read the whole body;
// both sides would then deadlock once their buffers are full.
const largeBody = 32 << 10

// errTooLate is the error of a request whose SendBefore has passed.
var errTooLate = errors.New("the request waited too long to be sent")

// Do sends a request at most once and returns the response once its headers have
// been read. Cancelling ctx closes the connection, also while the body is being read.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	maxIdle := r.MaxIdle
	if maxIdle == 0 {
		maxIdle = time.Hour
	}
	c, err := p.get(ctx, address, maxIdle, r.DialTimeout)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if r.SendBefore > 0 && boottime.Now() > r.SendBefore {
		_ = c.Close()
		return nil, &Error{Err: errTooLate}
	}
	if err := r.CheckAdmitted(); err != nil {
		_ = c.Close()
		return nil, err
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

// encode returns the encoded request, including the body if it is small.
func encode(r *Request) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(1024 + min(len(r.Body), largeBody))
	if strings.ContainsAny(r.Target, " \r\n") || strings.ContainsAny(r.Host, " \r\n") {
		return nil, errors.New("request target or host contains white space")
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

// exchange is a request and its response on a connection.
type exchange struct {
	pool *Pool
	conn *conn
	stop func() bool
	// written receives the result of writing the request.
	written chan error
}

// write sends the request. An error does not end the exchange, because the upstream
// may have responded and closed the connection before reading the whole body.
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

// read returns the first response that belongs to the request.
func (x *exchange) read(r *Request) (*Response, error) {
	allowed := int64(maxHeadBytes)
	for mismatched := 0; ; {
		resp, err := x.readHead(r, &allowed)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if r.matches(resp.Header) {
			return x.response(resp), nil
		}
		if mismatched++; mismatched > maxMismatched || resp.ContentLength < 0 || resp.ContentLength > maxSkippedBytes {
			return nil, x.malformed(FaultForeignResponse, maxHeadBytes-allowed, errMismatched)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
}

// readHead reads the head of a response, which may take the allowed bytes, and reduces them by those it has read.
func (x *exchange) readHead(r *Request, allowed *int64) (*http.Response, error) {
	source, reader := x.conn.source, x.conn.reader
	buffered, err := reader.Peek(reader.Buffered())
	if err != nil {
		return nil, err
	}
	source.left = *allowed - int64(len(buffered))
	source.record(buffered)
	resp, err := http.ReadResponse(reader, &http.Request{Method: r.Method})
	// What is buffered now belongs to the body or to what follows.
	*allowed = source.left + int64(reader.Buffered())
	source.left = unlimited
	head := source.recorded(reader.Buffered())
	if err == nil {
		err = CheckHead(resp)
	}
	if err == nil {
		err = checkLines(head, resp)
	}
	if err == nil {
		return resp, nil
	}
	if fault, is := faultOf(err); is {
		return nil, x.malformed(fault, maxHeadBytes-*allowed, err)
	}
	return nil, err
}

// malformed returns the error of a response that cannot be used, and reports it.
func (x *exchange) malformed(fault Fault, bytes int64, cause error) error {
	err := &MalformedError{Address: x.conn.address, Fault: fault, Bytes: bytes, Err: cause}
	if x.pool.OnMalformed != nil {
		x.pool.OnMalformed(err)
	}
	return err
}

func (x *exchange) response(resp *http.Response) *Response {
	idle := idleTime(resp)
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Body: &body{exchange: x, src: resp.Body, idle: idle}, EndStated: endStated(resp),
	}
}

// endStated reports whether a response has a length, is chunked or cannot have a body.
func endStated(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// idleTime returns how long the connection may be idle after the response; 0 means
// that it must not be reused.
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

// release returns the connection to the pool if it may be reused and the whole request
// has been written, and closes it otherwise.
func (x *exchange) release(idle time.Duration) {
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
		// The upstream responded before it read the whole body. It would take the next
		// request on this connection for the rest of that body.
	}
	_ = x.conn.Close()
}

// body is a response body that returns its connection to the pool at the end.
type body struct {
	exchange *exchange
	src      io.ReadCloser
	idle     time.Duration
	done     bool
}

// Read implements io.Reader.
func (b *body) Read(to []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	n, err := b.src.Read(to)
	if err == io.EOF {
		b.done = true
		b.exchange.release(b.idle)
	}
	return n, err
}

// Close ends the exchange. If the body has not been read to the end, it closes the
// connection, which tells the upstream to stop.
func (b *body) Close() error {
	if !b.done {
		b.done = true
		b.exchange.abort()
	}
	return nil
}
