package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/verdict"
)

const (
	// bodyChunk is the size of the first buffer for a body of unknown length. It doubles as the body arrives.
	bodyChunk = 16 << 10
	// unreadBodyTime limits the time in which the rest of a refused request's body is read.
	unreadBodyTime = 250 * time.Millisecond
	// bodyRetryAfter is when a caller may come back whose body was refused for lack of memory.
	bodyRetryAfter = time.Second
)

// heldBody is a request's body that is being read. The memory of its buffer counts against
// MaxBufferedBodyBytes from before it is allocated.
type heldBody struct {
	gateway *Gateway
	data    []byte
	counted int64
}

var errBodyMemory = errors.New("too many buffered request bodies")

// reserve replaces the buffer by one of n bytes with the same content.
func (b *heldBody) reserve(n int64) error {
	if b.gateway.bufferedBodyBytes.Add(n) > b.gateway.MaxBufferedBodyBytes {
		b.gateway.bufferedBodyBytes.Add(-n)
		return errBodyMemory
	}
	old := b.counted
	b.counted = n
	b.data = append(make([]byte, 0, n), b.data...)
	b.gateway.bufferedBodyBytes.Add(-old)
	return nil
}

// release returns the memory of the body.
func (b *heldBody) release() { b.gateway.bufferedBodyBytes.Add(-b.counted) }

// readExactly reads a body of a known length.
func (b *heldBody) readExactly(from io.Reader, n int64) error {
	if err := b.reserve(n); err != nil {
		return err
	}
	_, err := io.ReadFull(from, b.data[:n])
	b.data = b.data[:n]
	return err
}

// readAll reads a body of unknown length. It stops after limit bytes.
func (b *heldBody) readAll(from io.Reader, limit int64) error {
	from = io.LimitReader(from, limit)
	for {
		if len(b.data) == cap(b.data) {
			if err := b.reserve(min(max(2*b.counted, bodyChunk), limit)); err != nil {
				return err
			}
		}
		n, err := from.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if err == io.EOF || int64(len(b.data)) == limit {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readBody buffers the request's body, because it may be sent to several upstreams. It must have arrived by the
// request's deadline. The total of all buffered bodies is limited: bodies of several megabytes on thousands of
// connections would exhaust the process's memory. The returned function releases the memory and is never nil.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, a *admittedCall) (func(), *verdict.Verdict) {
	if r.ContentLength == 0 {
		return func() {}, nil
	}
	limit := maxBody(a)
	if r.ContentLength > limit {
		return func() {}, verdict.Refuse(verdict.ReasonBodyTooLarge, 0, "the body has %d bytes; the limit is %d", r.ContentLength, limit)
	}
	g.setReadDeadline(w, a.call.Deadline)
	body := &heldBody{gateway: g}
	var err error
	if r.ContentLength > 0 {
		err = body.readExactly(r.Body, r.ContentLength)
	} else {
		err = body.readAll(r.Body, limit+1)
	}
	switch {
	case errors.Is(err, errBodyMemory):
		return body.release, verdict.Refuse(verdict.ReasonQueueTimeout, bodyRetryAfter, "%v", err)
	case err != nil:
		return body.release, g.bodyReadError(err)
	case int64(len(body.data)) > limit:
		return body.release, verdict.Refuse(verdict.ReasonBodyTooLarge, 0, "the body has more than %d bytes", limit)
	}
	// The server reads on to notice that the caller has left.
	g.setReadDeadline(w, time.Time{})
	a.call.Body = body.data
	return body.release, nil
}

// setReadDeadline sets the time by which the caller's bytes must arrive. The zero time removes it.
func (g *Gateway) setReadDeadline(w http.ResponseWriter, at time.Time) {
	err := http.NewResponseController(w).SetReadDeadline(at)
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		g.log.Debug("cannot set read deadline", zap.Error(err))
	}
}

// refuseUnread refuses a request whose body has not been read to its end. net/http reads up to 256 KB of the rest before
// it sends the answer, so that a body that does not arrive would hold the answer back.
func (g *Gateway) refuseUnread(w http.ResponseWriter, c *Call, v *verdict.Verdict) {
	g.setReadDeadline(w, time.Now().Add(unreadBodyTime))
	g.refuse(w, c, v)
}

func (g *Gateway) bodyReadError(err error) *verdict.Verdict {
	switch {
	case errors.Is(err, context.Canceled):
		return verdict.Refuse(verdict.ReasonCancelled, 0, "the caller disconnected")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return verdict.Refuse(verdict.ReasonTimeout, 0, "the body did not arrive before the deadline")
	default:
		return &verdict.Verdict{Ran: verdict.NotRun, Reason: verdict.ReasonBadRequest, Detail: "the body cannot be read", Cause: err}
	}
}
