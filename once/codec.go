package once

import (
	"encoding/hex"
	"fmt"

	"google.golang.org/protobuf/proto"

	oncev1 "github.com/cairnworks/cairnworks/gen/cairnworks/once/v1"
	"github.com/cairnworks/cairnworks/once/protocol"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/route"
)

// MaxAnswerBytes is the maximum size of a recorded response body. For larger ones only the fact that
// the call ran is recorded: sixteen of them would fill the append for which all guarded calls of the
// partition wait.
const MaxAnswerBytes = 64 << 10

func intentRecord(rec protocol.Record) *oncev1.Record {
	return &oncev1.Record{
		Key:      rec.Key[:],
		IntentId: rec.ID[:],
		BodyHash: rec.Body[:],
		Kind: &oncev1.Record_Intent{Intent: &oncev1.Intent{
			Instance:      rec.Owner.Instance,
			Incarnation:   rec.Owner.Incarnation,
			RequestId:     rec.RequestID,
			ClaimedUnixMs: rec.ClaimedMS,
		}},
	}
}

func outcomeRecord(intent protocol.Record, answer route.RecordedAnswer) *oncev1.Record {
	if len(answer.Body) > MaxAnswerBytes {
		return ranRecord(intent)
	}
	outcome := &oncev1.Outcome{Status: int32(answer.Status), ContentType: answer.ContentType, Body: answer.Body}
	return &oncev1.Record{
		Key: intent.Key[:], IntentId: intent.ID[:], BodyHash: intent.Body[:],
		Kind: &oncev1.Record_Outcome{Outcome: outcome},
	}
}

// ranRecord returns the outcome of a call that ran without its response.
func ranRecord(intent protocol.Record) *oncev1.Record {
	return &oncev1.Record{
		Key: intent.Key[:], IntentId: intent.ID[:], BodyHash: intent.Body[:],
		Kind: &oncev1.Record_Outcome{Outcome: &oncev1.Outcome{BodyDropped: true}},
	}
}

func voidRecord(intent protocol.Record) *oncev1.Record {
	return &oncev1.Record{
		Key: intent.Key[:], IntentId: intent.ID[:],
		Kind: &oncev1.Record_Void{Void: &oncev1.Void{}},
	}
}

// protocolRecord returns the fields of a record that the protocol uses.
func protocolRecord(m *oncev1.Record) (protocol.Record, error) {
	var rec protocol.Record
	if len(m.Key) != len(rec.Key) || len(m.IntentId) != len(rec.ID) {
		return rec, fmt.Errorf("once: record has a key of %d bytes and an intent ID of %d bytes", len(m.Key), len(m.IntentId))
	}
	copy(rec.Key[:], m.Key)
	copy(rec.ID[:], m.IntentId)
	copy(rec.Body[:], m.BodyHash)
	switch kind := m.Kind.(type) {
	case *oncev1.Record_Intent:
		rec.Kind = protocol.KindIntent
		rec.Owner = protocol.Owner{Instance: kind.Intent.Instance, Incarnation: kind.Intent.Incarnation}
		rec.RequestID = kind.Intent.RequestId
		rec.ClaimedMS = kind.Intent.ClaimedUnixMs
	case *oncev1.Record_Outcome:
		rec.Kind = protocol.KindOutcome
		rec.AnswerDropped = kind.Outcome.BodyDropped
	case *oncev1.Record_Void:
		rec.Kind = protocol.KindVoid
	default:
		// A record of a later version. Whatever it states about its key, the key is not free.
		rec.Kind = protocol.KindIntent
	}
	return rec, nil
}

func decodeRecord(data []byte) (*oncev1.Record, protocol.Record, error) {
	m := new(oncev1.Record)
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, protocol.Record{}, err
	}
	rec, err := protocolRecord(m)
	return m, rec, err
}

// entryOf encodes a record for the log. The entry ID is the same each time the record is appended, as
// port.Entry requires for one logical append.
func entryOf(m *oncev1.Record, rec protocol.Record) (port.Entry, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return port.Entry{}, err
	}
	return port.Entry{ID: entryPrefix(rec.Kind) + hex.EncodeToString(rec.ID[:]), Data: data}, nil
}

func entryPrefix(kind protocol.Kind) string {
	switch kind {
	case protocol.KindIntent:
		return "intent-"
	case protocol.KindOutcome:
		return "outcome-"
	default:
		return "void-"
	}
}

func recordedAnswerOf(outcome *oncev1.Outcome) *route.RecordedAnswer {
	return &route.RecordedAnswer{Status: int(outcome.Status), ContentType: outcome.ContentType, Body: outcome.Body}
}
