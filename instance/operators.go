package instance

import "net/http"

// operatorHandler serves the operators' address.
func (i *Instance) operatorHandler() (http.Handler, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !i.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", i.metrics.Handler)
	return mux, nil
}
