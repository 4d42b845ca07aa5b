package peer

import "connectrpc.com/connect"

// ClientOptions and HandlerOptions switch compression off between instances. The
// messages are some hundred bytes; a compressor holds most of a megabyte for each
// call under way, which made up half of a busy instance's memory.
func ClientOptions() connect.ClientOption {
	return connect.WithAcceptCompression("gzip", nil, nil)
}

// HandlerOptions are the options of every handler on the peers' address.
func HandlerOptions() connect.HandlerOption {
	return connect.WithCompression("gzip", nil, nil)
}
