package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/verdict"
)

// problem is the body of a refusal or failure.
type problem struct {
	Code   verdict.Reason `json:"code"`
	Ran    string         `json:"ran"`
	Detail string         `json:"detail"`
}

// refuse answers a request that gets no upstream's answer.
func (g *Gateway) refuse(w http.ResponseWriter, c *Call, v *verdict.Verdict) {
	g.Metrics.Refused("gateway", v)
	g.logRefusal(c, v)
	if v.Reason == verdict.ReasonCancelled {
		// Nobody is there to read an answer.
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	if v.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(g.retryAfter(c, v).Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(problem{v.Reason, v.Ran.String(), v.Detail})
	if err != nil {
		g.log.Error("refusal not encoded", zap.Error(err))
	}
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(statusOf(v))
	if _, err := w.Write(body); err != nil {
		g.log.Debug("refusal not delivered", zap.Error(err))
	}
}

// retryShare is the part of a caller's remaining time after which it is told to come
// back at the latest: an answer that it then waits for still has time to come.
const retryShare = 1.0 / 3

// retryAfter bounds the time to come back by what the caller has left.
func (g *Gateway) retryAfter(c *Call, v *verdict.Verdict) time.Duration {
	if c == nil || c.Timeout == 0 {
		return v.RetryAfter
	}
	left := c.Timeout - time.Since(c.Arrived)
	return max(min(v.RetryAfter, time.Duration(float64(left)*retryShare)), time.Millisecond)
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

// noType keeps the server from guessing a content type that the upstream did not
// send.
var noType []string

// copyHeader hands an upstream's headers on.
func copyHeader(to http.Header, a *Answer) {
	for name, values := range a.Header {
		to[name] = values
	}
	if _, given := a.Header["Content-Type"]; !given {
		to["Content-Type"] = noType
	}
	if _, given := a.Header["Date"]; !given {
		to["Date"] = noType
	}
}
