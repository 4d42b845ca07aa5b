package object

// Defaults for fields that are zero in a published set. They are filled in when a set
// is indexed, not when it is published, so that the published set remains as the
// operators wrote it.
const (
	// DefaultMaxPromptTokens covers prompts of tens of thousands of tokens.
	DefaultMaxPromptTokens = 32768
	// DefaultMaxOutputTokens bounds the output of a request.
	DefaultMaxOutputTokens = 4096
	// DefaultFirstByteMS is the operators' target for the time to first token, 1.7 s.
	DefaultFirstByteMS = 1700
	// DefaultDeferrableWaitMS bounds the time in the queue of a deferrable request.
	DefaultDeferrableWaitMS = 120_000
	// DefaultMaxBodyBytes bounds a request body, 1 MiB.
	DefaultMaxBodyBytes = 1 << 20
	// DefaultCallCost is the token charge of a plain call.
	DefaultCallCost = 1
	// DefaultPieceTokens is the size of a piece of engine memory. The operators state it
	// as about two thousand tokens.
	DefaultPieceTokens = 2048
)

// WithDefaults returns a copy of the set, made by clone, in which zero fields are
// replaced by their defaults.
func (s Set) WithDefaults() Set {
	out := s.clone()
	for i := range out.Services {
		out.Services[i].fillDefaults()
	}
	for i := range out.Upstreams {
		setDefault(&out.Upstreams[i].PieceTokens, DefaultPieceTokens)
	}
	return out
}

func (s *Service) fillDefaults() {
	setDefault(&s.MaxPromptTokens, DefaultMaxPromptTokens)
	setDefault(&s.MaxOutputTokens, DefaultMaxOutputTokens)
	setDefault(&s.FirstByteMS, DefaultFirstByteMS)
	setDefault(&s.MaxBodyBytes, DefaultMaxBodyBytes)
	if s.Deferrable {
		setDefault(&s.MaxWaitMS, DefaultDeferrableWaitMS)
	}
	setDefault(&s.MaxWaitMS, s.FirstByteMS)
	for i := range s.Calls {
		setDefault(&s.Calls[i].Cost, DefaultCallCost)
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// clone returns a copy of the set with lists of its own. The values behind
// Organisation.Priority and Service.Pool are shared with the original.
func (s Set) clone() Set {
	out := Set{
		Organisations: append([]Organisation(nil), s.Organisations...),
		Keys:          append([]Key(nil), s.Keys...),
		Services:      append([]Service(nil), s.Services...),
		Upstreams:     append([]Upstream(nil), s.Upstreams...),
		Limits:        append([]Limit(nil), s.Limits...),
		Routes:        append([]Route(nil), s.Routes...),
	}
	for i := range out.Routes {
		out.Routes[i].Targets = append([]Target(nil), out.Routes[i].Targets...)
	}
	for i := range out.Organisations {
		out.Organisations[i].Services = append([]string(nil), out.Organisations[i].Services...)
	}
	for i := range out.Services {
		out.Services[i].Models = append([]string(nil), out.Services[i].Models...)
		out.Services[i].Calls = append([]CallRule(nil), out.Services[i].Calls...)
	}
	return out
}

// Append returns a set with the objects of s followed by those of other. It combines the
// parts of a set that is kept in several files.
func (s Set) Append(other Set) Set {
	return Set{
		Organisations: append(s.Organisations, other.Organisations...),
		Keys:          append(s.Keys, other.Keys...),
		Services:      append(s.Services, other.Services...),
		Upstreams:     append(s.Upstreams, other.Upstreams...),
		Limits:        append(s.Limits, other.Limits...),
		Routes:        append(s.Routes, other.Routes...),
	}
}
