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

// CheckHead returns an error if the head of a response is none of HTTP/1.1. The parser of net/http accepts more.
func CheckHead(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return fmt.Errorf("the response is one of %s", resp.Proto)
	case resp.StatusCode < 100 || resp.StatusCode > 599:
		return fmt.Errorf("invalid status %q", resp.Status)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return errors.New("the protocol was switched without a request")
	}
	for name := range resp.Header {
		// The parser accepts a blank, and rejects all else that cannot be part of a name.
		if strings.Contains(name, " ") {
			return fmt.Errorf("invalid name of a field: %q", name)
		}
	}
	return nil
}

// checkLines returns an error if the bytes of a head have a fault of which the parser of net/http gives no sign.
func checkLines(head []byte, resp *http.Response) error {
	// The parser joins a line that begins with white space with the value before it, so that a malformed name becomes
	// part of that value. RFC 9112, 5.2, lets gateways reject such lines.
	if bytes.Contains(head, []byte("\n ")) || bytes.Contains(head, []byte("\n\t")) {
		return errors.New("a line of the head begins with white space")
	}
	// The parser drops the field in HTTP/1.0. RFC 9112, 6.1: the framing is faulty.
	if resp.ProtoMinor == 0 && bytes.Contains(bytes.ToLower(head), []byte("\ntransfer-encoding:")) {
		return errors.New("a response of HTTP/1.0 has a transfer encoding")
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
