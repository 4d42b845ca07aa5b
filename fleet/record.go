package fleet

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"

	fleetv1 "github.com/cairnworks/cairnworks/gen/cairnworks/fleet/v1"
	"github.com/cairnworks/cairnworks/port"
)

// Limits of records in reports.
const (
	// minDeflateBytes is the size from which a value is compressed. A JSON configuration shrinks to
	// a fifth; entries of upstreams are too small for compression to pay off.
	minDeflateBytes = 512
	// maxValueBytes is the maximum size of a decompressed value, so that a forged report cannot
	// exhaust memory. The store returns at most as much.
	maxValueBytes = 4 << 20
)

var errRecordTooLarge = errors.New("record in a report exceeds the maximum size")

// marshalRecord encodes a record, compressing its value if that makes it smaller.
func marshalRecord(record port.KeyedRecord) *fleetv1.Record {
	m := &fleetv1.Record{Key: record.Key, Value: record.Value, Offset: record.Offset}
	if len(record.Value) < minDeflateBytes {
		return m
	}
	if packed, err := deflate(record.Value); err == nil && len(packed) < len(record.Value) {
		m.Value, m.Deflated = packed, true
	}
	return m
}

func unmarshalRecord(m *fleetv1.Record) (port.KeyedRecord, error) {
	record := port.KeyedRecord{Key: m.Key, Value: m.Value, Offset: m.Offset}
	if !m.Deflated {
		return record, nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(m.Value)), maxValueBytes+1))
	if err != nil {
		return port.KeyedRecord{}, err
	}
	if len(value) > maxValueBytes {
		return port.KeyedRecord{}, errRecordTooLarge
	}
	record.Value = value
	return record, nil
}

func deflate(value []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}
