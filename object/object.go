// Package object defines the named objects that operators publish, and parses,
// validates, compares and indexes sets of them. Objects refer to one another by name.
package object

// Set is the complete configuration that operators publish. It is checked, published
// and applied as a whole; its version is the log offset of its record.
type Set struct {
	Organisations []Organisation `json:"organisations"`
	Keys          []Key          `json:"keys"`
	Services      []Service      `json:"services"`
	Upstreams     []Upstream     `json:"upstreams"`
	Limits        []Limit        `json:"limits"`
	// Routes map requests to services by host and path; see Route.
	Routes []Route `json:"routes,omitempty"`
}

// Organisation is a customer: the unit of fair scheduling and of rate limits.
type Organisation struct {
	Name string `json:"name"`
	// Limit names the limit that applies to the organisation.
	Limit string `json:"limit"`
	// Services names the services the organisation may use; empty means all.
	Services []string `json:"services,omitempty"`
	// Priority ranks the organisation's requests when a service is full; 0 is served
	// first. If it is nil, the priority of the route applies.
	Priority *int `json:"priority,omitempty"`
}

// Key is an API key of one organisation. Only its hash is stored.
type Key struct {
	// Name identifies the key in logs and commands.
	Name         string `json:"name"`
	Organisation string `json:"organisation"`
	// Hash is the lower-case hexadecimal SHA-256 of the key.
	Hash string `json:"hash"`
	// Withdrawn keys stop working within seconds. They stay listed, so that callers
	// that still use one get "withdrawn" as the reason and its name is not reused.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Kind distinguishes model services from plain ones.
type Kind string

const (
	// KindModel services run prefill on one upstream and decode on another.
	KindModel Kind = "model"
	// KindPlain services handle ordinary HTTP calls.
	KindPlain Kind = "plain"
)

// Service is a service that callers address by model or path.
type Service struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Models are the model names that callers may use, for model services.
	Models []string `json:"models,omitempty"`
	// MaxPromptTokens is the longest prompt accepted; 0 means 32768.
	MaxPromptTokens int `json:"max_prompt_tokens,omitempty"`
	// MaxOutputTokens bounds the output of a request; 0 means 4096.
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
	// Deferrable marks all requests of the service as able to wait; see MaxWaitMS.
	Deferrable bool `json:"deferrable,omitempty"`
	// FirstByteMS is the target time to the first token or byte in milliseconds;
	// 0 means 1700.
	FirstByteMS int `json:"first_byte_ms,omitempty"`
	// MaxWaitMS bounds the time in the queue in milliseconds; 0 means FirstByteMS
	// for interactive services and 120000 for deferrable ones.
	MaxWaitMS int `json:"max_wait_ms,omitempty"`
	// Calls are the rules for plain services; the first match applies.
	Calls []CallRule `json:"calls,omitempty"`
	// MaxBodyBytes bounds a request body; 0 means 1 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// Discovered services have no upstream objects; their upstreams register
	// themselves in the platform's store.
	Discovered bool `json:"discovered,omitempty"`
	// MaxConnections is the number of connections that one upstream accepts from all
	// instances together; 0 means that no bound is known.
	MaxConnections int `json:"max_connections,omitempty"`
	// Pool describes the engines of a discovered model service.
	Pool *Pool `json:"pool,omitempty"`
}

// Pool holds the properties shared by all engines of a discovered model service.
type Pool struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int `json:"slots"`
	// MemoryTokens is the engine memory for KV cache, in tokens.
	MemoryTokens int `json:"memory_tokens"`
	// EventTokens is the most tokens that one stream event carries.
	EventTokens int `json:"event_tokens,omitempty"`
	// HandleMS is how long a prefill result is kept if it is not fetched, in
	// milliseconds.
	HandleMS int `json:"handle_ms,omitempty"`
	// RoleChangeMS is how long an engine serves no requests while it changes its
	// role, in milliseconds.
	RoleChangeMS int `json:"role_change_ms,omitempty"`
	// ReservationMS is the longest time for which an engine reserves memory for a
	// request that has not arrived yet, in milliseconds; 0 means that engines do not
	// support reservations.
	ReservationMS int `json:"reservation_ms,omitempty"`
}

// CallRule is a rule for the calls of a plain service that match its method and path.
type CallRule struct {
	Method string `json:"method"`
	// Path is matched exactly, or as a prefix when it ends with a slash.
	Path string `json:"path"`
	// Idempotent calls may be retried. Others run at most once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Cost is the charge against the organisation's token rate; 0 means 1.
	Cost uint64 `json:"cost,omitempty"`
}

// Role is the function of an upstream within its service.
type Role string

const (
	// RolePrefill upstreams compute the KV cache of prompts.
	RolePrefill Role = "prefill"
	// RoleDecode upstreams generate tokens from an imported KV cache.
	RoleDecode Role = "decode"
	// RolePlain upstreams handle the calls of a plain service.
	RolePlain Role = "plain"
)

// Upstream is a back end of one service.
type Upstream struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Role    Role   `json:"role"`
	// Address is IP:port.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Slots is the number of requests that a decode upstream holds concurrently, or
	// that a prefill or plain upstream runs concurrently.
	Slots int `json:"slots"`
	// Pieces is the size of the engine memory in pieces of PieceTokens each.
	Pieces int `json:"pieces,omitempty"`
	// PieceTokens is the size of a piece in tokens; 0 means 2048.
	PieceTokens int `json:"piece_tokens,omitempty"`
	// LinkBytesPerSecond is the bandwidth of the transfer link.
	LinkBytesPerSecond int64 `json:"link_bytes_per_second,omitempty"`
	// Leaving upstreams get no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// ChecksFencing is set if the upstream refuses orders with an outdated fencing
	// token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// Limit is a token rate with a burst size. It applies across the whole fleet.
type Limit struct {
	Name string `json:"name"`
	// TokensPerSecond is the sustained rate.
	TokensPerSecond int64 `json:"tokens_per_second"`
	// Burst is the most tokens that can be consumed at once.
	Burst int64 `json:"burst"`
	// CallTokens is the charge for a routed request that states no token counts.
	CallTokens int64 `json:"call_tokens,omitempty"`
}
