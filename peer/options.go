package peer

import "connectrpc.com/connect"

// MaxHeadBytes limits the head of a response between instances.
const MaxHeadBytes = 64 << 10

// ClientOptions returns the options of all clients of peers. Like HandlerOptions, they disable
// compression between instances: messages have a few hundred bytes, while a compressor uses
// most of a megabyte for each call in progress, which was half the memory of a busy instance.
func ClientOptions() connect.ClientOption {
	return connect.WithAcceptCompression("gzip", nil, nil)
}

// HandlerOptions returns the options of all handlers at the peer address.
func HandlerOptions() connect.HandlerOption {
	return connect.WithCompression("gzip", nil, nil)
}
