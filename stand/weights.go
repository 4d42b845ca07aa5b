package stand

import (
	"net/http"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/port/httpport/wire"
)

// WeightsConfig sets a weight store up.
type WeightsConfig struct {
	// Models maps names to sizes in bytes. Others have DefaultBytes; 16e9.
	Models       map[string]int64
	DefaultBytes int64
	// BytesPerSecond over all readers; 4e9.
	BytesPerSecond int64
}

// WeightsStats answers GET /stats of the store.
type WeightsStats struct {
	Reads map[string]int `json:"reads"`
	Seen  []SeenCall     `json:"seen"`
}

// Weights is a stand-in of the rate-limited weight store. It takes the time of
// the bytes and sends none.
type Weights struct {
	cfg  WeightsConfig
	gate *gate
	mu   sync.Mutex
	free time.Time
	read map[string]int
}

// NewWeights returns a weight store.
func NewWeights(cfg WeightsConfig) *Weights {
	setDefault(&cfg.DefaultBytes, 16_000_000_000)
	setDefault(&cfg.BytesPerSecond, 4_000_000_000)
	return &Weights{cfg: cfg, gate: newGate(func() {}, nil), read: map[string]int{}}
}

// Close does nothing; it is there for symmetry with the other stand-ins.
func (s *Weights) Close() {}

// Handler serves the store, its faults and its stats.
func (s *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{model}", func(w http.ResponseWriter, r *http.Request) {
		s.gate.answer(w, wire.Weights{Bytes: s.size(r.PathValue("model"))})
	})
	mux.HandleFunc("GET /v1/weights/{model}/content", s.handleContent)
	return s.gate.handler(mux, func() any { return s.Stats() })
}

// Stats returns a copy of what the store counted.
func (s *Weights) Stats() WeightsStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	reads := make(map[string]int, len(s.read))
	for model, n := range s.read {
		reads[model] = n
	}
	return WeightsStats{Reads: reads, Seen: s.gate.headers()}
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
	s.read[model]++
	if s.free.Before(now) {
		s.free = now
	}
	takes := time.Duration(float64(s.size(model)) / float64(s.cfg.BytesPerSecond) * float64(time.Second))
	s.free = s.free.Add(s.gate.slowed(takes))
	wait := s.free.Sub(now)
	s.mu.Unlock()
	if !sleep(r.Context(), wait) {
		panic(http.ErrAbortHandler)
	}
	s.gate.answer(w, wire.Weights{Bytes: s.size(model)})
}
