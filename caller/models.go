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

// listModels returns the models that the key's organisation may use.
func (s *Server) listModels(x *exchange) error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, service := range x.index.Set().Services {
		if !mayUse(x.organisation, service.Name) {
			continue
		}
		for _, name := range service.Models {
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "cairnworks"})
		}
	}
	return writeJSON(x.w, list)
}

// wrapWriteError converts the error of a failed write to a verdict: the request has run, but
// its response could not be delivered completely. It returns nil for a nil error.
func wrapWriteError(err error) error {
	if err == nil {
		return nil
	}
	return verdict.Fail(verdict.HasRun, verdict.ReasonCancelled, err, "the caller disconnected")
}
