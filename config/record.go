package config

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/cairnworks/cairnworks/object"
)

// recordFormat is the version of the record format. It changes whenever records are judged
// differently. Instances treat records of a format they do not know as void, so all instances
// must be upgraded before the first record of a new format is published.
const recordFormat = 1

// maxSetBytes limits the uncompressed size of a set. A damaged or hostile record could
// otherwise expand until the instance runs out of memory.
const maxSetBytes = 64 << 20

// maxPreallocRatio limits the memory that is preallocated based on the size a record declares.
const maxPreallocRatio = 64

// Kind is the reason why a record was written.
type Kind string

const (
	// KindPublish records carry a full set that replaces the base.
	KindPublish Kind = "publish"
	// KindChange records carry the edit that turns the base into the new set.
	KindChange Kind = "change"
	// KindRepublish records repeat the set of the base, so that it outlives the retention of
	// its first record.
	KindRepublish Kind = "republish"
	// KindRestart records are accepted regardless of the current version, provided that no
	// record lies between them and the last one their writer had read. They are written only
	// when no retained record states the current version.
	KindRestart Kind = "restart"
)

// Header is the first line of a record.
type Header struct {
	Format int  `json:"format"`
	Kind   Kind `json:"kind"`
	// Base is the version that was current after the record at offset Through, as the writer
	// had read it; 0 means that nothing had been published.
	Base    uint64 `json:"base"`
	Through uint64 `json:"through"`
	// Note is the operator's reason, shown in the history.
	Note string `json:"note,omitempty"`
}

// change is the content of a KindChange record.
type change struct {
	Edit object.Edit `json:"edit"`
	// Sum is the setChecksum of the result. Without it, a reader whose base differs because of
	// a bug would run a different set under the same version.
	Sum string `json:"sum"`
}

// record is a decoded record: a full set or a change.
type record struct {
	header Header
	set    object.Set
	change change
}

var errDamaged = errors.New("damaged record")

// encodeRecord writes the header on the first line, as text that tools can read, followed by
// the compressed content. The compression has its own checksum. The header needs a separate
// one: a corrupted digit of Base or Through would be a false statement of the current version.
func encodeRecord(h Header, payload []byte) ([]byte, error) {
	line, err := json.Marshal(h)
	if err != nil {
		return nil, err
	}
	data := fmt.Appendf(nil, "%08x %s\n", crc32.ChecksumIEEE(line), line)
	return append(data, payload...), nil
}

// encodeSet returns a record with a full set.
func encodeSet(h Header, set object.Set) ([]byte, error) {
	payload, err := compress(set)
	if err != nil {
		return nil, err
	}
	return encodeRecord(h, payload)
}

// setChecksum is the checksum of a set's objects in order. They are encoded one by one:
// encoding a large set at once would allocate several megabytes of garbage for each version.
func setChecksum(set object.Set) string {
	h := sha256.New()
	enc := json.NewEncoder(h)
	encodeObjects(enc, object.TypeOrganisation, set.Organisations)
	encodeObjects(enc, object.TypeKey, set.Keys)
	encodeObjects(enc, object.TypeService, set.Services)
	encodeObjects(enc, object.TypeUpstream, set.Upstreams)
	encodeObjects(enc, object.TypeLimit, set.Limits)
	return hex.EncodeToString(h.Sum(nil))
}

func encodeObjects[T any](enc *json.Encoder, t object.Type, objects []T) {
	// The type separates the lists; encoding it or an object cannot fail.
	_ = enc.Encode(t)
	for i := range objects {
		_ = enc.Encode(&objects[i])
	}
}

func compress(content any) ([]byte, error) {
	var b bytes.Buffer
	zw := gzip.NewWriter(&b)
	if err := json.NewEncoder(zw).Encode(content); err != nil {
		return nil, err
	}
	if err := zw.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// decodeRecord fails with errDamaged on any input that encodeRecord does not produce.
func decodeRecord(data []byte) (record, error) {
	line, payload, found := bytes.Cut(data, []byte("\n"))
	if !found {
		return record{}, fmt.Errorf("%w: no header line", errDamaged)
	}
	header, err := decodeHeader(line)
	if err != nil {
		return record{}, err
	}
	r := record{header: header}
	if header.Kind == KindChange {
		return r, decompress(payload, &r.change)
	}
	return r, decompress(payload, &r.set)
}

func decodeHeader(line []byte) (Header, error) {
	var h Header
	sum, text, _ := bytes.Cut(line, []byte(" "))
	if string(sum) != fmt.Sprintf("%08x", crc32.ChecksumIEEE(text)) {
		return h, fmt.Errorf("%w: header checksum mismatch", errDamaged)
	}
	if err := decodeStrict(bytes.NewReader(text), &h); err != nil {
		return h, fmt.Errorf("%w: header: %v", errDamaged, err)
	}
	if h.Format != recordFormat {
		return h, fmt.Errorf("%w: unknown format %d", errDamaged, h.Format)
	}
	switch h.Kind {
	case KindPublish, KindChange, KindRepublish, KindRestart:
		return h, nil
	default:
		return h, fmt.Errorf("%w: unknown kind %q", errDamaged, h.Kind)
	}
}

func decompress(payload []byte, into any) error {
	zr, err := gzip.NewReader(bytes.NewReader(payload))
	if err != nil {
		return fmt.Errorf("%w: content: %v", errDamaged, err)
	}
	var text bytes.Buffer
	text.Grow(declaredSize(payload))
	if n, err := text.ReadFrom(io.LimitReader(zr, maxSetBytes+1)); err != nil || n > maxSetBytes {
		return fmt.Errorf("%w: content: %v, %d bytes", errDamaged, err, n)
	}
	if err := decodeStrict(&text, into); err != nil {
		return fmt.Errorf("%w: content: %v", errDamaged, err)
	}
	return nil
}

// declaredSize returns the uncompressed size declared in the last four bytes of a gzip stream,
// or 0 if that is implausible. It only avoids growing a buffer.
func declaredSize(payload []byte) int {
	if len(payload) < 4 {
		return 0
	}
	stated := int(binary.LittleEndian.Uint32(payload[len(payload)-4:])) + bytes.MinRead
	if stated > maxSetBytes || stated > maxPreallocRatio*len(payload) {
		return 0
	}
	return stated
}

func decodeStrict(r io.Reader, into any) error {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	return dec.Decode(into)
}
