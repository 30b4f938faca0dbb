package settings

import (
	"encoding/json"
	"fmt"
)

// RecordKind is the kind of a settings record.
type RecordKind string

// Kinds of settings records.
const (
	RecordTemplate   RecordKind = "template"
	RecordParameters RecordKind = "parameters"
	RecordSnapshot   RecordKind = "snapshot"
)

// Record is the payload of one entry of the settings log.
type Record struct {
	// ID identifies the record across repeated appends.
	ID   string     `json:"id"`
	Kind RecordKind `json:"kind"`
	// Key is "template/NAME" or "parameters/WORKSPACE".
	Key string `json:"key"`
	// Base is the offset of the revision that this record replaces, 0 if none.
	Base int64           `json:"base"`
	Body json.RawMessage `json:"body"`
}

// Verdict is the result of folding one record.
type Verdict struct {
	Offset   int64  `json:"offset"`
	RecordID string `json:"record_id"`
	Accepted bool   `json:"accepted"`
	// Reason says why the record was refused.
	Reason string `json:"reason,omitempty"`
	// Winner is the record that a refused record lost against.
	Winner string `json:"winner,omitempty"`
}

// Apply folds the record at offset into the state. Offsets must grow.
func (s *State) Apply(offset int64, data []byte) Verdict {
	v := Verdict{Offset: offset}
	var rec Record
	s.Offset = offset
	if err := json.Unmarshal(data, &rec); err != nil {
		v.Reason = fmt.Sprintf("malformed record: %v", err)
		return v
	}
	v.RecordID = rec.ID
	switch rec.Kind {
	case RecordTemplate:
		var doc Template
		applyDocument(s.Templates, &v, rec, doc)
	case RecordParameters:
		var doc Parameters
		applyDocument(s.Parameters, &v, rec, doc)
	default:
		v.Reason = fmt.Sprintf("unknown record kind %q", rec.Kind)
	}
	return v
}

func applyDocument[T any](revisions map[string]Revision[T], v *Verdict, rec Record, doc T) {
	if err := json.Unmarshal(rec.Body, &doc); err != nil {
		v.Reason = fmt.Sprintf("malformed body: %v", err)
		return
	}
	_, name := splitKey(rec.Key)
	current := revisions[name]
	if rec.Base != current.Offset {
		v.Reason = fmt.Sprintf("base is %d, current revision is %d", rec.Base, current.Offset)
		v.Winner = current.RecordID
		return
	}
	revisions[name] = Revision[T]{Offset: v.Offset, RecordID: rec.ID, Document: doc}
	v.Accepted = true
}

func splitKey(key string) (kind, name string) {
	for i := range key {
		if key[i] == '/' {
			return key[:i], key[i+1:]
		}
	}
	return key, ""
}
