package once

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/cairnworks/cairnworks/once/protocol"
	"github.com/cairnworks/cairnworks/route"
)

// keyOf hashes organisation, service and idempotency key. The lengths are included so that different
// triples have different encodings. The keys of different organisations can therefore never be
// equal.
func keyOf(call route.GuardedCall) protocol.Key {
	h := sha256.New()
	for _, part := range []string{call.Organisation, call.Service, call.IdempotencyKey} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return protocol.Key(h.Sum(nil)[:16])
}

func partitionOf(key protocol.Key) int {
	return int(binary.BigEndian.Uint64(key[8:]) % Partitions)
}

func streamName(partition int) string { return fmt.Sprintf("once-%d", partition) }

func newIntentID() protocol.IntentID {
	var id protocol.IntentID
	// rand.Read never returns an error.
	_, _ = rand.Read(id[:])
	return id
}

// uuidV7Time returns the creation time in an idempotency key that is a UUID of version 7 (RFC 9562,
// section 5.7), and false for other keys.
func uuidV7Time(key string) (time.Time, bool) {
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(key) != 36 || len(raw) != 16 {
		return time.Time{}, false
	}
	if raw[6]>>4 != 7 || raw[8]>>6 != 2 {
		return time.Time{}, false
	}
	return time.UnixMilli(int64(binary.BigEndian.Uint64(raw[:8]) >> 16)), true
}
