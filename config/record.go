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

// format is the version of the record's form. It changes when records are judged
// differently; instances that do not know a format treat its records as void, so
// instances are upgraded before the first record of a new format is published.
const format = 1

// maxSetBytes bounds the uncompressed text of a set. A damaged or hostile record
// could otherwise expand until the instance runs out of memory.
const maxSetBytes = 64 << 20

// maxRatio bounds how much memory is reserved on the word of a record.
const maxRatio = 64

// Kind tells why a record was written.
type Kind string

const (
	// KindPublish records carry a whole set that replaces the base.
	KindPublish Kind = "publish"
	// KindChange records carry the edit of the base that makes the new set.
	KindChange Kind = "change"
	// KindRepublish records carry the set of the base again, so that it outlives
	// the retention of its first record.
	KindRepublish Kind = "republish"
	// KindRestart records are accepted whatever was in force before, if no record
	// stands between them and what their writer had read. They are written only
	// when no retained record tells what was in force.
	KindRestart Kind = "restart"
)

// Header is the first line of a record.
type Header struct {
	Format int  `json:"format"`
	Kind   Kind `json:"kind"`
	// Base is the version that was in force after the record at offset Through, as
	// the writer had read it; 0 means that nothing had been published.
	Base    uint64 `json:"base"`
	Through uint64 `json:"through"`
	// Note is the operator's reason, for the history.
	Note string `json:"note,omitempty"`
}

// change is the content of a KindChange record.
type change struct {
	Edit object.Edit `json:"edit"`
	// Sum is the setSum of the result. A reader whose base differs, through a fault
	// of a program, would otherwise run another set under the same version.
	Sum string `json:"sum"`
}

// record is a decoded record: a whole set, or a change.
type record struct {
	header Header
	set    object.Set
	change change
}

var errDamaged = errors.New("damaged record")

// encodeRecord writes the header on the first line, as text that tools can read,
// and the compressed content after it. That carries the checksum of its compression;
// the header needs one of its own: a damaged digit of Base or Through would
// otherwise be a false statement of what was in force.
func encodeRecord(h Header, payload []byte) ([]byte, error) {
	line, err := json.Marshal(h)
	if err != nil {
		return nil, err
	}
	data := fmt.Appendf(nil, "%08x %s\n", crc32.ChecksumIEEE(line), line)
	return append(data, payload...), nil
}

// encodeSet returns a record with a whole set.
func encodeSet(h Header, set object.Set) ([]byte, error) {
	payload, err := compress(set)
	if err != nil {
		return nil, err
	}
	return encodeRecord(h, payload)
}

// setSum is the checksum of a set's objects in their order. They are encoded one
// by one: the text of a large set at once would be several megabytes of garbage
// for each version.
func setSum(set object.Set) string {
	h := sha256.New()
	enc := json.NewEncoder(h)
	addObjects(enc, object.TypeOrganisation, set.Organisations)
	addObjects(enc, object.TypeKey, set.Keys)
	addObjects(enc, object.TypeService, set.Services)
	addObjects(enc, object.TypeUpstream, set.Upstreams)
	addObjects(enc, object.TypeLimit, set.Limits)
	return hex.EncodeToString(h.Sum(nil))
}

func addObjects[T any](enc *json.Encoder, t object.Type, objects []T) {
	// The type separates the lists; neither it nor an object can fail to encode.
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

// decodeRecord fails with errDamaged on anything that encodeRecord does not write.
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
		return h, fmt.Errorf("%w: header checksum", errDamaged)
	}
	if err := decodeStrict(bytes.NewReader(text), &h); err != nil {
		return h, fmt.Errorf("%w: header: %v", errDamaged, err)
	}
	if h.Format != format {
		return h, fmt.Errorf("%w: format %d", errDamaged, h.Format)
	}
	switch h.Kind {
	case KindPublish, KindChange, KindRepublish, KindRestart:
		return h, nil
	default:
		return h, fmt.Errorf("%w: kind %q", errDamaged, h.Kind)
	}
}

func decompress(payload []byte, into any) error {
	zr, err := gzip.NewReader(bytes.NewReader(payload))
	if err != nil {
		return fmt.Errorf("%w: content: %v", errDamaged, err)
	}
	var text bytes.Buffer
	text.Grow(statedSize(payload))
	if n, err := text.ReadFrom(io.LimitReader(zr, maxSetBytes+1)); err != nil || n > maxSetBytes {
		return fmt.Errorf("%w: content: %v, %d bytes", errDamaged, err, n)
	}
	if err := decodeStrict(&text, into); err != nil {
		return fmt.Errorf("%w: content: %v", errDamaged, err)
	}
	return nil
}

// statedSize is the uncompressed size that the last four bytes of a gzip stream
// state, or little when they cannot be right. It only saves growing a buffer.
func statedSize(payload []byte) int {
	if len(payload) < 4 {
		return 0
	}
	stated := int(binary.LittleEndian.Uint32(payload[len(payload)-4:])) + bytes.MinRead
	if stated > maxSetBytes || stated > maxRatio*len(payload) {
		return 0
	}
	return stated
}

func decodeStrict(r io.Reader, into any) error {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	return dec.Decode(into)
}
