package fleet

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"

	fleetv1 "github.com/cairnworks/cairnworks/gen/cairnworks/fleet/v1"
	"github.com/cairnworks/cairnworks/port"
)

// Figures of records in reports.
const (
	// deflateFrom is the size in bytes from which a value is compressed. A configuration in
	// JSON shrinks to a fifth; entries of upstreams are too small to be worth it.
	deflateFrom = 512
	// maxValue bounds a value that is taken in, in bytes, so that a forged report cannot
	// fill the memory.
	maxValue = 1 << 20
)

var errLargeRecord = errors.New("a record in a report is too large")

// marshalRecord returns a record as it is sent to every other instance.
func marshalRecord(record port.KeyedRecord) *fleetv1.Record {
	m := &fleetv1.Record{Key: record.Key, Value: record.Value, Offset: record.Offset}
	if len(record.Value) < deflateFrom {
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
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(m.Value)), maxValue+1))
	if err != nil {
		return port.KeyedRecord{}, err
	}
	if len(value) > maxValue {
		return port.KeyedRecord{}, errLargeRecord
	}
	record.Value = value
	return record, nil
}

func deflate(value []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestCompression)
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
