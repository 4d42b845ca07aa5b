package httpport_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/loopback/cutproxy"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/port/httpport"
	"github.com/cairnworks/cairnworks/verdict"
)

// answerAll answers every call of an engine, a plain service and the platform.
func answerAll(w http.ResponseWriter, r *http.Request) {
	body := `{"first":1,"next":2,"bytes":3,"handle":"h","tokens":1}`
	switch {
	case r.URL.Path == "/v1/decode":
		body = "{\"seq\":0,\"token\":\"a\"}\n{\"seq\":1,\"done\":true}"
	case strings.HasSuffix(r.URL.Path, "streams") || strings.HasSuffix(r.URL.Path, "events") || strings.HasSuffix(r.URL.Path, "instances") || strings.HasSuffix(r.URL.Path, "upstreams"):
		body = "[]"
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
}

// Guards against an answer that stops in the middle of its head, or later, and is taken for a whole one by a client of
// engines, plain services or the platform.
func TestAnswerCutShortIsFailure(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(answerAll))
	defer server.Close()
	proxy := cutproxy.Start(t, server.Listener.Addr().String())
	client := httpport.NewClient()
	engine, service := httpport.NewEngine(proxy.Address, client), httpport.NewPlainService(proxy.Address, client)
	log, list, weights := httpport.NewLog(proxy.Address, client), httpport.NewInstanceList(proxy.Address, client), httpport.NewWeightStore(proxy.Address, client)
	ctx := t.Context()
	for name, use := range map[string]func() (string, error){
		"prefill": func() (string, error) {
			r, err := engine.Prefill(ctx, port.PrefillRequest{})
			return fmt.Sprint(r), err
		},
		"import":  func() (string, error) { return "", engine.Import(ctx, port.ImportRequest{}) },
		"cancel":  func() (string, error) { return "", engine.Cancel(ctx, port.StreamID{}) },
		"streams": func() (string, error) { r, err := engine.Streams(ctx); return fmt.Sprint(r), err },
		"load":    func() (string, error) { r, err := engine.Load(ctx); return fmt.Sprint(r), err },
		"events":  func() (string, error) { r, err := engine.CacheEvents(ctx, 0); return fmt.Sprint(r), err },
		"order":   func() (string, error) { return "", engine.Order(ctx, port.Order{}) },
		"decode": func() (string, error) {
			frames, err := engine.Decode(ctx, port.DecodeRequest{})
			var all []port.Frame
			for err == nil {
				var f port.Frame
				if f, err = frames.Next(); f.Done {
					return fmt.Sprint(all, f), frames.Close()
				}
				all = append(all, f)
			}
			return "", err
		},
		"plain": func() (string, error) {
			resp, err := service.Call(ctx, port.ServiceRequest{Method: http.MethodPost, Path: "x"})
			if err != nil {
				return "", err
			}
			body, err := io.ReadAll(resp.Body)
			return string(body), err
		},
		"append":    func() (string, error) { r, err := log.Append(ctx, "s", port.Entry{}); return fmt.Sprint(r), err },
		"read":      func() (string, error) { r, err := log.Read(ctx, "s", 0, 1, 0); return fmt.Sprint(r), err },
		"instances": func() (string, error) { r, err := list.Instances(ctx); return fmt.Sprint(r), err },
		"upstreams": func() (string, error) { r, err := list.Upstreams(ctx); return fmt.Sprint(r), err },
		"weights":   func() (string, error) { r, err := weights.Stat(ctx, "m"); return fmt.Sprint(r), err },
	} {
		t.Run(name, func(t *testing.T) {
			proxy.Each(t, use)
			proxy.Cut(20, false)
			_, err := use()
			var v *verdict.Verdict
			assert.Assert(t, errors.As(err, &v))
			assert.Equal(t, v.Ran, verdict.MayHaveRun)
		})
	}
}
