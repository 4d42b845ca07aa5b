package config

import (
	"bytes"
	"compress/gzip"
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

// Kind tells why a record was written.
type Kind string

const (
	// KindPublish records carry a set that replaces the base.
	KindPublish Kind = "publish"
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

// record is a decoded record.
type record struct {
	header Header
	set    object.Set
	// payload is the compressed set as it stands in the log.
	payload []byte
}

var errDamaged = errors.New("damaged record")

// encodeRecord writes the header on the first line, as text that tools can read,
// and the compressed set after it. The set carries the checksum of its compression;
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

func compressSet(set object.Set) ([]byte, error) {
	var b bytes.Buffer
	zw := gzip.NewWriter(&b)
	if err := json.NewEncoder(zw).Encode(set); err != nil {
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
	set, err := decodeSet(payload)
	return record{header: header, set: set, payload: payload}, err
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
	case KindPublish, KindRepublish, KindRestart:
		return h, nil
	default:
		return h, fmt.Errorf("%w: kind %q", errDamaged, h.Kind)
	}
}

func decodeSet(payload []byte) (object.Set, error) {
	var set object.Set
	zr, err := gzip.NewReader(bytes.NewReader(payload))
	if err != nil {
		return set, fmt.Errorf("%w: set: %v", errDamaged, err)
	}
	text, err := io.ReadAll(io.LimitReader(zr, maxSetBytes+1))
	if err != nil || len(text) > maxSetBytes {
		return set, fmt.Errorf("%w: set: %v, %d bytes", errDamaged, err, len(text))
	}
	if err := decodeStrict(bytes.NewReader(text), &set); err != nil {
		return set, fmt.Errorf("%w: set: %v", errDamaged, err)
	}
	return set, nil
}

func decodeStrict(r io.Reader, into any) error {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	return dec.Decode(into)
}
