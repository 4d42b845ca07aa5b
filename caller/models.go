package caller

import "github.com/cairnworks/cairnworks/verdict"

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models lists the models that the key's organisation may use.
func (s *Server) models(x *exchange) error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, service := range x.directory.Set().Services {
		if !mayUse(x.organisation, service.Name) {
			continue
		}
		for _, name := range service.Models {
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "cairnworks"})
		}
	}
	return writeJSON(x.w, list)
}

// callerGone marks a failed write: the request ran, its answer could not be
// delivered whole.
func callerGone(err error) error {
	if err == nil {
		return nil
	}
	return verdict.Fail(verdict.HasRun, verdict.ReasonCancelled, err, "the caller is gone")
}
