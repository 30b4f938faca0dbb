package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"strings"
)

// maxReasonBytes is the largest length of a verdict's reason. It is limited,
// because states contain verdicts.
const maxReasonBytes = 400

// RecordKind is the kind of a settings record.
type RecordKind string

// Kinds of settings records.
const (
	RecordTemplate   RecordKind = "template"
	RecordParameters RecordKind = "parameters"
	RecordSnapshot   RecordKind = "snapshot"
)

// Record is the payload of one record of the settings log.
type Record struct {
	// ID identifies the record across repeated appends.
	ID   string     `json:"id"`
	Kind RecordKind `json:"kind"`
	// Key is "template/NAME" or "parameters/WORKSPACE".
	Key string `json:"key"`
	// Base is the offset of the revision that the record replaces, 0 for the
	// first revision of a key.
	Base int64           `json:"base"`
	Body json.RawMessage `json:"body"`
}

// Verdict says whether a record was accepted.
type Verdict struct {
	Offset   int64  `json:"offset"`
	RecordID string `json:"record_id"`
	Accepted bool   `json:"accepted"`
	// Reason says why the record was refused. The state keeps the reasons of
	// refused documents and its digest covers them, so program versions that
	// run together must use the same texts.
	Reason string `json:"reason,omitempty"`
	// Winner is the id of the record that made the current revision. It is set
	// if this record was refused because its base is not that revision.
	Winner string `json:"winner,omitempty"`
	// RepeatOf is the offset of the first record with the same id. Its verdict
	// applies to the repeated record too.
	RepeatOf int64 `json:"repeat_of,omitempty"`
	// Problems are the problems of the document, if the record was refused
	// because of them.
	Problems Problems `json:"-"`
}

// Key returns the record key of the document of that kind and name.
func Key(kind RecordKind, name string) string {
	return string(kind) + "/" + name
}

// SplitKey returns the kind and the name of a record key.
func SplitKey(key string) (kind RecordKind, name string) {
	first, rest, _ := strings.Cut(key, "/")
	return RecordKind(first), rest
}

// ParseRecord parses the payload of a log record and refuses unknown fields.
func ParseRecord(data []byte) (Record, error) {
	var rec Record
	if err := decodeStrict(data, &rec); err != nil {
		return Record{}, fmt.Errorf("malformed record: %w", err)
	}
	if !recordIDPattern.MatchString(rec.ID) {
		return Record{}, errors.New("malformed record: id is not 1 to 128 printable characters without spaces")
	}
	return rec, nil
}

// decodeStrict decodes a single JSON value without unknown fields.
func decodeStrict(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON value")
	}
	return nil
}

// Apply applies the record at offset and returns the new state. It is a pure
// function of the state, the offset and the record.
func (s *State) Apply(offset int64, data []byte) (*State, Verdict) {
	rec, err := ParseRecord(data)
	if err != nil {
		return s.withOffset(offset), Verdict{Offset: offset, Reason: truncateReason(err.Error())}
	}
	if rec.Kind == RecordSnapshot {
		// The state already contains all records that the snapshot covers.
		return s.withOffset(offset), Verdict{Offset: offset, RecordID: rec.ID, Accepted: true}
	}
	if first, repeated := s.FindVerdict(rec.ID); repeated {
		first.RepeatOf, first.Offset = first.Offset, offset
		return s.withOffset(offset), first
	}
	if current, id := s.Revision(rec.Key); id == rec.ID {
		return s.withOffset(offset), Verdict{Offset: offset, RecordID: rec.ID, Accepted: true, RepeatOf: current}
	}
	next, v := s.applyDocument(offset, rec)
	next.recordVerdict(v)
	return next, v
}

// applyDocument applies a record that is no snapshot and no repetition.
func (s *State) applyDocument(offset int64, rec Record) (*State, Verdict) {
	v := Verdict{Offset: offset, RecordID: rec.ID}
	next := s.withOffset(offset)
	doc, problems := s.Check(rec.Kind, rec.Key, rec.Body)
	if len(problems) > 0 {
		v.Reason, v.Problems = truncateReason(problems.Error()), problems
		return next, v
	}
	if current, winner := s.Revision(rec.Key); rec.Base != current {
		v.Reason = fmt.Sprintf("base is %d but the current revision of %s is %d", rec.Base, rec.Key, current)
		v.Winner = winner
		return next, v
	}
	next.setDocument(doc, rec.ID)
	next.recordChanges(s)
	v.Accepted = true
	return next, v
}

// Check parses the body of a record and checks it against the state.
func (s *State) Check(kind RecordKind, key string, body []byte) (*Document, Problems) {
	if kind != RecordTemplate && kind != RecordParameters {
		return nil, Problems{{Message: fmt.Sprintf("record kind %q is not one of template, parameters, snapshot", kind)}}
	}
	doc, problems := parseBody(kind, body)
	if len(problems) > 0 {
		return nil, problems
	}
	if key != doc.Key {
		return nil, Problems{{Message: fmt.Sprintf("key %q does not agree with the document, which is %q", key, doc.Key)}}
	}
	return doc, s.CheckDocument(doc)
}

// CheckDocument checks a parsed document against the other documents of the
// state.
func (s *State) CheckDocument(doc *Document) Problems {
	next := s.withOffset(s.Offset)
	next.setDocument(doc, "")
	if doc.Template != nil {
		return doc.setLines(next.crossCheckTemplate(doc.Template))
	}
	return doc.setLines(next.crossCheckParameters(doc.Parameters))
}

// setDocument puts a document into the state in place.
func (s *State) setDocument(doc *Document, recordID string) {
	if t := doc.Template; t != nil {
		s.Templates = maps.Clone(s.Templates)
		s.Templates[t.Name] = Revision[Template]{Offset: s.Offset, RecordID: recordID, Document: *t}
		return
	}
	p := doc.Parameters
	s.Parameters = maps.Clone(s.Parameters)
	s.Parameters[p.Workspace] = Revision[Parameters]{Offset: s.Offset, RecordID: recordID, Document: *p}
}

// truncateReason shortens a reason to maxReasonBytes and makes it valid UTF-8.
func truncateReason(reason string) string {
	if len(reason) > maxReasonBytes {
		reason = reason[:maxReasonBytes] + "..."
	}
	return strings.ToValidUTF8(reason, "?")
}
