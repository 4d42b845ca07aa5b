package memlog

import (
	"context"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/port"
)

// Link is the connection of one instance to the log. While it is down, appends are refused and
// reads fail, including reads that are already waiting.
type Link struct {
	log  *Log
	mu   sync.Mutex
	down bool
	// appends counts the append calls by stream.
	appends map[string]int
}

// Link returns a new connection to the log.
func (l *Log) Link() *Link { return &Link{log: l, appends: make(map[string]int)} }

// SetDown sets whether the link is down.
func (k *Link) SetDown(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = down
}

func (k *Link) isDown() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.down
}

// Appends returns the number of append calls to a stream over this link.
func (k *Link) Appends(name string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.appends[name]
}

// Append implements port.Log.
func (k *Link) Append(ctx context.Context, name string, entries ...port.Entry) (uint64, error) {
	if k.isDown() {
		return 0, unavailableError()
	}
	k.mu.Lock()
	k.appends[name]++
	k.mu.Unlock()
	return k.log.Append(ctx, name, entries...)
}

// Read implements port.Log.
func (k *Link) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (port.Page, error) {
	if k.isDown() {
		return port.Page{}, ErrConnectionBroken
	}
	page, err := k.log.Read(ctx, name, from, limit, wait)
	if k.isDown() {
		return port.Page{}, ErrConnectionBroken
	}
	return page, err
}
