package lease

import (
	"encoding/json"

	"github.com/samber/oops"

	"github.com/cairnworks/cairnworks/request"
)

// Term identifies a term by the offset of its claim in the log. Zero is no term.
type Term uint64

// Record is one entry of the log stream "rate".
type Record struct {
	// Holder is the run that wrote the record.
	Holder request.Holder `json:"h"`
	// Fence is the fence set of every term in the record.
	Fence []request.Holder `json:"f,omitempty"`
	// Seen is the offset up to which, exclusively, the holder had read the stream.
	Seen uint64 `json:"n"`
	// Claims are the shards whose next term the holder claims.
	Claims []uint32 `json:"c,omitempty"`
	// Restated are terms that the holder still holds.
	Restated []Restated `json:"r,omitempty"`
	// Stopped are runs that an operator declared stopped.
	Stopped []request.Holder `json:"s,omitempty"`
	// AllStopped declares that every run that claimed a shard before this record has
	// stopped.
	AllStopped bool `json:"a,omitempty"`
}

// Restated repeats a held term, so that it remains in the log beyond the log's retention.
type Restated struct {
	Shard uint32 `json:"s"`
	Term  Term   `json:"t"`
	// Settled reports that no earlier term of the shard can spend.
	Settled bool `json:"k,omitempty"`
}

// Encode returns the record in the encoding of the log.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, oops.Wrapf(err, "encode rate record")
	}
	return data, nil
}

// Decode decodes a record that was read from the log.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, oops.Wrapf(err, "decode rate record")
	}
	return r, nil
}

// SameRun reports whether two holders are the same run of one instance.
func SameRun(a, b request.Holder) bool {
	return a.Instance == b.Instance && a.Incarnation == b.Incarnation
}

func containsRun(list []request.Holder, h request.Holder) bool {
	for _, m := range list {
		if SameRun(m, h) {
			return true
		}
	}
	return false
}
