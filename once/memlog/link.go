package memlog

import (
	"context"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/port"
)

// Link is the log as one instance reaches it. A cut link refuses appends and breaks
// reads, also those that wait already.
type Link struct {
	log     *Log
	mu      sync.Mutex
	cut     bool
	appends map[string]int
}

// Link returns a new way to the log.
func (l *Log) Link() *Link { return &Link{log: l, appends: make(map[string]int)} }

// Cut cuts the link or mends it.
func (k *Link) Cut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
}

func (k *Link) isCut() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cut
}

// Appends returns how many append calls of a stream came over the link.
func (k *Link) Appends(name string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.appends[name]
}

// Append implements port.Log.
func (k *Link) Append(ctx context.Context, name string, entries ...port.Entry) (uint64, error) {
	if k.isCut() {
		return 0, refused()
	}
	k.mu.Lock()
	k.appends[name]++
	k.mu.Unlock()
	return k.log.Append(ctx, name, entries...)
}

// Read implements port.Log.
func (k *Link) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (port.Page, error) {
	if k.isCut() {
		return port.Page{}, ErrConnectionBroken
	}
	page, err := k.log.Read(ctx, name, from, limit, wait)
	if k.isCut() {
		return port.Page{}, ErrConnectionBroken
	}
	return page, err
}
