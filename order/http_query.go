package order

import (
	"net/http"

	"github.com/cairnworks/cairnworks/verdict"
)

// AddQueries registers GET /orders/{upstream} with mux, an endpoint for operators. It
// returns the view on which an order is based.
func (s *Service) AddQueries(mux *http.ServeMux) {
	mux.HandleFunc("GET /orders/{upstream}", func(w http.ResponseWriter, r *http.Request) {
		view, err := s.View(r.Context(), r.PathValue("upstream"))
		if err != nil {
			writeVerdict(w, verdict.From(err))
			return
		}
		writeJSON(w, http.StatusOK, viewBody(view))
	})
}

func viewBody(view View) ViewBody {
	body := ViewBody{From: view.Offset}
	if view.Latest == nil {
		return body
	}
	e := view.Latest
	body.Latest = &ClaimBody{
		Fence: e.Offset, Kind: e.Claim.Kind, Name: e.Claim.Name,
		Operator: e.Claim.Operator, Instance: e.Claim.Instance,
	}
	if e.Result != nil {
		body.Latest.Ran = verdict.Ran(e.Result.Ran).String()
		body.Latest.Confirmed = e.Result.Confirmed
	}
	return body
}
