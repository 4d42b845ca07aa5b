package stand

import (
	"net/http"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/port/httpport/wire"
)

// WeightsConfig configures a weight store. Zero fields take the defaults.
type WeightsConfig struct {
	// Models maps model names to sizes in bytes. Other models have DefaultBytes, by
	// default 16e9.
	Models       map[string]int64
	DefaultBytes int64
	// BytesPerSecond is the total bandwidth for all readers; default 4e9.
	BytesPerSecond int64
}

// WeightsStats is the response of GET /stats of the store.
type WeightsStats struct {
	Reads map[string]int `json:"reads"`
	Seen  []SeenCall     `json:"seen"`
}

// Weights is a stand-in for the bandwidth-limited weight store. A read takes as long as
// the transfer of the weights would, but no weights are sent.
type Weights struct {
	cfg    WeightsConfig
	faults *faultInjector
	mu     sync.Mutex
	freeAt time.Time
	reads  map[string]int
}

// NewWeights returns a weight store.
func NewWeights(cfg WeightsConfig) *Weights {
	setDefault(&cfg.DefaultBytes, 16_000_000_000)
	setDefault(&cfg.BytesPerSecond, 4_000_000_000)
	return &Weights{cfg: cfg, faults: newFaultInjector(func() {}, nil), reads: map[string]int{}}
}

// Close does nothing. It exists for consistency with the other stand-ins.
func (s *Weights) Close() {}

// Handler returns the handler for the store, its faults and its statistics.
func (s *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{model}", func(w http.ResponseWriter, r *http.Request) {
		s.faults.respond(w, wire.Weights{Bytes: s.size(r.PathValue("model"))})
	})
	mux.HandleFunc("GET /v1/weights/{model}/content", s.handleContent)
	return s.faults.handler(mux, func() any { return s.Stats() })
}

// Stats returns a copy of the store's statistics.
func (s *Weights) Stats() WeightsStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	reads := make(map[string]int, len(s.reads))
	for model, n := range s.reads {
		reads[model] = n
	}
	return WeightsStats{Reads: reads, Seen: s.faults.seenCalls()}
}

func (s *Weights) size(model string) int64 {
	if bytes, ok := s.cfg.Models[model]; ok {
		return bytes
	}
	return s.cfg.DefaultBytes
}

func (s *Weights) handleContent(w http.ResponseWriter, r *http.Request) {
	model := r.PathValue("model")
	now := time.Now()
	s.mu.Lock()
	s.reads[model]++
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	readTime := time.Duration(float64(s.size(model)) / float64(s.cfg.BytesPerSecond) * float64(time.Second))
	s.freeAt = s.freeAt.Add(s.faults.slowed(readTime))
	wait := s.freeAt.Sub(now)
	s.mu.Unlock()
	if !sleep(r.Context(), wait) {
		panic(http.ErrAbortHandler)
	}
	s.faults.respond(w, wire.Weights{Bytes: s.size(model)})
}
