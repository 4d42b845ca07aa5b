//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Topics that the operator and the engines write.
const (
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
)

// entry is a record of a keyed topic.
type entry struct {
	key   string
	value []byte
}

// store is the platform's store: keyed topics with one partition.
type store struct {
	address string

	mu     sync.Mutex
	topics map[string][]entry
	// appended is closed and replaced with each record.
	appended chan struct{}
	// downUntil is the time until which all calls get 503.
	downUntil time.Time
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), topics: make(map[string][]entry), appended: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put appends a record. A nil value drops the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, entry{key, value})
}

func (s *store) append(topic string, e entry) {
	s.topics[topic] = append(s.topics[topic], e)
	close(s.appended)
	s.appended = make(chan struct{})
}

// setDown lets the store answer all calls with 503 for some time.
func (s *store) setDown(length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downUntil = time.Now().Add(length)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := time.Now().Before(s.downUntil)
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(4 * time.Millisecond)
	topic := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/api/log-append":
		s.serveAppend(w, r, topic)
	case "/api/log-read":
		s.serveRead(w, r, topic)
	case "/api/log-newest":
		s.serveNewest(w, topic)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 || len(body) < 5+int(body[4]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if topic == topicOperator || topic == topicServers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	split := 5 + int(body[4])
	added := entry{key: string(body[5:split])}
	if len(body) > split {
		added.value = body[split:]
	}
	s.mu.Lock()
	offset := len(s.topics[topic])
	at := r.URL.Query().Get("at")
	fits := at == "" || at == strconv.Itoa(offset)
	if fits {
		s.append(topic, added)
	}
	s.mu.Unlock()
	if !fits {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end": offset})
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": offset, "end": offset + 1})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
	var list []entry
	for waiting := true; waiting; {
		s.mu.Lock()
		list = s.topics[topic]
		appended := s.appended
		s.mu.Unlock()
		if len(list) > from || wait == 0 {
			break
		}
		select {
		case <-appended:
		case <-r.Context().Done():
			return
		case <-expired:
			waiting = false
		}
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(list)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, e := range list[min(from, len(list)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(e.key)+len(e.value)))
		out = append(out, byte(len(e.key)))
		out = append(append(out, e.key...), e.value...)
	}
	_, _ = w.Write(out)
}

func (s *store) serveNewest(w http.ResponseWriter, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	list := s.topics[topic]
	s.mu.Unlock()
	newest := make(map[string]int)
	for offset, e := range list {
		newest[e.key] = offset
	}
	items := []item{}
	for offset, e := range list {
		if newest[e.key] == offset && len(e.value) > 0 {
			items = append(items, item{e.key, base64.StdEncoding.EncodeToString(e.value), offset})
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "truncated": false, "end": len(list)})
}
