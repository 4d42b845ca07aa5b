package caller

import (
	"time"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/verdict"
)

func (s *Server) chatCompletion(x *exchange) error { return s.completion(x, true) }

func (s *Server) textCompletion(x *exchange) error { return s.completion(x, false) }

// completion handles a chat or text completion: it parses the body, charges the organisation's
// rate, runs the request and writes the response.
func (s *Server) completion(x *exchange, chat bool) error {
	data, err := readBody(x.r, maxCompletionBodyBytes)
	if err != nil {
		return err
	}
	body, prompt, err := parseCompletion(data, chat)
	if err != nil {
		return err
	}
	req, err := s.modelRequest(x, &body, prompt)
	if err != nil {
		return err
	}
	charge, err := s.Rate.Admit(x.ctx, req.Organisation, req.Cost())
	if err != nil {
		return err
	}
	writer := newCompletionWriter(x, req, chat, &body)
	answer, err := s.Models.Run(x.ctx, req, writer)
	s.Rate.Settle(charge, usedTokens(req, answer.PromptTokens, answer.OutputTokens, err))
	if err != nil {
		return err
	}
	return writer.finish(answer)
}

// usedTokens returns the number of tokens finally charged for a request, based on the engine's
// count of the prompt tokens. If that exceeds the estimate charged at admission, the excess is
// taken from the organisation's bucket afterwards.
func usedTokens(req *Request, promptTokens, outputTokens int, err error) uint64 {
	if err != nil && verdict.From(err).Ran == verdict.NotRun {
		return 0
	}
	if promptTokens == 0 {
		promptTokens = req.PromptTokens
	}
	return uint64(promptTokens + outputTokens)
}

// modelRequest validates the body against the active configuration and builds the request.
func (s *Server) modelRequest(x *exchange, body *completionBody, prompt string) (*Request, error) {
	service, ok := x.index.ServiceByModel(body.Model)
	if !ok || !mayUse(x.organisation, service.Name) {
		return nil, verdict.Refuse(verdict.ReasonUnknownModel, 0, "the model %q is unknown", body.Model)
	}
	x.service = service.Name
	measure := port.MeasurePrompt(prompt)
	if limit := service.MaxPromptTokens; measure.Tokens > limit {
		return nil, verdict.Refuse(verdict.ReasonPromptTooLong, 0,
			"the prompt has about %d tokens; the model accepts %d", measure.Tokens, limit)
	}
	req := x.request(service)
	req.Model = body.Model
	req.Prompt = prompt
	req.PromptTokens = measure.Tokens
	req.MaxTokens = maxOutputTokens(body.maxTokens(), service.MaxOutputTokens)
	req.PrefixHashes = measure.Prefixes[:min(len(measure.Prefixes), maxPrefixHashes)]
	req.Fingerprint = measure.Fingerprint
	req.Stream = body.Stream
	return req, nil
}

// maxOutputTokens returns the maximum number of output tokens: the requested number or the
// default, capped at the service's limit.
func maxOutputTokens(requested *int, limit int) int {
	if requested == nil {
		return min(defaultMaxTokens, limit)
	}
	return min(*requested, limit)
}

// request builds a request of the exchange's organisation for a service.
func (x *exchange) request(service *object.Service) *Request {
	class := request.Interactive
	if service.Deferrable || x.r.Header.Get("X-Request-Class") == request.Deferrable.String() {
		class = request.Deferrable
	}
	return &Request{
		ID: x.id, Organisation: x.organisation.Name, KeyID: x.key.Name, Service: service.Name,
		Class: class, Arrived: x.arrived, Deadline: x.arrived.Add(maxWait(service, class)),
		ConfigVersion: x.index.Version(),
	}
}

// maxWait returns the maximum time until the first byte of the response.
func maxWait(service *object.Service, class request.Class) time.Duration {
	wait := service.MaxWaitMS
	if class == request.Deferrable && !service.Deferrable {
		wait = object.DefaultDeferrableWaitMS
	}
	return time.Duration(wait) * time.Millisecond
}
