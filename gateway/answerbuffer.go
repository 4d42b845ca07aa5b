package gateway

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Limits and timings of answers to callers that read slowly.
const (
	// slowWriteDelay is how long a write to a caller blocks before its answer is read ahead. Callers that read
	// normally take a stream's next event within the time between two events.
	slowWriteDelay = 100 * time.Millisecond
	// maxReadAhead limits the bytes that are read ahead of one caller. Most answers fit, so that their engines are
	// released although the caller is slow.
	maxReadAhead = 256 << 10
	// unreadCutOff is how long a full buffer must keep an upstream waiting before the end of its answer is attributed to
	// the caller. Upstreams cut off answers that stay unread for some seconds.
	unreadCutOff = time.Second
)

// answerMemory is the memory that all answers to slow callers share. It is safe for concurrent use.
type answerMemory struct {
	limit int64
	used  atomic.Int64
}

// acquire takes up to n bytes and returns how many it took.
func (m *answerMemory) acquire(n int) int {
	for {
		used := m.used.Load()
		take := min(int64(n), m.limit-used)
		if take <= 0 {
			return 0
		}
		if m.used.CompareAndSwap(used, used+take) {
			return int(take)
		}
	}
}

// acquireChunk takes memory for a further part of an answer of which some bytes are buffered. It returns 0 if no more of
// it may be buffered.
func (m *answerMemory) acquireChunk(buffered int) int {
	chunk := min(minBufferedAnswer, maxBufferedAnswer-buffered)
	if m.limit == 0 || chunk <= 0 {
		return max(chunk, 0)
	}
	return m.acquire(chunk)
}

func (m *answerMemory) release(n int) { m.used.Add(-int64(n)) }

// answerBuffer reads an answer ahead of a caller that reads slowly. Without it, the answer stays unread at the upstream,
// which keeps its slot and memory occupied and cuts the answer off after some seconds.
type answerBuffer struct {
	body   io.Reader
	memory *answerMemory
	// done is closed when nothing more is read from body.
	done chan struct{}

	mu      sync.Mutex
	changed *sync.Cond
	data    []byte
	err     error
	closed  bool
	// fullSince is the time since which there has been no memory for more, or zero. unread is set once that has lasted for
	// unreadCutOff, and readSince counts the bytes read since: the upstream's last bytes before it cuts off an answer
	// are still in the connection.
	fullSince time.Time
	unread    bool
	readSince int
	// cutOff is set if the answer ended early while the buffer had been full for unreadCutOff.
	cutOff bool
}

func newAnswerBuffer(body io.Reader, memory *answerMemory) *answerBuffer {
	b := &answerBuffer{body: body, memory: memory, done: make(chan struct{})}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// run reads ahead until the answer ends or the buffer is closed.
func (b *answerBuffer) run() {
	defer close(b.done)
	chunk := make([]byte, streamBufferBytes)
	for {
		room := b.waitForRoom(len(chunk))
		if room == 0 {
			return
		}
		n, err := b.body.Read(chunk[:room])
		if !b.add(chunk[:n], room-n, err) {
			return
		}
	}
}

// waitForRoom waits until some bytes can be read ahead and acquires the memory. It returns 0 if the buffer is closed.
func (b *answerBuffer) waitForRoom(most int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed {
		if room := b.memory.acquire(min(most, maxReadAhead-len(b.data))); room > 0 {
			if !b.fullSince.IsZero() && time.Since(b.fullSince) >= unreadCutOff {
				b.unread, b.readSince = true, 0
			}
			b.fullSince = time.Time{}
			return room
		}
		if len(b.data) == 0 {
			// The caller takes these bytes at once, so that one chunk for each answer needs no shared memory.
			b.memory.used.Add(int64(most))
			return most
		}
		if b.fullSince.IsZero() {
			b.fullSince = time.Now()
		}
		b.changed.Wait()
	}
	return 0
}

// add appends what was read, returns unused memory, and reports whether to go on.
func (b *answerBuffer) add(data []byte, unused int, err error) bool {
	b.memory.release(unused)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		b.memory.release(len(data))
		return false
	}
	b.data = append(b.data, data...)
	b.err = err
	b.readSince += len(data)
	b.cutOff = err != nil && b.unread && b.readSince <= maxReadAhead
	b.changed.Broadcast()
	return err == nil
}

// Read implements io.Reader.
func (b *answerBuffer) Read(to []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.data) == 0 && b.err == nil && !b.closed {
		b.changed.Wait()
	}
	if len(b.data) == 0 {
		if b.err == nil {
			return 0, io.ErrClosedPipe
		}
		return 0, b.err
	}
	n := copy(to, b.data)
	b.data = append(b.data[:0], b.data[n:]...)
	if cap(b.data) > streamBufferBytes && len(b.data) < cap(b.data)/4 {
		// The memory of what was read is returned, and not only its account.
		b.data = bytes.Clone(b.data)
	}
	b.memory.release(n)
	b.changed.Broadcast()
	return n, nil
}

// wasCutOff reports whether the upstream ended the answer because it stayed unread.
func (b *answerBuffer) wasCutOff() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cutOff
}

// close ends the buffer and returns its memory. If the answer has not ended, interrupt must end a blocked read.
func (b *answerBuffer) close(interrupt func()) {
	b.mu.Lock()
	b.closed = true
	b.memory.release(len(b.data))
	b.data = nil
	ended := b.err != nil
	b.changed.Broadcast()
	b.mu.Unlock()
	if !ended {
		interrupt()
	}
	<-b.done
}
