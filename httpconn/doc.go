// Package httpconn sends HTTP/1.1 requests over kept connections and never sends
// one twice.
//
// The standard transport repeats a request by itself when a kept connection turns
// out to be closed, asks for compressed answers and adds headers. For calls that
// may run at most once the first would be a second run that nobody asked for, and
// the others change what the upstream or the caller sees. Here one call of Do is
// at most one request on one connection, and an error says whether any byte of it
// may have reached the upstream. Messages are written and read by net/http's own
// functions.
package httpconn
