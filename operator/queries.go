package operator

import (
	"net/http"
)

// addProbes registers the endpoints for load balancers, supervisors and scrapers, which do not
// require a token.
func addProbes(mux *http.ServeMux, cfg Config) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, r *http.Request) {
		if cfg.Status == nil || !cfg.Status.Status(r.Context()).Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	if cfg.Metrics != nil {
		mux.Handle("GET /metrics", cfg.Metrics)
	}
}

// addQueries registers the endpoints that return the state of the instance.
func addQueries(mux *http.ServeMux, cfg Config) {
	if cfg.Status != nil {
		mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
			writeJSON(w, http.StatusOK, cfg.Status.Status(r.Context()))
		})
	}
	if cfg.Instances != nil {
		mux.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
			writeJSON(w, http.StatusOK, cfg.Instances.Instances(r.Context()))
		})
	}
	if cfg.Upstreams != nil {
		mux.HandleFunc("GET /upstreams", func(w http.ResponseWriter, r *http.Request) {
			list, err := cfg.Upstreams.Upstreams(r.Context(), r.FormValue("service"))
			writeList(w, list, err)
		})
	}
	if cfg.Queues != nil {
		mux.HandleFunc("GET /queues", func(w http.ResponseWriter, r *http.Request) {
			list, err := cfg.Queues.Queues(r.Context())
			writeList(w, list, err)
		})
	}
	if cfg.Objects != nil {
		mux.HandleFunc("GET /config", func(w http.ResponseWriter, _ *http.Request) { writeObjects(w, cfg.Objects) })
	}
}

func writeObjects(w http.ResponseWriter, objects ObjectSource) {
	index := objects.Current()
	if index == nil {
		writeError(w, http.StatusServiceUnavailable, Error{Code: CodeNotFound, Message: "the instance has no object set yet"})
		return
	}
	writeJSON(w, http.StatusOK, ObjectSet{Version: index.Version(), Set: index.Published()})
}

func writeList[T any](w http.ResponseWriter, list []T, err error) {
	if err != nil {
		writeError(w, http.StatusBadGateway, Error{Code: CodeInternal, Message: err.Error()})
		return
	}
	if list == nil {
		list = []T{}
	}
	writeJSON(w, http.StatusOK, list)
}
