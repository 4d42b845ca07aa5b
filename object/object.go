// Package object defines the named objects that operators publish and checks a
// whole set of them as one. Objects refer to one another by name.
package object

// Set is everything operators publish. It is checked, published and applied as
// one; the log offset of its record is its version.
type Set struct {
	Organisations []Organisation `json:"organisations"`
	Keys          []Key          `json:"keys"`
	Services      []Service      `json:"services"`
	Upstreams     []Upstream     `json:"upstreams"`
	Limits        []Limit        `json:"limits"`
	// Routes send requests by host and path to services; see Route.
	Routes []Route `json:"routes,omitempty"`
}

// Organisation is a customer: the unit of fairness and of rates.
type Organisation struct {
	Name string `json:"name"`
	// Limit names the limit that applies to the organisation.
	Limit string `json:"limit"`
	// Services names the services the organisation may use; empty means all.
	Services []string `json:"services,omitempty"`
	// Priority ranks the organisation's requests before those of others on a full
	// service, 0 first; absent means that the route's priority holds.
	Priority *int `json:"priority,omitempty"`
}

// Key is a credential of one organisation. Only its hash is kept.
type Key struct {
	// Name identifies the key in logs and commands.
	Name         string `json:"name"`
	Organisation string `json:"organisation"`
	// Hash is the lower-case hexadecimal SHA-256 of the key.
	Hash string `json:"hash"`
	// Withdrawn keys stop working within seconds and stay listed, so that a late
	// caller is told "withdrawn" and the name is not given out again.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Kind tells model services from plain ones.
type Kind string

const (
	// KindModel services prefill on one upstream and decode on another.
	KindModel Kind = "model"
	// KindPlain services answer ordinary HTTP calls.
	KindPlain Kind = "plain"
)

// Service is what callers ask for by model or path.
type Service struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Models are the model names that callers may use, for model services.
	Models []string `json:"models,omitempty"`
	// MaxPromptTokens is the longest prompt accepted; 0 means 32768.
	MaxPromptTokens int `json:"max_prompt_tokens,omitempty"`
	// MaxOutputTokens bounds an answer; 0 means 4096.
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
	// Deferrable marks every request of the service as able to wait.
	Deferrable bool `json:"deferrable,omitempty"`
	// FirstByteMS is the target for the first token or byte in milliseconds;
	// 0 means 1700.
	FirstByteMS int `json:"first_byte_ms,omitempty"`
	// MaxWaitMS bounds the time in the queue in milliseconds; 0 means the target
	// for interactive services and 120000 for deferrable ones.
	MaxWaitMS int `json:"max_wait_ms,omitempty"`
	// Calls are the rules for plain services, first match wins.
	Calls []Call `json:"calls,omitempty"`
	// MaxBodyBytes bounds a request body; 0 means 1 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// Discovered services have no upstream objects: their upstreams register
	// themselves in the platform's store.
	Discovered bool `json:"discovered,omitempty"`
	// MaxConnections is how many connections one upstream accepts from all
	// instances together; 0 means that no bound is known.
	MaxConnections int `json:"max_connections,omitempty"`
	// Pool describes the engines of a discovered model service.
	Pool *Pool `json:"pool,omitempty"`
}

// Pool is what all engines of a discovered model service have in common.
type Pool struct {
	// Slots is how many requests an engine runs at once.
	Slots int `json:"slots"`
	// MemoryTokens is the engine memory for KV cache, in tokens.
	MemoryTokens int `json:"memory_tokens"`
	// EventTokens is the most tokens that one event of a stream carries.
	EventTokens int `json:"event_tokens,omitempty"`
	// HandleMS is how long a prefill result is kept until it is fetched, in
	// milliseconds.
	HandleMS int `json:"handle_ms,omitempty"`
	// RoleChangeMS is how long an engine serves nobody while it changes its role,
	// in milliseconds.
	RoleChangeMS int `json:"role_change_ms,omitempty"`
	// ReservationMS is the longest time that an engine keeps memory reserved for a
	// request that is still to come, in milliseconds; 0 means that engines take no
	// reservations.
	ReservationMS int `json:"reservation_ms,omitempty"`
}

// Call is a rule for some calls of a plain service.
type Call struct {
	Method string `json:"method"`
	// Path is matched exactly, or as a prefix when it ends with a slash.
	Path string `json:"path"`
	// Idempotent calls may be repeated. Others run at most once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Cost is the charge against the organisation's token rate; 0 means 1.
	Cost uint64 `json:"cost,omitempty"`
}

// Role is what a model upstream does.
type Role string

const (
	// RolePrefill upstreams compute the KV cache of prompts.
	RolePrefill Role = "prefill"
	// RoleDecode upstreams generate tokens from an imported KV cache.
	RoleDecode Role = "decode"
	// RolePlain upstreams answer the calls of a plain service.
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
	// Slots is the number of requests that a decode upstream holds at once, or
	// that a prefill or plain upstream runs at once.
	Slots int `json:"slots"`
	// Pieces is the engine memory in pieces.
	Pieces int `json:"pieces,omitempty"`
	// PieceTokens is the size of a piece in tokens; 0 means 2048.
	PieceTokens int `json:"piece_tokens,omitempty"`
	// LinkBytesPerSecond is the rate of the transfer link.
	LinkBytesPerSecond int64 `json:"link_bytes_per_second,omitempty"`
	// Leaving upstreams get no new work.
	Leaving bool `json:"leaving,omitempty"`
	// ChecksFencing tells whether the upstream refuses orders with an old token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// Limit is a token rate with its burst, for the whole fleet.
type Limit struct {
	Name string `json:"name"`
	// TokensPerSecond is the long-run rate.
	TokensPerSecond int64 `json:"tokens_per_second"`
	// Burst is the most tokens that may be used at once.
	Burst int64 `json:"burst"`
	// CallTokens is the charge of a routed request that states no token counts.
	CallTokens int64 `json:"call_tokens,omitempty"`
}
