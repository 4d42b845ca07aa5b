package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/verdict"
)

// refusalBody is the JSON body of a refusal or failure.
type refusalBody struct {
	Code   verdict.Reason `json:"code"`
	Ran    string         `json:"ran"`
	Detail string         `json:"detail"`
}

// refuse responds to a request for which there is no upstream answer to forward.
func (g *Gateway) refuse(w http.ResponseWriter, c *Call, v *verdict.Verdict) {
	g.Metrics.CountRefusal("gateway", v)
	g.logRefusal(c, v)
	if v.Reason == verdict.ReasonCancelled {
		// The caller has disconnected.
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	if v.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(g.retryAfter(c, v).Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(refusalBody{v.Reason, v.Ran.String(), v.Detail})
	if err != nil {
		g.log.Error("cannot encode refusal", zap.Error(err))
	}
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(statusOf(v))
	if _, err := w.Write(body); err != nil {
		g.log.Debug("cannot write refusal", zap.Error(err))
	}
}

// retryTimeRatio limits Retry-After to a fraction of the caller's remaining time, so that enough
// time remains for the retry to be answered.
const retryTimeRatio = 1.0 / 3

// retryAfter limits the verdict's Retry-After by the caller's remaining time.
func (g *Gateway) retryAfter(c *Call, v *verdict.Verdict) time.Duration {
	if c == nil || c.Timeout == 0 || v.Reason == verdict.ReasonUpstreamBackoff || v.RetryExpected {
		// The end of a backoff is known, and the queue states when capacity is expected: whoever
		// returns earlier is refused again.
		return v.RetryAfter
	}
	if v.Reason == verdict.ReasonRateLimited && g.Features.QuotaOrder {
		// The tokens are expected at that time. A caller that cannot wait for it does not return.
		return v.RetryAfter
	}
	left := c.Timeout - time.Since(c.Arrived)
	return max(min(v.RetryAfter, time.Duration(float64(left)*retryTimeRatio)), time.Millisecond)
}

func (g *Gateway) logRefusal(c *Call, v *verdict.Verdict) {
	fields := []zap.Field{
		zap.String("reason", string(v.Reason)), zap.Stringer("ran", v.Ran), zap.Int("status", statusOf(v)),
		zap.Duration("retry_after", v.RetryAfter), zap.String("detail", v.Detail),
	}
	if c != nil {
		fields = append(fields, zap.String("request", c.ID), zap.String("organisation", c.Organisation),
			zap.String("path", c.Path), zap.Duration("held", time.Since(c.Arrived)))
	}
	if v.Cause != nil {
		fields = append(fields, zap.Error(v.Cause))
	}
	g.log.Info("refused", fields...)
}

// suppressHeader as a header's value keeps net/http from adding a default (such as a sniffed
// content type) that the upstream did not send.
var suppressHeader []string

// copyHeader copies an upstream's headers to the response.
func copyHeader(to http.Header, a *Answer) {
	for name, values := range a.Header {
		to[name] = values
	}
	if _, given := a.Header["Content-Type"]; !given {
		to["Content-Type"] = suppressHeader
	}
	if _, given := a.Header["Date"]; !given {
		to["Date"] = suppressHeader
	}
}
