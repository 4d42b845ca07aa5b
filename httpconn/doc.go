// Package httpconn sends HTTP/1.1 requests over pooled connections and never sends a
// request twice.
//
// The transport of net/http resends a request if a pooled connection turns out to be
// closed, asks for compressed responses and adds headers. For calls that may run at
// most once, resending could cause a second run; the other two change what the
// upstream or the caller sees. In this package, a call of Do sends at most one
// request on one connection, and an error says whether any byte of it may have
// reached the upstream. Headers and responses are encoded and parsed by net/http.
package httpconn
