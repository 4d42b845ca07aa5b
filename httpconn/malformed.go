package httpconn

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
)

// Fault is a kind of malformed response.
type Fault string

// Kinds of malformed responses.
const (
	// FaultHeadTooLarge is a head, or a series of heads, without an end within maxHeadBytes.
	FaultHeadTooLarge Fault = "head_too_large"
	// FaultNoResponse is a head that is not one of an HTTP response.
	FaultNoResponse Fault = "no_response"
	// FaultForeignResponse is a response to another request that is not skipped.
	FaultForeignResponse Fault = "foreign_response"
)

// MalformedError is the error of an upstream that sent something else than the response to a request.
type MalformedError struct {
	// Address is the upstream's address.
	Address string
	Fault   Fault
	// Bytes is the number of bytes of heads that were read in the exchange.
	Bytes int64
	Err   error
}

// Error implements error. The parsers quote what they cannot read, so their texts are shortened.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("%s from %s after %d bytes: %.120s", e.Fault, e.Address, e.Bytes, e.Err)
}

// Unwrap returns the underlying error.
func (e *MalformedError) Unwrap() error { return e.Err }

// CheckHead returns an error if a response has an invalid status line or header name that the parser of net/http accepts.
func CheckHead(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return fmt.Errorf("unsupported protocol version %q", resp.Proto)
	case resp.StatusCode < 100 || resp.StatusCode > 599:
		return fmt.Errorf("invalid status code %q", resp.Status)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return errors.New("the protocol was switched although no upgrade was requested")
	}
	for name := range resp.Header {
		// The parser accepts spaces in names and rejects all other invalid characters.
		if strings.Contains(name, " ") {
			return fmt.Errorf("invalid header name %q", name)
		}
	}
	return nil
}

// checkLines returns an error if the bytes of a head have a fault that does not show in the parsed response.
func checkLines(head []byte, resp *http.Response) error {
	// The parser appends a folded line to the previous value, so that a header whose name begins with a space becomes part
	// of that value. RFC 9112, section 5.2, allows gateways to reject folded lines.
	if bytes.Contains(head, []byte("\n ")) || bytes.Contains(head, []byte("\n\t")) {
		return errors.New("a header line begins with white space")
	}
	// The parser drops this header in HTTP/1.0. RFC 9112, section 6.1, calls such framing faulty.
	if resp.ProtoMinor == 0 && bytes.Contains(bytes.ToLower(head), []byte("\ntransfer-encoding:")) {
		return errors.New("an HTTP/1.0 response has a transfer encoding")
	}
	return nil
}

var (
	errHeadTooLarge = errors.New("the head of the response is too large")
	errMismatched   = errors.New("connection carries responses to other requests")
)

// faultOf returns the fault of an error of reading a head. It returns false if the connection ended or failed.
func faultOf(err error) (Fault, bool) {
	var failed net.Error
	switch {
	case errors.Is(err, errHeadTooLarge):
		return FaultHeadTooLarge, true
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), errors.As(err, &failed):
		return "", false
	default:
		return FaultNoResponse, true
	}
}
